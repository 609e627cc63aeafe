//! A socket for datagrams, read and written without waiting, whatever errors the system gives meanwhile.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::{SystemCall, injected};

/// How long reading rests after an error that the next call would meet again.
const REST: Duration = Duration::from_millis(10);

/// What one read brought.
pub enum Received {
    Datagram {
        length: usize,
        from: SocketAddr,
    },
    /// All that has come was read.
    Nothing,
    /// There may be more, and it cannot be read now.
    Failed,
}

/// Reading goes on after every error: one of an earlier datagram's way is passed over at once, after others it rests.
/// Protects whoever waits here from a loop over a call that fails at once; delays datagrams by the rest.
pub struct DatagramSocket {
    socket: UdpSocket,
    log: Logger,
    rests_until: Option<Instant>,
    /// An error is told once, until a datagram is read again.
    told: bool,
}

impl DatagramSocket {
    pub fn new(socket: UdpSocket, log: Logger) -> DatagramSocket {
        DatagramSocket { socket, log, rests_until: None, told: false }
    }

    /// Until there is something to read.
    pub async fn readable(&mut self) {
        if let Some(until) = self.rests_until {
            sleep_until(until).await;
            self.rests_until = None;
        }
        while self.socket.readable().await.is_err() {
            sleep(REST).await;
        }
    }

    pub fn receive(&mut self, bytes: &mut [u8]) -> Received {
        let error = loop {
            let read = injected(SystemCall::Receive).and_then(|()| self.socket.try_recv_from(bytes));
            match read {
                Ok((length, from)) => {
                    if std::mem::take(&mut self.told) {
                        info!(self.log, "datagrams are read again");
                    }
                    return Received::Datagram { length, from };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted || is_of_the_way(&error) => {}
                Err(error) => break error,
            }
        };
        self.rests_until = Some(Instant::now() + REST);
        if !std::mem::replace(&mut self.told, true) {
            warn!(self.log, "datagrams cannot be read, tried again"; "why" => %error);
        }
        Received::Failed
    }

    /// Sends it at once, or not at all; how many bytes.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) -> std::io::Result<usize> {
        loop {
            match self.socket.try_send_to(datagram, to) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                sent => return sent,
            }
        }
    }
}

/// The system's word on an earlier datagram, which it gives once and which says nothing of what has come.
fn is_of_the_way(error: &std::io::Error) -> bool {
    let way = [c::ECONNREFUSED, c::ECONNRESET, c::EHOSTUNREACH, c::ENETUNREACH, c::EHOSTDOWN];
    error.raw_os_error().is_some_and(|number| way.contains(&number))
}
