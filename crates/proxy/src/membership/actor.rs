//! The membership actor: exchanges datagrams between this proxy and the others of its fleet.
//!
//! The `membership` crate decides what is sent and which proxies are alive. This actor owns the socket and
//! the clock, and tells the dispatcher by how many proxies the capacity of members is divided. Messages of
//! coordination are sent as payloads in datagrams of the same protocol.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_membership::{Actions, Change, Membership, Micros, Peer, ReceivedPayload};
use aldermill_site_drain::Plan;
use slog::{info, warn};
use tokio::net::UnixStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::coordination_runner::{self, CoordinationEvent, CoordinationRunner, call_time};
use super::quota_divisors::QuotaDivisors;
use super::status::StatusReport;
use super::status_socket::{self, StatusSocket};
use crate::coordination::{CallTime, Coordination, Datagram};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::DispatcherMessage;
use crate::system::{DatagramSocket, Received};

/// Maximum number of datagrams read before timers are checked again, so that a flood of datagrams does not
/// delay timers for long.
const READ_BATCH: usize = 64;
/// Size of the read buffer in bytes, greater than that of any datagram of the protocol.
const READ_BUFFER_BYTES: usize = 2048;

/// Parts from which a membership actor is constructed.
pub(super) struct ActorParts {
    pub(super) context: Rc<ProcessContext>,
    pub(super) socket: DatagramSocket,
    /// Status socket; `None` if the operator's file has no path for it, or if the socket could not be opened.
    pub(super) status_socket: Option<StatusSocket>,
    pub(super) membership: Membership,
    /// Fleet size in the settings.
    pub(super) configured_fleet_size: usize,
    /// Whether the fleet may span several sites. Its size then says nothing about the number of proxies at
    /// this site.
    pub(super) spans_sites: bool,
    /// This proxy's part in coordination; `None` if the operator's file has no section `coordination`.
    pub(super) coordination: Option<CoordinationRunner>,
}

/// Counts of what was sent since the start.
#[derive(Clone, Copy, Default)]
pub(super) struct SendCounters {
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
    /// Datagrams that the kernel did not accept.
    pub(super) failed: u64,
}

/// Exchanges datagrams between this proxy and the others of its fleet.
pub struct MembershipActor {
    context: Rc<ProcessContext>,
    socket: DatagramSocket,
    status_socket: Option<StatusSocket>,
    membership: Membership,
    configured_fleet_size: usize,
    spans_sites: bool,
    /// Quota divisors that the dispatcher was last told.
    announced_divisors: QuotaDivisors,
    coordination: Option<CoordinationRunner>,
    /// Time to wake the membership, on the clock of unstalled time; `None` if nothing is scheduled.
    wake_at: Option<Micros>,
    /// Total time of the stalls that the membership was told of, in microseconds.
    reported_stall_time: Micros,
    /// Maximum time that a datagram that is read now may have waited unread, in microseconds.
    max_unread_age: Micros,
    sent: SendCounters,
}

impl MembershipActor {
    pub(super) fn new(parts: ActorParts) -> MembershipActor {
        MembershipActor {
            reported_stall_time: parts.context.unstalled_clock.stalled_for(),
            announced_divisors: QuotaDivisors::configured(parts.configured_fleet_size),
            context: parts.context,
            socket: parts.socket,
            status_socket: parts.status_socket,
            membership: parts.membership,
            configured_fleet_size: parts.configured_fleet_size,
            spans_sites: parts.spans_sites,
            coordination: parts.coordination,
            wake_at: None,
            max_unread_age: 0,
            sent: SendCounters::default(),
        }
    }

    /// Returns the site drain plans that an earlier start of this proxy stored. The dispatcher needs them
    /// before its first request.
    pub fn restored_drain_plans(&mut self) -> Vec<Plan> {
        let now = self.context.clock.now();
        let runner = self.coordination.as_mut();
        runner.and_then(|runner| runner.coordination.take_changed_drain_plans(now)).unwrap_or_default()
    }

    /// Runs until the process shuts down. Then releases the leases and tells the other proxies that this one
    /// leaves.
    pub async fn run(mut self) {
        let mut stopping = self.context.stopping.clone();
        let context = self.context.clone();
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let wake_at = self.wake_at.map_or_else(Instant::now, |at| context.unstalled_clock.instant(at));
            tokio::select! {
                biased;
                // Rare events are polled first, as the socket may always be readable.
                _ = stopping.wait_for(Option::is_some) => break,
                stream = status_socket::next_request(&mut self.status_socket) => self.answer_status(stream),
                event = coordination_runner::next_event(&mut self.coordination, &context.clock) => {
                    self.handle_coordination_event(event, &mut buffer).await;
                }
                () = self.socket.readable() => self.handle_readable(&mut buffer).await,
                () = sleep_until(wake_at), if self.wake_at.is_some() => {
                    self.handle_stall();
                    self.wake().await;
                }
            }
        }
        self.call_coordination(|coordination, at, _| coordination.release_leases(at));
        let actions = self.membership.leave();
        self.carry_out(actions).await;
    }

    async fn handle_readable(&mut self, buffer: &mut [u8]) {
        self.handle_stall();
        self.read_datagrams(buffer).await;
        if self.wake_at.is_some_and(|at| at <= self.context.unstalled_clock.now()) {
            self.wake().await;
        }
    }

    async fn handle_coordination_event(&mut self, event: CoordinationEvent, buffer: &mut [u8]) {
        match event {
            CoordinationEvent::Reconfigured(config) => {
                self.call_coordination(|coordination, at, _| coordination.reconfigure(at.now, &config));
            }
            CoordinationEvent::WriteFinished { succeeded } => {
                self.call_coordination(|coordination, at, others| {
                    coordination.write_finished(at, succeeded, others);
                });
            }
            CoordinationEvent::TimerDue => {
                self.handle_stall();
                // Datagrams that have already arrived are handled before decisions are made.
                self.read_datagrams(buffer).await;
                self.call_coordination(|coordination, at, others| coordination.wake(at, others));
                self.exchange_with_dispatcher().await;
            }
        }
    }

    /// Tells the membership of a stall if there was one. Must be called after a wait, before anything else is
    /// done.
    fn handle_stall(&mut self) {
        let stalls = self.context.unstalled_clock.stalled_for();
        let stalled_for = stalls - std::mem::replace(&mut self.reported_stall_time, stalls);
        if stalled_for > 0 {
            self.max_unread_age += stalled_for;
            self.membership.resume_after_stall(self.context.unstalled_clock.now());
        }
    }

    /// Reads and handles the datagrams that have arrived, at most [`READ_BATCH`] of them.
    async fn read_datagrams(&mut self, buffer: &mut [u8]) {
        for _ in 0..READ_BATCH {
            let (length, from) = match self.socket.receive(buffer) {
                Received::Datagram { length, from } => (length, from),
                Received::NoDatagram => {
                    self.max_unread_age = 0;
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

    /// Calls coordination if this proxy takes part in it, and sends the messages that result. The call gets
    /// the names of the other live proxies.
    fn call_coordination(&mut self, call: impl FnOnce(&mut Coordination, CallTime, &[Rc<str>])) {
        let Some(runner) = &mut self.coordination else { return };
        let others: Vec<Rc<str>> = self.membership.alive().map(|peer| peer.name.clone()).collect();
        call(&mut runner.coordination, call_time(&self.context), &others);
        for Datagram { to, payload } in runner.coordination.take_outgoing() {
            if let Some(datagram) = self.membership.encode_payload(&to, &payload) {
                self.send(datagram.to, &datagram.bytes);
            }
        }
    }

    /// Passes the directives in force to the dispatcher, and the dispatcher's observations to coordination,
    /// if a decision interval has passed since the last exchange.
    async fn exchange_with_dispatcher(&mut self) {
        let now = self.context.clock.now();
        let Some(runner) = &mut self.coordination else { return };
        if !runner.start_exchange_if_due(now) {
            return;
        }
        let zone_directives = runner.coordination.take_changed_zone_directives(now);
        let drain_plans = runner.coordination.take_changed_drain_plans(now);
        let (reply, observations) = oneshot::channel();
        // Send errors are ignored: if the dispatcher has ended, the process ends anyway.
        let dispatcher = &self.context.dispatcher;
        let _ = dispatcher.send(DispatcherMessage::TakeObservations(reply)).await;
        if let Some(directives) = zone_directives {
            let _ = dispatcher.send(DispatcherMessage::ZoneDirectives(directives)).await;
        }
        if let Some(plans) = drain_plans {
            let _ = dispatcher.send(DispatcherMessage::SiteDrainPlans(plans)).await;
        }
        if let Ok(observations) = observations.await {
            runner.coordination.report_observations(observations);
        }
    }

    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        // A datagram that cannot be sent now is lost, as any datagram may be.
        match self.socket.send(datagram, to) {
            Ok(bytes) => {
                self.sent.datagrams += 1;
                self.sent.bytes += bytes as u64;
            }
            Err(_) => self.sent.failed += 1,
        }
    }

    /// Carries out the actions that a call of the membership returned.
    pub(super) async fn carry_out(&mut self, actions: Actions) {
        actions.send.into_iter().for_each(|datagram| self.send(datagram.to, &datagram.bytes));
        let age = self.max_unread_age;
        for ReceivedPayload { sender, payload } in actions.payloads {
            self.call_coordination(|coordination, at, others| {
                coordination.receive(at, age, &sender, &payload, others);
            });
        }
        for change in actions.changes {
            if let (Change::Down(gone) | Change::Restarted(gone), Some(runner)) =
                (&change, &mut self.coordination)
            {
                runner.coordination.peer_lost(self.context.clock.now(), &gone.name);
            }
            if let Change::Renumbered(local) = &change {
                let start = local.start;
                self.call_coordination(|coordination, at, others| coordination.renumber(at, start, others));
            }
            self.log_change(&change);
        }
        self.wake_at = actions.wake_at;
        self.announce_quota_divisors().await;
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

    /// Tells the dispatcher the quota divisors if they have changed, unless the fleet may span several sites.
    async fn announce_quota_divisors(&mut self) {
        let snapshot = self.membership.snapshot(self.context.unstalled_clock.now());
        let divisors = QuotaDivisors::from_snapshot(&snapshot, self.configured_fleet_size);
        if divisors != self.announced_divisors && !self.spans_sites {
            self.announced_divisors = divisors;
            // A send error is ignored: if the dispatcher has ended, the process ends anyway.
            let _ = self.context.dispatcher.send(DispatcherMessage::FleetSize(divisors.message())).await;
        }
    }

    fn answer_status(&self, stream: UnixStream) {
        let runner = self.coordination.as_ref();
        let report = StatusReport {
            local: self.membership.local(),
            snapshot: self.membership.snapshot(self.context.unstalled_clock.now()),
            quota_divisor: self.announced_divisors.quota_divisor,
            coordination: runner.map(|runner| runner.coordination.status_json(self.context.clock.now())),
            at_ms: self.context.clock.wall() / 1000,
            dropped: self.membership.dropped(),
            sent: self.sent,
            alive: self.membership.alive().collect(),
        };
        status_socket::answer(stream, report.to_json().to_string());
    }
}
