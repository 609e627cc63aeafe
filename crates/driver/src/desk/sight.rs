//! What this driver lets the fleet know of what it sees, and what the fleet decreed of zones. Where nothing is decided in
//! common there is no `Sight`, and nothing is counted.

use std::collections::HashMap;

use aldermill_routing::{Handle, Micros, Need, Verdict};
use aldermill_terms::Decoded;
use aldermill_zones::{End, Lean, Tally};
use tokio::sync::oneshot;

use super::Desk;
use crate::words::{Order, Seen};

pub struct Sight {
    tally: Tally,
    /// Launches out: where, and what is quoted for their offering.
    out: HashMap<Handle, (u64, usize, Micros)>,
}

impl Sight {
    pub fn start(now: Micros) -> Sight {
        Sight { tally: Tally::start(now), out: HashMap::new() }
    }

    /// Reads only: writes go wherever the primary is.
    pub(super) fn launched(
        &mut self,
        handle: Handle,
        place: Option<(u64, usize)>,
        decoded: &Decoded,
        order: &Order,
    ) {
        let Ok(offering) = decoded.offering(&order.comment.offering) else { return };
        let offering = &decoded.terms.offerings[offering];
        if let Some((group, zone)) = place.filter(|_| offering.need != Need::Write) {
            self.out.insert(handle, (group, zone, offering.quoted));
        }
    }

    fn ended(&mut self, handle: Handle, verdict: Verdict, took: Micros) {
        let Some((group, zone, quoted)) = self.out.remove(&handle) else { return };
        let end = match verdict {
            Verdict::Honoured => End::Served { in_time: took <= quoted },
            Verdict::Full => End::Refused,
            Verdict::Error | Verdict::Spoilt => End::Error,
            Verdict::TimedOut | Verdict::Unconnected | Verdict::Reset | Verdict::Dropped => End::Silent,
            // Nothing was seen of the member.
            Verdict::CalledOff | Verdict::Unseen | Verdict::Moot | Verdict::Miss => return,
        };
        self.tally.ended(group, zone, end, took);
    }
}

impl Desk {
    pub(super) fn sees_end(&mut self, handle: Handle, verdict: Verdict, took: Micros) {
        if let Some(sight) = &mut self.sight {
            sight.ended(handle, verdict, took);
        }
    }

    pub(super) fn tell_sight(&mut self, asked: oneshot::Sender<Seen>) {
        let now = self.context.clock.now();
        if let Some(sight) = &mut self.sight {
            let (over, rows) = sight.tally.take(now);
            let _ = asked.send(Seen { over, rows });
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
