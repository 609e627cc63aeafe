//! One connection to another gateway.

use std::collections::HashMap;

use prost::Message;

use crate::error::{MalformedFrame, ProtocolViolation};
use crate::frame::{
    CapacityAnnouncement, Close, Data, Frame, FrameKind, Hello, OutcomeReply, OutcomeReplyKind,
    PROTOCOL_VERSION, Ping, Pong, Request, Response, ResponseKind, Window,
};
use crate::incoming::{Announcement, DataProgress, IncomingMessages};
use crate::outbox::{Outbox, StreamId};
use crate::{Identity, Inbound, LinkConfig, LinkError, Micros, Outbound};

/// The bytes of a frame's length.
const LENGTH_PREFIX: usize = 4;
/// The longest name of a site or an instance, in bytes.
const MAX_NAME: usize = 64;
/// The longest name of a request class, in bytes.
const MAX_CLASS_NAME: usize = 256;
/// How many sites a request may have come through.
const MAX_VISITED_SITES: usize = 16;
/// How many request classes a capacity announcement may name.
const MAX_ANNOUNCED_CLASSES: usize = 4096;
/// How much of the other side's reason for closing is kept, in characters.
const MAX_CLOSE_REASON: usize = 200;

/// One connection to another gateway, from the greetings until an error ends it.
#[derive(Debug)]
pub struct Link {
    config: LinkConfig,
    peer: Option<Identity>,
    /// Received bytes that are not a whole frame yet.
    unparsed: Vec<u8>,
    incoming: IncomingMessages,
    outbox: Outbox,
    last_received_at: Micros,
    next_ping_at: Micros,
    /// When each ping was sent that has not come back.
    pings: HashMap<u64, Micros>,
    last_ping: u64,
}

impl Link {
    /// A link whose first bytes are the greeting of `own`.
    pub fn new(config: LinkConfig, own: &Identity, now: Micros) -> Link {
        let mut outbox = Outbox::default();
        outbox.push_urgent(FrameKind::Hello(Hello {
            version: PROTOCOL_VERSION,
            site: own.site.clone(),
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            heartbeat_us: config.heartbeat_interval.max(0) as u64,
            window: config.stream_window,
        }));
        Link {
            config,
            peer: None,
            unparsed: Vec::new(),
            incoming: IncomingMessages::default(),
            outbox,
            last_received_at: now,
            next_ping_at: now,
            pings: HashMap::new(),
            last_ping: 0,
        }
    }

    /// Who is at the other end, once it has greeted.
    pub fn peer_identity(&self) -> Option<&Identity> {
        self.peer.as_ref()
    }

    // ---- Input.

    /// Takes bytes that were received, in pieces of any size. Returns the messages that are whole now, in their order.
    ///
    /// # Errors
    ///
    /// Why the link has to end. Messages that arrived with the same bytes before the fault are lost, as if the connection
    /// had been.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Inbound>, LinkError> {
        self.last_received_at = now;
        self.unparsed.extend_from_slice(bytes);
        let mut messages = Vec::new();
        let mut parsed = 0;
        while let Some(body) = next_frame(&self.unparsed[parsed..], self.config.max_frame)? {
            let frame = Frame::decode(body).map_err(|_| LinkError::Malformed(MalformedFrame::Undecodable))?;
            parsed += LENGTH_PREFIX + body.len();
            let kind = frame.kind.ok_or(LinkError::UnknownKind)?;
            messages.extend(self.handle_frame(now, kind)?);
        }
        self.unparsed.drain(..parsed);
        Ok(messages)
    }

    /// Takes one frame. Returns the message that is whole with it.
    fn handle_frame(&mut self, now: Micros, kind: FrameKind) -> Result<Option<Inbound>, LinkError> {
        if self.peer.is_none() && !matches!(kind, FrameKind::Hello(_) | FrameKind::Close(_)) {
            return Err(LinkError::OutOfPlace(ProtocolViolation::BeforeGreeting));
        }
        match kind {
            FrameKind::Hello(hello) => self.handle_hello(hello).map(Some),
            FrameKind::Request(request) => self.handle_request(request),
            FrameKind::Response(response) => self.handle_response(response),
            FrameKind::OutcomeReply(reply) => self.handle_outcome_reply(reply),
            FrameKind::Data(data) => self.handle_data(&data),
            FrameKind::Window(window) => {
                let stream = StreamId { number: window.number, is_response: window.is_response };
                self.outbox.widen_window(stream, window.bytes as usize);
                Ok(None)
            }
            FrameKind::Cancel(number) => {
                self.incoming.cancel(StreamId::statement(number));
                Ok(Some(Inbound::Cancel(number)))
            }
            FrameKind::OutcomeQuery(query) => Ok(Some(Inbound::OutcomeQuery(query))),
            FrameKind::Confirm(confirm) => Ok(Some(Inbound::Confirm(confirm))),
            FrameKind::CapacityAnnouncement(announcement) => handle_announcement(announcement).map(Some),
            FrameKind::Ping(Ping { number }) => {
                self.outbox.push_urgent(FrameKind::Pong(Pong { number }));
                Ok(None)
            }
            FrameKind::Pong(Pong { number }) => Ok(self.handle_pong(now, number)),
            FrameKind::Close(Close { why }) => Err(LinkError::Closed(printable(&why))),
        }
    }

    fn handle_hello(&mut self, hello: Hello) -> Result<Inbound, LinkError> {
        if self.peer.is_some() {
            return Err(LinkError::OutOfPlace(ProtocolViolation::SecondGreeting));
        }
        if hello.version != PROTOCOL_VERSION {
            return Err(LinkError::Version(hello.version));
        }
        let Hello { site, instance, incarnation, window, .. } = hello;
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME;
        if !is_name(&site) || !is_name(&instance) || window == 0 {
            return Err(LinkError::Malformed(MalformedFrame::IncompleteGreeting));
        }
        self.outbox.open(window as usize);
        let identity = Identity { site, instance, incarnation };
        self.peer = Some(identity.clone());
        Ok(Inbound::Greeted(identity))
    }

    fn handle_request(&mut self, request: Request) -> Result<Option<Inbound>, LinkError> {
        let length = request.length as usize;
        if length > self.config.max_statement || length == 0 {
            return Err(LinkError::Malformed(MalformedFrame::StatementLength));
        }
        if request.class.len() > MAX_CLASS_NAME || request.visited.len() > MAX_VISITED_SITES {
            return Err(LinkError::Malformed(MalformedFrame::RequestTooLarge));
        }
        let stream = StreamId::statement(request.number);
        self.incoming.announce(&self.config, stream, Announcement::Request(request), length)
    }

    fn handle_response(&mut self, response: Response) -> Result<Option<Inbound>, LinkError> {
        let length = response.length as usize;
        if response.kind() == ResponseKind::Unset || length > self.config.max_response {
            return Err(LinkError::Malformed(MalformedFrame::InvalidResponse));
        }
        let stream = StreamId::response(response.number);
        self.incoming.announce(&self.config, stream, Announcement::Response(response), length)
    }

    fn handle_outcome_reply(&mut self, reply: OutcomeReply) -> Result<Option<Inbound>, LinkError> {
        let length = reply.length as usize;
        if reply.kind() == OutcomeReplyKind::Unset || length > self.config.max_response {
            return Err(LinkError::Malformed(MalformedFrame::InvalidOutcomeReply));
        }
        let stream = StreamId::response(reply.number);
        self.incoming.announce(&self.config, stream, Announcement::OutcomeReply(reply), length)
    }

    fn handle_data(&mut self, data: &Data) -> Result<Option<Inbound>, LinkError> {
        let stream = StreamId { number: data.number, is_response: data.is_response };
        match self.incoming.receive(&self.config, stream, &data.bytes)? {
            DataProgress::Incomplete => Ok(None),
            DataProgress::Complete(message) => Ok(Some(message)),
            DataProgress::WidenWindow(bytes) => {
                let window = Window { number: data.number, is_response: data.is_response, bytes };
                self.outbox.push_urgent(FrameKind::Window(window));
                Ok(None)
            }
        }
    }

    /// A ping came back. Those sent before it count as lost.
    fn handle_pong(&mut self, now: Micros, number: u64) -> Option<Inbound> {
        let sent_at = self.pings.remove(&number)?;
        self.pings.retain(|&other, _| other > number);
        Some(Inbound::RoundTrip(now - sent_at))
    }

    /// Whether input may be taken: not while too many bytes wait to go out.
    pub fn accepts_input(&self) -> bool {
        self.outbox.queued() < self.config.max_queued
    }

    // ---- Output.

    /// Queues a message. Data goes out once the other side has greeted.
    pub fn send(&mut self, message: Outbound) {
        match message {
            Outbound::Request(mut request, statement) => {
                request.length = statement.len() as u32;
                let stream = StreamId::statement(request.number);
                self.send_with_data(FrameKind::Request(request), stream, statement);
            }
            Outbound::Response(mut response, data) => {
                response.length = data.len() as u32;
                let stream = StreamId::response(response.number);
                self.send_with_data(FrameKind::Response(response), stream, data);
            }
            Outbound::OutcomeReply(mut reply, data) => {
                reply.length = data.len() as u32;
                let stream = StreamId::response(reply.number);
                self.send_with_data(FrameKind::OutcomeReply(reply), stream, data);
            }
            Outbound::Cancel(number) => {
                self.outbox.cancel_data(StreamId::statement(number));
                self.outbox.push_short(FrameKind::Cancel(number));
            }
            Outbound::OutcomeQuery(query) => self.outbox.push_short(FrameKind::OutcomeQuery(query)),
            Outbound::Confirm(confirm) => self.outbox.push_short(FrameKind::Confirm(confirm)),
            Outbound::CapacityAnnouncement(announcement) => {
                self.outbox.push_urgent(FrameKind::CapacityAnnouncement(announcement));
            }
        }
    }

    fn send_with_data(&mut self, announcement: FrameKind, stream: StreamId, data: Vec<u8>) {
        self.outbox.push_short(announcement);
        self.outbox.push_data(stream, data);
    }

    /// The bytes of the last frame of a link that ends, with the reason for it.
    pub fn close(why: &str) -> Vec<u8> {
        crate::outbox::encode(FrameKind::Close(Close { why: why.to_owned() }))
    }

    /// The next bytes to write: whole frames, until there are `at_least` bytes or nothing is left that may go.
    pub fn next_bytes(&mut self, at_least: usize) -> Option<Vec<u8>> {
        let mut out = self.outbox.pop()?;
        while out.len() < at_least
            && let Some(more) = self.outbox.pop()
        {
            out.extend_from_slice(&more);
        }
        Some(out)
    }

    // ---- Time.

    /// Queues a ping if one is due.
    ///
    /// # Errors
    ///
    /// [`LinkError::Silent`] if nothing has been received for too long.
    pub fn wake(&mut self, now: Micros) -> Result<(), LinkError> {
        if now - self.last_received_at >= self.config.silence_timeout {
            return Err(LinkError::Silent);
        }
        if now >= self.next_ping_at {
            self.next_ping_at = now + self.config.heartbeat_interval;
            self.last_ping += 1;
            self.pings.insert(self.last_ping, now);
            self.outbox.push_urgent(FrameKind::Ping(Ping { number: self.last_ping }));
        }
        Ok(())
    }

    /// When to call [`Link::wake`], on the caller's clock.
    pub fn wake_at(&self) -> Micros {
        self.next_ping_at.min(self.last_received_at + self.config.silence_timeout)
    }
}

/// The body of the first frame in `bytes`, if it is there whole.
fn next_frame(bytes: &[u8], max_frame: usize) -> Result<Option<&[u8]>, LinkError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > max_frame {
        return Err(LinkError::Malformed(MalformedFrame::TooLong));
    }
    Ok(bytes.get(LENGTH_PREFIX..LENGTH_PREFIX + length))
}

fn handle_announcement(announcement: CapacityAnnouncement) -> Result<Inbound, LinkError> {
    if announcement.credits.len() > MAX_ANNOUNCED_CLASSES {
        return Err(LinkError::Malformed(MalformedFrame::AnnouncementTooLarge));
    }
    Ok(Inbound::CapacityAnnouncement(announcement))
}

/// The other side's text, safe for a log.
fn printable(text: &str) -> String {
    text.chars().take(MAX_CLOSE_REASON).filter(|c| !c.is_control()).collect()
}
