//! What many processes together send to a member in slow start: the sum of all, within what the settings allow it in
//! one window of the rule, and the slack that chance is granted.

use std::collections::VecDeque;

use aldermill_routing::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const STEP: Micros = 5 * MS;
const WORK: Micros = 50 * MS;
const MEMBERS: usize = 4;
/// Attempts that a warm member bears in one window.
const CAPACITY: f64 = 80.0;
const COLD: MemberId = 0;

fn terms(processes: usize) -> RouterConfig {
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

fn line(member: MemberId, since: Option<Micros>) -> ListedMember {
    ListedMember {
        member,
        name: format!("m{member}"),
        group: 0,
        zone: 0,
        status: MemberStatus::Ready,
        started_at: since,
        size: 1.0,
        is_primary: false,
    }
}

/// One process: its router, its part of the traffic, and its attempts that are out with when they end.
struct Process {
    router: Router,
    part: f64,
    out: VecDeque<(Micros, RequestHandle)>,
    /// When it hears of the start.
    told_at: Micros,
    wake_at: Micros,
}

struct Fleet {
    now: Micros,
    terms: RouterConfig,
    processes: Vec<Process>,
    rng: Pcg64Mcg,
    /// When the cold member was sent something, health checks included, over one window.
    sent: VecDeque<Micros>,
    started: Option<Micros>,
}

impl Fleet {
    fn new(processes: usize, seed: u64) -> Fleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (now, terms) = (1_000_000 * MS, terms(processes));
        // Some get several times the mean.
        let parts: Vec<f64> = (0..processes).map(|_| rng.random_range(0.3..1.0f64).powi(3)).collect();
        let all: f64 = parts.iter().sum();
        let start = |(number, part): (usize, &f64)| {
            let mut router = Router::start(terms.clone(), seed * 1_000 + number as u64, now);
            let _ = router.update_endpoint_list(now, true, (0..MEMBERS).map(|id| line(id, None)).collect());
            Process { router, part: part / all, out: VecDeque::new(), told_at: Micros::MAX, wake_at: now }
        };
        let processes = parts.iter().enumerate().map(start).collect();
        Fleet { now, terms, processes, rng, sent: VecDeque::new(), started: None }
    }

    /// So long at so much of what the members bear together.
    fn run(&mut self, long: Micros, load: f64) {
        let until = self.now + long;
        let each_step = load * CAPACITY * MEMBERS as f64 * STEP as f64 / self.terms.overload_window as f64;
        while self.now < until {
            self.now += STEP;
            for number in 0..self.processes.len() {
                self.turn(number, each_step);
            }
            self.check();
        }
    }

    fn turn(&mut self, number: usize, each_step: f64) {
        let now = self.now;
        let process = &mut self.processes[number];
        if now >= process.told_at {
            process.told_at = Micros::MAX;
            let actions = process.router.update_endpoint_list(now, false, vec![line(COLD, self.started)]);
            self.carry_out(number, actions);
        }
        while let Some(&(at, handle)) = self.processes[number].out.front().filter(|&&(at, _)| at <= now) {
            self.processes[number].out.pop_front();
            let outcome = Outcome {
                verdict: Verdict::Served,
                duration: WORK + now - at,
                report: MemberReport::default(),
                request_closed: true,
            };
            let actions = handle.attempt_ended(&mut self.processes[number].router, now, outcome);
            self.carry_out(number, actions);
        }
        let due = each_step * self.processes[number].part;
        let count = due.floor() as usize + usize::from(self.rng.random::<f64>() < due.fract());
        for _ in 0..count {
            let request = Request { ttl: 1_000 * MS, ..Request::default() };
            let (_, actions) = self.processes[number].router.accept_request(now, request);
            self.carry_out(number, actions);
        }
        if now >= self.processes[number].wake_at {
            let actions = self.processes[number].router.wake(now);
            self.carry_out(number, actions);
        }
    }

    fn carry_out(&mut self, number: usize, actions: Actions) {
        let process = &mut self.processes[number];
        process.wake_at = actions.wake_at.unwrap_or(process.wake_at);
        for (handle, step) in actions.requests {
            if let Action::Attempt { member, .. } = step {
                process.out.push_back((self.now + WORK, handle));
                self.sent.extend((member == COLD).then_some(self.now));
            }
        }
        for member in actions.health_checks {
            self.sent.extend((member == COLD).then_some(self.now));
            let router = &mut self.processes[number].router;
            let actions =
                router.health_checked(self.now, member, Verdict::Served, MS, MemberReport::default());
            self.carry_out(number, actions);
        }
    }

    /// It starts again now, and each process is told within a second.
    fn restart(&mut self) {
        self.started = Some(self.now);
        self.sent.clear();
        for process in &mut self.processes {
            process.told_at = self.now + self.rng.random_range(0..1_000 * MS);
        }
    }

    /// Only what came from processes that had been told is theirs to answer for.
    fn check(&self) {
        let Some(started) = self.started else { return };
        let window = self.terms.overload_window;
        let age = (self.now - started) as f64 / self.terms.slow_start_duration as f64;
        if age >= 1.0 || self.processes.iter().any(|process| process.told_at != Micros::MAX) {
            return;
        }
        let part = self.terms.slow_start_capacity + (1.0 - self.terms.slow_start_capacity) * age;
        let allowed = self.terms.overload_factor * part * CAPACITY;
        let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
        let sent = self.sent.iter().filter(|&&at| at > self.now - window).count() as f64;
        let count = self.processes.len();
        assert!(
            sent <= allowed + slack,
            "{count} processes, {} ms after the start: {sent} in a window, {allowed:.0} allowed",
            (self.now - started) / MS
        );
    }
}

#[test]
fn all_processes_together_keep_to_what_a_cold_member_bears() {
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
