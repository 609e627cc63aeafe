//! State of a router, and access to it. Decisions are made in `policy`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use aldermill_statistics::Histogram;
use rand_pcg::Pcg64Mcg;

use crate::policy::{
    Blacklist, ConnectionBackoff, DrainRecord, HealthCheckBudget, IdleDropDetector, ListSubscription,
    RetryDetector, Sessions, StallPacing,
};
use crate::{Actions, LearnedState, MemberId, MemberStatus, Micros, ReadShift, Request, RouterConfig};

/// Hasher of request handles, which count up and are not chosen by peers: the bits of the handle, spread by one
/// multiplication.
#[derive(Clone, Default)]
pub(crate) struct HandleHasher(u64);

impl Hasher for HandleHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|&byte| self.write_u64(u64::from(byte)));
    }

    fn write_u64(&mut self, value: u64) {
        /// An odd number with bits in no regular pattern: 2^64 divided by the golden ratio.
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = (self.0 ^ value).wrapping_mul(SPREAD);
    }
}

/// Map from request handles.
pub(crate) type HandleMap<T> = HashMap<RequestHandle, T, BuildHasherDefault<HandleHasher>>;

/// Handle of a request that a router has accepted. It is valid until the router forgets the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(pub(crate) u64);

/// The attempt of a request that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) member: MemberId,
    pub(crate) sent_at: Micros,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    pub(crate) sent_at: Micros,
    pub(crate) zone: usize,
}

/// Round-trip time to a member or a zone, measured by recent health checks.
#[derive(Clone, Copy, Default)]
pub(crate) struct RoundTrip {
    pub(crate) estimate: Micros,
    pub(crate) measured_at: Micros,
}

/// A request that has no final answer yet, or still has an attempt in flight.
#[derive(Clone, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) group: usize,
    pub(crate) arrived_at: Micros,
    pub(crate) objective_at: Micros,
    /// Whether the request is a retry by its client, or is taken for one.
    pub(crate) is_retry: bool,
    pub(crate) attempts: u32,
    /// Attempts, included in `attempts`, that could not be sent from this machine.
    pub(crate) local_failures: u32,
    /// Whether the attempt tries a new connection after new connections failed on this machine.
    pub(crate) tries_connection: bool,
    pub(crate) in_flight: Option<InFlight>,
    /// Time at which the attempt was sent, moved later by the length of every stall of the process since.
    pub(crate) waiting_since: Micros,
    /// The first attempt of this router that may have run; `None` if there is none.
    pub(crate) may_have_run: Option<FirstRun>,
    /// Number of members that have answered in this round that they are not the primary.
    pub(crate) not_primary_answers: usize,
    /// Idle class of the attempt's connection; `None` if the connection is new or its idle time is not known
    /// or not classified.
    pub(crate) idle_class: Option<usize>,
    /// Members that answered the request with an error, one entry for each answer.
    pub(crate) errored_members: Vec<MemberId>,
    /// Whether the request has waited for a replica's report.
    pub(crate) awaited_report: bool,
    /// Member of the newest attempt that has ended.
    pub(crate) last_member: Option<MemberId>,
    /// Whether no attempt may begin for now, as it is not known whether anybody still waits for the answer.
    pub(crate) is_suspended: bool,
    /// Whether the request is over: it has its final answer, or its client needs none.
    pub(crate) is_closed: bool,
}

/// Knowledge and beliefs about a member.
#[derive(Clone, Default)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) group: usize,
    pub(crate) zone: usize,
    /// Whether the member takes requests, according to all endpoint lists since its last start.
    pub(crate) status: MemberStatus,
    /// Whether the newest endpoint list still names the member.
    pub(crate) is_listed: bool,
    pub(crate) drain_record: DrainRecord,
    /// Time at which the member started; `None` if that was long ago.
    pub(crate) started_at: Option<Micros>,
    /// Size of the member, relative to the mean size in the first endpoint list.
    pub(crate) size: f64,
    /// Newest position that the member reported, on the members' clock; `Micros::MIN` before the first
    /// report.
    pub(crate) position: Micros,
    /// Whether the member reported itself primary, and has not reported itself replica since.
    pub(crate) confirmed_primary: bool,
    /// Time of the newest report that the member is a replica.
    pub(crate) replica_since: Micros,
    /// Time at which a report that the member is a replica was last received.
    pub(crate) replica_report_received_at: Micros,
    /// Latest time at which the member was known not to be the primary; `Micros::MIN` if there is none.
    pub(crate) not_primary_at: Micros,
    /// Newest position that the member reported as primary, or zero.
    pub(crate) primary_position: Micros,
    /// Time at which the member was last heard from, which proves that its process was alive, or at which it
    /// was added.
    pub(crate) last_heard_at: Micros,
    /// Time at which the member last answered an attempt.
    pub(crate) last_answered_at: Micros,
    /// Time at which the newest attempt that the member answered was sent.
    pub(crate) newest_answered_sent_at: Micros,
    /// Time until which the member counts as unreachable, unless it is heard from earlier.
    pub(crate) unreachable_until: Micros,
    /// Time since which the member's process seems dead; `None` if it does not. If that is long ago, the
    /// member is taken to be warming up once it is heard from again.
    pub(crate) down_since: Option<Micros>,
    pub(crate) blacklist: Blacklist,
    /// Number of connections to the member known to be idle, counted since new ones to it failed on this
    /// machine; else `None`.
    pub(crate) known_idle_connections: Option<u32>,
    pub(crate) health_check_in_flight: bool,
    /// Time at which the last health check was sent.
    pub(crate) last_health_check_at: Micros,
    /// Round-trip time measured by the member's own health checks.
    pub(crate) round_trip: RoundTrip,
    /// Requests with an attempt in flight at the member.
    pub(crate) in_flight: Vec<RequestHandle>,
    /// Number of attempts that may be in flight at once. Below one, it is the fraction of the time in which
    /// one may be.
    pub(crate) concurrency_limit: f64,
    /// Attempts saved up at `saved_at`, where the concurrency limit or a slow-start allowance is below one.
    pub(crate) saved_attempts: f64,
    pub(crate) saved_at: Micros,
    pub(crate) durations: Histogram,
    /// Times at which attempts were sent to the member, within the last window of the overload rule.
    pub(crate) sent_recently: VecDeque<Micros>,
    /// Recent number of attempts served in one window of the overload rule.
    pub(crate) served_load: f64,
}

/// Knowledge and beliefs about a group.
#[derive(Clone, Default)]
pub(crate) struct Group {
    /// Members of the group, in the order of their names.
    pub(crate) members: Vec<MemberId>,
    /// Members of the group, in this router's order of preference.
    pub(crate) by_preference: Vec<MemberId>,
    /// Believed primary of the group.
    pub(crate) primary: Option<MemberId>,
    /// Time of the newest report of the primary.
    pub(crate) primary_reported_at: Micros,
    /// Primary according to the endpoint list.
    pub(crate) listed_primary: Option<MemberId>,
    /// Time before which no write starts to search for the primary by itself.
    pub(crate) search_after: Micros,
    pub(crate) search: PrimarySearch,
    /// Attempts owed to the primary by its size and concurrency limit, beyond those that it got.
    pub(crate) primary_deficit: f64,
    /// Requests that wait for a member.
    pub(crate) queued: Vec<RequestHandle>,
    pub(crate) read_shift: ReadShift,
}

/// Progress of the search for a group's primary.
#[derive(Clone, Default)]
pub(crate) struct PrimarySearch {
    /// Time at which the current round started. Roles reported before then are ignored.
    pub(crate) round_started_at: Micros,
    /// Index in the search order of the member that is asked next.
    pub(crate) next_index: usize,
    /// Health checks that are due and not sent yet.
    pub(crate) saved_health_checks: f64,
}

/// Decides where requests go.
///
/// A router does no I/O and reads no clock: each call brings `now`, in microseconds that never go back, and
/// returns what to do.
#[derive(Clone)]
pub struct Router {
    pub(crate) config: RouterConfig,
    pub(crate) rng: Pcg64Mcg,
    /// Value that sets this router's preferences apart from those of other routers.
    pub(crate) salt: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) group_ids: HashMap<u64, usize>,
    pub(crate) pending_requests: HandleMap<PendingRequest>,
    pub(crate) next_handle: u64,
    pub(crate) sessions: Sessions,
    /// Lead of the members' clock, on which positions are reported, over the caller's, in microseconds.
    pub(crate) clock_offset: Micros,
    /// Durations of attempts, by request class.
    pub(crate) durations: Vec<Histogram>,
    pub(crate) zone_round_trips: BTreeMap<usize, RoundTrip>,
    /// Durations of the attempts of all request classes together.
    pub(crate) all_durations: Histogram,
    /// Detectors of client retries, by request class.
    pub(crate) retry_detectors: Vec<RetryDetector>,
    /// Attempts that a warm member of size one serves in one window of the overload rule.
    pub(crate) warm_load: f64,
    /// Mean of the sizes that the first endpoint list states.
    pub(crate) mean_size: f64,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) idle_drop_detector: IdleDropDetector,
    /// Time until which connections to members count as scarce, because one was refused by a member that
    /// seems to have none to spare.
    pub(crate) connections_scarce_until: Micros,
    /// Backoff of new connections that fail on this machine.
    pub(crate) backoff: ConnectionBackoff,
    pub(crate) next_tick: Micros,
    /// Time of the next sweep over all members.
    pub(crate) next_sweep: Micros,
    pub(crate) stall_pacing: StallPacing,
    pub(crate) list_subscription: ListSubscription,
    pub(crate) actions: Actions,
}

impl Router {
    /// Copies the router with another configuration, to see how it would decide.
    pub fn with_config(&self, config: &RouterConfig) -> Router {
        Router { config: config.clone(), ..self.clone() }
    }

    /// Returns whether the request has an attempt in flight or no final answer yet.
    pub fn is_pending(&self, handle: RequestHandle) -> bool {
        self.pending_requests.contains_key(&handle)
    }

    /// Returns the state that may be kept across a restart.
    pub fn learned_state(&self) -> LearnedState {
        let primary = |group: &Group| group.primary.map(|id| (id, group.primary_reported_at));
        let quantiles = |histogram: &Histogram| {
            (histogram.quantile(0.5).unwrap_or(0), histogram.quantile(0.9).unwrap_or(0))
        };
        let log2_limit = |id: MemberId| (id, self.members[id].concurrency_limit.log2().floor() as i32);
        LearnedState {
            primaries: self.groups.iter().filter_map(primary).collect(),
            durations: self.durations.iter().map(quantiles).collect(),
            concurrency_limits: (0..self.members.len()).map(log2_limit).collect(),
        }
    }

    /// Returns the time on the members' clock at `now`. A reported position that is later covers every commit
    /// up to `now`.
    pub(crate) fn members_now(&self, now: Micros) -> Micros {
        now + self.clock_offset
    }

    /// Returns the actions decided since the last call, and the time of the next wake-up.
    pub(crate) fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_tick);
        std::mem::take(&mut self.actions)
    }

    /// Returns the index of the group that the number names, and adds the group if it is not known.
    pub(crate) fn group_index(&mut self, name: u64) -> usize {
        *self.group_ids.entry(name).or_insert_with(|| {
            self.groups.push(Group {
                primary_reported_at: Micros::MIN / 2,
                search_after: Micros::MIN,
                ..Group::default()
            });
            self.groups.len() - 1
        })
    }
}
