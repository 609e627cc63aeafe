//! A non-blocking datagram socket that stays in use after errors.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::injection::{SystemCall, inject_fault};

/// Wait after an error that is expected to recur at once.
const BACKOFF: Duration = Duration::from_millis(10);

/// Result of one read from a datagram socket.
pub enum Received {
    /// A datagram was read into the caller's buffer.
    Datagram {
        /// Length of the datagram in the buffer, in bytes.
        length: usize,
        /// Address of the sender.
        from: SocketAddr,
    },
    /// No datagram is waiting to be read.
    NoDatagram,
    /// The read failed. Datagrams may be waiting, but cannot be read now.
    Failed,
}

/// A datagram socket that backs off after errors of reads.
///
/// After an error that concerns a datagram sent earlier, the next read follows at once. After any other error
/// the socket waits, because otherwise the process would be busy with a call that fails immediately and would
/// serve nobody. The cost is that datagrams are read later by the duration of the wait.
pub struct DatagramSocket {
    socket: UdpSocket,
    log: Logger,
    /// End of the current wait; `None` if the socket may be read at once.
    retry_at: Option<Instant>,
    /// Whether an error has been logged since the last datagram was read.
    failure_logged: bool,
}

impl DatagramSocket {
    /// Wraps a socket that is already bound.
    pub fn new(socket: UdpSocket, log: Logger) -> DatagramSocket {
        DatagramSocket { socket, log, retry_at: None, failure_logged: false }
    }

    /// Waits until a datagram can be read, and until the wait after an error has ended. Cancel safe.
    pub async fn readable(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
        while self.socket.readable().await.is_err() {
            sleep(BACKOFF).await;
        }
    }

    /// Reads a datagram into `buffer` if one is waiting, without blocking.
    pub fn receive(&mut self, buffer: &mut [u8]) -> Received {
        loop {
            let read = inject_fault(SystemCall::Receive).and_then(|()| self.socket.try_recv_from(buffer));
            match read {
                Ok((length, from)) => {
                    if std::mem::take(&mut self.failure_logged) {
                        info!(self.log, "receiving datagrams again");
                    }
                    return Received::Datagram { length, from };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::NoDatagram,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if concerns_sent_datagram(&error) => {}
                Err(error) => {
                    self.back_off(&error);
                    return Received::Failed;
                }
            }
        }
    }

    /// Schedules a wait, and logs the first error since the last datagram that was read.
    fn back_off(&mut self, error: &io::Error) {
        self.retry_at = Some(Instant::now() + BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "cannot receive datagrams, trying again"; "error" => %error);
        }
    }

    /// Sends a datagram without blocking and returns the number of bytes sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] if the datagram cannot be sent at once. It is not queued.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        loop {
            match self.socket.try_send_to(datagram, to) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                sent => return sent,
            }
        }
    }
}

/// Returns whether the error concerns a datagram that was sent earlier. The system reports such an error
/// once, on whichever call comes next, and it says nothing about received datagrams.
fn concerns_sent_datagram(error: &io::Error) -> bool {
    let network_errors = [c::ECONNREFUSED, c::ECONNRESET, c::EHOSTUNREACH, c::ENETUNREACH, c::EHOSTDOWN];
    error.raw_os_error().is_some_and(|error_number| network_errors.contains(&error_number))
}
