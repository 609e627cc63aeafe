//! Which site a request goes to, and the books on the fate of what crossed.
//!
//! [`SiteRouter`] decides for one gateway: whether a request is handed to the module of its own site or crosses to
//! another gateway, when it waits, when it is asked again, when it is given up. `take` gives a [`RequestHandle`] for
//! a request; what happens to the request later is a call on that handle. [`OutcomeTable`] is the receiver's book on
//! what came to it. Every call brings `now` and returns a [`Actions`]; nothing here does I/O or has a clock.
//!
//! It carries the design of the router one level up: a believed home site for each group, corrected by answers; a
//! walk over sites for writes; a hold after a round of 'not here'; blacklists on a gateway that expire.

mod forwarded_requests;
mod home_sites;
mod link_credit;
mod outcome_table;
pub mod previous_incarnations;
mod router;
mod session_assignment;

pub use forwarded_requests::{Conclusion, ForwardState, ForwardedRequests};
pub use link_credit::LinkCredit;
pub use outcome_table::{NotAccepted, Origin, Outcome, OutcomeTable};
pub use previous_incarnations::{PreviousIncarnations, RecordingPromise};
pub use router::{PeerGatewayView, RequestHandle, SiteRouter};
pub use session_assignment::OpenWork;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A site, as a small index; the own one is 0.
pub type SiteId = usize;

/// The site of the gateway itself.
pub const LOCAL_SITE: SiteId = 0;

/// One instance of a gateway at another site, as a small index that the caller gives out.
pub type PeerGatewayId = usize;

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Its repeats are dropped for so long: by any member of its group, or only within the site that had it first.
    Deduplicated {
        window: Micros,
        within_site: bool,
    },
    NonIdempotent,
}

/// Where a request can be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Where the group's primary is.
    Primary,
    /// Wherever the group has members, from data of at most this age.
    Recent(Micros),
    /// Wherever the group has members.
    Any,
}

#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub effect: Effect,
    pub need: Need,
    pub objective: Micros,
    pub priority_weight: f64,
    /// The part of the priority weight that an answer after the latency objective still earns.
    pub late_priority_weight: f64,
}

/// What a gateway is told once.
#[derive(Clone, Debug)]
pub struct SiteRouterConfig {
    pub classes: Vec<RequestClass>,
    /// How many sites there are, the own one among them.
    pub sites: usize,
    /// How many links a request may cross.
    pub max_hops: usize,
    /// Requests of one request class that another gateway may have under way here at most.
    pub max_credit: u32,
    /// How long a rejected client is told to stay away at most.
    pub max_retry_after: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: usize,
    pub group: u64,
    /// How long it may take from now on.
    pub timeout: Micros,
    /// SiteRouter that it came by, its origin first; empty for a client's own.
    pub visited: Vec<SiteId>,
    /// Which session it is of, where that is known; it belongs to one site while another retires.
    pub session: Option<String>,
}

/// How another gateway answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    Served,
    Rejected {
        retry_after: Micros,
    },
    Failed,
    /// The group's primary is not there, but perhaps at this site.
    NotPrimary {
        hint: Option<SiteId>,
    },
    /// It is no request there, or its key was fenced.
    NeverAccepted,
}

impl PeerAnswer {
    /// It is certain that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            PeerAnswer::Rejected { .. } | PeerAnswer::NotPrimary { .. } | PeerAnswer::NeverAccepted
        )
    }
}

/// How the own site's module ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResult {
    Served,
    Rejected { retry_after: Micros },
    Failed,
}

/// What is to be done for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand it to the own site's module, with so much time.
    ServeLocally {
        timeout: Micros,
    },
    /// Take it back from there: it never ran.
    Withdraw,
    /// Send it over a link to that gateway, with so much time left when it arrives.
    Forward {
        gateway: PeerGatewayId,
        number: u64,
        timeout: Micros,
    },
    /// Ask that gateway what became of it.
    QueryOutcome {
        gateway: PeerGatewayId,
        number: u64,
    },
    /// Tell that gateway that nobody waits for it.
    Cancel {
        gateway: PeerGatewayId,
        number: u64,
    },
    /// Give the client what the other gateway sent.
    RelayResponse,
    Reject {
        retry_after: Micros,
    },
    Fail,
    /// Tell the gateway that sent it that the primary is not here.
    ReportNotPrimary {
        hint: Option<SiteId>,
    },
}

/// What the caller is to do now, in this order, and when to wake the books again.
#[derive(Debug, Default)]
pub struct Actions {
    pub requests: Vec<(RequestHandle, Action)>,
    /// Nothing up to this number will be asked of that gateway again.
    pub confirmations: Vec<(PeerGatewayId, u64)>,
    /// What is offered to other gateways has changed.
    pub announce_capacity: bool,
    pub wake_at: Option<Micros>,
}
