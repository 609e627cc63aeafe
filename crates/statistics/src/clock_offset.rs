//! Estimates how far the wall clock of other machines is ahead of this process's clock, from the
//! times that they report.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::Micros;

/// Number of consecutive samples of one machine that must agree, so that a single outlier has no
/// effect.
const AGREEING_SAMPLES: usize = 3;
/// Number of machines that must be ahead, so that one machine with a wrong clock has no effect.
const AGREEING_MACHINES: usize = 2;
/// Clocks that differ by no more than this, in microseconds (50 ms), count as equal.
const TOLERANCE: Micros = 50_000;

/// An estimate of the offset between other machines' clocks and this process's clock, which run at
/// the same rate. It is bounded by events whose order is certain. A time that a machine reports had
/// passed there when the report was received here, which gives a lower bound. A write was committed
/// after it was sent, which gives an upper bound.
///
/// Without this estimate, a process started with a wrong wall clock would treat fresh data as
/// stale, and would conclude that members started long ago or have not started yet. The trade-off
/// is that, if the clocks of several machines are ahead of all others, data looks older than it is,
/// and members seem to have been up for longer.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    samples: HashMap<usize, OffsetSamples>,
    /// The machines with the highest lower bounds, highest first; at most [`AGREEING_MACHINES`].
    highest_lower_bounds: Vec<LowerBound>,
    /// The lowest upper bound so far; `None` while there are too few commits.
    upper_bound: Option<Micros>,
}

/// A lower bound on the offset of one machine's clock, in microseconds.
#[derive(Clone, Copy, Debug)]
struct LowerBound {
    machine: usize,
    offset: Micros,
}

/// The last samples from the reports and the commits of one machine, in microseconds.
#[derive(Clone, Debug, Default)]
struct OffsetSamples {
    /// Reported times minus the times at which they were received.
    reports: RecentSamples,
    /// Commit times minus the times at which the writes were sent.
    commits: RecentSamples,
}

/// The last [`AGREEING_SAMPLES`] samples, oldest first; `None` for those that are still missing.
#[derive(Clone, Debug, Default)]
struct RecentSamples([Option<Micros>; AGREEING_SAMPLES]);

impl RecentSamples {
    fn add(&mut self, offset: Micros) {
        self.0.rotate_left(1);
        self.0[AGREEING_SAMPLES - 1] = Some(offset);
    }

    /// Returns all samples, or `None` while there are fewer than must agree.
    fn complete(&self) -> Option<[Micros; AGREEING_SAMPLES]> {
        self.0.iter().copied().collect::<Option<Vec<_>>>()?.try_into().ok()
    }

    fn min(&self) -> Option<Micros> {
        self.complete()?.into_iter().min()
    }

    fn max(&self) -> Option<Micros> {
        self.complete()?.into_iter().max()
    }
}

impl ClockOffset {
    /// Records a time on the machine's clock that had passed when the machine reported it. The
    /// report was received at `received_at` on this process's clock. Both times are in
    /// microseconds.
    pub fn record_report(&mut self, machine: usize, reported_time: Micros, received_at: Micros) {
        let reports = &mut self.samples.entry(machine).or_default().reports;
        reports.add(reported_time.saturating_sub(received_at));
        let Some(offset) = reports.min() else { return };
        match self.highest_lower_bounds.iter_mut().find(|bound| bound.machine == machine) {
            Some(bound) => bound.offset = bound.offset.max(offset),
            None => self.highest_lower_bounds.push(LowerBound { machine, offset }),
        }
        self.highest_lower_bounds.sort_by_key(|bound| Reverse(bound.offset));
        self.highest_lower_bounds.truncate(AGREEING_MACHINES);
    }

    /// Records when, on its own clock, a machine committed a write that this process sent at
    /// `sent_at`. The write must not have been committed before it was sent. Both times are in
    /// microseconds.
    pub fn record_commit(&mut self, machine: usize, committed_at: Micros, sent_at: Micros) {
        let commits = &mut self.samples.entry(machine).or_default().commits;
        commits.add(committed_at.saturating_sub(sent_at));
        let bound = commits.max();
        self.upper_bound = [self.upper_bound, bound].into_iter().flatten().min();
    }

    /// Discards the samples of a machine that is gone. The bounds derived from them stay in force.
    pub fn discard_samples(&mut self, machine: usize) {
        self.samples.remove(&machine);
    }

    /// Returns what to add to this process's clock, in microseconds, so that it is not behind the
    /// other machines' clocks, as far as is known. The result is zero unless the samples show a
    /// difference of more than 50 ms.
    #[must_use]
    pub fn offset(&self) -> Micros {
        let lower_bound = match self.highest_lower_bounds.last() {
            Some(bound) if self.highest_lower_bounds.len() == AGREEING_MACHINES => bound.offset,
            _ => Micros::MIN,
        };
        let offset = lower_bound.max(self.upper_bound.unwrap_or(0));
        if offset.abs() > TOLERANCE { offset } else { 0 }
    }
}
