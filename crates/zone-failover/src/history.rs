//! Counts of a proxy's own reads over the last two reporting intervals.

use std::collections::{BTreeMap, VecDeque};

use crate::{Group, GroupZone, Micros, OutcomeCounts, ReadOutcome, Zone, ZoneRow};

/// The number of reporting intervals that a report covers. A proxy that gets no answers from a zone soon blacklists its
/// members and stops trying, so a single second may hold too few attempts to determine the zone's health.
const INTERVALS_REPORTED: usize = 2;
/// The most that one served read adds to the total time, in milliseconds (about 17 minutes).
const MAX_READ_MS: Micros = 1 << 20;

type CountsByZone = BTreeMap<GroupZone, OutcomeCounts>;

/// The counts of one reporting interval that has ended.
#[derive(Clone, Debug)]
struct Interval {
    span: Micros,
    counts: CountsByZone,
}

/// The reads of the last two reporting intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentReads {
    /// The total length of the intervals, in microseconds.
    pub span: Micros,
    /// The outcomes of the reads, sorted by group and zone.
    pub rows: Vec<ZoneRow>,
}

/// A sliding window over the last two reporting intervals that counts the outcomes of this proxy's reads by group and
/// zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneHistory {
    current: CountsByZone,
    current_since: Micros,
    /// Ended intervals, oldest first; at most [`INTERVALS_REPORTED`].
    recent: VecDeque<Interval>,
}

impl ZoneHistory {
    /// Creates an empty history whose first interval begins at `now`.
    pub fn start(now: Micros) -> ZoneHistory {
        ZoneHistory { current_since: now, ..ZoneHistory::default() }
    }

    /// Records a read attempt that ended after `elapsed` microseconds.
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

    /// Ends the current reporting interval and returns the counts of the last two. Called once a second.
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

    /// Sums the counts of the last intervals.
    fn rows(&self) -> Vec<ZoneRow> {
        let mut totals = CountsByZone::new();
        for (key, counts) in self.recent.iter().flat_map(|interval| &interval.counts) {
            totals.entry(*key).or_default().add(counts);
        }
        let row = |(GroupZone { group, zone }, counts)| ZoneRow { group, zone, counts };
        totals.into_iter().map(row).collect()
    }
}
