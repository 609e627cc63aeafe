//! What the system says of a loopback connection. On a busy machine it delivers what was sent only some time later, and
//! what was sent on another connection before that.

use std::net::TcpStream;

use crate::until;

const ESTABLISHED: u64 = 1;
const FIN_WAIT_1: u64 = 4;

/// The state of the connection from this port, and how many bytes sent on it are not acknowledged.
fn socket(port: u16) -> Option<(u64, u64)> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, local) = fields.get(1)?.split_once(':')?;
        let (unacknowledged, _) = fields.get(4)?.split_once(':')?;
        (hex(local) == Some(port.into())).then_some((hex(fields[3])?, hex(unacknowledged)?))
    })
}

/// Waits until the other side has ended its side of the connection, though what it sent may not be acknowledged yet.
pub fn ended_by_peer(stream: &TcpStream) {
    let (port, peer) = (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port());
    let is_open = || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let connection = format!(":{peer:04X} 0100007F:{port:04X} 01 ");
        table.contains(&connection)
    };
    until("the end of the other side", || !is_open());
}

/// Waits until the other side's system has all that was sent.
pub fn delivered(stream: &TcpStream) {
    let port = stream.local_addr().unwrap().port();
    until("what was sent", || socket(port).is_none_or(|(_, unacknowledged)| unacknowledged == 0));
}

/// Closes the connection, and waits until the other side's system knows.
pub fn closed(stream: TcpStream) {
    let port = stream.local_addr().unwrap().port();
    drop(stream);
    until("the close", || socket(port).is_none_or(|(state, _)| ![ESTABLISHED, FIN_WAIT_1].contains(&state)));
}
