//! What many processes together send to a member in slow start: the sum of all, within what the settings allow it in
//! one window of the rule, and the slack that chance is granted.

use std::collections::VecDeque;

use aldermill_routing::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const TIME_STEP: Micros = 5 * MS;
const ATTEMPT_DURATION: Micros = 50 * MS;
const MEMBERS: usize = 4;
/// Attempts that a warm member bears in one window.
const WARM_CAPACITY: f64 = 80.0;
const RESTARTED_MEMBER: MemberId = 0;

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

fn list_entry(member: MemberId, start_time: Option<Micros>) -> ListedMember {
    ListedMember {
        member,
        name: format!("m{member}"),
        group: 0,
        zone: 0,
        status: MemberStatus::Ready,
        started_at: start_time,
        size: 1.0,
        is_primary: false,
    }
}

/// One process: its router, its part of the traffic, and its attempts that are out with when they end.
struct Process {
    router: Router,
    traffic_share: f64,
    in_flight: VecDeque<(Micros, RequestHandle)>,
    /// When it hears of the start.
    list_update_at: Micros,
    wake_at: Micros,
}

struct Fleet {
    now: Micros,
    config: RouterConfig,
    processes: Vec<Process>,
    rng: Pcg64Mcg,
    /// When the cold member was sent something, health checks included, over one window.
    sent_times: VecDeque<Micros>,
    restarted_at: Option<Micros>,
}

impl Fleet {
    fn new(processes: usize, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (now, config) = (1_000_000 * MS, router_config(processes));
        // Some get several times the mean.
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

    /// So long at so much of what the members bear together.
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

    /// It starts again now, and each process is told within a second.
    fn restart(&mut self) {
        self.restarted_at = Some(self.now);
        self.sent_times.clear();
        for process in &mut self.processes {
            process.list_update_at = self.now + self.rng.random_range(0..1_000 * MS);
        }
    }

    /// Only what came from processes that had been told is theirs to answer for.
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
            "{process_count} processes, {} ms after the start: {sent} in a window, {allowance:.0} allowed",
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
            // A burst just then, beyond what all members bear.
            fleet.run(4_000 * MS, 1.1);
            fleet.run(6_500 * MS, 0.7);
        }
    }
}
