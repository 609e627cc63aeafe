//! What this driver lets the fleet know of what it sees, and what the fleet decreed of zones. Where nothing is decided in
//! common there is no `Observations`, and nothing is counted.

use std::collections::{BTreeMap, HashMap};

use aldermill_routing::{Handle, Micros, Need, Verdict};
use aldermill_settings::Decoded;
use aldermill_split_points::Sketch;
use aldermill_wire::statement::quoted;
use aldermill_zone_failover::{End, Lean, Tally};
use tokio::sync::oneshot;

use super::Dispatcher;
use super::endpoints::MemberEntry;
use crate::messages::{ClientRequest, ObservationSummary};

/// Groups of whose keys something is kept.
const GROUPS: usize = 64;

/// An attempt that is out: where, its request class's latency objective, whether it writes, and its key.
struct AttemptInFlight {
    group: u64,
    zone: usize,
    objective: Micros,
    write: bool,
    key: Vec<u8>,
}

pub struct Observations {
    tally: Tally,
    in_flight: HashMap<Handle, AttemptInFlight>,
    /// By group, which keys cost what; nothing where nobody asks for that.
    keys: Option<BTreeMap<u64, Sketch>>,
    seed: u64,
}

impl Observations {
    /// `splits` says whether the fleet decides where key ranges are cut.
    pub fn start(now: Micros, seed: u64, splits: bool) -> Observations {
        let keys = splits.then(BTreeMap::new);
        Observations { tally: Tally::start(now), in_flight: HashMap::new(), keys, seed }
    }

    pub(super) fn attempted(
        &mut self,
        handle: Handle,
        member: Option<&MemberEntry>,
        decoded: &Decoded,
        request: &ClientRequest,
    ) {
        let Ok(class) = decoded.class(&request.comment.class) else { return };
        let class = &decoded.terms.classes[class];
        let Some(member) = member else { return };
        let key = self.keys.as_ref().and_then(|_| quoted(&request.statement[request.comment.end..]));
        let key = key.unwrap_or_default().into_bytes();
        let (objective, write) = (class.objective, class.need == Need::Write);
        self.in_flight.insert(
            handle,
            AttemptInFlight { group: member.group, zone: member.zone, objective, write, key },
        );
    }

    fn ended(&mut self, now: Micros, handle: Handle, verdict: Verdict, took: Micros) {
        let Some(AttemptInFlight { group, zone, objective, write, key }) = self.in_flight.remove(&handle)
        else {
            return;
        };
        if let Some(keys) = &mut self.keys
            && verdict == Verdict::Served
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
            Verdict::Served => End::Served { in_time: took <= objective },
            Verdict::Overloaded => End::Refused,
            Verdict::Error | Verdict::Malformed => End::Error,
            Verdict::TimedOut
            | Verdict::Unconnected
            | Verdict::Unreachable
            | Verdict::Reset
            | Verdict::ConnectionLost => End::Silent,
            // Nothing was seen of the member.
            Verdict::Cancelled
            | Verdict::Unobserved
            | Verdict::LocalFailure
            | Verdict::NotSent
            | Verdict::NotPrimary => {
                return;
            }
        };
        self.tally.ended(group, zone, end, took);
    }
}

impl Dispatcher {
    pub(super) fn observe_end(&mut self, handle: Handle, verdict: Verdict, took: Micros) {
        if let Some(observations) = &mut self.observations {
            observations.ended(self.context.clock.now(), handle, verdict, took);
        }
    }

    pub(super) fn report_observations(&mut self, asked: oneshot::Sender<ObservationSummary>) {
        let now = self.context.clock.now();
        if let Some(observations) = &mut self.observations {
            let (over, rows) = observations.tally.take(now);
            let summary = |(&group, sketch): (&u64, &mut Sketch)| {
                (group, aldermill_split_points::frame::encode(sketch, now))
            };
            let keys = observations.keys.iter_mut().flatten().map(summary).collect();
            let site = self.gateway_part.as_mut().map(|gateway_part| gateway_part.take_observations(now));
            let _ = asked.send(ObservationSummary { over, rows, keys, site });
        }
    }

    /// What the fleet decreed for this driver's own zone, by group; a group that is not named has nothing to obey.
    pub(super) fn zone_directives(&mut self, leans: &[(u64, Lean)]) {
        let shares = |lean: &Lean| {
            let part = |thousandths: u16| f64::from(thousandths) / 1000.0;
            let to = lean.to.iter().map(|&(zone, share)| (zone, part(share))).collect();
            (part(lean.away), to)
        };
        let leans = leans.iter().map(|(group, lean)| (*group, shares(lean))).collect();
        self.router.lean(leans);
    }
}
