//! One watch on discovery: a streamed HTTP response, and the endpoint lists in it.

use std::net::SocketAddr;
use std::time::Duration;

use aldermill_wire::http::LineRead;
use aldermill_wire::{Buffer, http, json};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::error::WatchError;
use crate::lifecycle::limits::DiscoveryLimits;
use crate::system::{self, Party};

/// Number of bytes that count as progress if they arrive within the silence timeout although no line was
/// completed, as with a long list on a slow network. Fewer bytes do not count: a trickle of bytes shows
/// nothing.
const MIN_PROGRESS_BYTES: usize = 8 * 1024;

/// HTTP status of a response that carries the endpoint list.
const STATUS_OK: u16 = 200;

/// A watch that was requested from discovery.
pub(super) struct ListStream {
    stream: TcpStream,
    buffer: Buffer,
    limits: DiscoveryLimits,
    /// Body of the response; `None` until its head has arrived.
    body: Option<http::BodyLines>,
    /// Assembles a list from its lines: an indented list spans many of them.
    list_assembler: json::ValueAssembler,
    /// Time limit for the first bytes, including the time to connect.
    first_byte_timeout: Duration,
    has_received: bool,
    /// Deadline for the first bytes, and later for a complete line or [`MIN_PROGRESS_BYTES`].
    read_deadline: Instant,
    /// Bytes received since the silence timeout was last restarted.
    bytes_since_reset: usize,
}

impl ListStream {
    /// Connects, and requests the endpoint list or only its changes since `revision`.
    pub(super) async fn open(
        address: SocketAddr,
        revision: Option<u64>,
        first_byte_timeout: Duration,
        limits: &DiscoveryLimits,
    ) -> Result<ListStream, WatchError> {
        let read_deadline = Instant::now() + first_byte_timeout;
        let connected = timeout_at(read_deadline, system::connect(address, None)).await;
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
            list_assembler: json::ValueAssembler::default(),
            first_byte_timeout,
            has_received: false,
            read_deadline,
            bytes_since_reset: 0,
        })
    }

    /// Waits for more bytes. The caller must then call [`ListStream::next_line`] until that returns no more
    /// lines.
    pub(super) async fn read(&mut self) -> Result<(), WatchError> {
        let read = system::read(Party::Discovery, &mut self.stream, self.buffer.tail());
        match timeout_at(self.read_deadline, read).await {
            Err(_) if !self.has_received => return Err(WatchError::NoResponse(self.first_byte_timeout)),
            Err(_) if self.bytes_since_reset >= MIN_PROGRESS_BYTES => self.restart_silence_timeout(),
            Err(_) => return Err(WatchError::SilenceTimeout(self.limits.silence_timeout)),
            Ok(read) => match read? {
                0 => return Err(WatchError::Closed),
                count => self.bytes_since_reset += count,
            },
        }
        if !self.has_received {
            self.has_received = true;
            self.read_deadline = Instant::now() + self.limits.silence_timeout;
        }
        self.parse_head()
    }

    /// Parses the response's head once it is complete.
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

    /// Returns the next received line, which is to be passed to [`ListStream::add_line`], or `None` if more
    /// bytes must be read first. Each line restarts the silence timeout, even an empty one, which discovery
    /// sends while nothing changes.
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

    /// Returns the text of the endpoint list that this line completes, if any. Empty lines separate lists, so
    /// a list that an empty line interrupts has lost its end.
    pub(super) fn add_line(&mut self, line: &[u8]) -> Result<Option<Vec<u8>>, WatchError> {
        if !line.trim_ascii().is_empty() {
            return self
                .list_assembler
                .add_line(line, self.limits.max_list_line)
                .map_err(WatchError::Malformed);
        }
        if self.list_assembler.is_open() { Err(WatchError::Truncated) } else { Ok(None) }
    }

    fn restart_silence_timeout(&mut self) {
        self.read_deadline = Instant::now() + self.limits.silence_timeout;
        self.bytes_since_reset = 0;
    }
}
