//! The sender's book: what crossed to other gateways and is not settled.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{Micros, Outcome, PeerAnswer, PeerGatewayId};

/// What the sender knows of one request that crossed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ForwardState {
    /// ForwardedRequest over a link that stands: its outcome is on the way.
    InFlight,
    /// Its link broke, or its outcome was lost: the gateway is to be asked.
    Unresolved,
    /// Asked, and no answer yet.
    Queried,
}

/// What an answer, a fate or a loss makes of a crossing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Nothing is known yet.
    Open,
    /// It never ran: it may go elsewhere, or be rejected.
    NeverRan,
    Served,
    /// It may have run, and more will not be known.
    MayHaveRun,
}

impl ForwardState {
    /// Its link broke. Where repeats do no harm nothing needs to be known of it.
    pub fn lost(&mut self, harmless: bool) -> Conclusion {
        *self = ForwardState::Unresolved;
        if harmless { Conclusion::MayHaveRun } else { Conclusion::Open }
    }

    pub fn answered(&mut self, answer: PeerAnswer) -> Conclusion {
        match answer {
            PeerAnswer::Served => Conclusion::Served,
            PeerAnswer::Failed => Conclusion::MayHaveRun,
            _ if answer.never_ran() => Conclusion::NeverRan,
            _ => Conclusion::Open,
        }
    }

    /// The gateway said what became of it.
    pub fn told<V>(&mut self, fate: &Outcome<V>) -> Conclusion {
        match fate {
            Outcome::NeverAccepted | Outcome::Rejected { .. } => Conclusion::NeverRan,
            Outcome::Served(_) => Conclusion::Served,
            Outcome::Failed | Outcome::Unknown => Conclusion::MayHaveRun,
            Outcome::InFlight => {
                *self = ForwardState::InFlight;
                Conclusion::Open
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardedRequest<H> {
    pub handle: H,
    pub gateway: PeerGatewayId,
    pub class: usize,
    /// When it was sent, or last asked about; and when it was sent.
    pub at: Micros,
    pub since: Micros,
    pub crossing: ForwardState,
}

/// All that crossed from here and is not closed, by number.
#[derive(Debug)]
pub struct ForwardedRequests<H> {
    sent: BTreeMap<u64, ForwardedRequest<H>>,
    next: u64,
    /// Numbers open at each gateway, the highest sent to it, and the highest confirmed.
    gateways: HashMap<PeerGatewayId, Numbers>,
}

#[derive(Debug, Default)]
struct Numbers {
    open: BTreeSet<u64>,
    highest: u64,
    confirmed: u64,
}

impl<H: Copy> Default for ForwardedRequests<H> {
    fn default() -> Self {
        ForwardedRequests { sent: BTreeMap::new(), next: 1, gateways: HashMap::new() }
    }
}

impl<H: Copy> ForwardedRequests<H> {
    pub(crate) fn send(&mut self, now: Micros, handle: H, gateway: PeerGatewayId, class: usize) -> u64 {
        let number = self.next;
        self.next += 1;
        self.sent.insert(
            number,
            ForwardedRequest {
                handle,
                gateway,
                class,
                at: now,
                since: now,
                crossing: ForwardState::InFlight,
            },
        );
        let numbers = self.gateways.entry(gateway).or_default();
        numbers.open.insert(number);
        numbers.highest = number;
        number
    }

    pub(crate) fn get(&self, number: u64) -> Option<&ForwardedRequest<H>> {
        self.sent.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut ForwardedRequest<H>> {
        self.sent.get_mut(&number)
    }

    /// Nothing more will be asked about it.
    pub(crate) fn close(&mut self, number: u64) -> Option<ForwardedRequest<H>> {
        let sent = self.sent.remove(&number)?;
        if let Some(numbers) = self.gateways.get_mut(&sent.gateway) {
            numbers.open.remove(&number);
        }
        Some(sent)
    }

    /// Numbers open at a gateway, the oldest first.
    pub(crate) fn open_at(&self, gateway: PeerGatewayId) -> Vec<u64> {
        self.gateways.get(&gateway).map_or(Vec::new(), |numbers| numbers.open.iter().copied().collect())
    }

    pub(crate) fn count_at(&self, gateway: PeerGatewayId, class: usize) -> usize {
        let open = self.gateways.get(&gateway).into_iter().flat_map(|numbers| &numbers.open);
        open.filter(|number| self.sent.get(number).is_some_and(|sent| sent.class == class)).count()
    }

    /// Up to where everything sent to a gateway is closed, if that has risen since it was last said.
    pub(crate) fn confirm(&mut self, gateway: PeerGatewayId) -> Option<u64> {
        let numbers = self.gateways.get_mut(&gateway)?;
        let upto = numbers.open.first().map_or(numbers.highest, |first| first - 1);
        (upto > numbers.confirmed).then(|| {
            numbers.confirmed = upto;
            upto
        })
    }
}
