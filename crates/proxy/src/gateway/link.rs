//! The actor of one link: transfers frames between the socket, the protocol state machine and the dispatcher.

use std::convert::Infallible;
use std::fmt::Display;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::Transfer;
use aldermill_site_link::{Identity, Inbound, Link, Outbound};
use slog::{info, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{sleep_until, timeout};

use super::LinkRegistry;
use super::errors::LinkCloseReason;
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{DispatcherMessage, LinkEvent, LinkId, LinkMessage};

/// Size of the read buffer, and of the batches of frames that are written, in bytes. The last frame of a
/// batch may exceed it.
const CHUNK_BYTES: usize = 32 * 1024;

/// Reason that is sent to the peer gateway when the dispatcher has dropped its link.
const DROPPED_REASON: &str = "not wanted";

/// A connection to or from a peer gateway that becomes a link once the handshake is complete.
pub(super) struct LinkConnection {
    context: Rc<ProcessContext>,
    registry: Rc<LinkRegistry>,
    stream: TcpStream,
    /// Address of the peer gateway.
    address: SocketAddr,
    /// Site that the configuration names for the address; `None` if the peer gateway opened the connection.
    expected_site: Option<String>,
    guard: ConnectionGuard,
}

impl LinkConnection {
    /// Registers the connection with flow control. Returns `None` if a connection limit of flow control
    /// rejects it.
    pub fn register(
        context: &Rc<ProcessContext>,
        registry: &Rc<LinkRegistry>,
        stream: TcpStream,
        address: SocketAddr,
        expected_site: Option<String>,
    ) -> Option<LinkConnection> {
        let _ = stream.set_nodelay(true);
        let guard = context.flow_control.register(address.ip()).ok()?;
        Some(LinkConnection {
            context: context.clone(),
            registry: registry.clone(),
            stream,
            address,
            expected_site,
            guard,
        })
    }

    /// Runs the link until it ends. Returns whether it was ever up.
    pub async fn run(self) -> bool {
        let context = self.context.clone();
        let address = self.address;
        let mut actor = LinkActor::new(self);
        let id = actor.id;
        let Err(end) = actor.exchange_frames().await;
        // This closes the connection and the dispatcher's outbox before the notification below, which may
        // wait for the dispatcher. In the meantime the dispatcher must not send anything over this link, or
        // hold anything for it.
        match actor.into_state() {
            LinkState::Up { site } => {
                let _ = notify(&context, id, LinkEvent::Lost).await;
                warn!(context.log, "link down"; "link" => id, "site" => site, "peer" => %address, "reason" => %end);
                true
            }
            LinkState::Handshaking { .. } => {
                warn!(context.log, "link rejected"; "peer" => %address, "reason" => %end);
                false
            }
        }
    }
}

/// State of a link.
enum LinkState {
    /// The peer gateway's greeting has not arrived yet. The dispatcher gets the outbox when it arrives.
    Handshaking { outbox: mpsc::Sender<Outbound> },
    /// The handshake is complete, and the dispatcher uses the link.
    Up {
        /// Site of the peer gateway.
        site: String,
    },
}

/// Bytes to write to the socket, of which the kernel has accepted the first `written`.
#[derive(Default)]
struct PendingBytes {
    bytes: Vec<u8>,
    written: usize,
}

impl PendingBytes {
    fn unwritten(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    fn is_empty(&self) -> bool {
        self.unwritten().is_empty()
    }
}

struct LinkActor {
    id: LinkId,
    connection: LinkConnection,
    /// State machine of the link protocol.
    protocol: Link,
    state: LinkState,
    /// Messages that the dispatcher sends over the link.
    outbound: mpsc::Receiver<Outbound>,
    /// Bytes that were taken from the protocol state machine and that the kernel has not accepted completely.
    pending: PendingBytes,
    /// Whether flow control is measuring how fast the peer gateway reads.
    is_metered: bool,
    /// Bytes that were read and not yet passed to the protocol state machine; empty between two reads.
    input: Vec<u8>,
}

impl LinkActor {
    fn new(connection: LinkConnection) -> LinkActor {
        let LinkConnection { context, registry, .. } = &connection;
        let (outbox, outbound) = mpsc::channel(context.limits.queues.dispatcher);
        LinkActor {
            id: registry.allocate_link_id(),
            protocol: Link::new(registry.config, &registry.local_identity, context.unstalled_clock.now()),
            state: LinkState::Handshaking { outbox },
            outbound,
            pending: PendingBytes::default(),
            is_metered: false,
            input: Vec::with_capacity(CHUNK_BYTES),
            connection,
        }
    }

    /// Returns the state of the link. Dropping the rest closes the connection.
    fn into_state(self) -> LinkState {
        self.state
    }

    /// Transfers frames in both directions until the link ends. Returns the reason for its end.
    async fn exchange_frames(&mut self) -> Result<Infallible, LinkCloseReason> {
        let clock = self.connection.context.unstalled_clock.clone();
        loop {
            self.write_pending()?;
            let LinkConnection { stream, guard, .. } = &self.connection;
            tokio::select! {
                biased;
                () = guard.disconnected() => return Err(LinkCloseReason::TooSlow),
                ready = stream.readable(), if self.protocol.accepts_input() => {
                    ready?;
                    self.read().await?;
                    // A gateway that sends without a pause must not keep other tasks on this thread from running.
                    task::yield_now().await;
                }
                message = self.outbound.recv() => match message {
                    Some(message) => self.protocol.send(message),
                    // The dispatcher dropped the link: the peer gateway has a link of a newer incarnation.
                    None => return Err(self.close_dropped().await),
                },
                ready = stream.writable(), if !self.pending.is_empty() => ready?,
                () = sleep_until(clock.instant(self.protocol.wake_at())) => {
                    if let Err(error) = self.protocol.wake(clock.now()) {
                        return Err(self.close(error));
                    }
                }
            }
        }
    }

    /// Writes as many bytes as the kernel accepts without blocking. While the kernel accepts no more, the
    /// peer gateway has unread bytes and flow control measures how fast it reads.
    fn write_pending(&mut self) -> Result<(), LinkCloseReason> {
        loop {
            if self.pending.is_empty() {
                let bytes = self.protocol.next_bytes(CHUNK_BYTES).unwrap_or_default();
                self.pending = PendingBytes { bytes, written: 0 };
            }
            if self.pending.is_empty() {
                self.stop_metering();
                return Ok(());
            }
            match self.connection.stream.try_write(self.pending.unwritten()) {
                Ok(count) => {
                    self.pending.written += count;
                    if self.is_metered {
                        self.connection.guard.record_progress(count);
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.start_metering();
                    return Ok(());
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn start_metering(&mut self) {
        if !std::mem::replace(&mut self.is_metered, true) {
            self.connection.guard.start_metering(Transfer::ToPeer);
        }
    }

    fn stop_metering(&mut self) {
        if std::mem::take(&mut self.is_metered) {
            self.connection.guard.stop_metering();
        }
    }

    /// Reads once, and forwards the messages that are now complete to the dispatcher.
    async fn read(&mut self) -> Result<(), LinkCloseReason> {
        match self.connection.stream.try_read_buf(&mut self.input) {
            Ok(0) => return Err(LinkCloseReason::ClosedByPeer),
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Ok(());
            }
            Err(error) => return Err(error.into()),
        }
        let now = self.connection.context.unstalled_clock.now();
        let received = self.protocol.receive(now, &self.input);
        self.input.clear();
        for message in received.map_err(|error| self.close(error))? {
            if let Inbound::Greeted(identity) = &message {
                self.complete_handshake(identity).await?;
            }
            self.notify(LinkEvent::Received(message)).await?;
        }
        Ok(())
    }

    /// Handles the peer gateway's greeting. The link is up if the peer gateway is allowed.
    async fn complete_handshake(&mut self, identity: &Identity) -> Result<(), LinkCloseReason> {
        let LinkConnection { context, registry, address, expected_site, guard, .. } = &self.connection;
        registry
            .check_peer(identity, address.ip(), expected_site.as_deref())
            .map_err(|rejection| self.close(rejection))?;
        info!(context.log, "link up"; "link" => self.id, "site" => &identity.site,
            "instance" => &identity.instance, "peer" => %address);
        let peer = guard.peer;
        let up = LinkState::Up { site: identity.site.clone() };
        if let LinkState::Handshaking { outbox } = std::mem::replace(&mut self.state, up) {
            self.notify(LinkEvent::Up { outbox, peer }).await?;
        }
        Ok(())
    }

    /// Sends the peer gateway the reason why the link ends, as far as the kernel accepts it without blocking.
    fn close<E: Display + Into<LinkCloseReason>>(&self, reason: E) -> LinkCloseReason {
        let _ = self.connection.stream.try_write(&Link::close(&reason.to_string()));
        reason.into()
    }

    /// Sends the remaining frames and [`DROPPED_REASON`], for at most `limits.connections.linger`.
    async fn close_dropped(&mut self) -> LinkCloseReason {
        let mut bytes = self.pending.unwritten().to_vec();
        while let Some(more) = self.protocol.next_bytes(CHUNK_BYTES) {
            bytes.extend_from_slice(&more);
        }
        bytes.extend_from_slice(&Link::close(DROPPED_REASON));
        let linger = self.connection.context.limits.connections.linger;
        let _ = timeout(linger, self.connection.stream.write_all(&bytes)).await;
        LinkCloseReason::Dropped
    }

    async fn notify(&self, event: LinkEvent) -> Result<(), LinkCloseReason> {
        notify(&self.connection.context, self.id, event).await
    }
}

async fn notify(context: &ProcessContext, link: LinkId, event: LinkEvent) -> Result<(), LinkCloseReason> {
    let message = DispatcherMessage::Link(LinkMessage { link, event });
    context.dispatcher.send(message).await.map_err(|_| LinkCloseReason::ShuttingDown)
}
