//! What this driver lets the fleet know of what it sees, and what the fleet decreed of zones. Where nothing is decided in
//! common there is no `Sight`, and nothing is counted.

use std::collections::{BTreeMap, HashMap};

use aldermill_routing::{Handle, Micros, Need, Verdict};
use aldermill_splits::Sketch;
use aldermill_terms::Decoded;
use aldermill_wire::statement::quoted;
use aldermill_zones::{End, Lean, Tally};
use tokio::sync::oneshot;

use super::Desk;
use crate::words::{Order, Seen};

/// Groups of whose keys something is kept.
const GROUPS: usize = 64;

/// A launch that is out: where, what is quoted for its offering, whether it writes, and its key.
struct Out {
    group: u64,
    zone: usize,
    quoted: Micros,
    write: bool,
    key: Vec<u8>,
}

pub struct Sight {
    tally: Tally,
    out: HashMap<Handle, Out>,
    /// By group, which keys cost what; nothing where nobody asks for that.
    keys: Option<BTreeMap<u64, Sketch>>,
    seed: u64,
}

impl Sight {
    /// `splits` says whether the fleet decides where key ranges are cut.
    pub fn start(now: Micros, seed: u64, splits: bool) -> Sight {
        let keys = splits.then(BTreeMap::new);
        Sight { tally: Tally::start(now), out: HashMap::new(), keys, seed }
    }

    pub(super) fn launched(
        &mut self,
        handle: Handle,
        place: Option<(u64, usize)>,
        decoded: &Decoded,
        order: &Order,
    ) {
        let Ok(offering) = decoded.offering(&order.comment.offering) else { return };
        let offering = &decoded.terms.offerings[offering];
        let Some((group, zone)) = place else { return };
        let key = self.keys.as_ref().and_then(|_| quoted(&order.statement[order.comment.end..]));
        let key = key.unwrap_or_default().into_bytes();
        let (quoted, write) = (offering.quoted, offering.need == Need::Write);
        self.out.insert(handle, Out { group, zone, quoted, write, key });
    }

    fn ended(&mut self, now: Micros, handle: Handle, verdict: Verdict, took: Micros) {
        let Some(Out { group, zone, quoted, write, key }) = self.out.remove(&handle) else { return };
        if let Some(keys) = &mut self.keys
            && verdict == Verdict::Honoured
            && !key.is_empty()
            && (keys.len() < GROUPS || keys.contains_key(&group))
        {
            // What an access costs: the time that the member took, in milliseconds.
            let seed = self.seed ^ group;
            let sketch = keys.entry(group).or_insert_with(|| Sketch::start(now, seed));
            sketch.access(now, &key, write, took as f64 / 1000.0);
        }
        // Writes go wherever the primary is, and say nothing of zones.
        if write {
            return;
        }
        let end = match verdict {
            Verdict::Honoured => End::Served { in_time: took <= quoted },
            Verdict::Full => End::Refused,
            Verdict::Error | Verdict::Spoilt => End::Error,
            Verdict::TimedOut
            | Verdict::Unconnected
            | Verdict::Unreachable
            | Verdict::Reset
            | Verdict::Dropped => End::Silent,
            // Nothing was seen of the member.
            Verdict::CalledOff | Verdict::Unseen | Verdict::LocalFailure | Verdict::Moot | Verdict::Miss => {
                return;
            }
        };
        self.tally.ended(group, zone, end, took);
    }
}

impl Desk {
    pub(super) fn sees_end(&mut self, handle: Handle, verdict: Verdict, took: Micros) {
        if let Some(sight) = &mut self.sight {
            sight.ended(self.context.clock.now(), handle, verdict, took);
        }
    }

    pub(super) fn tell_sight(&mut self, asked: oneshot::Sender<Seen>) {
        let now = self.context.clock.now();
        if let Some(sight) = &mut self.sight {
            let (over, rows) = sight.tally.take(now);
            let summary =
                |(&group, sketch): (&u64, &mut Sketch)| (group, aldermill_splits::frame::encode(sketch, now));
            let keys = sight.keys.iter_mut().flatten().map(summary).collect();
            let site = self.hub.as_mut().map(|hub| hub.seen(now));
            let _ = asked.send(Seen { over, rows, keys, site });
        }
    }

    /// What the fleet decreed for this driver's own zone, by group; a group that is not named has nothing to obey.
    pub(super) fn leans(&mut self, leans: &[(u64, Lean)]) {
        let shares = |lean: &Lean| {
            let part = |thousandths: u16| f64::from(thousandths) / 1000.0;
            let to = lean.to.iter().map(|&(zone, share)| (zone, part(share))).collect();
            (part(lean.away), to)
        };
        let leans = leans.iter().map(|(group, lean)| (*group, shares(lean))).collect();
        self.router.lean(leans);
    }
}
