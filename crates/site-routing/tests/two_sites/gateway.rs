//! A simulated gateway with its site router and its outcome table, and the frames that gateways exchange.

use std::collections::{BTreeMap, HashMap};

use aldermill_site_routing::{
    Effect, Micros, Need, Origin, Outcome, OutcomeTable, PeerAnswer, RequestClass, RequestHandle, SiteRouter,
    SiteRouterConfig,
};

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;
/// The timeout of client requests, in microseconds.
pub const TIMEOUT: Micros = 2_000 * MS;
/// The group that all requests are for.
pub const GROUP: u64 = 2;
/// The index that each gateway uses for the other one.
pub const PEER_GATEWAY: usize = 0;
/// The index that each gateway uses for the other one's site.
pub const REMOTE_SITE: usize = 1;

/// Returns the configuration of both site routers, with four classes: 0 for reads, 1 for non-idempotent and 2
/// for idempotent requests to the primary, and 3 for reads of data no older than 10 ms.
pub fn config() -> SiteRouterConfig {
    let class = |effect, need, priority_weight| RequestClass {
        effect,
        need,
        objective: 700 * MS,
        priority_weight,
        late_priority_weight: 0.5,
    };
    SiteRouterConfig {
        classes: vec![
            class(Effect::Idempotent, Need::Any, 1.0),
            class(Effect::NonIdempotent, Need::Primary, 6.0),
            class(Effect::Idempotent, Need::Primary, 2.0),
            class(Effect::Idempotent, Need::Recent(10 * MS), 1.0),
        ],
        sites: 2,
        max_hops: 1,
        max_credit: 64,
        max_retry_after: 1_000 * MS,
        duplicate_attempts_allowed: false,
    }
}

/// A frame that one gateway sends to the other. `number` is the number that a request was forwarded under,
/// and `incarnation` the incarnation of the gateway that it was forwarded to.
#[derive(Clone, Debug)]
pub enum Frame {
    /// Forwards a request. `remaining` is the time until its deadline, in microseconds.
    Request { number: u64, class: usize, remaining: Micros, incarnation: u64 },
    /// Answers a request.
    Answer { number: u64, answer: PeerAnswer },
    /// Asks for the outcome of a request.
    OutcomeQuery { number: u64, incarnation: u64 },
    /// Replies to a query about an outcome.
    OutcomeReply { number: u64, outcome: Outcome<()> },
    /// Tells the receiver that the answer to a request is no longer needed.
    Cancel(u64),
    /// Confirms that the sender will not ask about any request up to this number.
    Confirm(u64),
}

/// A request of a client, with what really happened to it.
#[derive(Debug)]
pub struct ClientRequest {
    /// The index of the request's class in [`config`].
    pub class: usize,
    /// When the client stops waiting, in microseconds of the simulation's time.
    pub deadline: Micros,
    /// The answer to the client: "served", "rejected" or "failed"; `None` if there is none yet.
    pub answer: Option<&'static str>,
    /// Whether the client left without an answer.
    pub abandoned: bool,
    /// How often the request ran, at either site.
    pub runs: u32,
}

/// The state of one gateway's process.
pub struct SimulatedGateway {
    /// The gateway's site router.
    pub router: SiteRouter,
    /// The outcomes of requests that the other gateway forwarded here.
    pub outcomes: OutcomeTable<()>,
    /// The gateway's incarnation, from 1.
    pub incarnation: u64,
    /// Open requests of clients here: their index in the simulation's list of requests.
    pub client_requests: HashMap<RequestHandle, usize>,
    /// Open requests that the other gateway forwarded: its number of the request, and the class.
    pub remote_requests: HashMap<RequestHandle, (u64, usize)>,
    /// Requests at the local router: when the current attempt ends, and the request's deadline.
    pub at_local_router: BTreeMap<RequestHandle, (Micros, Micros)>,
    /// The numbers of all requests that were forwarded since the last loss of the link.
    pub sent_numbers: Vec<u64>,
    /// The incarnation of the other gateway that each number was sent to.
    pub receiver_incarnations: HashMap<u64, u64>,
}

/// Returns the sender identity of a gateway: `gateway` is 0 at site a and 1 at site b.
pub fn origin(gateway: usize, incarnation: u64) -> Origin {
    Origin { site: ["a", "b"][gateway].into(), instance: "n0".into(), incarnation }
}

/// Creates a gateway without a link, at a site with two members of the group.
pub fn new_gateway(seed: u64, now: Micros, incarnation: u64) -> SimulatedGateway {
    let mut router = SiteRouter::new(config(), seed, now);
    router.groups_listed(now, &[(GROUP, 2)]);
    SimulatedGateway {
        router,
        outcomes: OutcomeTable::new(1000, 1_000 * MS),
        incarnation,
        client_requests: HashMap::new(),
        remote_requests: HashMap::new(),
        at_local_router: BTreeMap::new(),
        sent_numbers: Vec::new(),
        receiver_incarnations: HashMap::new(),
    }
}
