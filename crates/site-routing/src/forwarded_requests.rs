//! The sender's table of forwarded requests: each request sent to another gateway whose outcome is not known yet.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ForwardNumber, Micros, Outcome, PeerAnswer, PeerGatewayId, RequestHandle};

/// Time without a reply after which a query about an outcome is repeated, in microseconds. Well above a round trip
/// between sites, and short compared to the timeouts of requests.
const QUERY_RETRY_INTERVAL: Micros = 500_000;

/// State of a forwarded request, as known to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ForwardState {
    /// The request was sent over a link that is still up, and its answer is expected.
    InFlight,
    /// The request's link was lost, and possibly the answer with it; the receiver must be asked.
    Unresolved,
    /// The receiver was asked and has not replied yet.
    Queried,
}

/// What an answer, an outcome or a lost link implies for a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Nothing yet: the request stays open.
    Open,
    /// The request never ran, so it may be sent elsewhere or rejected.
    NeverRan,
    /// The request was served.
    Served,
    /// The request may have run, and nothing more will be learned about it.
    MayHaveRun,
}

impl ForwardState {
    /// Handles an event by which the answer to the request may be lost. If the request may be sent again in any case,
    /// its outcome does not need to be known.
    pub fn answer_lost(&mut self, may_send_again: bool) -> Conclusion {
        *self = ForwardState::Unresolved;
        if may_send_again { Conclusion::MayHaveRun } else { Conclusion::Open }
    }

    /// Handles the receiver's answer to the request.
    pub fn answered(&mut self, answer: PeerAnswer) -> Conclusion {
        match answer {
            PeerAnswer::Served => Conclusion::Served,
            PeerAnswer::Failed => Conclusion::MayHaveRun,
            _ if answer.never_ran() => Conclusion::NeverRan,
            _ => Conclusion::Open,
        }
    }

    /// Handles the receiver's reply to a query about the request.
    pub fn outcome_received<V>(&mut self, outcome: &Outcome<V>) -> Conclusion {
        match outcome {
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

/// A request that was forwarded and is still open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) handle: RequestHandle,
    pub(crate) gateway: PeerGatewayId,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
    /// When the receiver was last asked about the request; when it was sent, if the receiver was not asked.
    pub(crate) last_contact_at: Micros,
    pub(crate) state: ForwardState,
}

/// Numbers of the requests that were sent to one gateway.
#[derive(Debug, Default)]
struct SentNumbers {
    open: BTreeSet<ForwardNumber>,
    highest: ForwardNumber,
    /// Highest number confirmed to the gateway: nothing up to this number will be asked about any more. Zero if none
    /// was.
    confirmed: ForwardNumber,
}

/// All requests that this gateway forwarded and that are still open, by number.
#[derive(Debug)]
pub(crate) struct ForwardedRequests {
    open: BTreeMap<ForwardNumber, ForwardedRequest>,
    next_number: ForwardNumber,
    numbers_by_gateway: BTreeMap<PeerGatewayId, SentNumbers>,
}

impl Default for ForwardedRequests {
    fn default() -> Self {
        ForwardedRequests { open: BTreeMap::new(), next_number: 1, numbers_by_gateway: BTreeMap::new() }
    }
}

impl ForwardedRequests {
    /// Adds a request that is being sent now. Returns the number to send it under.
    pub(crate) fn open(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        gateway: PeerGatewayId,
        class: usize,
    ) -> ForwardNumber {
        let number = self.next_number;
        self.next_number += 1;
        let state = ForwardState::InFlight;
        let request = ForwardedRequest { handle, gateway, class, sent_at: now, last_contact_at: now, state };
        self.open.insert(number, request);
        let numbers = self.numbers_by_gateway.entry(gateway).or_default();
        numbers.open.insert(number);
        numbers.highest = number;
        number
    }

    pub(crate) fn get(&self, number: ForwardNumber) -> Option<&ForwardedRequest> {
        self.open.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: ForwardNumber) -> Option<&mut ForwardedRequest> {
        self.open.get_mut(&number)
    }

    /// Removes a request that nothing more will be asked about.
    pub(crate) fn close(&mut self, number: ForwardNumber) -> Option<ForwardedRequest> {
        let request = self.open.remove(&number)?;
        if let Some(numbers) = self.numbers_by_gateway.get_mut(&request.gateway) {
            numbers.open.remove(&number);
        }
        Some(request)
    }

    /// Marks a request as queried if its outcome is unresolved. Returns the request if its receiver is to be asked.
    pub(crate) fn start_query(&mut self, now: Micros, number: ForwardNumber) -> Option<ForwardedRequest> {
        let request = self.open.get_mut(&number)?;
        if request.state != ForwardState::Unresolved {
            return None;
        }
        request.state = ForwardState::Queried;
        request.last_contact_at = now;
        Some(*request)
    }

    /// Marks requests as unresolved again if their query was not replied to in time. Returns their numbers, ordered by
    /// gateway.
    pub(crate) fn expire_queries(&mut self, now: Micros) -> Vec<ForwardNumber> {
        let numbers = self.numbers_by_gateway.values().flat_map(|numbers| &numbers.open);
        let overdue = |request: &ForwardedRequest| {
            request.state == ForwardState::Queried && now - request.last_contact_at >= QUERY_RETRY_INTERVAL
        };
        let expired: Vec<ForwardNumber> =
            numbers.copied().filter(|number| self.open.get(number).is_some_and(overdue)).collect();
        for number in &expired {
            if let Some(request) = self.open.get_mut(number) {
                request.state = ForwardState::Unresolved;
            }
        }
        expired
    }

    /// Returns the numbers of the requests that are open at a gateway, oldest first.
    pub(crate) fn open_at(&self, gateway: PeerGatewayId) -> Vec<ForwardNumber> {
        self.numbers_by_gateway
            .get(&gateway)
            .map_or(Vec::new(), |numbers| numbers.open.iter().copied().collect())
    }

    /// Returns how many requests of a class are open at a gateway.
    pub(crate) fn count_at(&self, gateway: PeerGatewayId, class: usize) -> usize {
        let open = self.numbers_by_gateway.get(&gateway).into_iter().flat_map(|numbers| &numbers.open);
        open.filter(|number| self.open.get(number).is_some_and(|request| request.class == class)).count()
    }

    /// Returns the number up to which all requests sent to a gateway are closed, or `None` if it has not risen since it
    /// was last returned.
    pub(crate) fn confirm(&mut self, gateway: PeerGatewayId) -> Option<ForwardNumber> {
        let numbers = self.numbers_by_gateway.get_mut(&gateway)?;
        let closed_up_to = numbers.open.first().map_or(numbers.highest, |first| first - 1);
        if closed_up_to <= numbers.confirmed {
            return None;
        }
        numbers.confirmed = closed_up_to;
        Some(closed_up_to)
    }
}
