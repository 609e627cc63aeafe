//! How far other machines' wall clock is ahead of this process's clock, by what they tell.

use std::collections::HashMap;

use crate::Micros;

/// So many words of one machine in a row must agree: one that cannot be right changes nothing.
const AGREE: usize = 3;
/// So many machines must be ahead: one whose own clock is wrong changes nothing.
const MACHINES: usize = 2;
/// Within this the clocks count as the same.
const TOLERANCE: Micros = 50_000;

/// Bounds on the offset between two clocks of the same pace, both from words whose order is certain: what a machine has
/// told was true before it was received, and a write was committed after it was sent.
///
/// Protects fresh reads and slow start from a process that was started under a wrong wall clock. Harms both where
/// several machines tell times ahead of all others': data then looks old, and members look warm.
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    machines: HashMap<usize, OffsetSamples>,
    /// The machines that were furthest ahead.
    furthest: Vec<(usize, Micros)>,
    at_most: Option<Micros>,
}

/// The last words of one machine: told times less when they were received, and commits less when they were sent.
#[derive(Clone, Debug, Default)]
struct OffsetSamples {
    reports: RecentSamples,
    commits: RecentSamples,
}

#[derive(Clone, Debug, Default)]
struct RecentSamples([Option<Micros>; AGREE]);

impl RecentSamples {
    fn add(&mut self, offset: Micros) {
        self.0.rotate_left(1);
        self.0[AGREE - 1] = Some(offset);
    }

    /// All of them, once there are as many as must agree.
    fn all(&self) -> Option<[Micros; AGREE]> {
        self.0.iter().copied().collect::<Option<Vec<_>>>()?.try_into().ok()
    }
}

impl ClockOffset {
    /// A machine's word, by its own clock, that was here at `received` by this process's.
    pub fn record_report(&mut self, machine: usize, time: Micros, received: Micros) {
        let samples = &mut self.machines.entry(machine).or_default().reports;
        samples.add(time.saturating_sub(received));
        let Some(least) = samples.all().and_then(|all| all.into_iter().min()) else { return };
        match self.furthest.iter_mut().find(|(of, _)| *of == machine) {
            Some((_, most)) => *most = least.max(*most),
            None => self.furthest.push((machine, least)),
        }
        self.furthest.sort_by_key(|&(_, most)| std::cmp::Reverse(most));
        self.furthest.truncate(MACHINES);
    }

    /// A machine's word on when it committed what it was sent at `sent`, and what it did not have before.
    pub fn record_commit(&mut self, machine: usize, time: Micros, sent: Micros) {
        let samples = &mut self.machines.entry(machine).or_default().commits;
        samples.add(time.saturating_sub(sent));
        let most = samples.all().and_then(|all| all.into_iter().max());
        self.at_most = [self.at_most, most].into_iter().flatten().min();
    }

    /// A machine that is no more; what it told stays true.
    pub fn forget(&mut self, machine: usize) {
        self.machines.remove(&machine);
    }

    /// What is to be added to this process's clock to be no less than the others', as far as is known; zero as long as
    /// nothing shows that they differ.
    pub fn offset(&self) -> Micros {
        let enough = self.furthest.len() == MACHINES;
        let at_least = self.furthest.last().filter(|_| enough).map_or(Micros::MIN, |&(_, most)| most);
        let offset = at_least.max(self.at_most.unwrap_or(0));
        if offset.abs() > TOLERANCE { offset } else { 0 }
    }
}
