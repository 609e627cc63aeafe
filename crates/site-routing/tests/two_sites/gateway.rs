//! One side: a gateway with its router and its outcome table, and the frames that it sends.

use std::collections::{BTreeMap, HashMap};

use aldermill_site_routing::{
    Effect, Micros, Need, Origin, Outcome, OutcomeTable, PeerAnswer, RequestClass, RequestHandle, SiteRouter,
    SiteRouterConfig,
};

pub const MS: Micros = 1_000;
pub const TIMEOUT: Micros = 2_000 * MS;
pub const GROUP: u64 = 2;
/// The other gateway, at either end.
pub const PEER_GATEWAY: usize = 0;
pub const REMOTE_SITE: usize = 1;

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
    }
}

#[derive(Clone, Debug)]
pub enum Frame {
    Request { number: u64, class: usize, remaining: Micros, incarnation: u64 },
    Answer { number: u64, answer: PeerAnswer },
    OutcomeQuery { number: u64, incarnation: u64 },
    OutcomeReply { number: u64, outcome: Outcome<()> },
    Cancel(u64),
    Confirm(u64),
}

/// A request as its client sees it.
#[derive(Debug)]
pub struct ClientRequest {
    pub class: usize,
    pub deadline: Micros,
    pub answer: Option<&'static str>,
    pub abandoned: bool,
    pub runs: u32,
}

pub struct SimulatedGateway {
    pub router: SiteRouter,
    pub outcomes: OutcomeTable<()>,
    pub incarnation: u64,
    /// Which client's request each handle is, or which number of the other side's.
    pub client_requests: HashMap<RequestHandle, usize>,
    pub remote_requests: HashMap<RequestHandle, (u64, usize)>,
    /// With the module here: when it is done, and by when it must be.
    pub at_local_router: BTreeMap<RequestHandle, (Micros, Micros)>,
    pub sent_numbers: Vec<u64>,
    /// The incarnation of the other side that a number was sent to.
    pub receiver_incarnations: HashMap<u64, u64>,
}

pub fn origin(gateway: usize, incarnation: u64) -> Origin {
    Origin { site: ["a", "b"][gateway].into(), instance: "n0".into(), incarnation }
}

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
