use std::collections::{BTreeMap, VecDeque};

use crate::{Group, Micros, Zone};

/// How an attempt ended, as far as zones are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Served within its request class's latency objective, or later.
    Served {
        in_time: bool,
    },
    /// The member had no room.
    Refused,
    Error,
    /// Nothing came back, or nobody could be reached.
    Silent,
}

/// What became of attempts of one group at one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub attempts: u32,
    pub in_time: u32,
    pub refused: u32,
    pub errors: u32,
    pub silent: u32,
    /// All that served ones took, in milliseconds.
    pub took_ms: u32,
}

impl OutcomeCounts {
    pub fn add(&mut self, other: &OutcomeCounts) {
        let OutcomeCounts { attempts, in_time, refused, errors, silent, took_ms } = other;
        self.attempts = self.attempts.saturating_add(*attempts);
        self.in_time = self.in_time.saturating_add(*in_time);
        self.refused = self.refused.saturating_add(*refused);
        self.errors = self.errors.saturating_add(*errors);
        self.silent = self.silent.saturating_add(*silent);
        self.took_ms = self.took_ms.saturating_add(*took_ms);
    }

    /// Those that say something of the zone: an error may be the request's own.
    fn telling(&self) -> f64 {
        f64::from((self.attempts - self.errors.min(self.attempts)).max(1))
    }

    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / self.telling()
    }

    pub fn share_silent(&self) -> f64 {
        f64::from(self.silent) / self.telling()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub group: Group,
    pub zone: Zone,
    pub seen: OutcomeCounts,
}

/// What is told is of the time since so many tellings: a driver that finds nobody soon stops asking, and one second may
/// hold too little to conclude from.
const TELLINGS: usize = 2;

type Counts = BTreeMap<(Group, Zone), OutcomeCounts>;

/// Counts what one driver saw of late.
#[derive(Clone, Debug, Default)]
pub struct ZoneHistory {
    of: Counts,
    since: Micros,
    before: VecDeque<(Micros, Counts)>,
}

impl ZoneHistory {
    pub fn start(now: Micros) -> ZoneHistory {
        ZoneHistory { since: now, ..ZoneHistory::default() }
    }

    pub fn ended(&mut self, group: Group, zone: Zone, end: ReadOutcome, took: Micros) {
        let seen = self.of.entry((group, zone)).or_default();
        seen.attempts += 1;
        match end {
            ReadOutcome::Served { in_time } => {
                seen.in_time += u32::from(in_time);
                seen.took_ms = seen.took_ms.saturating_add((took / 1000).clamp(0, 1 << 20) as u32);
            }
            ReadOutcome::Refused => seen.refused += 1,
            ReadOutcome::Error => seen.errors += 1,
            ReadOutcome::Silent => seen.silent += 1,
        }
    }

    /// What was counted of late, and over how long.
    pub fn take(&mut self, now: Micros) -> (Micros, Vec<Row>) {
        let over = now - std::mem::replace(&mut self.since, now);
        self.before.push_back((over, std::mem::take(&mut self.of)));
        if self.before.len() > TELLINGS {
            self.before.pop_front();
        }
        let mut all: Counts = BTreeMap::new();
        for (key, seen) in self.before.iter().flat_map(|(_, of)| of) {
            all.entry(*key).or_default().add(seen);
        }
        let rows = all.into_iter().map(|((group, zone), seen)| Row { group, zone, seen }).collect();
        (self.before.iter().map(|(over, _)| over).sum(), rows)
    }
}
