//! The actor of one client connection: reads statements as they come, and answers them in their order.

use std::rc::Rc;

use aldermill_wire::Buffer;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::close::CloseReason;
use super::events::{ClientEvent, has_unread};
use super::intake::{Intake, NextMessage, ReceivedMessage};
use super::pending_responses::PendingResponses;
use super::receipt::Receipt;
use super::response::UnreadResponses;
use super::state::ConnectionState;
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Answer, ClientMessage, ClientRequestId};

/// A connection's mailbox has room for an answer to each pipelined statement, and for this many requests to close.
const EVICTION_PLACES: usize = 4;

/// The actor of one client connection.
pub(super) struct ClientConnection {
    /// What all actors share.
    pub(super) context: Rc<ProcessContext>,
    /// Names the connection, new for each.
    pub(super) id: ClientRequestId,
    /// The client's socket.
    pub(super) stream: TcpStream,
    /// Its registration with flow control, removed when dropped.
    pub(super) connection_guard: ConnectionGuard,
    /// What the registry sees of it.
    pub(super) state: Rc<ConnectionState>,
    /// Where the dispatcher's answers and the registry's messages arrive.
    pub(super) mailbox: mpsc::Receiver<ClientMessage>,
    /// The other end of the mailbox, which goes to the dispatcher with each request.
    pub(super) address: mpsc::Sender<ClientMessage>,
    /// When the connection was accepted.
    pub(super) connected_at: Instant,
    /// Bytes that were read and are not yet taken as messages.
    pub(super) buffer: Buffer,
    /// When the bytes in the buffer arrived.
    pub(super) receipt: Receipt,
    /// How far the client's next message has come.
    pub(super) intake: Intake,
    /// Responses that are owed to the client.
    pub(super) pending_responses: PendingResponses,
    /// Responses that the client may not have read.
    pub(super) unread: UnreadResponses,
    /// Requests handed to the dispatcher so far.
    pub(super) requests_sent: u64,
    /// Whether the last request arrived so long after the request to stop that it was owed no answer.
    pub(super) is_past_arrival_window: bool,
    /// Whether statements are still accepted.
    phase: Phase,
}

/// Whether statements are still accepted.
enum Phase {
    /// Statements are accepted.
    Accepting,
    /// No more are accepted; the connection closes for this reason once the responses that are owed are written.
    Draining(CloseReason),
}

/// What a connection does once all responses that are there are written.
enum NextStep {
    /// A whole message is in the read buffer.
    Accept(ReceivedMessage),
    /// Requests are under way, and nothing can be accepted before something happens.
    WaitForEvent,
    /// No request is under way: the client's next message is waited for.
    ReadMore,
    /// Nothing is owed any more.
    Close(CloseReason),
}

impl ClientConnection {
    /// The actor of a connection that has just been accepted.
    pub(super) fn new(
        context: Rc<ProcessContext>,
        id: ClientRequestId,
        stream: TcpStream,
        connection_guard: ConnectionGuard,
    ) -> ClientConnection {
        let places = context.limits.client.pipelined_statements + EVICTION_PLACES;
        let (address, mailbox) = mpsc::channel(places);
        ClientConnection {
            context,
            id,
            stream,
            connection_guard,
            state: Rc::default(),
            mailbox,
            address,
            connected_at: Instant::now(),
            buffer: Buffer::default(),
            receipt: Receipt::default(),
            intake: Intake::default(),
            pending_responses: PendingResponses::default(),
            unread: UnreadResponses::default(),
            requests_sent: 0,
            is_past_arrival_window: false,
            phase: Phase::Accepting,
        }
    }

    /// Serves the client until its connection is closed.
    pub(super) async fn run(mut self) {
        self.state.idle_since.set(Some(self.connected_at));
        let reason = match self.startup().await {
            Ok(()) => self.serve().await,
            Err(reason) => reason,
        };
        self.intake.release_reservation();
        self.abandon_pending_requests().await;
        self.close(reason).await;
    }

    /// Reads statements as they come, and answers them in their order.
    async fn serve(&mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.step().await {
                return reason;
            }
        }
    }

    /// Does one thing: writes what can be written, then what [`NextStep`] says.
    async fn step(&mut self) -> Result<(), CloseReason> {
        self.write_ready_responses().await?;
        match self.next_step() {
            NextStep::Accept(message) => self.accept(message).await,
            NextStep::WaitForEvent => {
                let event = self.wait_for_event().await;
                self.handle_event(event)
            }
            NextStep::ReadMore => {
                self.reserve_for_large_message().await?;
                self.read_more().await
            }
            NextStep::Close(reason) => Err(reason),
        }
    }

    /// Decides what follows from the read buffer and the responses that are owed.
    fn next_step(&mut self) -> NextStep {
        if self.may_accept() {
            match self.next_message() {
                Ok(NextMessage::Accept(message)) => return NextStep::Accept(message),
                Ok(NextMessage::Terminate) => self.drain(CloseReason::Normal),
                Ok(NextMessage::NoneYet) => {}
                Err(malformed) => self.drain(malformed.into()),
            }
        }
        if !self.pending_responses.is_empty() {
            return NextStep::WaitForEvent;
        }
        match self.phase {
            Phase::Accepting => NextStep::ReadMore,
            Phase::Draining(reason) => NextStep::Close(reason),
        }
    }

    /// Whether the connection closes with the response that is about to be written: the process shuts down, the client's last
    /// request came when none was owed an answer any more, and it has sent nothing else.
    ///
    /// A client that asks again as soon as it has its answer would otherwise be served until no time is left, and then
    /// rejected, wherever the machine runs it before this process has looked for its next request and closed the connection.
    pub(super) fn closes_after_response(&self) -> bool {
        self.is_past_arrival_window
            && matches!(self.phase, Phase::Accepting)
            && self.pending_responses.is_empty()
            && self.buffer.is_empty()
            && !has_unread(&self.stream)
    }

    /// Whether another statement may be accepted beside those under way.
    fn may_accept(&self) -> bool {
        let pipelined = self.context.limits.client.pipelined_statements;
        matches!(self.phase, Phase::Accepting) && self.pending_responses.len() < pipelined
    }

    /// Accepts no more statements, and closes the connection once the responses that are owed are written.
    pub(super) fn drain(&mut self, reason: CloseReason) {
        self.phase = Phase::Draining(reason);
    }

    /// Deals with what came while requests are under way.
    fn handle_event(&mut self, event: ClientEvent) -> Result<(), CloseReason> {
        match event {
            ClientEvent::Response(request, answer) => self.complete(request, answer),
            ClientEvent::BytesRead => self.stamp_receipt(),
            // It is not idle: a request is under way.
            ClientEvent::CloseIfIdle => {}
            ClientEvent::Closed => return Err(CloseReason::Normal),
        }
        Ok(())
    }

    /// The dispatcher has answered a request.
    fn complete(&mut self, request: ClientRequestId, answer: Answer) {
        self.state.served.set(true);
        self.pending_responses.complete(request, answer);
    }
}
