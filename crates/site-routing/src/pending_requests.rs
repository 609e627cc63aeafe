//! Requests that were accepted and not yet answered, and the queue of those that wait for a site.

use std::collections::HashMap;

use crate::{Effect, ForwardNumber, Micros, PeerGatewayId, Request, RequestClass, SiteId};

/// Identifies a request from its acceptance to its answer. Handles increase in order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(u64);

/// Where a pending request currently is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestLocation {
    /// The request waits in this router, or is about to be placed.
    Queued,
    /// The local router has the request.
    Local {
        /// Number of attempts, since the request was handed over, whose member turned out not to be the primary.
        not_primary_answers: usize,
    },
    /// The request was forwarded to another gateway, and its outcome is not known yet.
    Forwarded {
        /// Number that the request was forwarded under.
        number: ForwardNumber,
        /// Gateway that the request was forwarded to.
        to: PeerGatewayId,
    },
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    /// When the attempt began, or when the request was forwarded.
    pub(crate) at: Micros,
    pub(crate) site: SiteId,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) deadline: Micros,
    /// Instant after which the request's latency objective is missed.
    pub(crate) objective_at: Micros,
    pub(crate) location: RequestLocation,
    /// Sites that answered during the current primary search that they do not have the primary.
    pub(crate) ruled_out: Vec<SiteId>,
    /// When the first attempt began that the sender of the request knows may have run; `None` if the sender knows of
    /// none.
    pub(crate) earlier_attempt_at: Option<Micros>,
    /// The first attempt made by this gateway that may have run; `None` if none may have.
    pub(crate) may_have_run: Option<PossibleExecution>,
    pub(crate) times_forwarded: u32,
}

impl PendingRequest {
    pub(crate) fn new(now: Micros, request: Request, class: &RequestClass) -> PendingRequest {
        PendingRequest {
            deadline: now + request.timeout,
            objective_at: now + class.objective,
            earlier_attempt_at: request.earlier_attempt_age.map(|age| now - age),
            request,
            location: RequestLocation::Queued,
            ruled_out: Vec::new(),
            may_have_run: None,
            times_forwarded: 0,
        }
    }

    /// Returns whether the local router has the request.
    pub(crate) fn is_local(&self) -> bool {
        matches!(self.location, RequestLocation::Local { .. })
    }

    /// Returns the number that the request was forwarded under, or `None` if it is not at another gateway.
    pub(crate) fn forward_number(&self) -> Option<ForwardNumber> {
        match self.location {
            RequestLocation::Forwarded { number, .. } => Some(number),
            _ => None,
        }
    }

    /// Returns whether the request has already been at the site, in the current primary search or on its way here.
    pub(crate) fn has_been_at(&self, site: SiteId) -> bool {
        self.request.visited.contains(&site) || self.ruled_out.contains(&site)
    }

    /// Records an attempt that may have run, unless an earlier one is already recorded.
    pub(crate) fn record_possible_execution(&mut self, at: Micros, site: SiteId) {
        self.may_have_run.get_or_insert(PossibleExecution { at, site });
    }

    /// Returns when the first attempt that may have run began, whether this gateway made it or an earlier one.
    fn first_possible_execution_at(&self) -> Option<Micros> {
        self.earlier_attempt_at.or(self.may_have_run.map(|execution| execution.at))
    }

    /// Returns whether another attempt could make the request take effect twice.
    pub(crate) fn must_not_run_again(&self, now: Micros, effect: Effect) -> bool {
        let Some(first_at) = self.first_possible_execution_at() else { return false };
        match effect {
            Effect::Idempotent => false,
            // The gateway that gets a copy doesn't know which of its site's zones remembers the key, and would refuse it.
            Effect::Deduplicated { within_site: true, .. } => true,
            Effect::Deduplicated { window, .. } => now >= first_at + window,
            Effect::NonIdempotent => true,
        }
    }

    /// Returns how long ago the first attempt that may have run began, which bounds when the request may run again;
    /// `None` if nothing bounds it.
    pub(crate) fn earlier_attempt_age(&self, now: Micros, effect: Effect) -> Option<Micros> {
        let first_at = self.first_possible_execution_at()?;
        matches!(effect, Effect::Deduplicated { .. }).then_some(now - first_at)
    }

    /// Returns until when an answer is useful: the deadline, or the earlier of the deadline and the latency objective
    /// if the class gives late answers no weight.
    pub(crate) fn useful_until(&self, class: &RequestClass) -> Micros {
        if class.late_priority_weight > 0.0 { self.deadline } else { self.deadline.min(self.objective_at) }
    }
}

/// All requests that have not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: HashMap<RequestHandle, PendingRequest>,
    next_handle: u64,
}

impl PendingRequests {
    pub(crate) fn insert(&mut self, request: PendingRequest) -> RequestHandle {
        let handle = RequestHandle(self.next_handle);
        self.next_handle += 1;
        self.requests.insert(handle, request);
        handle
    }

    pub(crate) fn get(&self, handle: RequestHandle) -> Option<&PendingRequest> {
        self.requests.get(&handle)
    }

    pub(crate) fn get_mut(&mut self, handle: RequestHandle) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&handle)
    }

    pub(crate) fn remove(&mut self, handle: RequestHandle) -> Option<PendingRequest> {
        self.requests.remove(&handle)
    }

    /// Returns the number of requests that the local router has.
    pub(crate) fn count_local(&self) -> usize {
        self.requests.values().filter(|pending| pending.is_local()).count()
    }

    /// Returns the forwarded requests whose deadline is no later than `deadline`, in order of acceptance.
    pub(crate) fn forwarded_due_by(&self, deadline: Micros) -> Vec<RequestHandle> {
        let due =
            |pending: &PendingRequest| pending.forward_number().is_some() && deadline >= pending.deadline;
        let mut handles: Vec<RequestHandle> =
            self.requests.iter().filter(|(_, pending)| due(pending)).map(|(&handle, _)| handle).collect();
        handles.sort();
        handles
    }
}

/// Requests that wait until a site can take them.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    handles: Vec<RequestHandle>,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, handle: RequestHandle) {
        self.handles.push(handle);
    }

    pub(crate) fn remove(&mut self, handle: RequestHandle) {
        self.handles.retain(|&queued| queued != handle);
    }

    /// Empties the queue and returns its requests by descending priority weight, then in order of acceptance.
    pub(crate) fn take_in_order(
        &mut self,
        requests: &PendingRequests,
        classes: &[RequestClass],
    ) -> Vec<RequestHandle> {
        let handles = std::mem::take(&mut self.handles).into_iter();
        let weight = |handle| {
            let class = requests.get(handle)?.request.class;
            Some((handle, classes[class].priority_weight))
        };
        let mut weighted: Vec<(RequestHandle, f64)> = handles.filter_map(weight).collect();
        weighted.sort_by(|(a, a_weight), (b, b_weight)| b_weight.total_cmp(a_weight).then(a.cmp(b)));
        weighted.into_iter().map(|(handle, _)| handle).collect()
    }
}
