//! From a statement to a request for the dispatcher.

use aldermill_wire::pg::{self, sql_state};
use aldermill_wire::statement::{Comment, first_quoted_text, is_empty};

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::pending_responses::PendingRequest;
use crate::messages::{ClientRequest, ClientRequestId, DispatcherMessage};

/// A request's name: the number of its connection, and in this many low bits its number within the connection.
const REQUEST_NUMBER_BITS: u32 = 24;
/// The bits of a request's name that hold its number within the connection.
const REQUEST_NUMBER_MASK: u64 = (1 << REQUEST_NUMBER_BITS) - 1;

impl ClientConnection {
    /// Whether a statement is on the key of a write under way: their order must not change.
    pub(super) fn conflicts_with_pending(&self, statement: &[u8]) -> bool {
        if !self.pending_responses.has_write() {
            return false;
        }
        let Ok(comment) = Comment::parse(statement) else { return false };
        let key = first_quoted_text(&statement[comment.end..]);
        key.is_some_and(|key| self.pending_responses.writes(&key))
    }

    /// A simple query: a request for the dispatcher, unless it is empty or names no request.
    pub(super) async fn accept_statement(&mut self, statement: Vec<u8>) -> Result<(), CloseReason> {
        let mut response = Vec::new();
        if is_empty(&statement) {
            self.wait_for_first_list().await?;
            pg::write_empty_query_response(&mut response);
        } else {
            match Comment::parse(&statement) {
                Ok(comment) => return self.send_request(statement, comment).await,
                Err(malformed) => {
                    let text = malformed.to_string();
                    pg::write_error_response(
                        &mut response,
                        false,
                        sql_state::PROTOCOL_VIOLATION,
                        &text,
                        None,
                    );
                }
            }
        }
        pg::write_ready_for_query(&mut response);
        self.respond_at_once(response);
        Ok(())
    }

    /// An empty query is answered once there is an endpoint list to decide on.
    async fn wait_for_first_list(&self) -> Result<(), CloseReason> {
        let mut ready = self.context.ready.clone();
        ready.wait_for(|&ready| ready).await.map_err(|_| CloseReason::Normal)?;
        Ok(())
    }

    /// Hands a request to the dispatcher.
    async fn send_request(&mut self, statement: Vec<u8>, mut comment: Comment) -> Result<(), CloseReason> {
        if let Some(left) = self.context.time_left_at_shutdown() {
            // Answered in time before the process may be killed.
            comment.timeout_ms = comment.timeout_ms.min(left.as_millis() as u32);
        }
        let client = self.next_request_id();
        self.pending_responses.push_request(PendingRequest {
            request: client,
            write_key: write_key(&statement[comment.end..]),
            statement_reservation: self.intake.reservation.take(),
        });
        let received_at = self.receipt.received_at(self.buffer.is_empty());
        self.is_past_arrival_window = self.context.is_past_arrival_window(received_at);
        let request = ClientRequest {
            request_id: client,
            peer: self.connection_guard.peer,
            mailbox: self.address.clone(),
            received_at: self.context.clock.at(received_at),
            statement,
            comment,
            last_write_age: None,
        };
        let request = DispatcherMessage::ClientRequest(request);
        self.context.dispatcher.send(request).await.map_err(|_| CloseReason::Normal)
    }

    /// A name for the connection's next request.
    fn next_request_id(&mut self) -> ClientRequestId {
        self.requests_sent += 1;
        (self.id << REQUEST_NUMBER_BITS) + (self.requests_sent & REQUEST_NUMBER_MASK)
    }
}

/// The key that a statement may write. Only a SELECT writes nothing.
fn write_key(text: &[u8]) -> Option<String> {
    let verb = text.trim_ascii_start().get(..6);
    let reads = verb.is_some_and(|verb| verb.eq_ignore_ascii_case(b"SELECT"));
    if reads { None } else { first_quoted_text(text) }
}
