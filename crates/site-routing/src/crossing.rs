//! The sender's book: what crossed to other gateways and is not settled.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{Answer, Fate, GateId, Micros};

/// What the sender knows of one request that crossed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Crossing {
    /// Sent over a link that stands: its outcome is on the way.
    Out,
    /// Its link broke, or its outcome was lost: the gateway is to be asked.
    Unsettled,
    /// Asked, and no answer yet.
    Asked,
}

/// What an answer, a fate or a loss makes of a crossing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Nothing is known yet.
    Open,
    /// It never ran: it may go elsewhere, or be rejected.
    NeverRan,
    Served,
    /// It may have run, and more will not be known.
    MayHaveRun,
}

impl Crossing {
    /// Its link broke. Where repeats do no harm nothing needs to be known of it.
    pub fn lost(&mut self, harmless: bool) -> Settled {
        *self = Crossing::Unsettled;
        if harmless { Settled::MayHaveRun } else { Settled::Open }
    }

    pub fn answered(&mut self, answer: Answer) -> Settled {
        match answer {
            Answer::Served => Settled::Served,
            Answer::Failed => Settled::MayHaveRun,
            _ if answer.never_ran() => Settled::NeverRan,
            _ => Settled::Open,
        }
    }

    /// The gateway said what became of it.
    pub fn told<V>(&mut self, fate: &Fate<V>) -> Settled {
        match fate {
            Fate::NeverTaken | Fate::Rejected { .. } => Settled::NeverRan,
            Fate::Served(_) => Settled::Served,
            Fate::Failed | Fate::Unknown => Settled::MayHaveRun,
            Fate::UnderWay => {
                *self = Crossing::Out;
                Settled::Open
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent<H> {
    pub handle: H,
    pub gate: GateId,
    pub class: usize,
    /// When it was sent, or last asked about; and when it was sent.
    pub at: Micros,
    pub since: Micros,
    pub crossing: Crossing,
}

/// All that crossed from here and is not closed, by number.
#[derive(Debug)]
pub struct Crossings<H> {
    sent: BTreeMap<u64, Sent<H>>,
    next: u64,
    /// Numbers open at each gateway, the highest sent to it, and the highest confirmed.
    gates: HashMap<GateId, Numbers>,
}

#[derive(Debug, Default)]
struct Numbers {
    open: BTreeSet<u64>,
    highest: u64,
    confirmed: u64,
}

impl<H: Copy> Default for Crossings<H> {
    fn default() -> Self {
        Crossings { sent: BTreeMap::new(), next: 1, gates: HashMap::new() }
    }
}

impl<H: Copy> Crossings<H> {
    pub(crate) fn send(&mut self, now: Micros, handle: H, gate: GateId, class: usize) -> u64 {
        let number = self.next;
        self.next += 1;
        self.sent.insert(number, Sent { handle, gate, class, at: now, since: now, crossing: Crossing::Out });
        let numbers = self.gates.entry(gate).or_default();
        numbers.open.insert(number);
        numbers.highest = number;
        number
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Sent<H>> {
        self.sent.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut Sent<H>> {
        self.sent.get_mut(&number)
    }

    /// Nothing more will be asked about it.
    pub(crate) fn close(&mut self, number: u64) -> Option<Sent<H>> {
        let sent = self.sent.remove(&number)?;
        if let Some(numbers) = self.gates.get_mut(&sent.gate) {
            numbers.open.remove(&number);
        }
        Some(sent)
    }

    /// Numbers open at a gateway, the oldest first.
    pub(crate) fn open_at(&self, gate: GateId) -> Vec<u64> {
        self.gates.get(&gate).map_or(Vec::new(), |numbers| numbers.open.iter().copied().collect())
    }

    pub(crate) fn count_at(&self, gate: GateId, class: usize) -> usize {
        let open = self.gates.get(&gate).into_iter().flat_map(|numbers| &numbers.open);
        open.filter(|number| self.sent.get(number).is_some_and(|sent| sent.class == class)).count()
    }

    /// Up to where everything sent to a gateway is closed, if that has risen since it was last said.
    pub(crate) fn confirm(&mut self, gate: GateId) -> Option<u64> {
        let numbers = self.gates.get_mut(&gate)?;
        let upto = numbers.open.first().map_or(numbers.highest, |first| first - 1);
        (upto > numbers.confirmed).then(|| {
            numbers.confirmed = upto;
            upto
        })
    }
}
