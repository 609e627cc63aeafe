//! The actor that follows the list at discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_vigil::apart;
use aldermill_wire::{Buffer, http, json};
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::catalog::Catalog;
use crate::clock::duration;
use crate::context::Context;
use crate::words::Bulletin;

const SILENCE: &str = "silence";

pub struct Watch {
    pub context: Rc<Context>,
    pub desk: mpsc::Sender<Bulletin>,
    /// Where the list comes only on request: the desk's requests.
    pub requests: Option<mpsc::Receiver<()>>,
    pub revision: Option<u64>,
    /// How long it waits before it first asks, so that drivers that start together do not ask together.
    pub first: Duration,
    pub rng: Pcg64Mcg,
}

impl Watch {
    /// Follows the list for ever; whatever goes wrong, the last list stays in force.
    pub async fn run(mut self) {
        let (least, most) = self.context.limits.list_retry;
        let mut moves = self.context.discovery.clone();
        let mut wait = least;
        let mut silent = false;
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
                followed = self.follow(peer, &mut told, &mut silent) => followed,
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
            if !std::mem::replace(&mut silent, true) {
                warn!(self.context.log, "list lost, the last one stays in force";
                    "peer" => %peer, "why" => &why, "revision" => self.revision);
            }
            if self.requests.is_some() {
                if self.desk.send(Bulletin::Unavailable).await.is_err() {
                    return;
                }
            } else if why == SILENCE {
                // It was silent for long enough: what it has to tell counts at once when it speaks again.
                wait = least;
            } else {
                let pause = apart::again(wait.as_micros() as i64, &mut self.rng);
                let moved = timeout(duration(pause), moves.changed()).await.is_ok();
                wait = if moved { least } else { (wait * 2).min(most) };
            }
        }
    }

    /// One watch, until it breaks; `Ok` when nobody wants the list any more.
    async fn follow(&mut self, peer: SocketAddr, told: &mut bool, silent: &mut bool) -> Result<(), String> {
        let context = self.context.clone();
        let limits = &context.limits;
        let mut stream = timeout(limits.list_silence, TcpStream::connect(peer))
            .await
            .map_err(|_| SILENCE.to_owned())?
            .map_err(|error| error.to_string())?;
        let index = self.revision.map_or(String::new(), |revision| format!("&index={revision}"));
        let mut request = Vec::new();
        let path = format!("/catalog/members?stream=1{index}");
        http::get(&mut request, &peer.to_string(), &path);
        stream.write_all(&request).await.map_err(|error| error.to_string())?;

        let mut buffer = Buffer::default();
        let mut lines: Option<http::Lines> = None;
        let mut whole = json::Whole::default();
        loop {
            let read = timeout(limits.list_silence, stream.read_buf(buffer.tail()));
            match read.await {
                Err(_) => return Err(SILENCE.to_owned()),
                Ok(Err(error)) => return Err(error.to_string()),
                Ok(Ok(0)) => return Err("closed".to_owned()),
                Ok(Ok(_)) => {}
            }
            if lines.is_none() {
                let Some(head) =
                    http::head(buffer.held(), limits.list_head).map_err(|bad| bad.to_string())?
                else {
                    continue;
                };
                if head.status != 200 {
                    return Err(format!("status {}", head.status));
                }
                buffer.consume(head.length);
                lines = Some(http::Lines::new(head.body, limits.list_line));
            }
            let Some(lines) = &mut lines else { continue };
            loop {
                let (used, line) = lines.next(buffer.held()).map_err(|bad| bad.to_string())?;
                buffer.consume(used);
                let Some(line) = line else { break };
                if std::mem::take(silent) {
                    info!(context.log, "list back"; "peer" => %peer);
                }
                *told = true;
                // An empty line stands between lists: one that it cuts in two has lost its end.
                if line.trim_ascii().is_empty() {
                    if whole.is_open() {
                        self.revision = None;
                        return Err("a list without its end".to_owned());
                    }
                    continue;
                }
                // Lists may come indented, on many lines.
                let list = whole.add(&line, limits.list_line).map_err(|bad| bad.to_string())?;
                if let Some(list) = list
                    && !self.tell(&list).await?
                {
                    return Ok(());
                }
            }
            if lines.is_over() {
                return Err("ended".to_owned());
            }
        }
    }

    async fn tell(&mut self, line: &[u8]) -> Result<bool, String> {
        let catalog: Catalog = serde_json::from_slice(line).map_err(|error| {
            // What the list holds behind this line is unknown: ask for all of it.
            self.revision = None;
            error.to_string()
        })?;
        if !catalog.complete && self.revision.is_none_or(|revision| catalog.revision < revision) {
            self.revision = None;
            return Err("changes to another list than the one held".to_owned());
        }
        // Counted as held once it is handed on: the watch may be broken off while it waits for that.
        let revision = catalog.revision;
        let taken = self.desk.send(Bulletin::List(catalog)).await.is_ok();
        self.revision = Some(revision);
        Ok(taken)
    }
}
