//! The actor of one link: a socket, the protocol's state, and the words between it and the dispatcher.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::Transfer;
use aldermill_site_link::{Inbound, Link, LinkError};
use slog::{info, warn};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::{LinkRegistry, Unwelcome};
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{DispatcherMessage, LinkEvent, LinkId, LinkMessage};

/// What is read at once, and what is written at once.
const PIECE: usize = 32 * 1024;

/// Why a link is over.
#[derive(Debug, Error)]
enum Over {
    #[error("closed")]
    Closed,
    #[error("not wanted")]
    NotWanted,
    #[error("stopped")]
    Stopped,
    #[error("too slow")]
    TooSlow,
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    #[error("{0}")]
    Broken(LinkError),
    #[error("{0}")]
    Unwelcome(#[from] Unwelcome),
}

pub struct Wire {
    pub context: Rc<ProcessContext>,
    pub yard: Rc<LinkRegistry>,
    pub stream: TcpStream,
    pub from: SocketAddr,
    /// The site that was gone to, where this side opened the link.
    pub gone_to: Option<String>,
    pub connection_guard: ConnectionGuard,
}

impl Wire {
    /// Until the link ends. Says whether the other side was ever met.
    pub async fn run(self) -> bool {
        let id = self.yard.next_id();
        let (context, from) = (self.context.clone(), self.from);
        let mut met = None;
        let why = self.converse(id, &mut met).await;
        match &met {
            Some(peer) => {
                let _ = context
                    .dispatcher
                    .send(DispatcherMessage::Link(LinkMessage { link: id, event: LinkEvent::Lost }))
                    .await;
                warn!(context.log, "link down"; "link" => id, "site" => peer, "peer" => %from, "why" => %why);
            }
            None => warn!(context.log, "link refused"; "peer" => %from, "why" => %why),
        }
        met.is_some()
    }

    async fn converse(mut self, id: LinkId, met: &mut Option<String>) -> Over {
        self.talk(id, met).await.unwrap_or_else(|over| over)
    }

    async fn talk(&mut self, id: LinkId, met: &mut Option<String>) -> Result<Over, Over> {
        let context = self.context.clone();
        let clock = context.unstalled_clock.clone();
        let mut link = Link::new(self.yard.bounds, &self.yard.own, clock.now());
        let (sender, mut said) = mpsc::channel(context.limits.queues.dispatcher);
        let mut sender = Some(sender);
        let mut waiting: Vec<u8> = Vec::new();
        let mut at = 0;
        let mut owing = false;
        let mut bytes = Vec::with_capacity(PIECE);
        loop {
            if at == waiting.len() {
                (waiting, at) = (link.next_bytes(PIECE).unwrap_or_default(), 0);
                if waiting.is_empty() && std::mem::take(&mut owing) {
                    self.connection_guard.stop_metering();
                }
            }
            // Written to the system as far as it takes it; what it does not take, the other side has not taken.
            while at < waiting.len() {
                match self.stream.try_write(&waiting[at..]) {
                    Ok(count) => {
                        at += count;
                        if owing {
                            self.connection_guard.record_progress(count);
                        }
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                        if !std::mem::replace(&mut owing, true) {
                            self.connection_guard.start_metering(Transfer::ToPeer);
                        }
                        break;
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                    Err(error) => return Err(error.into()),
                }
            }
            if at == waiting.len() && !waiting.is_empty() {
                continue;
            }
            let room = link.accepts_input();
            tokio::select! {
                biased;
                () = self.connection_guard.disconnected() => return Err(Over::TooSlow),
                ready = self.stream.readable(), if room => {
                    ready?;
                    match self.stream.try_read_buf(&mut bytes) {
                        Ok(0) => return Ok(Over::Closed),
                        Ok(_) => {}
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                        Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                        Err(error) => return Err(error.into()),
                    }
                    let events = link.receive(clock.now(), &bytes);
                    bytes.clear();
                    let events = match events {
                        Ok(events) => events,
                        Err(why) => {
                            let _ = self.stream.try_write(&Link::close(&why.to_string()));
                            return Err(Over::Broken(why));
                        }
                    };
                    for event in events {
                        if let Inbound::Greeted(peer) = &event {
                            let welcome =
                                self.yard.is_welcome(peer, self.from.ip(), self.gone_to.as_deref());
                            if let Err(why) = welcome {
                                let _ = self.stream.try_write(&Link::close(&why.to_string()));
                                return Err(why.into());
                            }
                            info!(context.log, "link up"; "link" => id, "site" => &peer.site,
                                "instance" => &peer.instance, "peer" => %self.from);
                            *met = Some(peer.site.clone());
                            if let Some(said) = sender.take() {
                                let up = LinkEvent::Up { outbox: said, peer: self.connection_guard.peer };
                                self.tell(id, up).await?;
                            }
                        }
                        self.tell(id, LinkEvent::Received(event)).await?;
                    }
                }
                word = said.recv() => match word {
                    Some(word) => link.send(word),
                    None => {
                        // The dispatcher wants it no more: another link of this peer is from a newer start.
                        self.finish(&mut link, &waiting[at..], "not wanted").await;
                        return Ok(Over::NotWanted);
                    }
                },
                ready = self.stream.writable(), if at < waiting.len() => {
                    ready?;
                }
                () = sleep_until(clock.instant(link.wake_at())) => {
                    if let Err(why) = link.wake(clock.now()) {
                        let _ = self.stream.try_write(&Link::close(&why.to_string()));
                        return Err(Over::Broken(why));
                    }
                }
            }
        }
    }

    /// Says what is left to say, for a short time.
    async fn finish(&mut self, link: &mut Link, waiting: &[u8], why: &str) {
        let mut out = waiting.to_vec();
        while let Some(more) = link.next_bytes(PIECE) {
            out.extend_from_slice(&more);
        }
        out.extend_from_slice(&Link::close(why));
        let write = tokio::io::AsyncWriteExt::write_all(&mut self.stream, &out);
        let _ = timeout(self.context.limits.connections.linger, write).await;
    }

    async fn tell(&self, id: LinkId, call: LinkEvent) -> Result<(), Over> {
        self.context
            .dispatcher
            .send(DispatcherMessage::Link(LinkMessage { link: id, event: call }))
            .await
            .map_err(|_| Over::Stopped)
    }
}

/// Whether a link that was met stood long enough for its address to count as one that can be reached: on a line that
/// breaks often the next attempt is as good as the last.
pub fn stood(since: Instant) -> bool {
    since.elapsed().as_millis() >= 100
}
