//! Actor that watches the endpoint list at discovery.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_stall_detection::start_jitter;
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task;
use tokio::time::{sleep, timeout};

use super::endpoint_list::EndpointList;
use super::error::WatchError;
use super::stream::ListStream;
use crate::lifecycle::clock::duration;
use crate::lifecycle::limits::DiscoveryLimits;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::ListUpdate;

/// The dispatcher has stopped, so the endpoint list is no longer needed.
struct DispatcherStopped;

/// What the watcher does next.
enum WatcherState {
    /// Waits until the dispatcher requests the list; does not wait if discovery streams it.
    Idle,
    /// Watches at the currently configured address.
    Watching,
    /// A watch failed: the loss is reported, and the next watch follows after a wait.
    Failed {
        /// Address at which discovery was watched.
        peer: SocketAddr,
        /// Why the watch failed.
        error: WatchError,
    },
}

/// Configuration of a [`Watcher`].
pub struct WatcherConfig {
    /// Requests of the dispatcher if the list is fetched only on request; `None` if discovery streams it.
    pub list_requests: Option<mpsc::Receiver<()>>,
    /// Revision of the configured or saved list that the dispatcher starts with; `None` if there is none.
    pub revision: Option<u64>,
    /// Wait before the first watch, so that processes that start together do not send their requests
    /// together. Has no effect if the list is fetched only on request.
    pub start_delay: Duration,
    /// Source of the random part of the waits between watches.
    pub rng: Pcg64Mcg,
}

/// Watches the endpoint list at discovery. Whatever fails, the last list stays in force.
pub struct Watcher {
    context: Rc<ProcessContext>,
    dispatcher: mpsc::Sender<ListUpdate>,
    /// See [`WatcherConfig::list_requests`].
    list_requests: Option<mpsc::Receiver<()>>,
    /// Revision of the list that the dispatcher has; `None` if the complete list must be fetched.
    revision: Option<u64>,
    start_delay: Duration,
    rng: Pcg64Mcg,
    /// Longest wait after the next failure; up to half of it is left out at random.
    backoff: Duration,
    /// How long the next watch waits for the first bytes, including the time to connect.
    first_byte_timeout: Duration,
    /// Whether the current watch has received a line.
    has_received_line: bool,
    /// Whether a watch has failed since the last line and the loss has been logged.
    loss_logged: bool,
}

impl Watcher {
    /// Creates a watcher that sends updates to `dispatcher`.
    pub fn new(
        context: Rc<ProcessContext>,
        dispatcher: mpsc::Sender<ListUpdate>,
        config: WatcherConfig,
    ) -> Watcher {
        let limits = &context.limits.discovery;
        Watcher {
            backoff: limits.retry.initial,
            first_byte_timeout: limits.first_byte_timeout,
            context,
            dispatcher,
            list_requests: config.list_requests,
            revision: config.revision,
            start_delay: config.start_delay,
            rng: config.rng,
            has_received_line: false,
            loss_logged: false,
        }
    }

    /// Watches until the dispatcher has stopped.
    pub async fn run(mut self) {
        let Err(DispatcherStopped) = self.run_states().await;
    }

    async fn run_states(&mut self) -> Result<Infallible, DispatcherStopped> {
        let mut address = self.context.discovery.clone();
        if self.list_requests.is_none() {
            sleep(self.start_delay).await;
        }
        let mut state = WatcherState::Idle;
        loop {
            state = match state {
                WatcherState::Idle => {
                    self.wait_for_request().await?;
                    WatcherState::Watching
                }
                WatcherState::Watching => self.watch(&mut address).await?,
                WatcherState::Failed { peer, error } => {
                    self.handle_failure(peer, &error, &mut address).await?;
                    WatcherState::Idle
                }
            };
        }
    }

    async fn wait_for_request(&mut self) -> Result<(), DispatcherStopped> {
        match &mut self.list_requests {
            Some(list_requests) => list_requests.recv().await.ok_or(DispatcherStopped),
            None => Ok(()),
        }
    }

    /// Runs one watch until it fails or the address of discovery changes.
    async fn watch(
        &mut self,
        address: &mut watch::Receiver<SocketAddr>,
    ) -> Result<WatcherState, DispatcherStopped> {
        let peer = *address.borrow_and_update();
        self.has_received_line = false;
        let result = tokio::select! {
            result = self.forward_updates(peer) => result,
            Ok(()) = address.changed() => {
                info!(self.context.log, "discovery address changed, watching the new one";
                    "from" => %peer, "revision" => self.revision);
                self.backoff = self.limits().retry.initial;
                return Ok(WatcherState::Watching);
            }
        };
        match result {
            Ok(stopped) => Err(stopped),
            Err(error) => Ok(WatcherState::Failed { peer, error }),
        }
    }

    /// Forwards updates from discovery to the dispatcher, until the watch fails or the dispatcher has
    /// stopped.
    async fn forward_updates(&mut self, peer: SocketAddr) -> Result<DispatcherStopped, WatchError> {
        let limits = &self.context.limits.discovery;
        let mut stream = ListStream::open(peer, self.revision, self.first_byte_timeout, limits).await?;
        loop {
            stream.read().await?;
            // Discovery may send without a pause; other tasks on this thread run in between.
            task::yield_now().await;
            while let Some(line) = stream.next_line()? {
                self.record_line(peer);
                let Some(text) = stream.add_line(&line)? else { continue };
                let update = self.parse(&text)?;
                if let Err(stopped) = self.send_update(update).await {
                    return Ok(stopped);
                }
            }
        }
    }

    fn record_line(&mut self, peer: SocketAddr) {
        self.has_received_line = true;
        if std::mem::take(&mut self.loss_logged) {
            info!(self.context.log, "discovery watch restored"; "peer" => %peer);
        }
    }

    /// Parses an update. Changes must apply to the list that the dispatcher has.
    fn parse(&self, text: &[u8]) -> Result<EndpointList, WatchError> {
        let update: EndpointList = serde_json::from_slice(text).map_err(WatchError::InvalidList)?;
        let received = update.revision;
        if !update.complete && self.revision.is_none_or(|revision| received < revision) {
            return Err(WatchError::RevisionGap { received });
        }
        Ok(update)
    }

    async fn send_update(&mut self, update: EndpointList) -> Result<(), DispatcherStopped> {
        let revision = update.revision;
        let sent = self.dispatcher.send(ListUpdate::Received(update)).await;
        // Updated only after the send, because a change of the address may cancel the watch while it waits
        // for the dispatcher.
        self.revision = Some(revision);
        sent.map_err(|_| DispatcherStopped)
    }

    /// Reports a failed watch, and waits until the next one is due.
    async fn handle_failure(
        &mut self,
        peer: SocketAddr,
        error: &WatchError,
        address: &mut watch::Receiver<SocketAddr>,
    ) -> Result<(), DispatcherStopped> {
        if error.invalidates_revision() {
            self.revision = None;
        }
        if self.has_received_line {
            self.backoff = self.limits().retry.initial;
        }
        self.adapt_first_byte_timeout(error);
        self.log_loss(peer, error);
        if self.list_requests.is_some() {
            return self.dispatcher.send(ListUpdate::Unavailable).await.map_err(|_| DispatcherStopped);
        }
        self.wait_for_next_watch(error, address).await;
        Ok(())
    }

    /// Gives a discovery service that is slow to respond more time, up to the silence timeout.
    fn adapt_first_byte_timeout(&mut self, error: &WatchError) {
        let limits = self.limits();
        self.first_byte_timeout = match error {
            WatchError::NoResponse(_) => (self.first_byte_timeout * 2).min(limits.silence_timeout),
            _ => limits.first_byte_timeout,
        };
    }

    fn log_loss(&mut self, peer: SocketAddr, error: &WatchError) {
        if !std::mem::replace(&mut self.loss_logged, true) {
            warn!(self.context.log, "discovery watch lost, last endpoint list stays in force";
                "peer" => %peer, "why" => %error, "revision" => self.revision);
        }
    }

    async fn wait_for_next_watch(&mut self, error: &WatchError, address: &mut watch::Receiver<SocketAddr>) {
        let retry = self.limits().retry;
        if error.is_timeout() {
            // Discovery was already waited for. A new watch at once receives what discovery sends when it
            // responds again.
            self.backoff = retry.initial;
        } else if error.is_local_failure() {
            // Discovery may be healthy, and this attempt put no load on it.
            sleep(retry.initial).await;
        } else {
            let wait = start_jitter::retry_delay(self.backoff.as_micros() as i64, &mut self.rng);
            let address_changed = timeout(duration(wait), address.changed()).await.is_ok();
            self.backoff = if address_changed { retry.initial } else { (self.backoff * 2).min(retry.max) };
        }
    }

    fn limits(&self) -> &DiscoveryLimits {
        &self.context.limits.discovery
    }
}
