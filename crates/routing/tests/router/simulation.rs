//! A driver's surroundings in miniature, which hold the router to the five rules at every step.

use std::collections::{BTreeMap, VecDeque};

use aldermill_routing::*;

pub use crate::fixtures::*;

/// A process may be held up for so long behind its last look at the clock: what it then writes is within the rules.
const SEND_DELAY_MARGIN: Micros = 150 * MS;

#[derive(Clone)]
struct TrackedRequest {
    class: usize,
    client_deadline: Micros,
    attempts: u32,
    /// Where an attempt is out, and its limit.
    in_flight: Option<(MemberId, Micros)>,
    attempted_at: Micros,
    may_have_run: Option<Micros>,
    /// What an own-writes read must see.
    position_floor: Micros,
    is_closed: bool,
}

pub struct Simulation {
    pub router: Router,
    pub config: RouterConfig,
    pub now: Micros,
    pub primary: MemberId,
    /// True positions; the primary's is the present.
    pub positions: Vec<Micros>,
    freshness_exempt: Vec<bool>,
    statuses: Vec<(MemberStatus, Micros)>,
    pub started_at: Vec<Option<Micros>>,
    sent_times: Vec<VecDeque<Micros>>,
    served_times: Vec<VecDeque<Micros>>,
    max_warm_load: usize,
    requests: BTreeMap<RequestHandle, TrackedRequest>,
    pub attempted: Vec<(RequestHandle, MemberId)>,
    pub rejected: Vec<RequestHandle>,
    pub failed: Vec<RequestHandle>,
    pub health_checks: Vec<MemberId>,
    pub idle_closed: Vec<MemberId>,
    pub new_connections: Vec<MemberId>,
    pub subscriptions: usize,
    saved_reports: Vec<MemberReport>,
    wake_at: Micros,
    session_floor: Micros,
}

impl Simulation {
    pub fn new(config: RouterConfig, members: usize) -> Simulation {
        Simulation::with_seed(config, members, 11)
    }

    pub fn with_seed(config: RouterConfig, members: usize, seed: u64) -> Simulation {
        let now = 5_000_000 * MS;
        let mut simulation = Simulation {
            router: Router::start(config.clone(), seed, now),
            config,
            now,
            primary: 0,
            positions: vec![now; members],
            freshness_exempt: vec![false; members],
            statuses: vec![(MemberStatus::Ready, now); members],
            started_at: vec![None; members],
            sent_times: vec![VecDeque::new(); members],
            served_times: vec![VecDeque::new(); members],
            max_warm_load: 2,
            requests: BTreeMap::new(),
            attempted: Vec::new(),
            rejected: Vec::new(),
            failed: Vec::new(),
            health_checks: Vec::new(),
            idle_closed: Vec::new(),
            new_connections: Vec::new(),
            subscriptions: 0,
            saved_reports: vec![MemberReport::default(); members],
            wake_at: now,
            session_floor: Micros::MIN,
        };
        simulation.freshness_exempt[0] = true;
        let entries = (0..members).map(|id| list_entry(id, MemberStatus::Ready, None)).collect();
        let actions = simulation.router.update_endpoint_list(now, true, entries);
        simulation.carry_out(actions);
        simulation
    }

    pub fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.wake_at <= until {
            self.now = self.wake_at.max(self.now);
            self.time_out_attempts();
            let actions = self.router.wake(self.now);
            self.carry_out(actions);
        }
        self.now = until;
        self.time_out_attempts();
    }

    /// The driver stands still for so long and goes on: what ran out meanwhile was seen by nobody.
    pub fn stall(&mut self, duration: Micros) {
        self.now += duration;
        self.router.stall_ended(self.now, duration);
        let is_due =
            |request: &TrackedRequest| request.in_flight.is_some_and(|(_, deadline)| deadline <= self.now);
        let due_requests: Vec<RequestHandle> =
            self.requests.iter().filter(|(_, request)| is_due(request)).map(|(&handle, _)| handle).collect();
        due_requests.into_iter().for_each(|handle| self.end_attempt(handle, Verdict::Unobserved));
        let actions = self.router.wake(self.now);
        self.carry_out(actions);
        self.time_out_attempts();
    }

    /// Attempts whose limit has passed end as timed out; no request outlives its end.
    fn time_out_attempts(&mut self) {
        let is_due =
            |request: &TrackedRequest| request.in_flight.is_some_and(|(_, deadline)| deadline <= self.now);
        let due_requests: Vec<RequestHandle> =
            self.requests.iter().filter(|(_, request)| is_due(request)).map(|(&handle, _)| handle).collect();
        for handle in due_requests {
            self.end_attempt(handle, Verdict::TimedOut);
        }
        let slack = 20 * MS;
        assert!(
            self.requests
                .values()
                .all(|request| request.is_closed || self.now <= request.client_deadline + slack),
            "rule 1: no answer in time"
        );
    }

    pub fn submit(&mut self, class: usize, ttl: Micros) -> RequestHandle {
        self.submit_marked(class, ttl, false)
    }

    pub fn submit_in_session(&mut self, class: usize, ttl: Micros, session: &str) -> RequestHandle {
        self.submit_marked_in_session(class, ttl, false, session)
    }

    pub fn submit_marked(&mut self, class: usize, ttl: Micros, is_retry: bool) -> RequestHandle {
        self.submit_marked_in_session(class, ttl, is_retry, "s")
    }

    fn submit_marked_in_session(
        &mut self,
        class: usize,
        ttl: Micros,
        is_retry: bool,
        session: &str,
    ) -> RequestHandle {
        let session = Some(session.to_owned());
        self.submit_request(Request {
            class,
            group: 7,
            ttl,
            session,
            marked_retry: is_retry,
            ..Request::default()
        })
    }

    pub fn submit_request(&mut self, request: Request) -> RequestHandle {
        let (class, ttl) = (request.class, request.ttl);
        let (handle, actions) = self.router.accept_request(self.now, request);
        let tracked = TrackedRequest {
            class,
            client_deadline: self.now + ttl,
            attempts: 0,
            in_flight: None,
            attempted_at: 0,
            may_have_run: None,
            position_floor: self.session_floor,
            is_closed: false,
        };
        self.requests.insert(handle, tracked);
        self.carry_out(actions);
        handle
    }

    pub fn member_report(&self, id: MemberId) -> MemberReport {
        let role = if id == self.primary { Role::Primary } else { Role::Replica };
        let position = if id == self.primary { self.now } else { self.positions[id] };
        MemberReport { role: Some(role), position: Some(position), age: 0 }
    }

    pub fn end_health_check(&mut self, id: MemberId, answered: bool) {
        self.end_health_check_with_verdict(id, if answered { Verdict::Served } else { Verdict::TimedOut });
    }

    /// A report made now, to come late.
    pub fn save_report(&mut self, id: MemberId) {
        self.saved_reports[id] = self.member_report(id);
    }

    pub fn deliver_saved_report(&mut self, id: MemberId) {
        self.answer_health_check_with(id, self.saved_reports[id]);
    }

    /// It answers a health check, after so long.
    pub fn answer_health_check_after(&mut self, id: MemberId, duration: Micros) {
        let actions =
            self.router.health_checked(self.now, id, Verdict::Served, duration, self.member_report(id));
        self.carry_out(actions);
    }

    /// It answers a health check, and says this of itself.
    pub fn answer_health_check_with(&mut self, id: MemberId, report: MemberReport) {
        let actions = self.router.health_checked(self.now, id, Verdict::Served, MS, report);
        self.carry_out(actions);
    }

    pub fn end_health_check_with_verdict(&mut self, id: MemberId, verdict: Verdict) {
        let duration = if verdict == Verdict::TimedOut { 250 * MS } else { MS };
        let report =
            if verdict == Verdict::Served { self.member_report(id) } else { MemberReport::default() };
        let actions = self.router.health_checked(self.now, id, verdict, duration, report);
        self.carry_out(actions);
    }

    /// All members answer a health check.
    pub fn answer_all_health_checks(&mut self) {
        (0..self.positions.len()).for_each(|id| self.end_health_check(id, true));
    }

    pub fn in_flight(&self) -> Vec<(RequestHandle, MemberId)> {
        self.requests
            .iter()
            .filter_map(|(&handle, request)| request.in_flight.map(|(id, _)| (handle, id)))
            .collect()
    }

    /// An attempt ends in a way that its member's role allows.
    pub fn end_attempt(&mut self, handle: RequestHandle, verdict: Verdict) {
        let request = &self.requests[&handle];
        let (id, _) = request.in_flight.expect("out");
        let is_write = self.config.classes[request.class].need == Need::Write;
        let verdict = match verdict {
            Verdict::Served if is_write && id != self.primary => Verdict::NotPrimary,
            Verdict::NotPrimary if !is_write => Verdict::Overloaded,
            verdict => verdict,
        };
        let is_answered =
            matches!(verdict, Verdict::Served | Verdict::Error | Verdict::Overloaded | Verdict::NotPrimary);
        let report = if is_answered { self.member_report(id) } else { MemberReport::default() };
        if is_answered && id != self.primary {
            self.freshness_exempt[id] = false;
        }
        self.end_attempt_with_report(handle, verdict, report);
    }

    /// An attempt ends, and its member says this of itself.
    pub fn end_attempt_with_report(&mut self, handle: RequestHandle, verdict: Verdict, report: MemberReport) {
        let request = self.requests.get_mut(&handle).expect("taken");
        let (id, deadline) = request.in_flight.take().expect("out");
        let is_write = self.config.classes[request.class].need == Need::Write;
        if !verdict.never_ran() {
            request.may_have_run.get_or_insert(request.attempted_at);
        }
        if verdict == Verdict::LocalFailure {
            // Nothing came to the member, and the request has its attempts still.
            request.attempts -= 1;
            let sent_times = &mut self.sent_times[id];
            let index = sent_times.iter().rposition(|&at| at == request.attempted_at);
            index.map(|index| sent_times.remove(index));
        }
        let is_served = verdict == Verdict::Served;
        request.is_closed |= is_served;
        let is_closed = request.is_closed;
        if is_served {
            let served_times = &mut self.served_times[id];
            served_times.push_back(self.now);
            served_times.retain(|&at| at > self.now - self.config.overload_window);
            if self.started_at[id]
                .is_none_or(|start_time| self.now - start_time >= self.config.slow_start_duration)
            {
                self.max_warm_load = self.max_warm_load.max(served_times.len());
            }
        }
        if is_write && !verdict.never_ran() {
            self.session_floor = self.now;
        }
        let max_duration = if verdict == Verdict::Error { MS } else { 50 * MS };
        let attempt_duration = (deadline - self.now).clamp(MS, max_duration);
        let actions = handle.attempt_ended(
            &mut self.router,
            self.now,
            Outcome { verdict, duration: attempt_duration, report, request_closed: is_closed },
        );
        self.carry_out(actions);
    }

    pub fn disconnect_client(&mut self, handle: RequestHandle) {
        let request = self.requests.get_mut(&handle).expect("taken");
        if request.in_flight.is_some() || !request.is_closed {
            request.is_closed = true;
            let actions = handle.client_left(&mut self.router, self.now);
            self.carry_out(actions);
        }
    }

    pub fn update_list_entry(
        &mut self,
        id: MemberId,
        member_status: MemberStatus,
        start_time: Option<Micros>,
    ) {
        self.apply_list_entry(list_entry(id, member_status, start_time));
    }

    pub fn apply_list_entry(&mut self, entry: ListedMember) {
        let ListedMember { member: id, status: member_status, started_at: start_time, .. } = entry;
        if self.statuses[id].0 != member_status {
            self.statuses[id] = (member_status, self.now);
        }
        self.started_at[id] = start_time;
        let actions = self.router.update_endpoint_list(self.now, false, vec![entry]);
        self.carry_out(actions);
    }

    /// The fleet grows to so many members; they are still to be listed.
    pub fn grow_to(&mut self, members: usize) {
        let long_ago = self.now - 5_000 * MS;
        self.positions.resize(members, long_ago);
        self.freshness_exempt.resize(members, false);
        self.statuses.resize(members, (MemberStatus::Unlisted, long_ago));
        self.started_at.resize(members, None);
        self.sent_times.resize(members, VecDeque::new());
        self.served_times.resize(members, VecDeque::new());
        self.saved_reports.resize(members, MemberReport::default());
    }

    pub fn list_unavailable(&mut self) {
        let actions = self.router.list_unavailable(self.now);
        self.carry_out(actions);
    }

    pub fn move_primary(&mut self, id: MemberId) {
        self.positions[self.primary] = self.now;
        self.primary = id;
        self.freshness_exempt[id] = true;
    }

    fn carry_out(&mut self, actions: Actions) {
        self.wake_at = actions.wake_at.expect("a router always wants waking").max(self.now + 1);
        self.subscriptions += usize::from(actions.subscribe);
        self.health_checks.extend(actions.health_checks);
        self.idle_closed.extend(actions.close_idle);
        for (handle, action) in actions.requests {
            match action {
                Action::Attempt { member, timeout, on_new_connection: opens_connection, validity } => {
                    self.new_connections.extend(opens_connection.then_some(member));
                    self.check_attempt(handle, member, timeout, validity);
                }
                Action::Reject { .. } => {
                    let request = self.requests.get_mut(&handle).expect("taken");
                    let is_idempotent = self.config.classes[request.class].effect == Effect::Idempotent;
                    assert!(
                        is_idempotent || request.may_have_run.is_none() && request.in_flight.is_none(),
                        "rule 2: denied"
                    );
                    assert!(!std::mem::replace(&mut request.is_closed, true), "rule 1: a second answer");
                    self.rejected.push(handle);
                }
                Action::Fail => {
                    let request = self.requests.get_mut(&handle).expect("taken");
                    assert!(!std::mem::replace(&mut request.is_closed, true), "rule 1: a second answer");
                    self.failed.push(handle);
                }
            }
        }
    }

    fn check_attempt(&mut self, handle: RequestHandle, id: MemberId, timeout: Micros, validity: Validity) {
        let now = self.now;
        let request = self.requests.get_mut(&handle).expect("taken");
        let class = &self.config.classes[request.class];
        assert!(!request.is_closed, "rule 1: attempted after its answer");
        assert!(request.in_flight.is_none(), "rule 2: two attempts out at once");
        assert!(request.attempts < self.config.max_attempts && timeout > 0);
        assert!(now < request.client_deadline, "attempted when its client has gone");
        match class.effect {
            Effect::NonIdempotent => assert!(request.may_have_run.is_none(), "rule 2: attempted again"),
            Effect::Deduplicated { window, .. } => {
                let repeatable_until =
                    request.may_have_run.map_or(Micros::MAX, |at| at + window - SEND_DELAY_MARGIN);
                assert!(
                    now < repeatable_until && validity.expires_at <= repeatable_until,
                    "rule 2: repeats forgotten"
                )
            }
            Effect::Idempotent => {}
        }
        let (member_status, changed_at) = self.statuses[id];
        assert!(member_status == MemberStatus::Ready || now == changed_at, "rule 3: attempted at a drain");
        let position_floor = match class.need {
            Need::Recent(bound) => now - bound + SEND_DELAY_MARGIN,
            Need::OwnWrites => request.position_floor,
            _ => Micros::MIN,
        };
        // Where members check, they turn away what they are too far behind for.
        let is_fresh_enough = self.config.members_check_freshness
            || self.positions[id] >= position_floor
            || self.freshness_exempt[id];
        assert!(is_fresh_enough, "rule 5: a read at data that is too old");
        // For as long as it says: an attempt may leave late.
        let proof_holds = match class.need {
            _ if validity.requires_primary => self.freshness_exempt[id],
            Need::Recent(bound) => {
                self.config.members_check_freshness
                    || validity.expires_at <= self.positions[id] + bound - SEND_DELAY_MARGIN
            }
            _ => true,
        };
        assert!(proof_holds, "rule 5: proven for longer than it is");
        request.attempts += 1;
        request.attempted_at = now;
        request.in_flight = Some((id, (now + timeout).min(request.client_deadline)));
        self.attempted.push((handle, id));
        self.check_slow_start(id);
    }

    fn check_slow_start(&mut self, id: MemberId) {
        let (now, window) = (self.now, self.config.overload_window);
        let sent = &mut self.sent_times[id];
        sent.push_back(now);
        sent.retain(|&at| at > now - window);
        let sent = sent.len();
        let age = self.started_at[id]
            .map_or(1.0, |start_time| (now - start_time) as f64 / self.config.slow_start_duration as f64);
        if age >= 1.0 {
            return;
        }
        let capacity = self.config.slow_start_capacity + (1.0 - self.config.slow_start_capacity) * age;
        // What one of many has saved up may come at once: over all of them it evens out.
        let saved_attempts = if self.config.routers > 15 { 1.0 } else { 0.0 };
        let allowance =
            (self.config.overload_factor * capacity * self.max_warm_load as f64).max(1.0) + saved_attempts;
        assert!(sent as f64 <= allowance, "rule 4: {sent} attempts at a cold member that bears {allowance}");
    }
}
