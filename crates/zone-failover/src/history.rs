//! What a proxy counts of its own reads until it reports them.

use std::collections::{BTreeMap, VecDeque};

use crate::{Group, GroupZone, Micros, OutcomeCounts, ReadOutcome, Zone, ZoneRow};

/// How many reporting intervals a report covers. A proxy that reaches nobody in a zone soon blacklists its members and
/// stops trying, so that one second alone may hold too few attempts for a verdict.
const INTERVALS_REPORTED: usize = 2;
/// The longest time that one served read adds, in milliseconds (about 17 minutes).
const MAX_READ_MS: Micros = 1 << 20;

type CountsByZone = BTreeMap<GroupZone, OutcomeCounts>;

/// One reporting interval that has ended.
#[derive(Clone, Debug)]
struct Interval {
    span: Micros,
    counts: CountsByZone,
}

/// Reads of the last reporting intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentReads {
    /// How long the intervals were together, in microseconds.
    pub span: Micros,
    /// How the reads ended, in order of group and zone.
    pub rows: Vec<ZoneRow>,
}

/// Counts how this proxy's reads ended, by group and zone, over the last two reporting intervals.
#[derive(Clone, Debug, Default)]
pub struct ZoneHistory {
    current: CountsByZone,
    current_since: Micros,
    /// Oldest first.
    recent: VecDeque<Interval>,
}

impl ZoneHistory {
    /// Counts from `now` on.
    pub fn start(now: Micros) -> ZoneHistory {
        ZoneHistory { current_since: now, ..ZoneHistory::default() }
    }

    /// An attempt at a read ended after `elapsed` microseconds.
    pub fn record(&mut self, group: Group, zone: Zone, outcome: ReadOutcome, elapsed: Micros) {
        let counts = self.current.entry(GroupZone { group, zone }).or_default();
        counts.attempts += 1;
        match outcome {
            ReadOutcome::Served { in_time } => {
                let elapsed_ms = (elapsed / 1000).clamp(0, MAX_READ_MS) as u32;
                counts.in_time += u32::from(in_time);
                counts.served_ms = counts.served_ms.saturating_add(elapsed_ms);
            }
            ReadOutcome::Rejected => counts.rejected += 1,
            ReadOutcome::Failed => counts.failed += 1,
            ReadOutcome::Unanswered => counts.unanswered += 1,
        }
    }

    /// Ends the reporting interval, and returns what the last ones counted. Called once a second.
    pub fn end_interval(&mut self, now: Micros) -> RecentReads {
        let span = now - self.current_since;
        let counts = std::mem::take(&mut self.current);
        self.current_since = now;
        self.recent.push_back(Interval { span, counts });
        if self.recent.len() > INTERVALS_REPORTED {
            self.recent.pop_front();
        }
        RecentReads { span: self.recent.iter().map(|interval| interval.span).sum(), rows: self.rows() }
    }

    /// The last intervals added up.
    fn rows(&self) -> Vec<ZoneRow> {
        let mut totals = CountsByZone::new();
        for (key, counts) in self.recent.iter().flat_map(|interval| &interval.counts) {
            totals.entry(*key).or_default().add(counts);
        }
        let row = |(GroupZone { group, zone }, counts)| ZoneRow { group, zone, counts };
        totals.into_iter().map(row).collect()
    }
}
