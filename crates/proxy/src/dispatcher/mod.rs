//! The actor that owns the router: every decision is asked for here, and carried out at once.
//!
//! This file holds the actor's loop. The files beside it hold what the loop calls: requests, the router's actions, the
//! endpoint list, the members' clock, observations, the warm state, and the gateway part.

mod actions;
mod endpoints;
mod gateway;
mod members_clock;
mod observations;
mod open_request;
mod outcome_log;
mod requests;
mod warm_state;

pub use gateway::{GatewayPart, GatewaySetup};
pub use observations::Observations;
pub use warm_state::WarmState;

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use aldermill_routing::{Actions, MemberId, Micros, RequestHandle, Router};
use aldermill_settings::Settings;
use aldermill_statistics::ClockOffset;
use slog::warn;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use crate::dispatcher::endpoints::MemberEntry;
use crate::dispatcher::open_request::{OpenRequest, RequestOwner};
use crate::dispatcher::warm_state::LastEndpointList;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientRequestId, DispatcherMessage, FleetSize, ListUpdate};
use crate::shadow::ShadowRouter;

/// How often all other actors run after a stall before the dispatcher goes on: once to be woken by what arrived, once to
/// read it, once to pass it on.
const YIELDS_AFTER_STALL: usize = 3;

/// What makes the dispatcher act.
enum Event {
    /// The discovery watch has a new endpoint list, a change to it, or no connection.
    ListUpdate(ListUpdate),
    /// The router wants to be woken now.
    RouterDue,
    /// The site router wants to be woken now.
    SitesDue,
    /// The process is to stop.
    Stopping,
    /// A record of the outcome log was written (`true`), or could not be.
    RecordWriteFinished(bool),
    /// A record of the outcome log has waited too long.
    RecordWriteTimedOut,
    /// Another actor sent a message.
    Message(DispatcherMessage),
}

/// Where the dispatcher's events come from, except for its timers.
struct EventSources {
    list_updates: mpsc::Receiver<ListUpdate>,
    messages: mpsc::Receiver<DispatcherMessage>,
    stopping: watch::Receiver<Option<tokio::time::Instant>>,
}

/// What a dispatcher starts with.
pub struct DispatcherParts {
    /// What all actors share.
    pub context: Rc<ProcessContext>,
    /// The settings in force.
    pub settings: Settings,
    /// Seed of the router's random choices.
    pub seed: u64,
    /// `None` if this process is no gateway to other sites.
    pub gateway_part: Option<GatewayPart>,
    /// Other settings, whose decisions are only compared.
    pub shadow: Option<ShadowRouter>,
    /// What a former start saved, and where snapshots for the next one are published.
    pub warm_state: WarmState,
    /// `None` if the fleet takes no decisions in common.
    pub observations: Option<Observations>,
    /// Set once there is an endpoint list to decide on.
    pub ready: watch::Sender<bool>,
    /// Where the first request asks for the endpoint list; `None` if the discovery watch asks by itself.
    pub list_requests: Option<mpsc::Sender<()>>,
}

/// The actor that owns the router and the open requests.
pub struct Dispatcher {
    context: Rc<ProcessContext>,
    settings: Settings,
    router: Router,
    shadow: Option<ShadowRouter>,
    gateway_part: Option<GatewayPart>,
    /// By the router's index: `None` where the member was removed and the index is not in use again yet.
    members: Vec<Option<MemberEntry>>,
    member_ids: HashMap<String, MemberId>,
    /// By how much the members' clock is ahead of the router's.
    clock_offset: ClockOffset,
    /// What the router was last told of the clock offset, in microseconds.
    reported_offset: Micros,
    /// All groups that have been in the endpoint list since the start.
    groups: HashSet<u64>,
    open_requests: HashMap<RequestHandle, OpenRequest>,
    /// The ids that clients gave their open requests.
    open_comment_ids: HashSet<String>,
    request_owners: HashMap<ClientRequestId, RequestOwner>,
    /// Ends of attempts and health checks that came up while a decision was carried out: handled after it.
    deferred: VecDeque<DispatcherMessage>,
    warm_state: WarmState,
    last_endpoint_list: LastEndpointList,
    observations: Option<Observations>,
    /// When the router wants to be woken, on its clock, in microseconds.
    wake_at: Micros,
    /// The stalled time that both routers were told of, in microseconds.
    reported_stall: Micros,
    ready: watch::Sender<bool>,
    list_requests: Option<mpsc::Sender<()>>,
    /// Notified once no remote request is open.
    remote_requests_waiters: Vec<oneshot::Sender<()>>,
}

impl Dispatcher {
    /// A dispatcher without members: the endpoint list brings them.
    pub fn new(parts: DispatcherParts) -> Dispatcher {
        let now = parts.context.clock.now();
        Dispatcher {
            router: Router::start(parts.settings.router_config.clone(), parts.seed, now),
            settings: parts.settings,
            shadow: parts.shadow,
            gateway_part: parts.gateway_part,
            members: Vec::new(),
            member_ids: HashMap::new(),
            clock_offset: ClockOffset::default(),
            reported_offset: 0,
            groups: HashSet::new(),
            open_requests: HashMap::new(),
            open_comment_ids: HashSet::new(),
            request_owners: HashMap::new(),
            deferred: VecDeque::new(),
            warm_state: parts.warm_state,
            last_endpoint_list: LastEndpointList::default(),
            observations: parts.observations,
            wake_at: now,
            reported_stall: 0,
            ready: parts.ready,
            list_requests: parts.list_requests,
            remote_requests_waiters: Vec::new(),
            context: parts.context,
        }
    }

    /// Serves until every other actor is gone. It never waits for another actor; only after a stall it lets all others run
    /// a few times.
    pub async fn run(
        mut self,
        list_updates: mpsc::Receiver<ListUpdate>,
        messages: mpsc::Receiver<DispatcherMessage>,
    ) {
        let stopping = self.context.stopping.clone();
        let mut sources = EventSources { list_updates, messages, stopping };
        while let Some(event) = self.next_event(&mut sources).await {
            if let Some(event) = self.catch_up_after_stall(event, &mut sources.list_updates).await {
                self.handle_event(event);
            }
            while let Some(message) = self.deferred.pop_front() {
                self.handle_message(message);
            }
            self.notify_remote_requests_waiters();
        }
    }

    /// The next event; `None` once every other actor is gone. The endpoint list comes first, because the time that a drain
    /// allows counts from when the list was written.
    async fn next_event(&mut self, sources: &mut EventSources) -> Option<Event> {
        let clock = self.context.clock;
        let gateway_part = self.gateway_part.as_mut();
        let sites_due = gateway_part.as_ref().map(|gateway_part| gateway_part.wake_at);
        let draining = gateway_part.as_ref().is_none_or(|gateway_part| gateway_part.is_draining());
        let write_due = gateway_part
            .as_ref()
            .and_then(|gateway_part| gateway_part.outcome_log.as_ref()?.write_deadline());
        let written = gateway_part.and_then(|gateway_part| gateway_part.written.as_mut());
        tokio::select! {
            biased;
            Some(list_update) = sources.list_updates.recv() => Some(Event::ListUpdate(list_update)),
            () = sleep_until(clock.instant(self.wake_at)) => Some(Event::RouterDue),
            () = sleep_until(clock.instant(sites_due.unwrap_or(0))), if sites_due.is_some() => Some(Event::SitesDue),
            Ok(_) = sources.stopping.wait_for(Option::is_some), if !draining => Some(Event::Stopping),
            Some(is_written) = next_write_result(written) => Some(Event::RecordWriteFinished(is_written)),
            () = sleep_until(clock.instant(write_due.unwrap_or(0))), if write_due.is_some() => Some(Event::RecordWriteTimedOut),
            message = sources.messages.recv() => message.map(Event::Message),
        }
    }

    /// After a stall, applies what discovery sent meanwhile before anything else is decided: a member may drain by now. The
    /// discovery watch has to run first, to read it. Returns the event that is still to be handled: a list update that was
    /// taken from the mailbox before is older than those that are there now, and is applied before them.
    async fn catch_up_after_stall(
        &mut self,
        event: Event,
        list_updates: &mut mpsc::Receiver<ListUpdate>,
    ) -> Option<Event> {
        let stalled = self.context.unstalled_clock.stalled_for() - self.reported_stall;
        if stalled <= 0 {
            return Some(event);
        }
        warn!(self.context.log, "process stalled"; "ms" => stalled / 1000);
        self.report_stall();
        let remaining = match event {
            Event::ListUpdate(list_update) => {
                self.apply_list_update(list_update);
                None
            }
            event => Some(event),
        };
        for _ in 0..YIELDS_AFTER_STALL {
            yield_now().await;
        }
        while let Ok(list_update) = list_updates.try_recv() {
            self.apply_list_update(list_update);
        }
        remaining
    }

    /// Tells both routers of a stall, before anything that arrived during it.
    fn report_stall(&mut self) {
        let total = self.context.unstalled_clock.stalled_for();
        let unreported = total - std::mem::replace(&mut self.reported_stall, total);
        if unreported > 0 {
            self.router.stall_ended(self.context.clock.now(), unreported);
            self.report_stall_to_sites();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ListUpdate(list_update) => self.apply_list_update(list_update),
            Event::RouterDue => self.wake_router(),
            Event::SitesDue => self.wake_sites(),
            Event::Stopping => self.drain_sites(),
            Event::RecordWriteFinished(is_written) => self.record_written(is_written),
            Event::RecordWriteTimedOut => self.stop_waiting_for_records(),
            Event::Message(message) => self.handle_message(message),
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::ClientRequest(request) => self.handle_client_request(request),
            DispatcherMessage::ClientLeft(left) => self.handle_client_left(left.request_id),
            DispatcherMessage::AttemptFinished(finished) => self.handle_attempt_finished(finished),
            DispatcherMessage::HealthCheckFinished(finished) => self.handle_health_check_finished(finished),
            DispatcherMessage::ShadowReplaced(shadow) => self.replace_shadow(shadow.map(|shadow| *shadow)),
            DispatcherMessage::Link(message) => self.link_message(message.link, message.event),
            DispatcherMessage::AwaitRemoteRequests(reply) => self.await_remote_requests(reply),
            DispatcherMessage::FleetSize(size) => self.set_fleet_size(&size),
            DispatcherMessage::TakeObservations(reply) => self.report_observations(reply),
            DispatcherMessage::ZoneDirectives(directives) => self.apply_zone_directives(&directives),
            DispatcherMessage::SiteDrainPlans(plans) => self.follow_site_drains(plans),
            DispatcherMessage::DescribeSites(reply) => {
                let _ = reply.send(self.describe());
            }
            DispatcherMessage::DescriptorsExhausted(member) => self.free_descriptors(member),
        }
    }

    /// Has the router decide. For a sample of decisions, a copy under other settings decides as well, and is only compared.
    fn decide<T>(&mut self, decision: impl Fn(&mut Router) -> (T, Actions)) -> (T, Actions) {
        self.report_stall();
        let Some(shadow) = &mut self.shadow else { return decision(&mut self.router) };
        let decided = shadow.decide(&mut self.router, decision);
        shadow.log_if_due(&self.context.log);
        decided
    }

    fn wake_router(&mut self) {
        let now = self.context.clock.now();
        let ((), actions) = self.decide(|router| ((), router.wake(now)));
        self.carry_out(actions);
        self.publish_snapshot();
    }

    fn set_fleet_size(&mut self, size: &FleetSize) {
        let ((), actions) = self.decide(|router| {
            (router.set_fleet_size(size.sharing_warm, size.sharing_warming_up), Actions::default())
        });
        self.carry_out(actions);
    }

    fn replace_shadow(&mut self, shadow: Option<ShadowRouter>) {
        if let Some(ended) = &mut self.shadow {
            ended.log_counts(&self.context.log);
        }
        self.shadow = shadow;
    }

    /// The process is about to end: logs the last counts of a shadow evaluation, and sends `reply` once no remote request is
    /// open.
    fn await_remote_requests(&mut self, reply: oneshot::Sender<()>) {
        if let Some(shadow) = &mut self.shadow {
            shadow.log_counts(&self.context.log);
        }
        self.remote_requests_waiters.push(reply);
    }

    /// Answers those who wait until no remote request is open.
    fn notify_remote_requests_waiters(&mut self) {
        if self.gateway_part.as_ref().is_some_and(|gateway_part| gateway_part.remote_requests() > 0) {
            return;
        }
        for waiter in self.remote_requests_waiters.drain(..) {
            let _ = waiter.send(());
        }
    }
}

/// Whether the next record of the outcome log was written; `None` without such a log, or once its writer is gone.
async fn next_write_result(written: Option<&mut mpsc::Receiver<bool>>) -> Option<bool> {
    match written {
        Some(written) => written.recv().await,
        None => None,
    }
}
