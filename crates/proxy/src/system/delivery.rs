//! How far the peer's system has acknowledged what was written to a connection.

use std::os::fd::AsRawFd;

use tokio::net::TcpStream;
use uapi::c;

/// Index of `tcpi_unacked`, in segments, in Linux's `struct tcp_info` as an array of 32-bit words. It counts the end of
/// the stream, too.
const UNACKNOWLEDGED: usize = 6;
/// Index of the lower half of `tcpi_bytes_acked`, whose wrapping does no harm to comparisons.
const BYTES_ACKNOWLEDGED: usize = if cfg!(target_endian = "little") { 30 } else { 31 };
/// Index of `tcpi_notsent_bytes`.
const NOT_SENT: usize = 36;

/// Delivery of what was written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The peer's system has acknowledged everything, or the connection has failed.
    Complete,
    /// The peer's system has acknowledged this many bytes so far.
    Pending {
        /// Bytes since the connection was opened, modulo 2^32.
        acknowledged: u32,
    },
}

/// Returns how far what was written to a connection, and the end of its stream if it was sent, has been delivered. `None`
/// if the system does not report it.
pub fn delivery(stream: &TcpStream) -> Option<Delivery> {
    let mut info = [0u32; NOT_SENT + 1];
    let length = uapi::getsockopt(stream.as_raw_fd(), c::IPPROTO_TCP, c::TCP_INFO, &mut info).ok()?;
    if length < std::mem::size_of_val(&info) {
        return None;
    }
    let is_complete = info[UNACKNOWLEDGED] == 0 && info[NOT_SENT] == 0;
    Some(if is_complete {
        Delivery::Complete
    } else {
        Delivery::Pending { acknowledged: info[BYTES_ACKNOWLEDGED] }
    })
}
