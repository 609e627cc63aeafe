//! Shutdown: from SIGTERM or SIGINT to the end of the process.
//!
//! The order, and why:
//!
//! 1. All actors are notified until when new connections are accepted. Idle client connections are closed, the others
//!    once their requests are answered; the membership actor releases the leases that it holds and tells its peers that
//!    it leaves; the dispatcher announces to other sites that this one drains.
//! 2. Flow control limits how long answers may still be read, so that a client that does not read cannot hold up the end.
//! 3. The listener is joined. It ends when the window for new connections is over and the last client has its answer.
//!    The dispatcher, the members and the links must outlive it: they bring these answers.
//! 4. Requests of other sites are waited for, no longer than `limits.shutdown.remote_request_wait`: when the links are cut,
//!    what is still open on them counts as unknown at the other site.
//! 5. The membership actor is joined, no longer than [`MEMBERSHIP_LEAVE_TIMEOUT`]; it ended by itself soon after step 1.
//!
//! All other tasks (flow control, reload, data directory, links, status sockets, dispatcher, discovery watch) have no end
//! of their own and nothing left to finish: no answer leaves before its record is confirmed. They are cancelled together
//! when the caller drops its `LocalSet`, after the last log line.

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

/// How long the membership actor is waited for. It needs to send one round of datagrams, and may not hold up the end.
const MEMBERSHIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(100);

/// A proxy that serves: what is needed to stop it.
pub struct RunningProxy {
    /// What its actors share.
    pub context: Rc<ProcessContext>,
    /// Notifies all actors that the process stops, and until when new connections are accepted.
    pub stop: watch::Sender<Option<Instant>>,
    /// Ends after `stop`, once the last client has its answer.
    pub listener: JoinHandle<()>,
    /// Ends when every other actor is gone: never before the process does.
    pub dispatcher: JoinHandle<()>,
    /// Ends soon after `stop`; `None` where the operator's file has no membership.
    pub membership: Option<JoinHandle<()>>,
    /// Writes the last log lines when it is dropped.
    pub log_guard: AsyncGuard,
}

impl RunningProxy {
    /// Serves until a signal comes, then shuts down in the order that this module describes.
    ///
    /// # Errors
    ///
    /// The dispatcher ended before the signal, or the listener failed.
    pub async fn run(mut self, mut signals: StopSignals) -> Result<(), ProgramError> {
        tokio::select! {
            () = signals.wait() => {}
            result = &mut self.dispatcher => return Err(early_end_error(Actor::Dispatcher, result)),
        }
        self.shut_down().await
    }

    async fn shut_down(self) -> Result<(), ProgramError> {
        self.stop.send_replace(Some(Instant::now() + self.context.limits.shutdown.accept_window));
        self.context.flow_control.stop();
        self.listener.await.map_err(|source| ProgramError::ActorFailed { actor: Actor::Listener, source })?;
        wait_for_remote_requests(&self.context).await;
        if let Some(membership) = self.membership {
            // Its failure leaves nothing to do: peers notice by themselves when this process ends.
            let _ = timeout(MEMBERSHIP_LEAVE_TIMEOUT, membership).await;
        }
        info!(self.context.log, "stopped");
        drop(self.log_guard);
        Ok(())
    }
}

/// Waits until requests of other sites have their answers, up to a limit.
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
