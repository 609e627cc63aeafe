//! The actor that carries datagrams between this proxy and the others of its fleet.
//!
//! The package `membership` decides what is sent and who is alive; this actor owns the socket and the clock, tells the
//! dispatcher by how many proxies the capacity of members is divided, and carries coordination's messages in the same
//! datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_membership::{Actions, Change, Membership, Micros, Peer, ReceivedPayload};
use aldermill_site_drain::Plan;
use slog::{info, warn};
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::announced_sizes::AnnouncedSizes;
use super::coordination_link::{self, CoordinationEvent, CoordinationLink, call_time};
use super::status::StatusReport;
use super::status_socket::{self, StatusSocket};
use crate::coordination::{CallTime, Coordination, Datagram};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::DispatcherMessage;
use crate::system::{DatagramSocket, Received};

/// Datagrams read before timers are looked at again, so that a flood of them delays nothing for long.
const READ_BATCH: usize = 64;
/// Longer than any datagram of the protocol.
const READ_BUFFER_BYTES: usize = 2048;

/// What the actor is made of.
pub(super) struct ActorParts {
    pub(super) context: Rc<ProcessContext>,
    pub(super) socket: DatagramSocket,
    /// `None` without a path in the operator's file, or where the socket could not be opened.
    pub(super) status_socket: Option<StatusSocket>,
    pub(super) membership: Membership,
    /// How many proxies the settings say that there are.
    pub(super) configured_fleet_size: usize,
    /// The fleet may be that of several sites, so that its size says nothing of this one.
    pub(super) spans_sites: bool,
    /// `None` where the operator's file has no such section.
    pub(super) coordination: Option<CoordinationLink>,
}

/// What was sent since the start.
#[derive(Clone, Copy, Default)]
pub(super) struct SendCounters {
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
    /// Datagrams that the system did not take.
    pub(super) failed: u64,
}

/// Carries datagrams between this proxy and the others of its fleet.
pub struct MembershipActor {
    context: Rc<ProcessContext>,
    socket: DatagramSocket,
    status_socket: Option<StatusSocket>,
    membership: Membership,
    configured_fleet_size: usize,
    spans_sites: bool,
    /// What the dispatcher was last told.
    announced_sizes: AnnouncedSizes,
    coordination: Option<CoordinationLink>,
    /// When the membership wants to be woken, on the clock of unstalled time.
    wake_at: Option<Micros>,
    /// All stalls that the membership was told of, in microseconds.
    known_stalls: Micros,
    /// How long a datagram that is read now may have waited unread, in microseconds.
    unread_for: Micros,
    sent: SendCounters,
}

impl MembershipActor {
    pub(super) fn new(parts: ActorParts) -> MembershipActor {
        MembershipActor {
            known_stalls: parts.context.unstalled_clock.stalled_for(),
            announced_sizes: AnnouncedSizes::configured(parts.configured_fleet_size),
            context: parts.context,
            socket: parts.socket,
            status_socket: parts.status_socket,
            membership: parts.membership,
            configured_fleet_size: parts.configured_fleet_size,
            spans_sites: parts.spans_sites,
            coordination: parts.coordination,
            wake_at: None,
            unread_for: 0,
            sent: SendCounters::default(),
        }
    }

    /// The plans of draining sites that an earlier start of this proxy stored, for the dispatcher to know before its first
    /// request.
    pub fn restored_drain_plans(&mut self) -> Vec<Plan> {
        let now = self.context.clock.now();
        let link = self.coordination.as_mut();
        link.and_then(|link| link.coordination.take_changed_drain_plans(now)).unwrap_or_default()
    }

    /// Runs until the program shuts down; then releases the leases and tells the others that this proxy leaves.
    pub async fn run(mut self) {
        let mut stopping = self.context.stopping.clone();
        let context = self.context.clone();
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let wake_at = self.wake_at.map_or_else(Instant::now, |at| context.unstalled_clock.instant(at));
            tokio::select! {
                biased;
                // What happens rarely comes before what may never pause.
                _ = stopping.wait_for(Option::is_some) => break,
                stream = status_socket::next_request(&mut self.status_socket) => self.answer_status(stream),
                event = coordination_link::next_event(&mut self.coordination, &context.clock) => {
                    self.handle_coordination_event(event, &mut buffer).await;
                }
                () = self.socket.readable() => self.handle_readable(&mut buffer).await,
                () = sleep_until(wake_at), if self.wake_at.is_some() => {
                    self.note_stall();
                    self.wake().await;
                }
            }
        }
        self.coordinate(|coordination, at, _| coordination.release_leases(at));
        let actions = self.membership.leave();
        self.carry_out(actions).await;
    }

    async fn handle_readable(&mut self, buffer: &mut [u8]) {
        self.note_stall();
        self.read_datagrams(buffer).await;
        if self.wake_at.is_some_and(|at| at <= self.context.unstalled_clock.now()) {
            self.wake().await;
        }
    }

    async fn handle_coordination_event(&mut self, event: CoordinationEvent, buffer: &mut [u8]) {
        match event {
            CoordinationEvent::Reconfigured(config) => {
                self.coordinate(|coordination, at, _| coordination.reconfigure(at.now, &config));
            }
            CoordinationEvent::WriteFinished { succeeded } => {
                self.coordinate(|coordination, at, others| {
                    coordination.write_finished(at, succeeded, others);
                });
            }
            CoordinationEvent::Due => {
                self.note_stall();
                // What arrived before is taken in before decisions are made.
                self.read_datagrams(buffer).await;
                self.coordinate(|coordination, at, others| coordination.wake(at, others));
                self.exchange_with_dispatcher().await;
            }
        }
    }

    /// Tells the membership of a stall, if there was one. To be called before anything that follows a wait.
    fn note_stall(&mut self) {
        let stalls = self.context.unstalled_clock.stalled_for();
        let stalled_for = stalls - std::mem::replace(&mut self.known_stalls, stalls);
        if stalled_for > 0 {
            self.unread_for += stalled_for;
            self.membership.resume_after_stall(self.context.unstalled_clock.now());
        }
    }

    /// Reads what has arrived, up to a batch.
    async fn read_datagrams(&mut self, buffer: &mut [u8]) {
        for _ in 0..READ_BATCH {
            let (length, from) = match self.socket.receive(buffer) {
                Received::Datagram { length, from } => (length, from),
                Received::Nothing => {
                    self.unread_for = 0;
                    return;
                }
                Received::Failed => return,
            };
            let now = self.context.unstalled_clock.now();
            let actions = self.membership.receive(now, from.ip(), &buffer[..length]);
            self.carry_out(actions).await;
        }
    }

    async fn wake(&mut self) {
        let actions = self.membership.wake(self.context.unstalled_clock.now());
        self.carry_out(actions).await;
    }

    /// Calls coordination, if this proxy takes part in it, and sends what it wants sent. The call gets the names of the
    /// other live proxies.
    fn coordinate(&mut self, call: impl FnOnce(&mut Coordination, CallTime, &[Rc<str>])) {
        let Some(link) = &mut self.coordination else { return };
        let others: Vec<Rc<str>> = self.membership.alive().map(|peer| peer.name.clone()).collect();
        call(&mut link.coordination, call_time(&self.context), &others);
        for Datagram { to, payload } in link.coordination.take_outgoing() {
            if let Some(datagram) = self.membership.encode_payload(&to, &payload) {
                self.send(datagram.to, &datagram.bytes);
            }
        }
    }

    /// Once each decision interval: passes the directives in force to the dispatcher, and its observations to coordination.
    async fn exchange_with_dispatcher(&mut self) {
        let now = self.context.clock.now();
        let Some(link) = &mut self.coordination else { return };
        if !link.take_exchange_due(now) {
            return;
        }
        let zone_directives = link.coordination.take_changed_zone_directives(now);
        let drain_plans = link.coordination.take_changed_drain_plans(now);
        let (reply, observations) = oneshot::channel();
        // A dispatcher that is gone ends the program by itself.
        let dispatcher = &self.context.dispatcher;
        let _ = dispatcher.send(DispatcherMessage::TakeObservations(reply)).await;
        if let Some(directives) = zone_directives {
            let _ = dispatcher.send(DispatcherMessage::ZoneDirectives(directives)).await;
        }
        if let Some(plans) = drain_plans {
            let _ = dispatcher.send(DispatcherMessage::SiteDrainPlans(plans)).await;
        }
        if let Ok(observations) = observations.await {
            link.coordination.report_observations(observations);
        }
    }

    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        // What can't be sent now is lost, as any datagram may be.
        match self.socket.send(datagram, to) {
            Ok(bytes) => {
                self.sent.datagrams += 1;
                self.sent.bytes += bytes as u64;
            }
            Err(_) => self.sent.failed += 1,
        }
    }

    pub(super) async fn carry_out(&mut self, actions: Actions) {
        actions.send.into_iter().for_each(|datagram| self.send(datagram.to, &datagram.bytes));
        let age = self.unread_for;
        for ReceivedPayload { sender, payload } in actions.payloads {
            self.coordinate(|coordination, at, others| {
                coordination.receive(at, age, &sender, &payload, others);
            });
        }
        for change in actions.changes {
            if let (Change::Down(gone) | Change::Restarted(gone), Some(link)) =
                (&change, &mut self.coordination)
            {
                link.coordination.peer_lost(self.context.clock.now(), &gone.name);
            }
            if let Change::Renumbered(local) = &change {
                let start = local.start;
                self.coordinate(|coordination, at, others| coordination.renumber(at, start, others));
            }
            self.log_change(&change);
        }
        self.wake_at = actions.wake_at;
        self.announce_sizes().await;
    }

    fn log_change(&self, change: &Change) {
        let log = &self.context.log;
        match change {
            Change::Up(Peer { name, start, address, .. }) => {
                info!(log, "peer up"; "address" => %address, "start" => start, "peer" => &**name);
            }
            Change::Down(Peer { name, start, address, .. }) => {
                info!(log, "peer down"; "address" => %address, "start" => start, "peer" => &**name);
            }
            Change::Restarted(Peer { name, start, address, .. }) => {
                info!(log, "peer restarted"; "address" => %address, "start" => start, "peer" => &**name);
            }
            Change::Renumbered(Peer { start, .. }) => {
                warn!(log, "wall clock was set back since an earlier start, renumbered"; "start" => start);
            }
            Change::Rejoined => warn!(log, "declared dead by other proxies, rejoined"),
            Change::Superseded(Peer { name, start, address, .. }) => {
                warn!(log, "superseded by a later start of this name, silent from now on";
                    "address" => %address, "start" => start, "peer" => &**name);
            }
        }
    }

    /// Tells the dispatcher by how many proxies capacity is divided, if that has changed.
    async fn announce_sizes(&mut self) {
        let snapshot = self.membership.snapshot(self.context.unstalled_clock.now());
        let sizes = AnnouncedSizes::of(&snapshot, self.configured_fleet_size);
        if sizes != self.announced_sizes && !self.spans_sites {
            self.announced_sizes = sizes;
            // A dispatcher that is gone ends the program by itself.
            let _ = self.context.dispatcher.send(DispatcherMessage::FleetSize(sizes.message())).await;
        }
    }

    fn answer_status(&self, stream: UnixStream) {
        let link = self.coordination.as_ref();
        let report = StatusReport {
            local: self.membership.local(),
            snapshot: self.membership.snapshot(self.context.unstalled_clock.now()),
            quota_divisor: self.announced_sizes.quota_divisor,
            coordination: link.map(|link| link.coordination.status_json(self.context.clock.now())),
            at_ms: self.context.clock.wall() / 1000,
            dropped: self.membership.dropped(),
            sent: self.sent,
            alive: self.membership.alive().collect(),
        };
        status_socket::answer(stream, report.to_json().to_string());
    }
}
