//! A request, and how it ended at the local router or at another gateway.

use crate::{Micros, SiteId};

/// A request to be served at this site or at another.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Index of its class in [`SiteRouterConfig::classes`](crate::SiteRouterConfig::classes).
    pub class: usize,
    /// The group of members whose data it is about.
    pub group: u64,
    /// How long its requester still waits, in microseconds.
    pub timeout: Micros,
    /// The sites that it has come through, its origin first; empty where a client of this site sent it.
    pub visited: Vec<SiteId>,
    /// The session that it is part of, if known. Sessions are assigned to sites while one of them drains.
    pub session: Option<String>,
}

impl Request {
    /// Whether another gateway sent it, rather than a client of this site.
    pub(crate) fn is_remote(&self) -> bool {
        !self.visited.is_empty()
    }
}

/// How another gateway answered a request that was forwarded to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// It was served; the caller has the response.
    Served,
    /// It was rejected and never ran.
    Rejected {
        /// After how long the client may try again, in microseconds.
        retry_after: Micros,
    },
    /// It failed, and may have run.
    Failed,
    /// It never ran: the group's primary is not at that site.
    NotPrimary {
        /// Where that gateway believes the primary to be.
        hint: Option<SiteId>,
    },
    /// It never ran and never will: it is invalid there, or its number was fenced by a query about its outcome.
    NeverAccepted,
}

impl PeerAnswer {
    /// Whether it is certain that the request did not run there.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            PeerAnswer::Rejected { .. } | PeerAnswer::NotPrimary { .. } | PeerAnswer::NeverAccepted
        )
    }
}

/// How the local router ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResult {
    /// It was served; the caller has the response.
    Served,
    /// It was rejected. The local router vouches that it did not run at this site, and knows nothing of other sites.
    Rejected {
        /// After how long the client may try again, in microseconds.
        retry_after: Micros,
    },
    /// It failed, and may have run.
    Failed,
}
