//! Rules by which the router decides.
//!
//! A caller starts a [`Router`] with its configuration and a seed, passes it endpoint lists and the results
//! of health checks, and wakes it at the time it last asked for. [`Router::accept_request`] returns a
//! [`RequestHandle`]; later events of the request are calls on that handle. Each call brings `now` and
//! returns [`Actions`]. The types of the interface are in `lib.rs`. A request passes through `admission`,
//! `dispatch`, `read_routing` or `write_routing`, and `retry`.

use std::collections::{BTreeMap, HashMap};

use aldermill_statistics::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::state::{HandleMap, RequestHandle, Router};
use crate::{Actions, LearnedState, MemberStatus, Micros, Outcome, RouterConfig};

mod admission;
mod availability;
mod blacklist;
mod concurrency_limit;
mod deduplication;
mod dispatch;
mod drain_record;
mod endpoint_list;
mod freshness;
mod health_check_budget;
mod health_checks;
mod idle_connections;
mod idle_drop_detection;
mod list_subscription;
mod local_failures;
mod primary_search;
mod queue_scan;
mod read_routing;
mod replica_subset;
mod retry;
mod retry_detection;
mod sessions;
mod slow_start;
mod stall_pacing;
mod stalls;
mod write_routing;

use concurrency_limit::{GUARANTEED_FLEET_LIMIT, INITIAL_FLEET_LIMIT};
use replica_subset::scramble_seed;

pub(crate) use blacklist::Blacklist;
pub(crate) use drain_record::DrainRecord;
pub(crate) use health_check_budget::HealthCheckBudget;
pub(crate) use idle_drop_detection::IdleDropDetector;
pub(crate) use list_subscription::ListSubscription;
pub(crate) use local_failures::ConnectionBackoff;
pub(crate) use retry_detection::RetryDetector;
pub(crate) use sessions::Sessions;
pub(crate) use stall_pacing::StallPacing;

/// One millisecond, in microseconds.
const MS: Micros = 1_000;
/// Interval of the work that no event triggers, in microseconds.
const TICK: Micros = 20 * MS;
/// Time for which the process may be held up between a decision and the write that follows from it, in
/// microseconds.
const SEND_DELAY_MARGIN: Micros = 150 * MS;
/// Time for which a write waits after a round of members that are not the primary, in microseconds; the
/// design specifies it.
const WRITE_HOLD: Micros = 500 * MS;
/// Number of attempts that a histogram of durations remembers; its uses take a multiple or a fraction of it.
const HISTOGRAM_MEMORY: u32 = 32;

impl RequestHandle {
    /// Handles the end of the request's attempt.
    pub fn attempt_ended(self, router: &mut Router, now: Micros, outcome: Outcome) -> Actions {
        router.attempt_ended(now, self, outcome);
        router.take_actions()
    }

    /// Suspends the request: no attempt begins until it is resumed. An attempt in flight continues, and the
    /// request still ends by its deadline.
    ///
    /// This protects members from attempts that nobody may wait for any more, while the requester cannot be
    /// reached. The cost: the request loses that time.
    pub fn suspend(self, router: &mut Router) {
        if let Some(pending) = router.pending_requests.get_mut(&self) {
            pending.is_suspended = true;
        }
    }

    /// Resumes a suspended request, whose requester still waits for it.
    pub fn resume(self, router: &mut Router, now: Micros) -> Actions {
        let pending = router.pending_requests.get_mut(&self);
        if let Some(pending) = pending.filter(|pending| pending.is_suspended) {
            pending.is_suspended = false;
            let group = pending.group;
            router.route_queued(now, group);
        }
        router.take_actions()
    }

    /// Handles the departure of the client, which needs no answer any more.
    pub fn client_left(self, router: &mut Router, now: Micros) -> Actions {
        router.clients_left(now, &[self])
    }
}

impl Router {
    /// Creates a router with its configuration and a seed for its random choices, before its first endpoint
    /// list.
    pub fn start(config: RouterConfig, seed: u64, now: Micros) -> Router {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let list_subscription = ListSubscription::new(now, config.routers, &mut rng);
        Router {
            salt: scramble_seed(seed),
            rng,
            members: Vec::new(),
            groups: Vec::new(),
            group_ids: HashMap::new(),
            pending_requests: HandleMap::default(),
            next_handle: 0,
            sessions: Sessions::default(),
            clock_offset: 0,
            // Until attempts are measured, most are assumed to take half of the latency objective.
            durations: config
                .classes
                .iter()
                .map(|class| Histogram::from_estimate(class.objective / 2, 4))
                .collect(),
            zone_round_trips: BTreeMap::new(),
            all_durations: Histogram::from_estimate(
                config.classes.iter().map(|class| class.objective / 2).min().unwrap_or(0),
                4,
            ),
            retry_detectors: vec![RetryDetector::default(); config.classes.len()],
            warm_load: 0.0,
            mean_size: 1.0,
            health_check_budget: HealthCheckBudget::new(),
            idle_drop_detector: IdleDropDetector::default(),
            connections_scarce_until: now,
            backoff: ConnectionBackoff::inactive(now),
            next_tick: now,
            next_sweep: now,
            stall_pacing: StallPacing::new(now, replica_subset::initial_attempts_per_tick()),
            list_subscription,
            actions: Actions::default(),
            config,
        }
    }

    /// Restores what an earlier start learned. Primaries count as guesses, like those in the endpoint list,
    /// and concurrency limits are only lowered.
    ///
    /// This protects members from the searches and bursts of routers that restart. The cost: a write is sent
    /// to a replica if the primary has moved.
    pub fn restore_learned_state(&mut self, learned: &LearnedState) {
        for &(id, reported_at) in &learned.primaries {
            let group = &mut self.groups[self.members[id].group];
            if self.members[id].status == MemberStatus::Ready && group.primary.is_none() {
                group.primary = Some(id);
                group.primary_reported_at = reported_at;
            }
        }
        for (histogram, &(median, _)) in
            self.durations.iter_mut().zip(&learned.durations).filter(|(_, quantiles)| quantiles.0 > 0)
        {
            *histogram = Histogram::from_estimate(median, 8);
        }
        for &(id, log2_limit) in &learned.concurrency_limits {
            let member = &mut self.members[id];
            member.concurrency_limit = member
                .concurrency_limit
                .min(2f64.powi(log2_limit).max(GUARANTEED_FLEET_LIMIT / self.config.routers as f64));
        }
    }

    /// Records that nobody waits for the answers to these requests any more. Attempts in flight continue.
    pub fn clients_left(&mut self, now: Micros, handles: &[RequestHandle]) -> Actions {
        handles.iter().for_each(|&handle| self.close(handle));
        self.route_all_queued(now);
        self.take_actions()
    }

    /// Does the work that is due at `now`. The caller calls it at [`Actions::wake_at`].
    pub fn wake(&mut self, now: Micros) -> Actions {
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
        self.take_actions()
    }

    /// Returns whether the fleet is large: there are so many routers that the share of this one at a member
    /// is below one attempt at a time.
    fn in_large_fleet(&self) -> bool {
        self.config.routers as f64 > 1.5 * INITIAL_FLEET_LIMIT
    }

    /// Does the work that is due every [`TICK`].
    fn tick(&mut self, now: Micros) {
        self.idle_drop_detector.decay();
        self.stall_pacing.tick(now);
        if now >= self.next_sweep {
            self.sweep_members(now);
        }
        for group in 0..self.groups.len() {
            if !self.groups[group].queued.is_empty() {
                self.advance_primary_search(now, group);
                self.health_check_for_queued(now, group);
            }
        }
        if !self.in_large_fleet() && !self.uses_subset() {
            (0..self.members.len()).for_each(|id| self.background_health_check(now, id));
        }
        let clock = self.clock_reading(now);
        self.sessions.forget_old(clock);
        if self.config.list_requires_subscription && self.list_subscription.is_due(now) {
            self.actions.subscribe = true;
        }
        self.route_all_queued(now);
    }
}
