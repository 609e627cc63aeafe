//! The actor that accepts clients and keeps them within their share of descriptors.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_wire::Buffer;
use slog::{info, warn};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::{Client, Seat, turn_away};
use crate::context::Context;
use crate::desk::{ClientId, Mail};

/// A listening socket; a port that an earlier run left in TIME_WAIT is no obstacle.
pub fn bind(address: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

struct Guest {
    seat: Rc<Seat>,
    address: mpsc::Sender<Mail>,
}

/// Serves until the driver is to stop and the last client has its answer.
pub async fn run(context: Rc<Context>, listener: TcpListener) {
    let limits = context.limits.clone();
    let keepalive = TcpKeepalive::new().with_time(limits.keepalive).with_interval(limits.keepalive / 3);
    let mut stopping = context.stopping.clone();
    let mut guests: HashMap<ClientId, Guest> = HashMap::new();
    let mut clients = JoinSet::new();
    let mut turned_away = JoinSet::new();
    let mut next_id: ClientId = 0;
    let mut full = false;
    let mut listener = Some(listener);
    let mut closes_at: Option<Instant> = None;
    while listener.is_some() || !clients.is_empty() {
        tokio::select! {
            Some(left) = clients.join_next() => {
                if let Ok(id) = left {
                    guests.remove(&id);
                }
                if guests.len() < limits.clients / 2 && std::mem::take(&mut full) {
                    info!(context.log, "room for clients again"; "clients" => guests.len());
                }
            }
            Some(_) = turned_away.join_next() => {}
            Ok(window) = stopping.wait_for(Option::is_some), if closes_at.is_none() => {
                closes_at = *window;
                info!(context.log, "stopping"; "clients" => guests.len());
            }
            () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() && listener.is_some() => {
                listener = None;
            }
            accepted = async { listener.as_ref().expect("guarded").accept().await }, if listener.is_some() => {
                let stream = match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        warn!(context.log, "accepting failed"; "why" => %error);
                        sleep(limits.sweep / 100).await;
                        continue;
                    }
                };
                let _ = stream.set_nodelay(true);
                // Ends connections whose other side is gone without a word.
                let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
                if guests.len() >= limits.clients {
                    if !std::mem::replace(&mut full, true) {
                        warn!(context.log, "client share of descriptors used up, idle ones are closed, \
                            else new ones denied"; "clients" => guests.len());
                    }
                    let idle = guests.values().filter(|guest| guest.seat.idle_since.get().is_some());
                    let oldest = idle.min_by_key(|guest| guest.seat.idle_since.get());
                    let yielded = oldest.is_some_and(|guest| {
                        guest.seat.idle_since.set(None);
                        guest.address.try_send(Mail::Yield).is_ok()
                    });
                    if !yielded {
                        if turned_away.len() < limits.turned_away {
                            turned_away.spawn_local(turn_away(context.clone(), stream));
                        }
                        continue;
                    }
                }
                let id = next_id;
                next_id += 1;
                let (address, mailbox) = mpsc::channel(4);
                let seat = Rc::new(Seat::default());
                guests.insert(id, Guest { seat: seat.clone(), address: address.clone() });
                let buffer = Buffer::default();
                let client = Client { context: context.clone(), id, stream, buffer, seat, mailbox, address, served: false };
                clients.spawn_local(async move {
                    client.run().await;
                    id
                });
            }
        }
    }
}
