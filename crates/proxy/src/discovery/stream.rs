//! One watch on discovery: an HTTP response that goes on, and the endpoint lists in it.

use std::net::SocketAddr;
use std::time::Duration;

use aldermill_wire::http::LineRead;
use aldermill_wire::{Buffer, http, json};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::error::WatchError;
use crate::lifecycle::limits::DiscoveryLimits;
use crate::system::{self, Party};

/// This many bytes within the silence timeout are no silence, though no line has come to its end: a long list on a slow
/// line. Fewer are, as bytes that trickle in tell nothing.
const PROGRESS_BYTES: usize = 8 * 1024;

/// The HTTP status of a response that carries the endpoint list.
const STATUS_OK: u16 = 200;

/// A watch that discovery was asked for.
pub(super) struct ListStream {
    stream: TcpStream,
    buffer: Buffer,
    limits: DiscoveryLimits,
    /// The response's body; `None` until its head is there.
    body: Option<http::BodyLines>,
    /// The list whose lines are being gathered: it may come indented, on many lines.
    list: json::ValueAssembler,
    /// What the first bytes were given, the time to connect included.
    first_byte_timeout: Duration,
    has_received: bool,
    /// By when a line has to be whole, or [`PROGRESS_BYTES`] have to be there.
    due: Instant,
    /// Bytes since `due` was set.
    bytes_since: usize,
}

impl ListStream {
    /// Connects and asks for the endpoint list, or for what has changed since `revision`.
    pub(super) async fn open(
        address: SocketAddr,
        revision: Option<u64>,
        first_byte_timeout: Duration,
        limits: &DiscoveryLimits,
    ) -> Result<ListStream, WatchError> {
        let due = Instant::now() + first_byte_timeout;
        let connected = timeout_at(due, system::connect(address, None)).await;
        let mut stream = connected.map_err(|_| WatchError::NoResponse(first_byte_timeout))??;
        let index = revision.map_or(String::new(), |revision| format!("&index={revision}"));
        let mut request = Vec::new();
        http::write_get_request(
            &mut request,
            &address.to_string(),
            &format!("/catalog/members?stream=1{index}"),
        );
        system::write_all(Party::Discovery, &mut stream, &request).await?;
        Ok(ListStream {
            stream,
            buffer: Buffer::default(),
            limits: limits.clone(),
            body: None,
            list: json::ValueAssembler::default(),
            first_byte_timeout,
            has_received: false,
            due,
            bytes_since: 0,
        })
    }

    /// Waits for more bytes. [`ListStream::next_line`] is to be called afterwards until it has no more lines.
    pub(super) async fn read(&mut self) -> Result<(), WatchError> {
        let read = system::read(Party::Discovery, &mut self.stream, self.buffer.tail());
        match timeout_at(self.due, read).await {
            Err(_) if !self.has_received => return Err(WatchError::NoResponse(self.first_byte_timeout)),
            Err(_) if self.bytes_since >= PROGRESS_BYTES => self.restart_silence_timeout(),
            Err(_) => return Err(WatchError::Silence(self.limits.silence_timeout)),
            Ok(read) => match read? {
                0 => return Err(WatchError::Closed),
                count => self.bytes_since += count,
            },
        }
        if !self.has_received {
            self.has_received = true;
            self.due = Instant::now() + self.limits.silence_timeout;
        }
        self.parse_head()
    }

    /// Parses the response's head once it is whole.
    fn parse_head(&mut self) -> Result<(), WatchError> {
        if self.body.is_some() {
            return Ok(());
        }
        let head = http::parse_response_head(self.buffer.held(), self.limits.max_response_head);
        let Some(head) = head.map_err(WatchError::Malformed)? else { return Ok(()) };
        if head.status != STATUS_OK {
            return Err(WatchError::Status(head.status));
        }
        self.buffer.consume(head.length);
        self.body = Some(http::BodyLines::new(head.body, self.limits.max_list_line));
        Ok(())
    }

    /// The next line that was read, to be passed to [`ListStream::add_line`]; `None` where more has to be read first.
    /// Each line ends the silence, also an empty one, which discovery sends while nothing changes.
    pub(super) fn next_line(&mut self) -> Result<Option<Vec<u8>>, WatchError> {
        let Some(body) = &mut self.body else { return Ok(None) };
        let LineRead { consumed, line } =
            body.next_line(self.buffer.held()).map_err(WatchError::Malformed)?;
        self.buffer.consume(consumed);
        if line.is_some() {
            self.restart_silence_timeout();
        } else if body.is_over() {
            return Err(WatchError::ResponseEnded);
        }
        Ok(line)
    }

    /// The text of the endpoint list that this line completes, if it does. An empty line stands between lists: one that it
    /// cuts in two has lost its end.
    pub(super) fn add_line(&mut self, line: &[u8]) -> Result<Option<Vec<u8>>, WatchError> {
        if !line.trim_ascii().is_empty() {
            return self.list.add_line(line, self.limits.max_list_line).map_err(WatchError::Malformed);
        }
        if self.list.is_open() { Err(WatchError::Truncated) } else { Ok(None) }
    }

    fn restart_silence_timeout(&mut self) {
        self.due = Instant::now() + self.limits.silence_timeout;
        self.bytes_since = 0;
    }
}
