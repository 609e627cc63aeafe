//! The actor that watches the endpoint list at discovery.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_stall_detection::start_jitter;
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use super::endpoint_list::EndpointList;
use super::error::WatchError;
use super::stream::ListStream;
use crate::lifecycle::clock::duration;
use crate::lifecycle::limits::DiscoveryLimits;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::ListUpdate;

/// The dispatcher is gone, and nobody wants the endpoint list any more.
struct DispatcherGone;

/// What the actor does next.
enum State {
    /// Waits until the dispatcher wants the list; that is always where discovery streams it.
    Idle,
    /// Watches at the address that is configured now.
    Watching,
    /// A watch failed: the loss is reported, and there is a wait before the next one.
    Failed {
        /// Where discovery was asked.
        peer: SocketAddr,
        error: WatchError,
    },
}

/// How the endpoint list is watched.
pub struct WatchConfig {
    /// The dispatcher's requests, where the list is fetched only on request; `None` where discovery streams it.
    pub requests: Option<mpsc::Receiver<()>>,
    /// The revision of the list that a former start saved, if there is one.
    pub revision: Option<u64>,
    /// The wait before the first watch, so that processes that start together do not ask together.
    pub start_delay: Duration,
    /// Draws the random part of the waits between watches.
    pub rng: Pcg64Mcg,
}

/// Watches the endpoint list at discovery. Whatever goes wrong, the last list stays in force.
pub struct Watch {
    context: Rc<ProcessContext>,
    dispatcher: mpsc::Sender<ListUpdate>,
    /// As in [`WatchConfig::requests`].
    requests: Option<mpsc::Receiver<()>>,
    /// The revision of the list that the dispatcher has; `None` where the whole list has to be fetched.
    revision: Option<u64>,
    start_delay: Duration,
    rng: Pcg64Mcg,
    /// The wait after the next failure.
    backoff: Duration,
    /// How long the next watch waits for the first bytes, the time to connect included.
    first_byte_timeout: Duration,
    /// Whether a line was received on the current watch.
    has_received_line: bool,
    /// A watch failed since the last line, and that was logged.
    is_lost: bool,
}

impl Watch {
    /// A watch that sends its updates to `dispatcher`.
    pub fn new(
        context: Rc<ProcessContext>,
        dispatcher: mpsc::Sender<ListUpdate>,
        config: WatchConfig,
    ) -> Watch {
        let limits = &context.limits.discovery;
        Watch {
            backoff: limits.retry.initial,
            first_byte_timeout: limits.first_byte_timeout,
            context,
            dispatcher,
            requests: config.requests,
            revision: config.revision,
            start_delay: config.start_delay,
            rng: config.rng,
            has_received_line: false,
            is_lost: false,
        }
    }

    /// Watches until the dispatcher is gone.
    pub async fn run(mut self) {
        let Err(DispatcherGone) = self.run_states().await;
    }

    async fn run_states(&mut self) -> Result<Infallible, DispatcherGone> {
        let mut address = self.context.discovery.clone();
        if self.requests.is_none() {
            sleep(self.start_delay).await;
        }
        let mut state = State::Idle;
        loop {
            state = match state {
                State::Idle => {
                    self.wait_until_wanted().await?;
                    State::Watching
                }
                State::Watching => self.watch(&mut address).await?,
                State::Failed { peer, error } => {
                    self.recover(peer, &error, &mut address).await?;
                    State::Idle
                }
            };
        }
    }

    async fn wait_until_wanted(&mut self) -> Result<(), DispatcherGone> {
        match &mut self.requests {
            Some(requests) => requests.recv().await.ok_or(DispatcherGone),
            None => Ok(()),
        }
    }

    /// One watch, until it fails or discovery gets another address.
    async fn watch(&mut self, address: &mut watch::Receiver<SocketAddr>) -> Result<State, DispatcherGone> {
        let peer = *address.borrow_and_update();
        self.has_received_line = false;
        let followed = tokio::select! {
            followed = self.follow(peer) => followed,
            Ok(()) = address.changed() => {
                info!(self.context.log, "discovery address changed, watching the new one";
                    "from" => %peer, "revision" => self.revision);
                self.backoff = self.limits().retry.initial;
                return Ok(State::Watching);
            }
        };
        match followed {
            Ok(gone) => Err(gone),
            Err(error) => Ok(State::Failed { peer, error }),
        }
    }

    /// Passes on what discovery sends, until that ends.
    async fn follow(&mut self, peer: SocketAddr) -> Result<DispatcherGone, WatchError> {
        let limits = &self.context.limits.discovery;
        let mut stream = ListStream::open(peer, self.revision, self.first_byte_timeout, limits).await?;
        loop {
            stream.read().await?;
            while let Some(line) = stream.next_line()? {
                self.line_received(peer);
                let Some(text) = stream.add_line(&line)? else { continue };
                let update = self.parse(&text)?;
                if let Err(gone) = self.pass_on(update).await {
                    return Ok(gone);
                }
            }
        }
    }

    fn line_received(&mut self, peer: SocketAddr) {
        self.has_received_line = true;
        if std::mem::take(&mut self.is_lost) {
            info!(self.context.log, "discovery watch restored"; "peer" => %peer);
        }
    }

    /// The update in this text. Changes have to follow on the list that the dispatcher has.
    fn parse(&self, text: &[u8]) -> Result<EndpointList, WatchError> {
        let update: EndpointList = serde_json::from_slice(text).map_err(WatchError::InvalidList)?;
        let received = update.revision;
        if !update.complete && self.revision.is_none_or(|revision| received < revision) {
            return Err(WatchError::RevisionGap { received });
        }
        Ok(update)
    }

    async fn pass_on(&mut self, update: EndpointList) -> Result<(), DispatcherGone> {
        let revision = update.revision;
        let sent = self.dispatcher.send(ListUpdate::Received(update)).await;
        // Only now: a change of the address may cancel the watch while it waits for the dispatcher.
        self.revision = Some(revision);
        sent.map_err(|_| DispatcherGone)
    }

    /// Reports a loss, and waits until the next watch is due.
    async fn recover(
        &mut self,
        peer: SocketAddr,
        error: &WatchError,
        address: &mut watch::Receiver<SocketAddr>,
    ) -> Result<(), DispatcherGone> {
        if error.invalidates_revision() {
            self.revision = None;
        }
        if self.has_received_line {
            self.backoff = self.limits().retry.initial;
        }
        self.adapt_first_byte_timeout(error);
        self.log_loss(peer, error);
        if self.requests.is_some() {
            return self.dispatcher.send(ListUpdate::Unavailable).await.map_err(|_| DispatcherGone);
        }
        self.wait_for_next_watch(error, address).await;
        Ok(())
    }

    /// Discovery that is slow to respond is given longer, up to what is silence in any case.
    fn adapt_first_byte_timeout(&mut self, error: &WatchError) {
        let limits = self.limits();
        self.first_byte_timeout = match error {
            WatchError::NoResponse(_) => (self.first_byte_timeout * 2).min(limits.silence_timeout),
            _ => limits.first_byte_timeout,
        };
    }

    fn log_loss(&mut self, peer: SocketAddr, error: &WatchError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(self.context.log, "discovery watch lost, last endpoint list stays in force";
                "peer" => %peer, "why" => %error, "revision" => self.revision);
        }
    }

    async fn wait_for_next_watch(&mut self, error: &WatchError, address: &mut watch::Receiver<SocketAddr>) {
        let retry = self.limits().retry;
        if error.is_silence() {
            // Discovery was waited for already: what it sends when it responds again is received at once.
            self.backoff = retry.initial;
        } else if error.is_local() {
            // Discovery may be well, and was not burdened by this attempt.
            sleep(retry.initial).await;
        } else {
            let wait = start_jitter::retry_delay(self.backoff.as_micros() as i64, &mut self.rng);
            let has_moved = timeout(duration(wait), address.changed()).await.is_ok();
            self.backoff = if has_moved { retry.initial } else { (self.backoff * 2).min(retry.max) };
        }
    }

    fn limits(&self) -> &DiscoveryLimits {
        &self.context.limits.discovery
    }
}
