//! Peers that move slowly, on purpose.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_wire::Buffer;
use socket2::{Domain, Protocol, Socket, Type};

use crate::{Client, LONG, read_some};

/// Writes so many bytes at a time with a pause behind each, until all is written or the other side is gone.
pub fn drip(bytes: &[u8], piece: usize, pause: Duration, stream: &mut TcpStream) {
    for part in bytes.chunks(piece.max(1)) {
        if stream.write_all(part).is_err() {
            return;
        }
        thread::sleep(pause);
    }
}

impl Client {
    /// One whose system takes in next to nothing that it does not read.
    pub fn narrow(address: SocketAddr) -> Option<Client> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_recv_buffer_size(2048).ok()?;
        socket.connect(&address.into()).ok()?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(LONG)).ok()?;
        stream.set_write_timeout(Some(LONG)).ok()?;
        Client { stream, buffer: Buffer::default() }.greeted()
    }

    /// Reads so many bytes at a time with a pause behind each, for so long or until the end. Says how many came, and
    /// whether the end did.
    pub fn sip(&mut self, piece: usize, pause: Duration, long: Duration) -> (usize, bool) {
        let (start, mut bytes, mut came) = (Instant::now(), vec![0; piece], 0);
        while start.elapsed() < long {
            match read_some(&mut self.stream, &mut bytes) {
                Ok(0) => return (came, true),
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock) => {}
                Err(_) => return (came, true),
                Ok(count) => came += count,
            }
            thread::sleep(pause);
        }
        (came, false)
    }
}
