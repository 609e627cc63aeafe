//! Conversion of statements to requests for the dispatcher.

use aldermill_wire::pg::{self, sql_state};
use aldermill_wire::statement::{Comment, first_quoted_key, is_empty};

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::pending_responses::PendingRequest;
use crate::messages::{ClientRequest, ClientRequestId, DispatcherMessage};
use crate::system;

/// Number of low bits of a request id that hold the request's number within its connection. The bits above
/// hold the number of the connection.
const REQUEST_NUMBER_BITS: u32 = 24;
/// Mask of the bits of a request id that hold the request's number within its connection.
const REQUEST_NUMBER_MASK: u64 = (1 << REQUEST_NUMBER_BITS) - 1;

impl ClientConnection {
    /// Returns whether a statement uses the key of a pending write. The order of the two must not change.
    pub(super) fn conflicts_with_pending_write(&self, statement: &[u8]) -> bool {
        if !self.pending_responses.has_write() {
            return false;
        }
        let Ok(comment) = Comment::parse(statement) else { return false };
        let key = first_quoted_key(&statement[comment.end..]);
        key.is_some_and(|key| self.pending_responses.has_write_to(&key))
    }

    /// Handles a simple query: sends a request to the dispatcher, unless the query is empty or has no valid
    /// comment, or its client has left since it was read.
    pub(super) async fn accept_statement(&mut self, statement: Vec<u8>) -> Result<(), CloseReason> {
        if system::is_closed_by_peer(&self.stream) {
            return Err(CloseReason::Normal);
        }
        let mut response = Vec::new();
        if is_empty(&statement) {
            self.wait_for_first_endpoint_list().await?;
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
        self.respond_immediately(response);
        Ok(())
    }

    /// Waits until there is an endpoint list to base decisions on. Empty queries are not answered before.
    async fn wait_for_first_endpoint_list(&mut self) -> Result<(), CloseReason> {
        let mut ready = self.context.ready.clone();
        let listed = self.wait_unless_client_leaves(ready.wait_for(|&ready| ready)).await?;
        listed.map_err(|_| CloseReason::Normal)?;
        Ok(())
    }

    /// Sends a request to the dispatcher.
    async fn send_request(&mut self, statement: Vec<u8>, mut comment: Comment) -> Result<(), CloseReason> {
        if let Some(time_left) = self.context.time_left_at_shutdown() {
            // The request must be answered before the process may be killed.
            comment.timeout_ms = comment.timeout_ms.min(time_left.as_millis() as u32);
        }
        let request_id = self.next_request_id();
        let client_backlog = self.pending_responses.len();
        let statement_reservation = self.receive_state.reservation.take();
        let charged = if statement_reservation.is_some() { 0 } else { statement.len() };
        let charge = self.context.pipeline_memory.charge(charged);
        self.pending_responses.push_request(PendingRequest {
            request_id,
            write_key: write_key(&statement[comment.end..]),
            charge: charge.clone(),
        });
        let received_at = self.receipt_times.received_at(self.buffer.is_empty());
        let request = ClientRequest {
            request_id,
            peer: self.connection_guard.peer,
            mailbox: self.mailbox_sender.clone(),
            received_at: self.context.clock.at(received_at),
            statement,
            comment,
            last_write_age: None,
            client_backlog,
            client_gone: self.client_gone.clone(),
            _pipeline_charge: Some(charge),
            _statement_reservation: statement_reservation,
        };
        let context = self.context.clone();
        let permit = self.wait_unless_client_leaves(context.dispatcher.reserve()).await?;
        permit.map_err(|_| CloseReason::Normal)?.send(DispatcherMessage::ClientRequest(request));
        Ok(())
    }

    /// Returns a new id for the connection's next request.
    fn next_request_id(&mut self) -> ClientRequestId {
        self.requests_sent += 1;
        (self.id << REQUEST_NUMBER_BITS) + (self.requests_sent & REQUEST_NUMBER_MASK)
    }
}

/// Returns the key that a statement may write, or `None` if it contains no key. Only a SELECT writes nothing.
fn write_key(text: &[u8]) -> Option<String> {
    let keyword = text.trim_ascii_start().get(..6);
    let is_select = keyword.is_some_and(|keyword| keyword.eq_ignore_ascii_case(b"SELECT"));
    if is_select { None } else { first_quoted_key(text) }
}
