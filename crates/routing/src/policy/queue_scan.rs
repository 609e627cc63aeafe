//! What a pass over the queued requests of a group has found so far, so that its cost does not grow with the number of
//! requests that have to wait for the same reason.

use std::cmp::Ordering;

use crate::MemberId;
use crate::state::RequestHandle;

/// A queued request, with what its place in the order depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    /// The request.
    pub(super) handle: RequestHandle,
    /// Priority weight of the request by now.
    pub(super) weight: f64,
    /// Number of earlier requests of the same connection that were not answered when the request arrived.
    pub(super) client_backlog: usize,
}

impl QueuedRequest {
    /// Compares two requests of a group: the one of greater weight is routed first, then the one with fewer requests
    /// of its connection before it, then the newest.
    ///
    /// The backlog shares the members among connections. Without it, a few clients that pipeline requests faster than
    /// they are served get all capacity, and the requests of others wait until they are given up. The cost: while
    /// capacity is short, a client that pipelines is served after those that wait for each answer.
    pub(super) fn routing_order(&self, other: &QueuedRequest) -> Ordering {
        let by_weight = other.weight.total_cmp(&self.weight);
        let by_backlog = self.client_backlog.cmp(&other.client_backlog);
        by_weight.then(by_backlog).then(other.handle.cmp(&self.handle))
    }
}

/// What the target of a request depends on beside the state of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetOptions {
    /// Index of the request's class.
    pub(super) class: usize,
    /// Member of the newest attempt that has ended.
    pub(super) last_member: Option<MemberId>,
    /// Zone of the first attempt that may have run.
    pub(super) first_run_zone: Option<usize>,
    /// Whether the request has waited for a replica's report.
    pub(super) awaited_report: bool,
    /// Whether no attempt of the request may begin for now.
    pub(super) is_suspended: bool,
    /// Whether a member answered the request that it is not the primary.
    pub(super) was_refused: bool,
}

/// The options of requests that found no target since the last attempt was sent.
#[derive(Debug, Default)]
pub(super) struct TargetlessRequests(Vec<TargetOptions>);

impl TargetlessRequests {
    /// Returns whether a request with these options found no target.
    pub(super) fn contains(&self, options: TargetOptions) -> bool {
        self.0.contains(&options)
    }

    /// Records that a request with these options found no target.
    pub(super) fn add(&mut self, options: TargetOptions) {
        self.0.push(options);
    }

    /// Forgets everything, because an attempt was sent and changed the state of its member.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
