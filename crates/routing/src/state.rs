//! What a router holds: plain state, and what is read of it. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_statistics::Histogram;
use rand_pcg::Pcg64Mcg;

use crate::policy::{
    Backoff, Blacklist, HealthCheckBudget, ListSubscription, RestedConnections, RetryDetector, Sessions,
    StallPacing,
};
use crate::{Actions, LearnedState, MemberId, MemberStatus, Micros, ReadShift, Request, RouterConfig};

/// A request that a router has taken, until it knows it no more.
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

/// How long the way to a member or a zone and back takes, by health checks of late.
#[derive(Clone, Copy, Default)]
pub(crate) struct RoundTrip {
    pub(crate) estimate: Micros,
    pub(crate) measured_at: Micros,
}

/// A request that has no final answer yet, or an attempt in flight still.
#[derive(Clone, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) group: usize,
    pub(crate) arrived_at: Micros,
    pub(crate) objective_at: Micros,
    /// Its client has tried before, or is taken to have.
    pub(crate) is_retry: bool,
    pub(crate) attempts: u32,
    /// Of these, those that could not leave this machine.
    pub(crate) local_failures: u32,
    /// Its attempt is on a new connection where these failed.
    pub(crate) tries_connection: bool,
    pub(crate) in_flight: Option<InFlight>,
    /// When its attempt was sent, without the time in which the process stalled.
    pub(crate) waiting_since: Micros,
    pub(crate) may_have_run: Option<FirstRun>,
    /// Members in this round that answered that they are not the primary.
    pub(crate) not_primary_answers: usize,
    /// How long its attempt's connection had rested, as a power of two; none where it is new.
    pub(crate) rest_class: Option<usize>,
    /// Members that answered it with an error.
    pub(crate) errored_members: Vec<MemberId>,
    /// It has waited for a replica's report.
    pub(crate) awaited_report: bool,
    /// Where its newest attempt that ended was.
    pub(crate) last_member: Option<MemberId>,
    /// It has its final answer.
    pub(crate) is_closed: bool,
}

/// What is believed of a member.
#[derive(Clone, Default)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) status: MemberStatus,
    /// When it started; none is long ago.
    pub(crate) started_at: Option<Micros>,
    pub(crate) size: f64,
    /// The newest that it reported, by the members' clock.
    pub(crate) position: Micros,
    /// It reported itself primary, and not since replica.
    pub(crate) confirmed_primary: bool,
    /// The time of its newest report that it is a replica.
    pub(crate) replica_since: Micros,
    /// When such a report was last heard.
    pub(crate) replica_report_received_at: Micros,
    /// The newest time at which it was known not to be the primary.
    pub(crate) not_primary_at: Micros,
    /// The newest position that it reported as primary, or zero.
    pub(crate) primary_position: Micros,
    pub(crate) last_heard_at: Micros,
    /// When it last answered an attempt.
    pub(crate) last_answered_at: Micros,
    /// When the newest attempt that it answered was sent.
    pub(crate) newest_answered_sent: Micros,
    /// It could not be reached; believed until then, or until it is heard.
    pub(crate) unreachable_until: Micros,
    /// Since when its process seems dead; taken for warming up when it is heard again.
    pub(crate) down_since: Option<Micros>,
    pub(crate) blacklist: Blacklist,
    /// Connections known to be idle, since new ones to it failed here.
    pub(crate) known_idle_connections: Option<u32>,
    pub(crate) health_check_in_flight: bool,
    /// When the last health check was sent.
    pub(crate) last_health_check_at: Micros,
    /// By its own health checks.
    pub(crate) round_trip: RoundTrip,
    /// Requests with an attempt in flight there.
    pub(crate) in_flight: Vec<RequestHandle>,
    /// Attempts that may be in flight at once; below one, the part of the time that one may be.
    pub(crate) concurrency_limit: f64,
    /// Attempts saved up at `saved_at`, where the window or a slow-start allowance is below one.
    pub(crate) saved_attempts: f64,
    pub(crate) saved_at: Micros,
    pub(crate) durations: Histogram,
    /// When attempts were sent to it, in the last window of the overload rule.
    pub(crate) sent_recently: VecDeque<Micros>,
    /// Attempts served in one window of the overload rule, as of late.
    pub(crate) served_load: f64,
}

/// What is believed of a group.
#[derive(Clone, Default)]
pub(crate) struct Group {
    /// By name.
    pub(crate) members: Vec<MemberId>,
    /// The same, in the order in which this router prefers them.
    pub(crate) preferred: Vec<MemberId>,
    /// The believed primary.
    pub(crate) primary: Option<MemberId>,
    /// The time of the newest report of the primary.
    pub(crate) primary_reported_at: Micros,
    /// The primary by the list.
    pub(crate) listed_primary: Option<MemberId>,
    /// Until then no write looks for the primary by itself.
    pub(crate) search_after: Micros,
    pub(crate) search: PrimarySearch,
    /// Attempts due to the primary by its size and window, beyond those it had.
    pub(crate) primary_deficit: f64,
    /// Requests that wait for a member.
    pub(crate) queued: Vec<RequestHandle>,
    pub(crate) read_shift: ReadShift,
}

/// The search for the primary of a group.
#[derive(Clone, Default)]
pub(crate) struct PrimarySearch {
    pub(crate) round_started_at: Micros, // what members said of their role before this round does not count
    pub(crate) next_position: usize,     // the position of the member that is asked next
    pub(crate) saved_health_checks: f64, // health checks due
}

/// Decides where requests go. It does no I/O and has no clock: each call brings `now`, in microseconds that
/// never go back, and returns what to do.
#[derive(Clone)]
pub struct Router {
    pub(crate) config: RouterConfig,
    pub(crate) rng: Pcg64Mcg,
    /// Sets this router's choices apart from those of others.
    pub(crate) salt: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) group_ids: HashMap<u64, usize>,
    pub(crate) pending_requests: HashMap<RequestHandle, PendingRequest>,
    pub(crate) next_handle: u64,
    pub(crate) sessions: Sessions,
    /// How far the members' clock, by which positions are reported, is ahead of this one.
    pub(crate) clock_offset: Micros,
    /// How long attempts take, by request class.
    pub(crate) durations: Vec<Histogram>,
    pub(crate) zone_round_trips: BTreeMap<usize, RoundTrip>,
    /// How long attempts of all request classes together take.
    pub(crate) all_durations: Histogram,
    /// By request class.
    pub(crate) retry_detectors: Vec<RetryDetector>,
    /// Attempts that a warm member of size one serves in one window of the overload rule.
    pub(crate) warm_load: f64,
    pub(crate) mean_size: f64,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) rested_connections: RestedConnections,
    /// A member lately had no connection to spare.
    pub(crate) connections_scarce_until: Micros,
    /// Of new connections that fail here.
    pub(crate) backoff: Backoff,
    pub(crate) next_tick: Micros,
    /// When all members are looked at again.
    pub(crate) next_sweep: Micros,
    pub(crate) stall_pacing: StallPacing,
    pub(crate) list_subscription: ListSubscription,
    pub(crate) actions: Actions,
}

impl Router {
    /// A copy that goes on under other terms, to see how it would decide.
    pub fn with_config(&self, config: &RouterConfig) -> Router {
        Router { config: config.clone(), ..self.clone() }
    }

    /// Whether the request has an attempt in flight or no final answer yet.
    pub fn is_pending(&self, handle: RequestHandle) -> bool {
        self.pending_requests.contains_key(&handle)
    }

    /// What may be kept over a restart.
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

    /// Now by the members' clock: no position that is reported later than this is older.
    pub(crate) fn members_now(&self, now: Micros) -> Micros {
        now + self.clock_offset
    }

    pub(crate) fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_tick);
        std::mem::take(&mut self.actions)
    }

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
