//! The actor that follows the list at discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_stall_detection::start_jitter;
use aldermill_wire::{Buffer, Malformed, http, json};
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::clock::duration;
use crate::lifecycle::limits::RetryInterval;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::ListUpdate;
use crate::system::{self, Party, SocketErrorKind};

/// So much within the time of silence is no silence, though no line has come to its end: a long list on a slow line.
const COMES: usize = 8 * 1024;

/// Why a watch is over. What of it an operator can do stands in docs/on-call.md at `list lost`.
#[derive(Debug, Error)]
enum Lost {
    #[error("silence")]
    Silence,
    /// Not a byte came since it was asked.
    #[error("no connection, or no answer on it")]
    Mute,
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    #[error("closed")]
    Closed,
    #[error("ended")]
    Ended,
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Answer(Malformed),
    #[error("a list without its end")]
    Half,
    #[error("{0}")]
    List(serde_json::Error),
    #[error("changes to another list than the one held")]
    Other,
}

impl Lost {
    /// This machine could open no connection: nothing is known of discovery.
    fn is_local(&self) -> bool {
        matches!(self, Lost::Connection(error) if SocketErrorKind::of(error) == SocketErrorKind::Local)
    }
}

pub struct Watch {
    pub context: Rc<ProcessContext>,
    pub dispatcher: mpsc::Sender<ListUpdate>,
    /// Where the list comes only on request: the dispatcher's requests.
    pub requests: Option<mpsc::Receiver<()>>,
    pub revision: Option<u64>,
    /// How long it waits before it first asks, so that drivers that start together do not ask together.
    pub first: Duration,
    pub rng: Pcg64Mcg,
}

impl Watch {
    /// Follows the list for ever; whatever goes wrong, the last list stays in force.
    pub async fn run(mut self) {
        let RetryInterval { initial: least, max: most } = self.context.limits.discovery.retry;
        let mut moves = self.context.discovery.clone();
        let mut wait = least;
        let mut silent = false;
        let mut opening = self.context.limits.discovery.first_byte_timeout;
        let mut wanted = self.requests.is_none();
        if wanted {
            sleep(self.first).await;
        }
        loop {
            if let Some(requests) = &mut self.requests
                && !std::mem::take(&mut wanted)
                && requests.recv().await.is_none()
            {
                return;
            }
            let peer = *moves.borrow_and_update();
            let mut told = false;
            let followed = tokio::select! {
                followed = self.follow(peer, opening, &mut told, &mut silent) => followed,
                Ok(()) = moves.changed() => {
                    info!(self.context.log, "discovery moved, asked there for what has changed";
                        "from" => %peer, "revision" => self.revision);
                    (wait, wanted) = (least, true);
                    continue;
                }
            };
            let Err(why) = followed else { return };
            if told {
                wait = least;
            }
            // Discovery that is slow to speak is given longer, up to what is silence in any case.
            opening = match why {
                Lost::Mute => (opening * 2).min(self.context.limits.discovery.silence_timeout),
                _ => self.context.limits.discovery.first_byte_timeout,
            };
            if !std::mem::replace(&mut silent, true) {
                warn!(self.context.log, "list lost, the last one stays in force";
                    "peer" => %peer, "why" => %why, "revision" => self.revision);
            }
            if self.requests.is_some() {
                if self.dispatcher.send(ListUpdate::Unavailable).await.is_err() {
                    return;
                }
            } else if matches!(why, Lost::Silence | Lost::Mute) {
                // It was silent for long enough: what it has to tell counts at once when it speaks again.
                wait = least;
            } else if why.is_local() {
                // Discovery goes on telling, and nothing of the call came to it.
                sleep(least).await;
            } else {
                let pause = start_jitter::retry_delay(wait.as_micros() as i64, &mut self.rng);
                let moved = timeout(duration(pause), moves.changed()).await.is_ok();
                wait = if moved { least } else { (wait * 2).min(most) };
            }
        }
    }

    /// One watch, until it breaks; `Ok` when nobody wants the list any more.
    async fn follow(
        &mut self,
        peer: SocketAddr,
        opening: Duration,
        told: &mut bool,
        silent: &mut bool,
    ) -> Result<(), Lost> {
        let context = self.context.clone();
        let limits = &context.limits;
        // By when the first bytes must be here, the time to connect included.
        let mut due = Instant::now() + opening;
        let mut stream = timeout_at(due, system::connect(peer, None)).await.map_err(|_| Lost::Mute)??;
        let index = self.revision.map_or(String::new(), |revision| format!("&index={revision}"));
        let mut request = Vec::new();
        let path = format!("/catalog/members?stream=1{index}");
        http::get(&mut request, &peer.to_string(), &path);
        system::write_all(Party::Discovery, &mut stream, &request).await?;

        let mut buffer = Buffer::default();
        let mut lines: Option<http::Lines> = None;
        let mut whole = json::Whole::default();
        let mut mute = true;
        let mut came = 0;
        loop {
            match timeout_at(due, system::read(Party::Discovery, &mut stream, buffer.tail())).await {
                Err(_) if mute => return Err(Lost::Mute),
                Err(_) if came >= COMES => {
                    (due, came) = (Instant::now() + limits.discovery.silence_timeout, 0)
                }
                Err(_) => return Err(Lost::Silence),
                Ok(read) => match read? {
                    0 => return Err(Lost::Closed),
                    count => came += count,
                },
            }
            // By when a line must be whole, or enough of one have come: bytes that trickle tell nothing.
            if std::mem::take(&mut mute) {
                due = Instant::now() + limits.discovery.silence_timeout;
            }
            if lines.is_none() {
                let Some(head) =
                    http::head(buffer.held(), limits.discovery.response_head).map_err(Lost::Answer)?
                else {
                    continue;
                };
                if head.status != 200 {
                    return Err(Lost::Status(head.status));
                }
                buffer.consume(head.length);
                lines = Some(http::Lines::new(head.body, limits.discovery.list_line));
            }
            let Some(lines) = &mut lines else { continue };
            loop {
                let (used, line) = lines.next(buffer.held()).map_err(Lost::Answer)?;
                buffer.consume(used);
                let Some(line) = line else { break };
                if std::mem::take(silent) {
                    info!(context.log, "list back"; "peer" => %peer);
                }
                *told = true;
                (due, came) = (Instant::now() + limits.discovery.silence_timeout, 0);
                // An empty line stands between lists: one that it cuts in two has lost its end.
                if line.trim_ascii().is_empty() {
                    if whole.is_open() {
                        self.revision = None;
                        return Err(Lost::Half);
                    }
                    continue;
                }
                // Lists may come indented, on many lines.
                let list = whole.add(&line, limits.discovery.list_line).map_err(Lost::Answer)?;
                if let Some(list) = list
                    && !self.tell(&list).await?
                {
                    return Ok(());
                }
            }
            if lines.is_over() {
                return Err(Lost::Ended);
            }
        }
    }

    async fn tell(&mut self, line: &[u8]) -> Result<bool, Lost> {
        let catalog: EndpointList = serde_json::from_slice(line).map_err(|error| {
            // What the list holds behind this line is unknown: ask for all of it.
            self.revision = None;
            Lost::List(error)
        })?;
        if !catalog.complete && self.revision.is_none_or(|revision| catalog.revision < revision) {
            self.revision = None;
            return Err(Lost::Other);
        }
        // Counted as held once it is handed on: the watch may be broken off while it waits for that.
        let revision = catalog.revision;
        let taken = self.dispatcher.send(ListUpdate::Received(catalog)).await.is_ok();
        self.revision = Some(revision);
        Ok(taken)
    }
}
