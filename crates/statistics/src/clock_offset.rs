//! How far the other machines' wall clock is ahead of this process's clock, by the times that they report.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::Micros;

/// This many samples of one machine in a row must agree, so that a stray one changes nothing.
const AGREEING_SAMPLES: usize = 3;
/// This many machines must be ahead, so that one whose own clock is wrong changes nothing.
const AGREEING_MACHINES: usize = 2;
/// Clocks that differ by no more than 50 ms count as the same.
const TOLERANCE: Micros = 50_000;

/// Bounds on the offset between two clocks of the same rate, from events whose order is certain: a time that a machine
/// reports had passed there when the report was received here, which bounds the offset from below; a write was committed
/// after it was sent, which bounds it from above.
///
/// A process that was started under a wrong wall clock would take fresh data for stale, and members for started long ago or
/// not yet. The cost: where several machines' clocks are ahead of all others', data looks older than it is, and members seem
/// to have been up for longer.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    samples: HashMap<usize, OffsetSamples>,
    /// The machines that were furthest ahead, in that order.
    highest_lower_bounds: Vec<LowerBound>,
    /// The least bound that commits gave.
    upper_bound: Option<Micros>,
}

/// By how much a machine was ahead at least, at some time.
#[derive(Clone, Copy, Debug)]
struct LowerBound {
    machine: usize,
    offset: Micros,
}

/// The last samples of one machine.
#[derive(Clone, Debug, Default)]
struct OffsetSamples {
    /// Reported times, less when they were received.
    reports: RecentSamples,
    /// Commit times, less when the write was sent.
    commits: RecentSamples,
}

/// The last samples, the newest at the end.
#[derive(Clone, Debug, Default)]
struct RecentSamples([Option<Micros>; AGREEING_SAMPLES]);

impl RecentSamples {
    fn add(&mut self, offset: Micros) {
        self.0.rotate_left(1);
        self.0[AGREEING_SAMPLES - 1] = Some(offset);
    }

    /// All of them, once there are as many as must agree.
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
    /// A time by the machine's clock that had passed when it reported it; received at `received_at` by this process's clock.
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

    /// When, by its own clock, a machine committed a write that this process sent at `sent_at`, and that had not been committed
    /// before.
    pub fn record_commit(&mut self, machine: usize, committed_at: Micros, sent_at: Micros) {
        let commits = &mut self.samples.entry(machine).or_default().commits;
        commits.add(committed_at.saturating_sub(sent_at));
        let bound = commits.max();
        self.upper_bound = [self.upper_bound, bound].into_iter().flatten().min();
    }

    /// Forgets the samples of a machine that is gone; the bounds that they gave stay.
    pub fn discard_samples(&mut self, machine: usize) {
        self.samples.remove(&machine);
    }

    /// What to add to this process's clock so that it is at least the other machines', as far as is known. Zero as long as
    /// nothing shows that they differ.
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
