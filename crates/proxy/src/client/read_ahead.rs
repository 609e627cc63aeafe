//! Reading ahead of the statements in progress, so that the end of a client that closes its connection is seen.
//!
//! The kernel delivers the end of a stream only after all bytes before it have been read. While bytes are left unread,
//! a client that has closed its connection looks like one that waits.

use aldermill_flow_control::Priority;

use super::connection::ClientConnection;
use super::events::has_unread_bytes;
use crate::system;

/// Free space beyond what is read ahead, in bytes, so that the buffer never grows.
const SPARE_CAPACITY: usize = 4 * 1024;
/// Unread bytes that leave room in the kernel's buffer of a client connection, whatever the messages they arrived in.
const VISIBLE_UNREAD: usize = 8 * 1024;

impl ClientConnection {
    /// Returns whether more may be read while requests are in progress: up to `limits.client.read_ahead` bytes, and up
    /// to `limits.client.extended_read_ahead` while buffer space can be reserved.
    pub(super) fn may_read_ahead(&mut self) -> bool {
        let limits = &self.context.limits.client;
        let held = self.buffer.held().len();
        if held < limits.read_ahead {
            if self.read_ahead_reservation.take().is_some() {
                self.buffer.shrink();
            }
            return true;
        }
        if held >= limits.extended_read_ahead {
            return false;
        }
        if self.read_ahead_reservation.is_none() {
            let capacity = limits.extended_read_ahead + SPARE_CAPACITY;
            self.read_ahead_reservation = self.connection_guard.try_reserve(capacity, Priority::Normal);
            if self.read_ahead_reservation.is_some() {
                self.buffer.expect(capacity);
            }
        }
        self.read_ahead_reservation.is_some()
    }

    /// Returns whether the client may have closed its connection behind bytes that are not read. They are read before
    /// another statement is accepted. Where no more may be read, requests are attempted one at a time: the response to
    /// the first one shows whether the client is still there.
    ///
    /// Once the input has ended, bytes stay unread. As long as they leave room in the kernel's buffer, the end of the
    /// stream arrives behind them and is reported, though it is not read.
    pub(super) fn departure_may_be_hidden(&self) -> bool {
        if self.is_input_ended() {
            return system::has_unread(&self.stream, VISIBLE_UNREAD);
        }
        has_unread_bytes(&self.stream)
    }
}
