//! One router on the bench, and the bench's names for what the router numbers.

use std::collections::HashMap;

use aldermill_routing::{
    Action, Actions, ListedMember, MemberId, MemberReport, Micros, Outcome, Request, RequestHandle, Role,
    Router,
};
use aldermill_settings::{Settings, parse_load_report};

use crate::endpoint_list::{Endpoint, EndpointLists};
use crate::error::MessageError;
use crate::fields::Fields;
use crate::reply::Reply;

/// The bit of a request's options that marks a client's retry.
const RETRY_OPTION: u64 = 2;
/// How many values of a response's stand share one position: the remainder tells the role.
const STANDS_PER_POSITION: u64 = 4;
/// The remainder of a stand that a primary reported.
const PRIMARY_STAND: u64 = 1;
/// The remainder of a stand that a replica reported.
const REPLICA_STAND: u64 = 2;
/// A stand counts positions in milliseconds.
const MICROS_PER_POSITION: Micros = 1000;

/// One router and the names that the bench uses for its members and requests. Members are numbered in the order in which
/// they are first named, which the router's random draws depend on.
pub struct RouterInstance {
    number: u32,
    router: Router,
    settings: Settings,
    member_ids: HashMap<String, MemberId>,
    member_names: Vec<String>,
    handles: HashMap<u64, RequestHandle>,
    tickets: HashMap<RequestHandle, u64>,
    /// When the earliest timer that the router relies on is due.
    timer_due: Option<Micros>,
    timers_started: u64,
}

impl RouterInstance {
    /// Starts a router under those settings, its random draws from `seed`.
    pub fn start(
        number: u32,
        settings: &str,
        seed: u64,
        now: Micros,
    ) -> Result<RouterInstance, MessageError> {
        let settings = Settings::parse(settings)?;
        Ok(RouterInstance {
            number,
            router: Router::start(settings.router_config.clone(), seed, now),
            settings,
            member_ids: HashMap::new(),
            member_names: Vec::new(),
            handles: HashMap::new(),
            tickets: HashMap::new(),
            timer_due: None,
            timers_started: 0,
        })
    }

    /// An endpoint list has come, or the news that there is none (`UPDATE`).
    pub fn list_updated(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        lists: &EndpointLists,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        fields.skip("serial")?;
        let list_number = fields.optional_text("page")?;
        let is_full = match fields.text("form")? {
            "unavailable" => {
                let actions = self.router.list_unavailable(now);
                self.carry_out(now, actions, reply);
                return Ok(());
            }
            "update" => false,
            "replace" | "restored" => true,
            _ => return Err(MessageError::UnknownUpdate),
        };
        let members = self.listed_members(lists.get(list_number)?);
        let actions = self.router.update_endpoint_list(now, is_full, members);
        self.carry_out(now, actions, reply);
        Ok(())
    }

    /// A client has sent a request (`ORDER`).
    pub fn request_received(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        let ticket = fields.integer("ticket")?;
        let request = self.parse_request(fields)?;
        let (handle, actions) = self.router.accept_request(now, request);
        self.handles.insert(ticket, handle);
        self.tickets.insert(handle, ticket);
        self.carry_out(now, actions, reply);
        Ok(())
    }

    /// An attempt has ended (`OUTCOME`). One of a request that is no longer known is passed over.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        let ticket = fields.integer("ticket")?;
        fields.skip("roundNo")?;
        fields.skip("member")?;
        let took = fields.time("timeTakenMs")?;
        let verdict = fields.verdict("how")?;
        let stand = fields.optional_integer("stand")?;
        let closed = fields.flag("closed")?;
        let load_report = fields.optional_text("load")?;
        let report = self.member_report(stand, load_report)?;
        let Some(&handle) = self.handles.get(&ticket) else { return Ok(()) };
        let outcome = Outcome { verdict, duration: took, report, request_closed: closed };
        let actions = handle.attempt_ended(&mut self.router, now, outcome);
        self.carry_out(now, actions, reply);
        self.forget_if_over(handle);
        Ok(())
    }

    /// A client has abandoned its request (`ABANDONED`).
    pub fn request_abandoned(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        let ticket = fields.integer("ticket")?;
        let Some(&handle) = self.handles.get(&ticket) else { return Ok(()) };
        let actions = handle.client_left(&mut self.router, now);
        self.carry_out(now, actions, reply);
        self.forget_if_over(handle);
        Ok(())
    }

    /// A health check has ended (`PONG`).
    pub fn health_check_ended(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        let name = fields.text("member")?;
        let verdict = fields.verdict("how")?;
        let took = fields.time("timeTakenMs")?;
        let report = self.member_report(None, fields.optional_text("load")?)?;
        let member = self.member_id(name);
        let actions = self.router.health_checked(now, member, verdict, took, report);
        self.carry_out(now, actions, reply);
        Ok(())
    }

    /// A timer is due (`FIRED`).
    pub fn timer_fired(
        &mut self,
        now: Micros,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<(), MessageError> {
        fields.integer("name")?;
        let actions = self.router.wake(now);
        self.carry_out(now, actions, reply);
        Ok(())
    }

    /// The fields of a request behind its ticket.
    fn parse_request(&self, fields: &mut Fields) -> Result<Request, MessageError> {
        let class = self.settings.class_index(fields.text("service")?)?;
        if let Some(account) = fields.optional_text("account")? {
            self.settings.check_account(account)?;
        }
        let session = fields.optional_text("session")?.map(str::to_owned);
        let ttl = fields.time("ttlMs")?;
        fields.skip("workMs")?;
        let group = fields.integer("partitionNo")?;
        let last_write = fields.optional_time("lastWriteMs")?.filter(|&ago| ago > 0);
        let options = fields.optional_integer("options")?.unwrap_or(0);
        let repeat = options & RETRY_OPTION != 0;
        Ok(Request {
            class,
            group,
            ttl,
            waited: 0,
            session,
            min_position: None,
            last_write_age: last_write,
            earlier_attempt_age: None,
            client_backlog: 0,
            is_suspended: false,
            marked_retry: repeat,
        })
    }

    /// What a response's stand and a load report say of their member; the newer position of the two.
    fn member_report(
        &self,
        stand: Option<u64>,
        load_report: Option<&str>,
    ) -> Result<MemberReport, MessageError> {
        let pairs = load_report.into_iter().flat_map(|report| report.split(','));
        let pairs = pairs.map(|pair| pair.split_once(':').unwrap_or((pair, "")));
        let origin = self.settings.position_origin;
        let mut report = parse_load_report(pairs, origin)?;
        let Some(stand) = stand.filter(|&stand| stand > 0) else { return Ok(report) };
        match stand % STANDS_PER_POSITION {
            PRIMARY_STAND => report.role = Some(Role::Primary),
            REPLICA_STAND => report.role = Some(Role::Replica),
            _ => {}
        }
        if stand >= STANDS_PER_POSITION {
            let position = origin + (stand / STANDS_PER_POSITION) as Micros * MICROS_PER_POSITION;
            report.position = report.position.max(Some(position));
        }
        Ok(report)
    }

    fn listed_members(&mut self, endpoints: &[Endpoint]) -> Vec<ListedMember> {
        let listed = |endpoint: &Endpoint| ListedMember {
            member: self.member_id(&endpoint.name),
            name: endpoint.name.clone(),
            group: endpoint.group,
            zone: self.settings.zone_index(&endpoint.zone),
            status: endpoint.standing,
            started_at: endpoint.started_at,
            listed_start: endpoint.started_at.unwrap_or(0),
            size: self.settings.member_size(endpoint.weight),
            is_primary: endpoint.primary,
        };
        endpoints.iter().map(listed).collect()
    }

    /// The member's number, a new one where it is named for the first time.
    fn member_id(&mut self, name: &str) -> MemberId {
        if let Some(&id) = self.member_ids.get(name) {
            return id;
        }
        let id = self.member_names.len();
        self.member_ids.insert(name.to_owned(), id);
        self.member_names.push(name.to_owned());
        id
    }

    /// Writes what the router wants done. The order of the lines is the order of the actions.
    fn carry_out(&mut self, now: Micros, actions: Actions, reply: &mut Reply) {
        for (handle, action) in actions.requests {
            self.carry_out_for_request(handle, action, reply);
        }
        for member in actions.health_checks {
            reply.health_check(self.number, &self.member_names[member]);
        }
        for member in actions.close_idle {
            reply.close_idle_connections(self.number, &self.member_names[member]);
        }
        if actions.subscribe {
            reply.subscribe(self.number);
        }
        if let Some(wake_at) = actions.wake_at {
            self.ensure_timer(now, wake_at, reply);
        }
    }

    fn carry_out_for_request(&mut self, handle: RequestHandle, action: Action, reply: &mut Reply) {
        let Some(&ticket) = self.tickets.get(&handle) else { return };
        match action {
            Action::Attempt { member, timeout, on_new_connection, .. } => {
                let member = &self.member_names[member];
                if on_new_connection {
                    reply.close_idle_connections(self.number, member);
                }
                reply.attempt(self.number, ticket, member, timeout);
            }
            Action::Reject { retry_after } => reply.reject(self.number, ticket, retry_after),
            Action::Fail => reply.fail(self.number, ticket),
        }
        self.forget_if_over(handle);
    }

    /// Starts a timer, unless one that is still to fire is due as early.
    fn ensure_timer(&mut self, now: Micros, wake_at: Micros, reply: &mut Reply) {
        let is_covered = self.timer_due.is_some_and(|due| due > now && due <= wake_at);
        if is_covered {
            return;
        }
        self.timers_started += 1;
        self.timer_due = Some(wake_at);
        reply.start_timer(self.number, wake_at - now, self.timers_started);
    }

    /// Drops the bench's name of a request that the router knows no longer.
    fn forget_if_over(&mut self, handle: RequestHandle) {
        if self.router.is_pending(handle) {
            return;
        }
        if let Some(ticket) = self.tickets.remove(&handle) {
            self.handles.remove(&ticket);
        }
    }
}
