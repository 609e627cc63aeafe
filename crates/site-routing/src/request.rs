//! Requests, and their results from the local router or another gateway.

use crate::{Micros, SiteId};

/// A request that is to be served at the local site or at another one.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The index of the request's class in [`SiteRouterConfig::classes`](crate::SiteRouterConfig::classes).
    pub class: usize,
    /// The group of members that holds the data.
    pub group: u64,
    /// How much longer the requester waits for an answer, in microseconds.
    pub timeout: Micros,
    /// The sites that the request has passed through, its origin first; empty if a client of the local site
    /// sent it.
    pub visited: Vec<SiteId>,
    /// The session that the request belongs to; `None` if unknown. Sessions are assigned to sites while a
    /// site drains.
    pub session: Option<String>,
    /// How long before its arrival the earliest attempt of the request began that its sender knows may have
    /// run, in microseconds; `None` if the sender knows of none.
    pub earlier_attempt_age: Option<Micros>,
}

impl Request {
    /// Whether another gateway sent the request, rather than a client of the local site.
    pub(crate) fn is_remote(&self) -> bool {
        !self.visited.is_empty()
    }
}

/// The answer of another gateway to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The request was served; the caller has the response.
    Served,
    /// The request was rejected and never ran.
    Rejected {
        /// How long the client should wait before it tries again, in microseconds.
        retry_after: Micros,
    },
    /// The request failed, and may have run.
    Failed,
    /// The request never ran, because the group's primary is not at the other site.
    NotPrimary {
        /// The site where the other gateway believes the primary to be; `None` if unknown.
        hint: Option<SiteId>,
    },
    /// The request never ran and never will: no link took it, it is invalid at the other gateway, or a query
    /// about its outcome fenced its number.
    NeverAccepted,
}

impl PeerAnswer {
    /// Whether the answer proves that the request did not run at the other site.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            PeerAnswer::Rejected { .. } | PeerAnswer::NotPrimary { .. } | PeerAnswer::NeverAccepted
        )
    }
}

/// The result of a request at the local router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResult {
    /// The request was served; the caller has the response.
    Served,
    /// The request was rejected. The local router guarantees that it did not run at the local site; it may
    /// have run at another site, which the local router cannot know.
    Rejected {
        /// How long the client should wait before it tries again, in microseconds.
        retry_after: Micros,
    },
    /// The request failed, and may have run.
    Failed,
}
