//! The startup handshake, and requests for encryption before it.

use aldermill_wire::pg::{self, InitialMessageKind};
use tokio::time::{Instant, timeout_at};

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::response::EncodedResponse;
use crate::system::{self, Party};

/// Answers a request for encryption: the client goes on without, or closes the connection.
const ENCRYPTION_REFUSED: &[u8] = b"N";

impl ClientConnection {
    /// Reads the client's startup message and answers it; requests for encryption before it are refused.
    pub(super) async fn startup(&mut self) -> Result<(), CloseReason> {
        let deadline = self.connected_at + self.context.limits.client.startup_timeout;
        loop {
            let Some(message) = pg::initial_message(self.buffer.held())? else {
                self.read_startup(deadline).await?;
                continue;
            };
            match message.kind {
                InitialMessageKind::CancelRequest => return Err(CloseReason::Normal),
                InitialMessageKind::EncryptionRequest => {
                    self.buffer.consume(message.length);
                    let refusal = EncodedResponse::small(ENCRYPTION_REFUSED.to_vec());
                    self.write_response(refusal).await?;
                }
                InitialMessageKind::StartupMessage => {
                    self.buffer.consume(message.length);
                    let mut welcome = Vec::new();
                    pg::write_startup_response(&mut welcome, self.id as u32);
                    return self.write_response(EncodedResponse::small(welcome)).await;
                }
            }
        }
    }

    /// Reads more of a startup message. After the deadline nothing is read, as it would have no answer.
    async fn read_startup(&mut self, deadline: Instant) -> Result<(), CloseReason> {
        let bytes = system::read(Party::Client, &mut self.stream, self.buffer.tail());
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline, bytes) => read,
            // Whatever the message is: the connection is to be closed for a new client.
            _ = self.mailbox.recv() => return Err(CloseReason::Evicted),
        };
        let count = read.map_err(|_| CloseReason::Evicted)??;
        if count == 0 {
            return Err(CloseReason::Normal);
        }
        self.stamp_receipt();
        Ok(())
    }
}
