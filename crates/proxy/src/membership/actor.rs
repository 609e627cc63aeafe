//! The actor that carries datagrams between this driver and the others of its fleet. What is said and believed is
//! `crates/membership`'; the dispatcher is told how many live.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_leases::Incarnation;
use aldermill_membership::{
    Actions, Change, DroppedDatagrams, LocalPeer, Micros, Peer, ProtocolPeriods, SeedAddress, Snapshot,
};
use aldermill_operator_config::{CoordinationConfig as Wanted, MembershipConfig as Terms};
use aldermill_site_drain::Plan;
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use crate::coordination::{CallTime, Coordination, DECISION_INTERVAL, Datagram};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::status_socket;
use crate::messages::{DispatcherMessage, FleetSize};
use crate::persistence::DataDirectory;
use crate::system::{self, Acceptor, Datagrams, Received};

/// Datagrams read before it is looked whether anything is due.
const TURN: usize = 64;

/// What is decided in common: what the operator wants, where it is kept, the own zone and the longest time
/// limit of a request, and what the operator wants from later on.
pub struct CoordinationStart {
    pub wanted: Wanted,
    pub folder: Option<Rc<DataDirectory>>,
    pub place: (usize, Micros),
    pub reread: watch::Receiver<Option<Wanted>>,
}

pub struct MembershipActor {
    context: Rc<ProcessContext>,
    socket: Datagrams,
    status: Option<Acceptor<UnixListener>>,
    fellows: aldermill_membership::Membership,
    /// The settings' figure.
    told: usize,
    /// The fleet may be that of several sites: how many of it are at this one is not known, so room is shared as told.
    spans: bool,
    /// What the dispatcher was last told: by how many room is shared, and at cold members.
    shared: (usize, usize),
    wake_at: Option<Micros>,
    stood: Micros,
    /// How long what is read now may have waited unread.
    age: Micros,
    sees_at: Micros,
    /// What is decided in common, where that is wanted, and word of each of its writes to the disk.
    council: Option<(Coordination, mpsc::Receiver<bool>)>,
    /// The operator's wishes for it, once they are read anew.
    reread: Option<watch::Receiver<Option<Wanted>>>,
    /// Datagrams and bytes sent, and datagrams that could not be.
    sent: (u64, u64),
    unsent: u64,
}

impl MembershipActor {
    pub async fn open(
        context: Rc<ProcessContext>,
        terms: Terms,
        wanted: Option<CoordinationStart>,
        (name, drivers, spans): (&str, usize, bool),
        seed: u64,
    ) -> Result<MembershipActor, ProgramError> {
        let listen = terms.listen;
        let bound = system::bind_datagrams(listen).await;
        let socket = bound.map_err(|source| ProgramError::Listen {
            field: "membership.listen",
            address: listen,
            source,
        })?;
        let socket = Datagrams::new(socket, context.log.clone());
        let own = LocalPeer {
            fleet: terms.fleet,
            name: name.to_owned(),
            address: terms.address.unwrap_or(listen),
            start: context.clock.wall().max(1) as u64,
        };
        info!(context.log, "fellows"; "fleet" => &own.fleet, "listen" => %listen, "address" => %own.address);
        let peers = terms
            .peers
            .into_iter()
            .map(|peer| SeedAddress { name: peer.name, address: peer.address })
            .collect();
        let status = terms
            .status
            .and_then(|path| status_socket::listen(&path, &context.log))
            .map(|listener| Acceptor::new(listener, context.log.clone()));
        let (tempo, now) = (ProtocolPeriods::for_fleet_of(drivers), context.unstalled_clock.now());
        let start = own.start;
        let mut reread = None;
        let council = match wanted {
            Some(CoordinationStart { wanted, folder, place, reread: again }) => {
                reread = Some(again);
                let (own, log) = (Incarnation { name: name.to_owned(), start }, context.log.clone());
                let opened = Coordination::open(
                    wanted,
                    own,
                    folder,
                    place,
                    moment(&context),
                    seed.rotate_left(3),
                    log,
                );
                Some(opened?)
            }
            None => None,
        };
        let (fellows, actions) =
            aldermill_membership::Membership::start(now, own, peers, terms.networks, tempo, drivers, seed);
        let stood = context.unstalled_clock.stalled_for();
        let (shared, told) = ((drivers, drivers), drivers);
        let mut company = MembershipActor {
            context,
            socket,
            status,
            fellows,
            told,
            spans,
            shared,
            wake_at: None,
            stood,
            age: 0,
            sees_at: now,
            council,
            reread,
            sent: (0, 0),
            unsent: 0,
        };
        company.carry_out(actions).await;
        Ok(company)
    }

    /// What an earlier start knew of sites that retire, before the dispatcher takes its first request.
    pub fn bound(&mut self) -> Vec<Plan> {
        let now = self.context.clock.now();
        self.council.as_mut().and_then(|(council, _)| council.drain_plans(now)).unwrap_or_default()
    }

    /// Until the driver is to stop; then the others are told.
    pub async fn run(mut self) {
        let mut stopping = self.context.stopping.clone();
        let mut bytes = [0; 2048];
        loop {
            let wake_at =
                self.wake_at.map_or_else(Instant::now, |at| self.context.unstalled_clock.instant(at));
            let council_at =
                self.council.as_ref().map(|(council, _)| self.context.clock.instant(council.wake_at()));
            let asked = async {
                match &mut self.status {
                    Some(acceptor) => acceptor.next().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // Seldom, and before what may never end.
                _ = stopping.wait_for(Option::is_some) => break,
                stream = asked => self.describe(stream),
                Some(wanted) = anew(&mut self.reread) => self.counsel(|council, at, _| council.reconfigure(at.now, wanted)),
                Some(well) = confirmed(&mut self.council) => {
                    self.counsel(|council, at, others| council.write_confirmed(at, well, others));
                }
                () = sleep_until(council_at.unwrap_or_else(Instant::now)), if council_at.is_some() => {
                    self.listens_up();
                    // What came before is heard before it is acted on.
                    self.read(&mut bytes).await;
                    self.counsel(|council, at, others| council.wake(at, others));
                    self.sees().await;
                }
                () = self.socket.readable() => {
                    self.listens_up();
                    self.read(&mut bytes).await;
                    // A flood of datagrams keeps nothing from what is due.
                    if self.wake_at.is_some_and(|at| at <= self.context.unstalled_clock.now()) {
                        self.wake().await;
                    }
                }
                () = sleep_until(wake_at), if self.wake_at.is_some() => {
                    self.listens_up();
                    self.wake().await;
                }
            }
        }
        self.counsel(|council, at, _| council.release_leases(at));
        let actions = self.fellows.leave();
        self.carry_out(actions).await;
    }

    /// Before anything else that is done after a standstill.
    fn listens_up(&mut self) {
        let stood = self.context.unstalled_clock.stalled_for();
        let long = stood - std::mem::replace(&mut self.stood, stood);
        if long > 0 {
            self.age += long;
            self.fellows.resume_after_stall(self.context.unstalled_clock.now());
        }
    }

    /// What has come, up to a turn's worth of it.
    async fn read(&mut self, bytes: &mut [u8]) {
        for _ in 0..TURN {
            let (length, from) = match self.socket.receive(bytes) {
                Received::Datagram { length, from } => (length, from),
                Received::Nothing => {
                    // All that waited has been read.
                    self.age = 0;
                    return;
                }
                Received::Failed => return,
            };
            let now = self.context.unstalled_clock.now();
            let actions = self.fellows.receive(now, from.ip(), &bytes[..length]);
            self.carry_out(actions).await;
        }
    }

    /// Asks the council, where there is one, and sends what it says.
    fn counsel(&mut self, ask: impl FnOnce(&mut Coordination, CallTime, &[Rc<str>])) {
        let Some((council, _)) = &mut self.council else { return };
        let others: Vec<Rc<str>> = self.fellows.alive().map(|fellow| fellow.name.clone()).collect();
        ask(council, moment(&self.context), &others);
        for Datagram { to, payload } in council.take_outgoing() {
            if let Some((address, datagram)) = self.fellows.encode_payload(&to, &payload) {
                self.send(address, &datagram);
            }
        }
    }

    /// Once a second: the dispatcher says what it saw, and hears what is decreed.
    async fn sees(&mut self) {
        let now = self.context.clock.now();
        let Some((council, _)) = &mut self.council else { return };
        if now < self.sees_at {
            return;
        }
        self.sees_at = now + DECISION_INTERVAL;
        let (leans, plans) = (council.zone_leans(now), council.drain_plans(now));
        let (asked, told) = oneshot::channel();
        let _ = self.context.dispatcher.send(DispatcherMessage::TakeObservations(asked)).await;
        if let Some(leans) = leans {
            let _ = self.context.dispatcher.send(DispatcherMessage::ZoneDirectives(leans)).await;
        }
        if let Some(plans) = plans {
            let _ = self.context.dispatcher.send(DispatcherMessage::SiteDrainPlans(plans)).await;
        }
        if let (Ok(seen), Some((council, _))) = (told.await, &mut self.council) {
            council.observed(seen);
        }
    }

    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        // What cannot be sent now is lost, as any datagram may be.
        match self.socket.send(datagram, to) {
            Ok(bytes) => self.sent = (self.sent.0 + 1, self.sent.1 + bytes as u64),
            Err(_) => self.unsent += 1,
        }
    }

    async fn wake(&mut self) {
        let actions = self.fellows.wake(self.context.unstalled_clock.now());
        self.carry_out(actions).await;
    }

    async fn carry_out(&mut self, actions: Actions) {
        actions.send.into_iter().for_each(|(to, datagram)| self.send(to, &datagram));
        let age = self.age;
        for (from, words) in actions.words {
            self.counsel(|council, at, others| council.receive(at, age, &from, &words, others));
        }
        for change in actions.changes {
            if let (Change::Down(gone) | Change::Restarted(gone), Some((council, _))) =
                (&change, &mut self.council)
            {
                council.peer_gone(self.context.clock.now(), &gone.name);
            }
            let (what, of) = match &change {
                Change::Up(fellow) => ("fellow up", Some(fellow)),
                Change::Down(fellow) => ("fellow down", Some(fellow)),
                Change::Restarted(fellow) => ("fellow restarted", Some(fellow)),
                Change::Rejoined => ("taken for dead by the others, and back", None),
                Change::Superseded(fellow) => {
                    ("a later start has this name, silent from now on", Some(fellow))
                }
            };
            let of = of.map(|of| format!("{} started {} at {}", of.name, of.start, of.address));
            match change {
                Change::Rejoined | Change::Superseded(_) => warn!(self.context.log, "{}", what; "by" => of),
                _ => info!(self.context.log, "{}", what; "fellow" => of),
            }
        }
        self.wake_at = actions.wake_at;
        let view = self.fellows.view(self.context.unstalled_clock.now());
        let shared = (view.quota_divisor(self.told), view.warm_up_quota_divisor(self.told));
        if shared != self.shared && !self.spans {
            self.shared = shared;
            // A dispatcher that is gone ends the program by itself.
            let _ = self
                .context
                .dispatcher
                .send(DispatcherMessage::FleetSize(FleetSize {
                    sharing_warm: shared.0,
                    sharing_warming_up: shared.1,
                }))
                .await;
        }
    }

    /// Says what is known here, as one JSON object.
    fn describe(&self, mut stream: UnixStream) {
        let view = self.fellows.view(self.context.unstalled_clock.now());
        let text = json!({"self": fellow(self.fellows.own()), "view": seen(view), "room_shared_by": self.shared.0,
            "council": self.council.as_ref().map(|(council, _)| council.describe(self.context.clock.now())),
            "at_ms": self.context.clock.wall() / 1000, "dropped": dropped(self.fellows.dropped()), "sent": {"datagrams": self.sent.0, "bytes": self.sent.1}, "not_sent": self.unsent,
            "fellows": self.fellows.alive().map(fellow).collect::<Vec<_>>()});
        // Whoever asked and does not read keeps nobody waiting.
        spawn_local(async move {
            let _ = stream.write_all(format!("{text}\n").as_bytes()).await;
        });
    }
}

/// The router's clock stands for the wall clock, which may be stepped: it never steps, and began with it.
fn moment(context: &ProcessContext) -> CallTime {
    let now = context.clock.now();
    CallTime { now, wall: (now / 1000).max(1) as u64 }
}

/// The next word on a write of the council's, where there is one.
async fn confirmed(council: &mut Option<(Coordination, mpsc::Receiver<bool>)>) -> Option<bool> {
    match council {
        Some((_, confirmed)) => confirmed.recv().await,
        None => None,
    }
}

/// The operator's wishes, when they are read anew.
async fn anew(reread: &mut Option<watch::Receiver<Option<Wanted>>>) -> Option<Wanted> {
    if let Some(reread) = reread
        && reread.changed().await.is_ok()
    {
        return reread.borrow_and_update().clone();
    }
    std::future::pending().await
}

fn fellow(of: &Peer) -> Value {
    json!({"name": &*of.name, "start": of.start, "turn": of.turn, "address": of.address.to_string()})
}

fn seen(view: Snapshot) -> Value {
    let Snapshot { alive, seen, sure, may_be_smaller } = view;
    json!({"alive": alive, "most_seen": seen, "sure": sure, "may_be_smaller": may_be_smaller})
}

fn dropped(of: DroppedDatagrams) -> Value {
    let DroppedDatagrams { stranger, not_ours, version, fleet, unusable } = of;
    json!({"stranger": stranger, "not_ours": not_ours, "version": version, "fleet": fleet, "unusable": unusable})
}
