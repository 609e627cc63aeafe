//! The actor that accepts clients and keeps them within their share of descriptors.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::Buffer;
use slog::{error, info, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

use crate::client::{Client, Seat, turn_away};
use crate::context::Context;
use crate::gate::Presence;
use crate::system::Acceptor;
use crate::words::{ClientId, Mail};

struct Guest {
    seat: Rc<Seat>,
    address: mpsc::Sender<Mail>,
}

/// Serves until the driver is to stop and the last client has its answer.
pub async fn run(context: Rc<Context>, listener: TcpListener) {
    let mut stopping = context.stopping.clone();
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    let mut hall = Hall::new(context);
    let mut closes_at: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            Some(left) = hall.clients.join_next_with_id() => hall.left(left),
            Some(_) = hall.turned_away.join_next() => {}
            Ok(window) = stopping.wait_for(Option::is_some), if closes_at.is_none() => {
                closes_at = *window;
                info!(hall.context.log, "stopping"; "clients" => hall.guests.len());
            }
            () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() => break,
            (stream, from) = acceptor.next() => {
                hall.receive(stream, from.ip());
                // However many come at once, those already here are served in between.
                task::yield_now().await;
            }
        }
    }
    // Those that the system had accepted by then are served, too; it is asked once more who they are.
    task::yield_now().await;
    while let Some((stream, from)) = acceptor.next_waiting().await {
        while let Some(left) = hall.clients.try_join_next_with_id() {
            hall.left(left);
        }
        hall.receive(stream, from.ip());
    }
    drop(acceptor);
    while let Some(left) = hall.clients.join_next_with_id().await {
        hall.left(left);
    }
    // Who was told that there is no room is to read that: a process that ends resets what is left.
    while hall.turned_away.join_next().await.is_some() {}
}

/// The clients that are there.
struct Hall {
    context: Rc<Context>,
    guests: HashMap<task::Id, Guest>,
    clients: JoinSet<()>,
    turned_away: JoinSet<()>,
    next_id: ClientId,
    full: bool,
    keepalive: TcpKeepalive,
}

impl Hall {
    fn new(context: Rc<Context>) -> Hall {
        let time = context.limits.keepalive;
        Hall {
            context,
            guests: HashMap::new(),
            clients: JoinSet::new(),
            turned_away: JoinSet::new(),
            next_id: 0,
            full: false,
            keepalive: TcpKeepalive::new().with_time(time).with_interval(time / 3),
        }
    }

    fn receive(&mut self, stream: TcpStream, from: IpAddr) {
        let _ = stream.set_nodelay(true);
        // Ends connections whose other side is gone without a word.
        let _ = SockRef::from(&stream).set_tcp_keepalive(&self.keepalive);
        let served = |guest: &&Guest| guest.seat.served.get();
        // Those who are slow to read take no place of the others': they give way by themselves.
        let regular = |guest: &&Guest| served(guest) && !guest.seat.stuck.get();
        if self.guests.values().filter(regular).count() >= self.context.limits.regulars {
            self.ask_to_yield(Duration::ZERO, served);
        }
        let place = self.guests.len() < self.context.limits.clients || self.makes_room();
        if let Some(presence) = place.then(|| self.context.gate.meet(from).ok()).flatten() {
            self.admit(stream, presence);
        } else if self.turned_away.len() < self.context.limits.turned_away {
            self.turned_away.spawn_local(turn_away(self.context.clone(), stream));
        }
    }

    /// At the clients' share, one that is too slow is closed for a new one, else one without a task.
    fn makes_room(&mut self) -> bool {
        let limits = &self.context.limits;
        if !std::mem::replace(&mut self.full, true) {
            warn!(self.context.log, "client share of descriptors used up, idle ones are closed, else new ones denied";
                "clients" => self.guests.len());
        }
        if self.guests.len() >= limits.clients + limits.yielding {
            return false;
        }
        self.context.gate.frees_a_place() || self.ask_to_yield(self.context.limits.between, |_| true)
    }

    /// Of these guests without a task, one that never had any is closed first, else the one idle longest. Protects
    /// those who are between two tasks from a flood of newcomers. Harms one newcomer where all are between two.
    fn ask_to_yield(&self, between: Duration, whom: impl Fn(&&Guest) -> bool) -> bool {
        let idle = self.guests.values().filter(whom).filter(|guest| {
            let since = guest.seat.idle_since.get();
            since.is_some_and(|since| !guest.seat.served.get() || since.elapsed() >= between)
        });
        let rank = |guest: &&Guest| (guest.seat.served.get(), guest.seat.idle_since.get());
        let Some(guest) = idle.min_by_key(rank) else { return false };
        guest.seat.idle_since.set(None);
        guest.address.try_send(Mail::Yield).is_ok()
    }

    fn admit(&mut self, stream: TcpStream, presence: Presence) {
        let id = self.next_id;
        self.next_id += 1;
        // Room for the answers it may wait for and a request to yield.
        let (address, mailbox) = mpsc::channel(self.context.limits.pipelined + 4);
        let seat = Rc::new(Seat::default());
        let guest = Guest { seat: seat.clone(), address: address.clone() };
        let client = Client {
            context: self.context.clone(),
            id,
            stream,
            presence,
            unread: 0,
            left: None,
            sending: false,
            read: None,
            old: None,
            buffer: Buffer::default(),
            seat,
            mailbox,
            address,
            connected: Instant::now(),
            owed: VecDeque::new(),
            asked: 0,
        };
        let task = self.clients.spawn_local(client.run());
        self.guests.insert(task.id(), guest);
    }

    fn left(&mut self, left: Result<(task::Id, ()), JoinError>) {
        let id = left.map_or_else(
            |error| {
                error!(self.context.log, "a client's actor failed"; "why" => %error);
                error.id()
            },
            |(id, ())| id,
        );
        self.guests.remove(&id);
        if self.guests.len() < self.context.limits.clients / 2 && std::mem::take(&mut self.full) {
            info!(self.context.log, "room for clients again"; "clients" => self.guests.len());
        }
    }
}
