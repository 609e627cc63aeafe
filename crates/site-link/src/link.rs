use std::collections::HashMap;

use prost::Message;

use crate::frame::{
    CapacityAnnouncement, Close, Confirm, Frame, FrameKind, Hello, OutcomeQuery, OutcomeReply,
    OutcomeReplyKind, PROTOCOL_VERSION, Ping, Pong, Request, Response, ResponseKind, Window,
};
use crate::outbox::{Outbox, Stream};
use crate::{LinkError, Micros};

/// The limits of one link, all stated at its start.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// One frame, its length aside.
    pub frame: usize,
    /// One statement, and one value.
    pub statement: usize,
    pub value: usize,
    /// How much of a stream is taken before more is asked for.
    pub window: u32,
    /// Streams whose data has begun and not ended.
    pub streams: usize,
    /// Bytes that may wait to go out before nothing more is taken in.
    pub waiting: usize,
    /// How often a ping goes out, and after how long without a word the link is dead.
    pub heartbeat: Micros,
    pub silence: Micros,
}

impl LinkLimits {
    pub fn standard(statement: usize, value: usize) -> LinkLimits {
        LinkLimits {
            frame: 16 * 1024,
            statement,
            value,
            window: 64 * 1024,
            streams: 4096,
            waiting: 4 * 1024 * 1024,
            heartbeat: 250_000,
            silence: 1_000_000,
        }
    }
}

/// Who speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub site: String,
    pub instance: String,
    pub incarnation: u64,
}

/// What came whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Inbound {
    /// The other side's greeting; nothing else comes before it.
    Greeted(Identity),
    Request(Request, Vec<u8>),
    /// The answer to a request of this side, with its value.
    Response(Response, Vec<u8>),
    Cancel(u64),
    OutcomeQuery(OutcomeQuery),
    OutcomeReply(OutcomeReply, Vec<u8>),
    Confirm(Confirm),
    CapacityAnnouncement(CapacityAnnouncement),
    /// A ping came back after so long.
    RoundTrip(Micros),
}

/// What is said to the other side.
#[derive(Clone, Debug, PartialEq)]
pub enum Outbound {
    Request(Request, Vec<u8>),
    Response(Response, Vec<u8>),
    Cancel(u64),
    OutcomeQuery(OutcomeQuery),
    OutcomeReply(OutcomeReply, Vec<u8>),
    Confirm(Confirm),
    CapacityAnnouncement(CapacityAnnouncement),
}

/// What is announced by a frame whose data follows.
#[derive(Debug)]
enum Announced {
    Request(Request),
    Response(Response),
    OutcomeReply(OutcomeReply),
}

#[derive(Debug)]
struct Incoming {
    announced: Announced,
    length: usize,
    bytes: Vec<u8>,
    /// Taken in since the other side was last told that it may send more.
    untold: usize,
}

/// One connection to another gateway.
#[derive(Debug)]
pub struct Link {
    bounds: LinkLimits,
    met: Option<Identity>,
    buffer: Vec<u8>,
    incoming: HashMap<Stream, Incoming>,
    outbox: Outbox,
    heard: Micros,
    next_ping: Micros,
    pings: HashMap<u64, Micros>,
    ping: u64,
}

impl Link {
    pub fn new(bounds: LinkLimits, own: &Identity, now: Micros) -> Link {
        let mut outbox = Outbox::default();
        outbox.urgent(FrameKind::Hello(Hello {
            version: PROTOCOL_VERSION,
            site: own.site.clone(),
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            heartbeat_us: bounds.heartbeat.max(0) as u64,
            window: bounds.window,
        }));
        Link {
            bounds,
            met: None,
            buffer: Vec::new(),
            incoming: HashMap::new(),
            outbox,
            heard: now,
            next_ping: now,
            pings: HashMap::new(),
            ping: 0,
        }
    }

    pub fn peer_identity(&self) -> Option<&Identity> {
        self.met.as_ref()
    }

    /// Takes in bytes; what came whole with them is told in its order.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Inbound>, LinkError> {
        self.heard = now;
        self.buffer.extend_from_slice(bytes);
        let (mut events, mut at) = (Vec::new(), 0);
        while let Some(head) = self.buffer[at..].first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if length > self.bounds.frame {
                return Err(LinkError::Malformed("frame too long"));
            }
            let Some(body) = self.buffer.get(at + 4..at + 4 + length) else { break };
            let frame = Frame::decode(body).map_err(|_| LinkError::Malformed("no frame"))?;
            at += 4 + length;
            self.take(now, frame.kind.ok_or(LinkError::UnknownKind)?, &mut events)?;
        }
        self.buffer.drain(..at);
        Ok(events)
    }

    fn take(&mut self, now: Micros, kind: FrameKind, events: &mut Vec<Inbound>) -> Result<(), LinkError> {
        if self.met.is_none() && !matches!(kind, FrameKind::Hello(_) | FrameKind::Close(_)) {
            return Err(LinkError::OutOfPlace("something before the greeting"));
        }
        match kind {
            FrameKind::Hello(_) if self.met.is_some() => {
                return Err(LinkError::OutOfPlace("a second greeting"));
            }
            FrameKind::Hello(hello) if hello.version != PROTOCOL_VERSION => {
                return Err(LinkError::Version(hello.version));
            }
            FrameKind::Hello(hello) => {
                let Hello { site, instance, incarnation, window, .. } = hello;
                let named = |name: &str| !name.is_empty() && name.len() <= 64;
                if !named(&site) || !named(&instance) || window == 0 {
                    return Err(LinkError::Malformed("greeting without a name or a window"));
                }
                self.outbox.open(window as usize);
                let identity = Identity { site, instance, incarnation };
                self.met = Some(identity.clone());
                events.push(Inbound::Greeted(identity));
            }
            FrameKind::Request(request) => {
                let (number, length) = (request.number, request.length as usize);
                if length > self.bounds.statement || length == 0 {
                    return Err(LinkError::Malformed("statement of impossible length"));
                }
                if request.class.len() > 256 || request.visited.len() > 16 {
                    return Err(LinkError::Malformed("task with too much to it"));
                }
                self.announce((number, false), Announced::Request(request), length, events)?;
            }
            FrameKind::Response(outcome) => {
                let (number, length) = (outcome.number, outcome.length as usize);
                if outcome.kind() == ResponseKind::Unset || length > self.bounds.value {
                    return Err(LinkError::Malformed("outcome that is none"));
                }
                self.announce((number, true), Announced::Response(outcome), length, events)?;
            }
            FrameKind::OutcomeReply(fate) => {
                let (number, length) = (fate.number, fate.length as usize);
                if fate.kind() == OutcomeReplyKind::Unset || length > self.bounds.value {
                    return Err(LinkError::Malformed("fate that is none"));
                }
                self.announce((number, true), Announced::OutcomeReply(fate), length, events)?;
            }
            FrameKind::Data(data) => self.data((data.number, data.value), data.bytes, events)?,
            FrameKind::Window(window) => {
                self.outbox.widen((window.number, window.value), window.bytes as usize);
            }
            FrameKind::Cancel(number) => {
                // What was still to come of it does not come any more, and no answer is wanted.
                self.incoming.remove(&(number, false));
                events.push(Inbound::Cancel(number));
            }
            FrameKind::OutcomeQuery(ask) => events.push(Inbound::OutcomeQuery(ask)),
            FrameKind::Confirm(confirm) => events.push(Inbound::Confirm(confirm)),
            FrameKind::CapacityAnnouncement(room) => {
                if room.credits.len() > 4096 {
                    return Err(LinkError::Malformed("room with too much to it"));
                }
                events.push(Inbound::CapacityAnnouncement(room));
            }
            FrameKind::Ping(Ping { number }) => self.outbox.urgent(FrameKind::Pong(Pong { number })),
            FrameKind::Pong(Pong { number }) => {
                if let Some(sent) = self.pings.remove(&number) {
                    self.pings.retain(|&older, _| older > number);
                    events.push(Inbound::RoundTrip(now - sent));
                }
            }
            FrameKind::Close(Close { why }) => {
                return Err(LinkError::Closed(why.chars().take(200).filter(|c| !c.is_control()).collect()));
            }
        }
        Ok(())
    }

    /// A message whose data follows, or that is whole already.
    fn announce(
        &mut self,
        stream: Stream,
        announced: Announced,
        length: usize,
        events: &mut Vec<Inbound>,
    ) -> Result<(), LinkError> {
        if self.incoming.contains_key(&stream) {
            return Err(LinkError::OutOfPlace("a message while another's data is on its way"));
        }
        if self.incoming.len() >= self.bounds.streams {
            return Err(LinkError::OutOfPlace("too many streams"));
        }
        let incoming = Incoming { announced, length, bytes: Vec::new(), untold: 0 };
        if length == 0 {
            events.push(incoming.whole());
        } else {
            self.incoming.insert(stream, incoming);
        }
        Ok(())
    }

    fn data(&mut self, stream: Stream, bytes: Vec<u8>, events: &mut Vec<Inbound>) -> Result<(), LinkError> {
        let Some(incoming) = self.incoming.get_mut(&stream) else {
            // Of a request that was cancelled meanwhile, or of an answer that nobody waits for.
            return Ok(());
        };
        if incoming.bytes.len() + bytes.len() > incoming.length {
            return Err(LinkError::OutOfPlace("more data than was announced"));
        }
        incoming.untold += bytes.len();
        if incoming.untold > self.bounds.window as usize {
            return Err(LinkError::OutOfPlace("data beyond its window"));
        }
        incoming.bytes.extend_from_slice(&bytes);
        if incoming.bytes.len() == incoming.length {
            events.extend(self.incoming.remove(&stream).map(Incoming::whole));
        } else if incoming.untold >= self.bounds.window as usize / 2 {
            let more = std::mem::take(&mut incoming.untold) as u32;
            self.outbox.urgent(FrameKind::Window(Window { number: stream.0, value: stream.1, bytes: more }));
        }
        Ok(())
    }

    /// Says something. Nothing goes out before the greeting did.
    pub fn send(&mut self, said: Outbound) {
        match said {
            Outbound::Request(mut request, statement) => {
                request.length = statement.len() as u32;
                let stream = (request.number, false);
                self.outbox.short(FrameKind::Request(request));
                self.outbox.data(stream, statement);
            }
            Outbound::Response(mut outcome, value) => {
                outcome.length = value.len() as u32;
                let stream = (outcome.number, true);
                self.outbox.short(FrameKind::Response(outcome));
                self.outbox.data(stream, value);
            }
            Outbound::OutcomeReply(mut fate, value) => {
                fate.length = value.len() as u32;
                let stream = (fate.number, true);
                self.outbox.short(FrameKind::OutcomeReply(fate));
                self.outbox.data(stream, value);
            }
            Outbound::Cancel(number) => {
                self.outbox.drop_data((number, false));
                self.outbox.short(FrameKind::Cancel(number));
            }
            Outbound::OutcomeQuery(ask) => self.outbox.short(FrameKind::OutcomeQuery(ask)),
            Outbound::Confirm(confirm) => self.outbox.short(FrameKind::Confirm(confirm)),
            Outbound::CapacityAnnouncement(room) => self.outbox.urgent(FrameKind::CapacityAnnouncement(room)),
        }
    }

    /// The last frame of a link that ends.
    pub fn close(why: &str) -> Vec<u8> {
        crate::outbox::encode(FrameKind::Close(Close { why: why.to_owned() }))
    }

    /// The next bytes to go out: whole frames, at least one if there is any, and no more than so many.
    pub fn next_bytes(&mut self, most: usize) -> Option<Vec<u8>> {
        let mut out = self.outbox.next()?;
        while out.len() < most
            && let Some(more) = self.outbox.next()
        {
            out.extend_from_slice(&more);
        }
        Some(out)
    }

    /// Whether bytes may be taken in: not while too many wait to go out.
    pub fn accepts_input(&self) -> bool {
        self.outbox.waiting() < self.bounds.waiting
    }

    pub fn wake(&mut self, now: Micros) -> Result<(), LinkError> {
        if now - self.heard >= self.bounds.silence {
            return Err(LinkError::Silent);
        }
        if now >= self.next_ping {
            self.next_ping = now + self.bounds.heartbeat;
            self.ping += 1;
            self.pings.insert(self.ping, now);
            self.outbox.urgent(FrameKind::Ping(Ping { number: self.ping }));
        }
        Ok(())
    }

    pub fn wake_at(&self) -> Micros {
        self.next_ping.min(self.heard + self.bounds.silence)
    }
}

impl Incoming {
    fn whole(self) -> Inbound {
        match self.announced {
            Announced::Request(request) => Inbound::Request(request, self.bytes),
            Announced::Response(outcome) => Inbound::Response(outcome, self.bytes),
            Announced::OutcomeReply(fate) => Inbound::OutcomeReply(fate, self.bytes),
        }
    }
}
