//! Graceful shutdown, from SIGTERM or SIGINT to the end of the process.
//!
//! Shutdown takes these steps in order:
//!
//! 1. Notify all actors, and tell them until when new connections are accepted. Idle client connections are
//!    closed at once and the others after their requests are answered. The membership actor releases its
//!    leases and tells its peers that it leaves. The dispatcher announces to the gateways of other sites
//!    that this gateway drains.
//! 2. Limit how long clients may take to read responses, so that a client that does not read cannot delay the
//!    end of the process.
//! 3. Wait for the listener. It ends when the window for new connections is over and the last client has its
//!    response. The dispatcher, the members and the links must outlive the listener, because they deliver
//!    these responses.
//! 4. Wait for requests of other sites, for at most `limits.shutdown.remote_request_wait`. When the links are
//!    closed, the other site treats the outcome of any request still open on them as unknown.
//! 5. Wait for the membership actor, for at most [`MEMBERSHIP_LEAVE_TIMEOUT`]. It normally ends soon after
//!    step 1.
//!
//! The other tasks (flow control, reload, data directory, links, status sockets, dispatcher, discovery watch)
//! never return and have no work left to finish, because no response is sent before its record is confirmed.
//! They are cancelled together when the caller drops its `LocalSet`, after the last log line.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog_async::AsyncGuard;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::{Instant, timeout};

use crate::lifecycle::errors::{Actor, ProgramError};
use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::signals::StopSignals;
use crate::messages::DispatcherMessage;

/// Maximum time that shutdown waits for the membership actor. The actor only has to send one round of
/// datagrams, and must not delay the end of the process.
const MEMBERSHIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// A running proxy, with the handles that are needed to stop it.
pub struct RunningProxy {
    /// The context that all actors share.
    pub context: Rc<ProcessContext>,
    /// Notifies all actors that shutdown has begun and until when new connections are accepted.
    pub stop: watch::Sender<Option<Instant>>,
    /// The task of the listener. It ends after the notification through `stop`, once the last client has its
    /// response.
    pub listener: JoinHandle<()>,
    /// The task of the dispatcher. It ends only when every other actor has ended, which does not happen while
    /// the process runs.
    pub dispatcher: JoinHandle<()>,
    /// The task of the membership actor, which ends soon after the notification through `stop`; `None` if the
    /// operator's file has no `membership` section.
    pub membership: Option<JoinHandle<()>>,
    /// Flushes the remaining log lines when dropped.
    pub log_guard: AsyncGuard,
}

impl RunningProxy {
    /// Serves until a stop signal arrives, then shuts down in the steps that the module documentation lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the dispatcher ends before a stop signal arrives, or if the listener panics.
    pub async fn run(mut self, mut signals: StopSignals) -> Result<(), ProgramError> {
        tokio::select! {
            () = signals.wait() => {}
            result = &mut self.dispatcher => return Err(early_end_error(Actor::Dispatcher, result)),
        }
        self.shut_down().await
    }

    async fn shut_down(self) -> Result<(), ProgramError> {
        self.stop.send_replace(Some(Instant::now() + self.context.limits.shutdown.accept_window));
        self.context.flow_control.shut_down();
        self.listener.await.map_err(|source| ProgramError::ActorFailed { actor: Actor::Listener, source })?;
        wait_for_remote_requests(&self.context).await;
        if let Some(membership) = self.membership {
            // A failure needs no handling: peers detect the end of this process anyway.
            let _ = timeout(MEMBERSHIP_LEAVE_TIMEOUT, membership).await;
        }
        info!(self.context.log, "stopped");
        drop(self.log_guard);
        Ok(())
    }
}

/// Waits until all requests of other sites are answered, for at most `limits.shutdown.remote_request_wait`.
async fn wait_for_remote_requests(context: &ProcessContext) {
    let (reply, all_answered) = oneshot::channel();
    if context.dispatcher.send(DispatcherMessage::AwaitRemoteRequests(reply)).await.is_ok() {
        let _ = timeout(context.limits.shutdown.remote_request_wait, all_answered).await;
    }
}

fn early_end_error(actor: Actor, result: Result<(), JoinError>) -> ProgramError {
    match result {
        Ok(()) => ProgramError::ActorStopped { actor },
        Err(source) => ProgramError::ActorFailed { actor, source },
    }
}
