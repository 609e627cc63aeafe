//! How connections end, and the bytes of an answer.

use tokio::io::{AsyncWriteExt, Interest};

use super::*;
use crate::system::{self, Party, Peeked};

/// Returns once the other side has closed, though what it sent before that is left unread.
pub(super) async fn gone(stream: &TcpStream, look_again: Duration) {
    loop {
        sleep(look_again).await;
        // Known at once, as there is something to read.
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {}
            _ => return,
        }
    }
}

/// Whether bytes have come that nobody has read.
pub(super) fn has_unread(stream: &TcpStream) -> bool {
    matches!(system::peek(stream), Peeked::Unread)
}

/// Ends a connection so that what was sent last arrives: closed with bytes unread, it would be reset. Of a client
/// that goes on sending no more than so many bytes are taken in.
pub(super) async fn part(mut stream: TcpStream, limit: Duration, mut scrap: usize) {
    let until_end = async {
        stream.shutdown().await?;
        let mut bytes = Vec::with_capacity(16 * 1024);
        while scrap > 0 {
            bytes.clear();
            match system::read(Party::Client, &mut stream, &mut bytes).await? {
                0 => return Ok(()),
                count => scrap = scrap.saturating_sub(count),
            }
        }
        sleep(limit).await;
        std::io::Result::Ok(())
    };
    let _ = timeout(limit, until_end).await;
}

/// The bytes of an answer, and the room that they hold.
pub(super) fn encode(answer: Answer) -> (Vec<Vec<u8>>, Option<BufferReservation>) {
    let mut out = Vec::new();
    match answer {
        Answer::Served(rows) => return (rows.pieces, rows.reservation),
        Answer::Rejected { retry_after } => {
            let millis = (retry_after + 999) / 1000;
            let detail = (millis > 0).then(|| millis.to_string());
            pg::error(&mut out, false, "53300", "denied, trying again is harmless", detail.as_deref());
        }
        Answer::Failed => {
            pg::error(&mut out, false, "40003", "broken off, it is not known whether it took effect", None);
        }
        Answer::InvalidStatement(why) => pg::error(&mut out, false, "08P01", why, None),
    }
    (vec![out], None)
}

/// Tells a client for which there is no room, and parts with it.
pub async fn turn_away(context: Rc<ProcessContext>, mut stream: TcpStream) {
    let mut out = Vec::new();
    pg::error(&mut out, true, "53300", "too many connections", None);
    let _ = timeout(
        context.limits.client.error_write_timeout,
        system::write_all(Party::Client, &mut stream, &out),
    )
    .await;
    part(stream, context.limits.connections.linger, context.limits.client.discard_limit).await;
}
