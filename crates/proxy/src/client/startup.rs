//! Startup handshake, and the encryption requests that may precede it.

use aldermill_wire::Malformed;
use aldermill_wire::pg::{self, InitialMessageKind};
use tokio::time::{Instant, timeout_at};

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::response::EncodedResponse;
use crate::system::{self, Party};

/// Answer to an encryption request: the client continues without encryption, or closes the connection.
const ENCRYPTION_REJECTED: &[u8] = b"N";
/// Number of encryption requests that a client may send: one for each of TLS and GSSAPI.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

impl ClientConnection {
    /// Reads the client's startup message and answers it. Encryption requests that precede it are rejected.
    pub(super) async fn handle_startup(&mut self) -> Result<(), CloseReason> {
        let deadline = self.connected_at + self.context.limits.client.startup_timeout;
        let mut encryption_requests = 0;
        loop {
            let Some(message) = pg::initial_message(self.buffer.held())? else {
                self.read_startup_message(deadline).await?;
                continue;
            };
            match message.kind {
                InitialMessageKind::CancelRequest => return Err(CloseReason::Normal),
                InitialMessageKind::EncryptionRequest if encryption_requests == MAX_ENCRYPTION_REQUESTS => {
                    return Err(Malformed::RepeatedEncryptionRequest.into());
                }
                InitialMessageKind::EncryptionRequest => {
                    encryption_requests += 1;
                    self.buffer.consume(message.length);
                    let rejection = EncodedResponse::unreserved(ENCRYPTION_REJECTED.to_vec());
                    self.write_response(rejection).await?;
                }
                InitialMessageKind::StartupMessage => {
                    self.buffer.consume(message.length);
                    let mut response = Vec::new();
                    pg::write_startup_response(&mut response, self.id as u32);
                    return self.write_response(EncodedResponse::unreserved(response)).await;
                }
            }
        }
    }

    /// Reads more of the startup message. Nothing is read after the deadline, because the message would get
    /// no answer.
    async fn read_startup_message(&mut self, deadline: Instant) -> Result<(), CloseReason> {
        let bytes = system::read(Party::Client, &mut self.stream, self.buffer.tail());
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline, bytes) => read,
            // Every message, whatever its kind, means that the connection is to be closed for a new client.
            _ = self.mailbox.recv() => return Err(CloseReason::Evicted),
        };
        let count = read.map_err(|_| CloseReason::Evicted)??;
        if count == 0 {
            return Err(CloseReason::Normal);
        }
        self.record_read();
        Ok(())
    }
}
