//! Simulation of a router's members, clients and caller in virtual time.
//!
//! It checks the five rules at every step:
//!
//! 1. Each request gets exactly one final answer, in time.
//! 2. A request that may have run and is not idempotent is not rejected, and is repeated only while members
//!    deduplicate it. At most one attempt of a request is in flight at a time.
//! 3. Members that are not listed as ready get no new attempts.
//! 4. A member in slow start gets no more attempts than the overload factor allows.
//! 5. A read goes to a member whose data is fresh enough, even if the attempt is sent late.

use std::collections::{BTreeMap, VecDeque};

use aldermill_routing::*;

pub use crate::fixtures::*;

/// Time for which a process may be held up after it last read the clock, in microseconds. What it sends
/// with that delay must still be within the rules.
const SEND_DELAY_MARGIN: Micros = 150 * MS;

/// A request as the simulation tracks it.
#[derive(Clone)]
struct TrackedRequest {
    class: usize,
    /// Time until which the client waits.
    client_deadline: Micros,
    /// Number of attempts, without those that could not be sent from this machine.
    attempts: u32,
    /// Member that an attempt is in flight at, and the deadline of the attempt.
    in_flight: Option<(MemberId, Micros)>,
    /// Time of the newest attempt; zero before the first.
    attempted_at: Micros,
    /// Time of the first attempt that may have run; `None` if there is none.
    may_have_run: Option<Micros>,
    /// Position that an own-writes read must see; `Micros::MIN` if any will do.
    position_floor: Micros,
    /// Whether the request has its final answer, or its client has left.
    is_closed: bool,
}

/// A router under test, with its simulated members, clients and clock.
pub struct Simulation {
    /// The router under test.
    pub router: Router,
    /// Configuration that the router was started with.
    pub config: RouterConfig,
    /// Present time, in microseconds. The members' clock shows the same time.
    pub now: Micros,
    /// The actual primary. If no member has this index, the group has no primary.
    pub primary: MemberId,
    /// Actual position of each member. The primary reports the present time instead.
    pub positions: Vec<Micros>,
    /// Whether the freshness of each member is not checked, because it is or was the primary and has not
    /// answered an attempt as a replica since.
    freshness_exempt: Vec<bool>,
    /// Listed status of each member, and the time of its last change.
    statuses: Vec<(MemberStatus, Micros)>,
    /// Listed time of each member's last start; `None` if that was long ago.
    pub started_at: Vec<Option<Micros>>,
    /// Times of the attempts at each member within the last overload window.
    sent_times: Vec<VecDeque<Micros>>,
    /// Times at which each member served attempts within the last overload window.
    served_times: Vec<VecDeque<Micros>>,
    /// Maximum number of attempts that a warm member has served in an overload window, but at least two.
    max_warm_load: usize,
    requests: BTreeMap<RequestHandle, TrackedRequest>,
    /// All attempts, oldest first.
    pub attempted: Vec<(RequestHandle, MemberId)>,
    /// Requests that the router rejected, oldest first.
    pub rejected: Vec<RequestHandle>,
    /// Requests that the router failed, oldest first.
    pub failed: Vec<RequestHandle>,
    /// Members that the router had health checks sent to, oldest first.
    pub health_checks: Vec<MemberId>,
    /// Members whose idle connections the router had closed, oldest first.
    pub idle_closed: Vec<MemberId>,
    /// Members that the router had attempts sent to on a new connection, oldest first.
    pub new_connections: Vec<MemberId>,
    /// Number of subscriptions to the endpoint list.
    pub subscriptions: usize,
    /// Newest report that was saved for each member.
    saved_reports: Vec<MemberReport>,
    wake_at: Micros,
    /// Time at which the newest write that ran or may have run ended, in any session; `Micros::MIN` before
    /// the first.
    session_floor: Micros,
}

impl Simulation {
    /// Creates a simulation with a fixed seed, see [`Simulation::with_seed`].
    pub fn new(config: RouterConfig, members: usize) -> Simulation {
        Simulation::with_seed(config, members, 11)
    }

    /// Creates a simulation whose router is started with `seed` and has received an endpoint list of
    /// `members` ready members of one group. The primary is member 0.
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

    /// Advances the time by `duration` microseconds. Wakes the router whenever it is due, and times out
    /// attempts.
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

    /// Stalls the router's process for `duration` microseconds. Attempts whose deadline passes meanwhile
    /// end as unobserved.
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

    /// Times out the attempts whose deadline has passed, and checks that no request is left without an
    /// answer 20 ms after its client's deadline.
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
            "rule 1: a request was not answered in time"
        );
    }

    /// Submits a first attempt of a client, whose deadline is `ttl` microseconds away. All clients share
    /// one session.
    pub fn submit(&mut self, class: usize, ttl: Micros) -> RequestHandle {
        self.submit_marked(class, ttl, false)
    }

    /// Submits a first attempt of a client in the named session. `ttl` is in microseconds.
    pub fn submit_in_session(&mut self, class: usize, ttl: Micros, session: &str) -> RequestHandle {
        self.submit_marked_in_session(class, ttl, false, session)
    }

    /// Submits a request that is marked as a retry of its client if `is_retry` is true. `ttl` is in
    /// microseconds.
    pub fn submit_marked(&mut self, class: usize, ttl: Micros, is_retry: bool) -> RequestHandle {
        self.submit_marked_in_session(class, ttl, is_retry, "s")
    }

    /// Submits a request in the named session. `ttl` is in microseconds.
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

    /// Submits a request to the router, and carries out its actions.
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

    /// Returns what the member reports of itself at present.
    pub fn member_report(&self, id: MemberId) -> MemberReport {
        let role = if id == self.primary { Role::Primary } else { Role::Replica };
        let position = if id == self.primary { self.now } else { self.positions[id] };
        MemberReport { role: Some(role), position: Some(position), age: 0 }
    }

    /// Ends a health check of the member: served if it was answered, otherwise timed out.
    pub fn end_health_check(&mut self, id: MemberId, answered: bool) {
        self.end_health_check_with_verdict(id, if answered { Verdict::Served } else { Verdict::TimedOut });
    }

    /// Saves the member's present report, to be delivered late by [`Simulation::deliver_saved_report`].
    pub fn save_report(&mut self, id: MemberId) {
        self.saved_reports[id] = self.member_report(id);
    }

    /// Answers a health check with the report that was saved for the member.
    pub fn deliver_saved_report(&mut self, id: MemberId) {
        self.answer_health_check_with(id, self.saved_reports[id]);
    }

    /// Answers a health check of the member that took `duration` microseconds.
    pub fn answer_health_check_after(&mut self, id: MemberId, duration: Micros) {
        let actions =
            self.router.health_checked(self.now, id, Verdict::Served, duration, self.member_report(id));
        self.carry_out(actions);
    }

    /// Answers a health check with the given report of the member on itself.
    pub fn answer_health_check_with(&mut self, id: MemberId, report: MemberReport) {
        let actions = self.router.health_checked(self.now, id, Verdict::Served, MS, report);
        self.carry_out(actions);
    }

    /// Ends a health check of the member with `verdict`. The reported duration is 250 ms if it timed out,
    /// otherwise 1 ms.
    pub fn end_health_check_with_verdict(&mut self, id: MemberId, verdict: Verdict) {
        let duration = if verdict == Verdict::TimedOut { 250 * MS } else { MS };
        let report =
            if verdict == Verdict::Served { self.member_report(id) } else { MemberReport::default() };
        let actions = self.router.health_checked(self.now, id, verdict, duration, report);
        self.carry_out(actions);
    }

    /// Answers a health check of every member.
    pub fn answer_all_health_checks(&mut self) {
        (0..self.positions.len()).for_each(|id| self.end_health_check(id, true));
    }

    /// Returns the requests with an attempt in flight, oldest first, each with the member of its attempt.
    pub fn in_flight(&self) -> Vec<(RequestHandle, MemberId)> {
        self.requests
            .iter()
            .filter_map(|(&handle, request)| request.in_flight.map(|(id, _)| (handle, id)))
            .collect()
    }

    /// Ends the request's attempt with `verdict`, or with one that the member's role allows instead: a
    /// replica does not serve a write, and no member answers a read with `NotPrimary`.
    pub fn end_attempt(&mut self, handle: RequestHandle, verdict: Verdict) {
        let request = &self.requests[&handle];
        let (id, _) = request.in_flight.expect("an attempt of the request is in flight");
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

    /// Ends the request's attempt with `verdict` and the given report of the member on itself.
    ///
    /// The reported duration is 1 ms for an error, otherwise the time left until the attempt's deadline,
    /// but from 1 ms to 50 ms.
    pub fn end_attempt_with_report(&mut self, handle: RequestHandle, verdict: Verdict, report: MemberReport) {
        let request = self.requests.get_mut(&handle).expect("the request was submitted");
        let (id, deadline) = request.in_flight.take().expect("an attempt of the request is in flight");
        let is_write = self.config.classes[request.class].need == Need::Write;
        if !verdict.never_ran() {
            request.may_have_run.get_or_insert(request.attempted_at);
        }
        if verdict == Verdict::LocalFailure {
            // The member was sent nothing, and the attempt does not count against the request's maximum.
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

    /// Disconnects the client of the request, unless the request is over and has no attempt in flight.
    pub fn disconnect_client(&mut self, handle: RequestHandle) {
        let request = self.requests.get_mut(&handle).expect("the request was submitted");
        if request.in_flight.is_some() || !request.is_closed {
            request.is_closed = true;
            let actions = handle.client_left(&mut self.router, self.now);
            self.carry_out(actions);
        }
    }

    /// Sends the router a list update of one member. `start_time` is `None` if the member started long ago.
    pub fn update_list_entry(
        &mut self,
        id: MemberId,
        member_status: MemberStatus,
        start_time: Option<Micros>,
    ) {
        self.apply_list_entry(list_entry(id, member_status, start_time));
    }

    /// Sends the router a list update that consists of `entry`.
    pub fn apply_list_entry(&mut self, entry: ListedMember) {
        let ListedMember { member: id, status: member_status, started_at: start_time, .. } = entry;
        if self.statuses[id].0 != member_status {
            self.statuses[id] = (member_status, self.now);
        }
        self.started_at[id] = start_time;
        let actions = self.router.update_endpoint_list(self.now, false, vec![entry]);
        self.carry_out(actions);
    }

    /// Raises the number of members to `members`. The endpoint list does not name the new ones yet.
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

    /// Notifies the router that a subscription to the endpoint list failed.
    pub fn list_unavailable(&mut self) {
        let actions = self.router.list_unavailable(self.now);
        self.carry_out(actions);
    }

    /// Makes the member the primary. The former primary has every commit made until now.
    pub fn move_primary(&mut self, id: MemberId) {
        self.positions[self.primary] = self.now;
        self.primary = id;
        self.freshness_exempt[id] = true;
    }

    /// Carries out the router's actions, and checks those that concern requests.
    fn carry_out(&mut self, actions: Actions) {
        self.wake_at = actions.wake_at.expect("a router always asks to be woken").max(self.now + 1);
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
                    let request = self.requests.get_mut(&handle).expect("the request was submitted");
                    let is_idempotent = self.config.classes[request.class].effect == Effect::Idempotent;
                    assert!(
                        is_idempotent || request.may_have_run.is_none() && request.in_flight.is_none(),
                        "rule 2: a request that may have run was rejected"
                    );
                    assert!(
                        !std::mem::replace(&mut request.is_closed, true),
                        "rule 1: a request was answered twice"
                    );
                    self.rejected.push(handle);
                }
                Action::Fail => {
                    let request = self.requests.get_mut(&handle).expect("the request was submitted");
                    assert!(
                        !std::mem::replace(&mut request.is_closed, true),
                        "rule 1: a request was answered twice"
                    );
                    self.failed.push(handle);
                }
            }
        }
    }

    /// Checks an attempt against rules 1 to 5, and records it.
    fn check_attempt(&mut self, handle: RequestHandle, id: MemberId, timeout: Micros, validity: Validity) {
        let now = self.now;
        let request = self.requests.get_mut(&handle).expect("the request was submitted");
        let class = &self.config.classes[request.class];
        assert!(!request.is_closed, "rule 1: attempted after its final answer");
        assert!(request.in_flight.is_none(), "rule 2: two attempts in flight at once");
        assert!(request.attempts < self.config.max_attempts && timeout > 0);
        assert!(now < request.client_deadline, "attempted after its client's deadline");
        match class.effect {
            Effect::NonIdempotent => assert!(request.may_have_run.is_none(), "rule 2: an unsafe repeat"),
            Effect::Deduplicated { window, .. } => {
                let repeatable_until =
                    request.may_have_run.map_or(Micros::MAX, |at| at + window - SEND_DELAY_MARGIN);
                assert!(
                    now < repeatable_until && validity.expires_at <= repeatable_until,
                    "rule 2: repeated after its deduplication window"
                )
            }
            Effect::Idempotent => {}
        }
        let (member_status, changed_at) = self.statuses[id];
        assert!(
            member_status == MemberStatus::Ready || now == changed_at,
            "rule 3: attempted at a member that is not ready"
        );
        let position_floor = match class.need {
            Need::Recent(bound) => now - bound + SEND_DELAY_MARGIN,
            Need::OwnWrites => request.position_floor,
            _ => Micros::MIN,
        };
        // Members that check freshness themselves reject reads for which they lag too far behind.
        let is_fresh_enough = self.config.members_check_freshness
            || self.positions[id] >= position_floor
            || self.freshness_exempt[id];
        assert!(is_fresh_enough, "rule 5: a read went to a member whose data is too old");
        // The proof must hold until the attempt's validity expires, as the attempt may be sent late.
        let proof_holds = match class.need {
            _ if validity.requires_primary => self.freshness_exempt[id],
            Need::Recent(bound) => {
                self.config.members_check_freshness
                    || validity.expires_at <= self.positions[id] + bound - SEND_DELAY_MARGIN
            }
            _ => true,
        };
        assert!(proof_holds, "rule 5: the validity exceeds the proof of freshness");
        request.attempts += 1;
        request.attempted_at = now;
        request.in_flight = Some((id, (now + timeout).min(request.client_deadline)));
        self.attempted.push((handle, id));
        self.check_slow_start(id);
    }

    /// Counts an attempt at the member, and checks that one in slow start does not get too many in an
    /// overload window.
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
        // A router of a large fleet may send an attempt that it has saved up in addition; over all routers
        // this evens out.
        let saved_attempts = if self.config.routers > 15 { 1.0 } else { 0.0 };
        let allowance =
            (self.config.overload_factor * capacity * self.max_warm_load as f64).max(1.0) + saved_attempts;
        assert!(
            sent as f64 <= allowance,
            "rule 4: {sent} attempts at a member in slow start, {allowance} allowed"
        );
    }
}
