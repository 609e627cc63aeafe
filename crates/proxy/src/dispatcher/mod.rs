//! The actor that owns the router: it requests every routing decision and carries it out immediately.
//!
//! This file holds the actor's event loop. The submodules hold the handlers that the loop calls: requests,
//! the router's actions, the endpoint list, the members' clock, observations, the warm state and the gateway
//! part.

mod actions;
mod ended_ids;
mod endpoints;
mod gateway;
mod member_entry;
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

use crate::dispatcher::ended_ids::EndedIds;
use crate::dispatcher::member_entry::MemberEntry;
use crate::dispatcher::open_request::{OpenRequest, RequestOwner};
use crate::dispatcher::warm_state::LastEndpointList;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientRequestId, DispatcherMessage, FleetSize, ListUpdate};
use crate::shadow::ShadowRouter;

/// Number of times that the dispatcher yields to all other actors after a stall before it continues: once for
/// them to be woken by what arrived, once to read it, and once to forward it.
const SCHEDULING_ROUNDS_AFTER_STALL: usize = 3;

/// An event that the dispatcher handles.
enum Event {
    /// The discovery watcher sent an endpoint list, a change to it, or the report that discovery is
    /// unreachable.
    ListUpdate(ListUpdate),
    /// The wake-up time of the router has come.
    RouterDue,
    /// The wake-up time of the site router has come.
    SitesDue,
    /// The process is shutting down.
    Stopping,
    /// A write to the outcome log ended: `true` if it succeeded, `false` if it failed.
    RecordWriteFinished(bool),
    /// A write to the outcome log has not been confirmed in time.
    RecordWriteTimedOut,
    /// Another actor sent a message.
    Message(DispatcherMessage),
}

/// The channels from which the dispatcher receives events. Its timers and the confirmations of the outcome
/// log are not among them.
struct EventSources {
    list_updates: mpsc::Receiver<ListUpdate>,
    messages: mpsc::Receiver<DispatcherMessage>,
    stopping: watch::Receiver<Option<tokio::time::Instant>>,
}

/// The parts from which a dispatcher is built.
pub struct DispatcherParts {
    /// The context that all actors of the process share.
    pub context: Rc<ProcessContext>,
    /// The settings in force.
    pub settings: Settings,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The gateway part; `None` if this process is not a gateway to other sites.
    pub gateway_part: Option<GatewayPart>,
    /// The router under other settings, whose decisions are only compared; `None` without a shadow
    /// evaluation.
    pub shadow: Option<ShadowRouter>,
    /// The state that an earlier start saved, and the channel on which snapshots for the next start are
    /// published.
    pub warm_state: WarmState,
    /// The observations for the lease holders; `None` if the proxies do not coordinate their decisions.
    pub observations: Option<Observations>,
    /// Set to `true` once the endpoint list has named its first member, so that requests can be routed.
    pub ready: watch::Sender<bool>,
    /// The channel on which the router's subscription to the endpoint list is sent to the discovery watcher;
    /// `None` if the watcher fetches the list on its own.
    pub list_requests: Option<mpsc::Sender<()>>,
}

/// The actor that owns the router and the open requests.
pub struct Dispatcher {
    context: Rc<ProcessContext>,
    settings: Settings,
    router: Router,
    shadow: Option<ShadowRouter>,
    gateway_part: Option<GatewayPart>,
    /// Members by the router's index; `None` where the member was removed and the index has not been reused
    /// yet.
    members: Vec<Option<MemberEntry>>,
    member_ids: HashMap<String, MemberId>,
    /// Estimate of how far the members' clock is ahead of the router's.
    clock_offset: ClockOffset,
    /// The clock offset that the router was last given, in microseconds.
    reported_offset: Micros,
    /// All groups that the endpoint list has named since the start of the process.
    groups: HashSet<u64>,
    open_requests: HashMap<RequestHandle, OpenRequest>,
    /// The ids in the comments of open requests, as the clients chose them.
    open_comment_ids: HashSet<String>,
    ended_ids: EndedIds,
    request_owners: HashMap<ClientRequestId, RequestOwner>,
    /// Ends of attempts and health checks that arose while a decision was carried out; they are handled after
    /// it.
    deferred: VecDeque<DispatcherMessage>,
    warm_state: WarmState,
    last_endpoint_list: LastEndpointList,
    observations: Option<Observations>,
    /// The router's next wake-up time, on its clock, in microseconds.
    wake_at: Micros,
    /// The total stall time that was reported to the router and the site router, in microseconds.
    reported_stall: Micros,
    ready: watch::Sender<bool>,
    list_requests: Option<mpsc::Sender<()>>,
    /// Channels to notify once no remote request is open.
    remote_requests_waiters: Vec<oneshot::Sender<()>>,
}

impl Dispatcher {
    /// Creates a dispatcher without members; the endpoint list adds them.
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
            ended_ids: EndedIds::default(),
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

    /// Handles events until every other actor has ended. The dispatcher never waits for another actor, except
    /// that it yields to all others a few times after a stall.
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

    /// Waits for the next event; returns `None` once every other actor has ended. Endpoint list updates take
    /// precedence, because the grace period of a drain counts from when the list was written.
    async fn next_event(&mut self, sources: &mut EventSources) -> Option<Event> {
        let clock = self.context.clock;
        let gateway_part = self.gateway_part.as_mut();
        let sites_due = gateway_part.as_ref().map(|gateway_part| gateway_part.wake_at);
        let draining = gateway_part.as_ref().is_none_or(|gateway_part| gateway_part.is_draining());
        let write_due = gateway_part
            .as_ref()
            .and_then(|gateway_part| gateway_part.outcome_log.as_ref()?.write_deadline());
        let written = gateway_part.and_then(|gateway_part| gateway_part.write_confirmations.as_mut());
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

    /// After a stall, applies the list updates that discovery sent during it before anything else is decided,
    /// because a member may be draining by now. The discovery watcher must run first to read them. Returns the
    /// event that still has to be handled, if any: if `event` is a list update, it is older than those in the
    /// channel and is applied before them.
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
        for _ in 0..SCHEDULING_ROUNDS_AFTER_STALL {
            yield_now().await;
        }
        while let Ok(list_update) = list_updates.try_recv() {
            self.apply_list_update(list_update);
        }
        remaining
    }

    /// Reports a stall to the router and the site router, before they handle anything that arrived during it.
    fn report_stall(&mut self) {
        let total = self.context.unstalled_clock.stalled_for();
        let unreported = total - std::mem::replace(&mut self.reported_stall, total);
        if unreported > 0 {
            self.router.stall_ended(self.context.clock.now(), unreported);
            self.report_stall_to_site_router();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ListUpdate(list_update) => self.apply_list_update(list_update),
            Event::RouterDue => self.wake_router(),
            Event::SitesDue => self.wake_site_router(),
            Event::Stopping => self.announce_draining(),
            Event::RecordWriteFinished(is_written) => self.record_written(is_written),
            Event::RecordWriteTimedOut => self.stop_waiting_for_records(),
            Event::Message(message) => self.handle_message(message),
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::ClientRequest(request) => self.handle_client_request(request),
            DispatcherMessage::ClientLeft(left) => self.handle_client_left(&left.request_ids),
            DispatcherMessage::AttemptFinished(finished) => self.handle_attempt_finished(finished),
            DispatcherMessage::HealthCheckFinished(finished) => self.handle_health_check_finished(finished),
            DispatcherMessage::ShadowReplaced(shadow) => self.replace_shadow(shadow.map(|shadow| *shadow)),
            DispatcherMessage::Link(message) => self.handle_link_event(message.link, message.event),
            DispatcherMessage::AwaitRemoteRequests(reply) => self.await_remote_requests(reply),
            DispatcherMessage::FleetSize(size) => self.set_fleet_size(&size),
            DispatcherMessage::TakeObservations(reply) => self.report_observations(reply),
            DispatcherMessage::ZoneDirectives(directives) => self.apply_zone_directives(&directives),
            DispatcherMessage::SiteDrainPlans(plans) => self.apply_site_drain_plans(plans),
            DispatcherMessage::DescribeSites(reply) => {
                let _ = reply.send(self.describe());
            }
            DispatcherMessage::DescriptorsExhausted(member) => self.free_descriptors(member),
        }
    }

    /// Lets the router make a decision. For a sample of the decisions, a copy of the router under other
    /// settings decides as well, and its decision is only compared.
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

    /// Prepares for the end of the process: logs the last counts of a shadow evaluation, and sends `reply`
    /// once no remote request is open.
    fn await_remote_requests(&mut self, reply: oneshot::Sender<()>) {
        if let Some(shadow) = &mut self.shadow {
            shadow.log_counts(&self.context.log);
        }
        self.remote_requests_waiters.push(reply);
    }

    /// Notifies those that wait until no remote request is open, if none is.
    fn notify_remote_requests_waiters(&mut self) {
        if self.gateway_part.as_ref().is_some_and(|gateway_part| gateway_part.remote_requests() > 0) {
            return;
        }
        for waiter in self.remote_requests_waiters.drain(..) {
            let _ = waiter.send(());
        }
    }
}

/// Waits for the next result of a write to the outcome log: `true` if it succeeded. Returns `None` if there
/// is no such log, or once its writer has ended.
async fn next_write_result(written: Option<&mut mpsc::Receiver<bool>>) -> Option<bool> {
    match written {
        Some(written) => written.recv().await,
        None => None,
    }
}
