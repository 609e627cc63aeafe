//! Slow start across processes: what the processes of a fleet together send to a member in slow start stays
//! within the allowance of the settings in every overload window, with some slack for random variation.

use std::collections::VecDeque;

use aldermill_routing::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One millisecond, in microseconds.
const MS: Micros = 1_000;
/// Time between two steps of the simulation, in microseconds.
const TIME_STEP: Micros = 5 * MS;
/// Time that a member takes to serve an attempt, in microseconds.
const ATTEMPT_DURATION: Micros = 50 * MS;
/// Number of members, all in one group.
const MEMBERS: usize = 4;
/// Number of attempts that a warm member can carry in one overload window.
const WARM_CAPACITY: f64 = 80.0;
/// Member that is restarted during a run.
const RESTARTED_MEMBER: MemberId = 0;

/// Returns the configuration of the routers of a fleet of `processes`.
fn router_config(processes: usize) -> RouterConfig {
    let class = RequestClass {
        effect: Effect::Idempotent,
        need: Need::Any,
        objective: 500 * MS,
        timeout: 1_000 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
    };
    RouterConfig {
        classes: vec![class],
        routers: processes,
        routers_sharing_warm_up: processes,
        client_retries_marked: true,
        zone: 0,
        zones: 1,
        max_attempts: 4,
        health_checks_allowed: true,
        max_retry_after: 500 * MS,
        listed_roles: ListedRoles::Absent,
        members_check_freshness: false,
        track_sessions: false,
        list_requires_subscription: false,
        unlisted_members_usable: false,
        slow_start_capacity: 0.2,
        slow_start_duration: 10_000 * MS,
        overload_factor: 2.5,
        overload_window: 1_500 * MS,
        cross_zone_cost: 0.0,
    }
}

/// Returns an endpoint list entry of a ready member. `start_time` is `None` if the member started long ago.
fn list_entry(member: MemberId, start_time: Option<Micros>) -> ListedMember {
    ListedMember {
        member,
        name: format!("m{member}"),
        group: 0,
        zone: 0,
        status: MemberStatus::Ready,
        started_at: start_time,
        listed_start: start_time.unwrap_or(0),
        size: 1.0,
        is_primary: false,
    }
}

/// A process of the fleet, with its router and its attempts in flight.
struct Process {
    router: Router,
    /// Share of the fleet's traffic that the process gets, from 0 to 1.
    traffic_share: f64,
    /// Attempts in flight, oldest first, each with the time at which it ends.
    in_flight: VecDeque<(Micros, RequestHandle)>,
    /// Time at which the process receives the list update about the restart; `Micros::MAX` if none is
    /// pending.
    list_update_at: Micros,
    /// Time at which the router asked to be woken next.
    wake_at: Micros,
}

/// A fleet of processes that share the members, in virtual time.
struct Fleet {
    /// Present time, in microseconds.
    now: Micros,
    config: RouterConfig,
    processes: Vec<Process>,
    rng: Pcg64Mcg,
    /// Times at which [`RESTARTED_MEMBER`] was sent an attempt or a health check. Its restart clears them.
    sent_times: VecDeque<Micros>,
    /// Time of the restart; `None` before it.
    restarted_at: Option<Micros>,
}

impl Fleet {
    /// Creates a fleet of `processes` routers that have received the endpoint list.
    fn new(processes: usize, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (now, config) = (1_000_000 * MS, router_config(processes));
        // Some processes get several times the mean traffic.
        let shares: Vec<f64> = (0..processes).map(|_| rng.random_range(0.3..1.0f64).powi(3)).collect();
        let total: f64 = shares.iter().sum();
        let start_process = |(index, share): (usize, &f64)| {
            let mut router = Router::start(config.clone(), seed * 1_000 + index as u64, now);
            let _ =
                router.update_endpoint_list(now, true, (0..MEMBERS).map(|id| list_entry(id, None)).collect());
            Process {
                router,
                traffic_share: share / total,
                in_flight: VecDeque::new(),
                list_update_at: Micros::MAX,
                wake_at: now,
            }
        };
        let processes = shares.iter().enumerate().map(start_process).collect();
        Fleet { now, config, processes, rng, sent_times: VecDeque::new(), restarted_at: None }
    }

    /// Runs the fleet for `duration` microseconds. `load` is the traffic as a fraction of the capacity
    /// that all members have together when they are warm.
    fn run(&mut self, duration: Micros, load: f64) {
        let until = self.now + duration;
        let requests_per_step =
            load * WARM_CAPACITY * MEMBERS as f64 * TIME_STEP as f64 / self.config.overload_window as f64;
        while self.now < until {
            self.now += TIME_STEP;
            for index in 0..self.processes.len() {
                self.step_process(index, requests_per_step);
            }
            self.check_load();
        }
    }

    /// Advances one process to the present time: delivers a list update that is due, ends attempts,
    /// submits new requests, and wakes the router. `requests_per_step` is the mean number of requests that
    /// the whole fleet gets in a step.
    fn step_process(&mut self, index: usize, requests_per_step: f64) {
        let now = self.now;
        let process = &mut self.processes[index];
        if now >= process.list_update_at {
            process.list_update_at = Micros::MAX;
            let actions = process.router.update_endpoint_list(
                now,
                false,
                vec![list_entry(RESTARTED_MEMBER, self.restarted_at)],
            );
            self.carry_out(index, actions);
        }
        while let Some(&(ends_at, handle)) =
            self.processes[index].in_flight.front().filter(|&&(ends_at, _)| ends_at <= now)
        {
            self.processes[index].in_flight.pop_front();
            let outcome = Outcome {
                verdict: Verdict::Served,
                duration: ATTEMPT_DURATION + now - ends_at,
                report: MemberReport::default(),
                request_closed: true,
            };
            let actions = handle.attempt_ended(&mut self.processes[index].router, now, outcome);
            self.carry_out(index, actions);
        }
        let expected_requests = requests_per_step * self.processes[index].traffic_share;
        let request_count = expected_requests.floor() as usize
            + usize::from(self.rng.random::<f64>() < expected_requests.fract());
        for _ in 0..request_count {
            let request = Request { ttl: 1_000 * MS, ..Request::default() };
            let (_, actions) = self.processes[index].router.accept_request(now, request);
            self.carry_out(index, actions);
        }
        if now >= self.processes[index].wake_at {
            let actions = self.processes[index].router.wake(now);
            self.carry_out(index, actions);
        }
    }

    /// Carries out the router's actions. Health checks are answered at once.
    fn carry_out(&mut self, index: usize, actions: Actions) {
        let process = &mut self.processes[index];
        process.wake_at = actions.wake_at.unwrap_or(process.wake_at);
        for (handle, action) in actions.requests {
            if let Action::Attempt { member, .. } = action {
                process.in_flight.push_back((self.now + ATTEMPT_DURATION, handle));
                self.sent_times.extend((member == RESTARTED_MEMBER).then_some(self.now));
            }
        }
        for member in actions.health_checks {
            self.sent_times.extend((member == RESTARTED_MEMBER).then_some(self.now));
            let router = &mut self.processes[index].router;
            let actions =
                router.health_checked(self.now, member, Verdict::Served, MS, MemberReport::default());
            self.carry_out(index, actions);
        }
    }

    /// Restarts the member now. Each process receives the list update within a second.
    fn restart(&mut self) {
        self.restarted_at = Some(self.now);
        self.sent_times.clear();
        for process in &mut self.processes {
            process.list_update_at = self.now + self.rng.random_range(0..1_000 * MS);
        }
    }

    /// Checks that the restarted member was sent no more in the last overload window than its allowance
    /// and the slack. Nothing is checked once slow start is over, nor before all processes know of the
    /// restart, as those that do not are not responsible for what they send.
    fn check_load(&self) {
        let Some(restarted_at) = self.restarted_at else { return };
        let window = self.config.overload_window;
        let age = (self.now - restarted_at) as f64 / self.config.slow_start_duration as f64;
        if age >= 1.0 || self.processes.iter().any(|process| process.list_update_at != Micros::MAX) {
            return;
        }
        let capacity = self.config.slow_start_capacity + (1.0 - self.config.slow_start_capacity) * age;
        let allowance = self.config.overload_factor * capacity * WARM_CAPACITY;
        let slack =
            if allowance < 30.0 { 3.0 * allowance.sqrt() + 3.0 } else { 2.0 * allowance.sqrt() + 2.0 };
        let sent = self.sent_times.iter().filter(|&&at| at > self.now - window).count() as f64;
        let process_count = self.processes.len();
        assert!(
            sent <= allowance + slack,
            "{process_count} processes, {} ms after the restart: {sent} sent in a window, {allowance:.0} allowed",
            (self.now - restarted_at) / MS
        );
    }
}

#[test]
fn all_processes_together_stay_within_the_slow_start_allowance() {
    for processes in [3, 8, 20, 30, 300] {
        for seed in 0..4 {
            let mut fleet = Fleet::new(processes, seed);
            fleet.run(6_000 * MS, 0.7);
            fleet.restart();
            // The restart is followed by a burst that exceeds the capacity of all members.
            fleet.run(4_000 * MS, 1.1);
            fleet.run(6_500 * MS, 0.7);
        }
    }
}
