//! The actor of one client connection, which reads statements as they arrive and answers them in order.

use std::rc::Rc;

use aldermill_wire::{Buffer, pg};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::close::CloseReason;
use super::events::ClientEvent;
use super::message_handling::{NextMessage, ReceiveState, ReceivedMessage};
use super::overflow::Overflow;
use super::pending_responses::PendingResponses;
use super::receipt_times::ReceiptTimes;
use super::response::UnreadResponses;
use super::shared_state::SharedState;
use super::turn::Turn;
use crate::flow_control::{BufferReservation, ConnectionGuard};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Answer, Cancellation, ClientMessage, ClientRequestId};

/// Mailbox capacity for requests to close the connection, in messages. It is added to the capacity for one
/// answer per pipelined statement.
const EVICTION_MESSAGE_CAPACITY: usize = 4;

/// Actor of one client connection.
pub(super) struct ClientConnection {
    /// State shared by all actors.
    pub(super) context: Rc<ProcessContext>,
    /// Number of the connection, unique within the process.
    pub(super) id: ClientRequestId,
    /// Socket of the client.
    pub(super) stream: TcpStream,
    /// Registration with flow control, removed when dropped.
    pub(super) connection_guard: ConnectionGuard,
    /// State shared with the registry.
    pub(super) shared_state: Rc<SharedState>,
    /// Receiver of the dispatcher's answers and the registry's requests to close.
    pub(super) mailbox: mpsc::Receiver<ClientMessage>,
    /// Sender for the mailbox. The dispatcher gets a clone with each request, and the registry holds one.
    pub(super) mailbox_sender: mpsc::Sender<ClientMessage>,
    /// Time at which the connection was accepted.
    pub(super) connected_at: Instant,
    /// Bytes that were read but are not yet taken as messages.
    pub(super) buffer: Buffer,
    /// Receipt times of the bytes in the buffer.
    pub(super) receipt_times: ReceiptTimes,
    /// Progress of receiving the client's next message.
    pub(super) receive_state: ReceiveState,
    /// Responses that are owed to the client.
    pub(super) pending_responses: PendingResponses,
    /// Responses that the client may not have read.
    pub(super) unread_responses: UnreadResponses,
    /// Number of requests sent to the dispatcher so far.
    pub(super) requests_sent: u64,
    /// Buffer space for what is read ahead beyond `limits.client.read_ahead`, in steps of `limits.client.read_ahead_step`.
    pub(super) read_ahead_reservations: Vec<BufferReservation>,
    /// Statements that are dropped as they arrive; `None` while there is space for what arrives.
    pub(super) overflow: Option<Overflow>,
    /// Set once the client has left, so that no attempt of its requests begins any more.
    pub(super) client_gone: Cancellation,
    /// When to look whether the client has left, while nothing is read from it.
    pub(super) next_departure_check: Instant,
    /// Work since other actors last had their turn.
    pub(super) turn: Turn,
    /// True once bytes were read that arrived so long after the request to stop that their client need not have found the
    /// connection open. It closes as soon as no response is owed.
    pub(super) is_past_arrival_window: bool,
    /// Phase of the connection: accepting or draining.
    phase: Phase,
}

/// Phase of a connection.
enum Phase {
    /// Statements are accepted.
    Accepting,
    /// No more statements are accepted. The connection is closed for this reason once the responses that are
    /// owed are written.
    Draining(CloseReason),
}

/// Next step of a connection that has written all responses that are ready.
enum NextStep {
    /// Accept this message, which is complete in the read buffer.
    Accept(ReceivedMessage),
    /// Wait for an event. Requests are pending, and nothing can be accepted before an event occurs.
    WaitForEvent,
    /// Read more of the client's next message. No request is pending.
    ReadMore,
    /// Close the connection for this reason. No response is owed any more.
    Close(CloseReason),
}

impl ClientConnection {
    /// Creates the actor of a connection that was just accepted.
    pub(super) fn new(
        context: Rc<ProcessContext>,
        id: ClientRequestId,
        stream: TcpStream,
        connection_guard: ConnectionGuard,
    ) -> ClientConnection {
        let mailbox_capacity = context.limits.client.pipelined_statements + EVICTION_MESSAGE_CAPACITY;
        let (mailbox_sender, mailbox) = mpsc::channel(mailbox_capacity);
        ClientConnection {
            context,
            id,
            stream,
            connection_guard,
            shared_state: Rc::default(),
            mailbox,
            mailbox_sender,
            connected_at: Instant::now(),
            buffer: Buffer::default(),
            receipt_times: ReceiptTimes::default(),
            receive_state: ReceiveState::default(),
            pending_responses: PendingResponses::default(),
            unread_responses: UnreadResponses::default(),
            requests_sent: 0,
            read_ahead_reservations: Vec::new(),
            overflow: None,
            client_gone: Cancellation::default(),
            next_departure_check: Instant::now(),
            turn: Turn::default(),
            is_past_arrival_window: false,
            phase: Phase::Accepting,
        }
    }

    /// Serves the client until its connection is closed.
    pub(super) async fn run(mut self) {
        self.shared_state.idle_since.set(Some(self.connected_at));
        let reason = match self.handle_startup().await {
            Ok(()) => self.serve().await,
            Err(reason) => reason,
        };
        self.receive_state.release_reservation();
        self.abandon_pending_requests().await;
        self.close(reason).await;
    }

    /// Reads statements as they arrive and answers them in order. Returns the reason to close the connection.
    async fn serve(&mut self) -> CloseReason {
        loop {
            if let Err(reason) = self.step().await {
                return reason;
            }
        }
    }

    /// Writes the responses that are ready, then takes the step that [`NextStep`] names.
    async fn step(&mut self) -> Result<(), CloseReason> {
        self.write_ready_responses().await?;
        self.turn.yield_if_used_up().await;
        self.settle_overflow();
        match self.next_step() {
            NextStep::Accept(message) => self.accept(message).await,
            NextStep::WaitForEvent => {
                let event = self.wait_for_event().await;
                self.handle_event(event)
            }
            NextStep::ReadMore => {
                self.release_read_ahead();
                self.reserve_for_large_message().await?;
                self.read_more().await
            }
            NextStep::Close(reason) => Err(reason),
        }
    }

    /// Determines the next step from the read buffer and the responses that are owed.
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
            Phase::Accepting if self.is_past_arrival_window && !self.has_unhandled_input() => {
                NextStep::Close(CloseReason::Shutdown)
            }
            Phase::Accepting => NextStep::ReadMore,
            Phase::Draining(reason) => NextStep::Close(reason),
        }
    }

    /// Returns whether the connection closes with the response that is about to be written: the process is
    /// shutting down, the client's last request arrived late, and it is owed no further response. Requests
    /// that are not read by now cross the close.
    ///
    /// Without this rule, a client that sends its next request as soon as it has an answer would be served
    /// until no time is left, and then rejected, whenever the machine schedules the client before this
    /// process has checked for the next request and closed the connection.
    pub(super) fn should_close_after_response(&self) -> bool {
        self.is_past_arrival_window
            && self.is_accepting()
            && self.pending_responses.is_empty()
            && !self.has_unhandled_input()
    }

    /// Returns whether anything has been read that is not answered and is not pending: statements, or part of one.
    pub(super) fn has_unhandled_input(&self) -> bool {
        !self.buffer.is_empty() || self.overflow.as_ref().is_some_and(Overflow::has_unhandled_input)
    }

    /// Returns whether another statement may be accepted in addition to the pending ones.
    fn may_accept(&mut self) -> bool {
        let pipelined = self.context.limits.client.pipelined_statements;
        self.is_accepting()
            && self.pending_responses.len() < pipelined
            && (self.pending_responses.is_empty() || self.may_pipeline())
    }

    /// Returns whether another statement may be accepted although a response is owed: there is memory for it and
    /// its response, and a close by the client would have been seen.
    fn may_pipeline(&mut self) -> bool {
        let small_message = self.context.limits.buffers.small_message;
        let announced = pg::announced_length(self.buffer.held()).min(small_message);
        self.context.pipeline_memory.has_room(announced) && !self.departure_may_be_hidden()
    }

    /// Stops accepting statements, and closes the connection once the responses that are owed are written.
    pub(super) fn drain(&mut self, reason: CloseReason) {
        self.phase = Phase::Draining(reason);
        self.overflow = Some(Overflow::behind_the_last_statement());
    }

    /// Returns whether statements are accepted.
    pub(super) fn is_accepting(&self) -> bool {
        matches!(self.phase, Phase::Accepting)
    }

    /// Handles an event that occurred while requests were pending.
    fn handle_event(&mut self, event: ClientEvent) -> Result<(), CloseReason> {
        match event {
            ClientEvent::Answer(request_id, answer) => self.handle_answer(request_id, answer),
            ClientEvent::BytesRead(count) => self.record_input(count),
            // The connection is not idle: a request is pending.
            ClientEvent::CloseIfIdle => {}
            ClientEvent::Closed => return Err(CloseReason::Normal),
        }
        Ok(())
    }

    /// Marks the connection as served, and stores the dispatcher's answer to a request.
    fn handle_answer(&mut self, request_id: ClientRequestId, answer: Answer) {
        self.shared_state.was_served.set(true);
        self.pending_responses.complete(request_id, answer);
    }
}
