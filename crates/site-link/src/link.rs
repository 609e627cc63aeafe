use std::collections::HashMap;

use prost::Message;

use crate::frame::{
    Ask, Close, Confirm, Fate, FateKind, Frame, Hello, Kind, Outcome, OutcomeKind, Ping, Pong, Request, Room,
    VERSION, Window,
};
use crate::outbox::{Outbox, Stream};
use crate::{Broken, Micros};

/// The limits of one link, all stated at its start.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
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

impl Bounds {
    pub fn usual(statement: usize, value: usize) -> Bounds {
        Bounds {
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
    pub start: u64,
}

/// What came whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The other side's greeting; nothing else comes before it.
    Met(Identity),
    Request(Request, Vec<u8>),
    /// The answer to a request of this side, with its value.
    Outcome(Outcome, Vec<u8>),
    Cancel(u64),
    Ask(Ask),
    Fate(Fate, Vec<u8>),
    Confirm(Confirm),
    Room(Room),
    /// A ping came back after so long.
    Trip(Micros),
}

/// What is said to the other side.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Request(Request, Vec<u8>),
    Outcome(Outcome, Vec<u8>),
    Cancel(u64),
    Ask(Ask),
    Fate(Fate, Vec<u8>),
    Confirm(Confirm),
    Room(Room),
}

/// What is announced by a frame whose data follows.
#[derive(Debug)]
enum Announced {
    Request(Request),
    Outcome(Outcome),
    Fate(Fate),
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
    bounds: Bounds,
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
    pub fn start(bounds: Bounds, own: &Identity, now: Micros) -> Link {
        let mut outbox = Outbox::default();
        outbox.urgent(Kind::Hello(Hello {
            version: VERSION,
            site: own.site.clone(),
            instance: own.instance.clone(),
            start: own.start,
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

    pub fn met(&self) -> Option<&Identity> {
        self.met.as_ref()
    }

    /// Takes in bytes; what came whole with them is told in its order.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<Vec<Event>, Broken> {
        self.heard = now;
        self.buffer.extend_from_slice(bytes);
        let (mut events, mut at) = (Vec::new(), 0);
        while let Some(head) = self.buffer[at..].first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if length > self.bounds.frame {
                return Err(Broken::Malformed("frame too long"));
            }
            let Some(body) = self.buffer.get(at + 4..at + 4 + length) else { break };
            let frame = Frame::decode(body).map_err(|_| Broken::Malformed("no frame"))?;
            at += 4 + length;
            self.take(now, frame.kind.ok_or(Broken::UnknownKind)?, &mut events)?;
        }
        self.buffer.drain(..at);
        Ok(events)
    }

    fn take(&mut self, now: Micros, kind: Kind, events: &mut Vec<Event>) -> Result<(), Broken> {
        if self.met.is_none() && !matches!(kind, Kind::Hello(_) | Kind::Close(_)) {
            return Err(Broken::OutOfPlace("something before the greeting"));
        }
        match kind {
            Kind::Hello(_) if self.met.is_some() => return Err(Broken::OutOfPlace("a second greeting")),
            Kind::Hello(hello) if hello.version != VERSION => return Err(Broken::Version(hello.version)),
            Kind::Hello(hello) => {
                let Hello { site, instance, start, window, .. } = hello;
                let named = |name: &str| !name.is_empty() && name.len() <= 64;
                if !named(&site) || !named(&instance) || window == 0 {
                    return Err(Broken::Malformed("greeting without a name or a window"));
                }
                self.outbox.open(window as usize);
                let identity = Identity { site, instance, start };
                self.met = Some(identity.clone());
                events.push(Event::Met(identity));
            }
            Kind::Request(request) => {
                let (number, length) = (request.number, request.length as usize);
                if length > self.bounds.statement || length == 0 {
                    return Err(Broken::Malformed("statement of impossible length"));
                }
                if request.class.len() > 256 || request.visited.len() > 16 {
                    return Err(Broken::Malformed("task with too much to it"));
                }
                self.announce((number, false), Announced::Request(request), length, events)?;
            }
            Kind::Outcome(outcome) => {
                let (number, length) = (outcome.number, outcome.length as usize);
                if outcome.kind() == OutcomeKind::Unset || length > self.bounds.value {
                    return Err(Broken::Malformed("outcome that is none"));
                }
                self.announce((number, true), Announced::Outcome(outcome), length, events)?;
            }
            Kind::Fate(fate) => {
                let (number, length) = (fate.number, fate.length as usize);
                if fate.kind() == FateKind::Unset || length > self.bounds.value {
                    return Err(Broken::Malformed("fate that is none"));
                }
                self.announce((number, true), Announced::Fate(fate), length, events)?;
            }
            Kind::Data(data) => self.data((data.number, data.value), data.bytes, events)?,
            Kind::Window(window) => {
                self.outbox.widen((window.number, window.value), window.bytes as usize);
            }
            Kind::Cancel(number) => {
                // What was still to come of it does not come any more, and no answer is wanted.
                self.incoming.remove(&(number, false));
                events.push(Event::Cancel(number));
            }
            Kind::Ask(ask) => events.push(Event::Ask(ask)),
            Kind::Confirm(confirm) => events.push(Event::Confirm(confirm)),
            Kind::Room(room) => {
                if room.credits.len() > 4096 {
                    return Err(Broken::Malformed("room with too much to it"));
                }
                events.push(Event::Room(room));
            }
            Kind::Ping(Ping { number }) => self.outbox.urgent(Kind::Pong(Pong { number })),
            Kind::Pong(Pong { number }) => {
                if let Some(sent) = self.pings.remove(&number) {
                    self.pings.retain(|&older, _| older > number);
                    events.push(Event::Trip(now - sent));
                }
            }
            Kind::Close(Close { why }) => {
                return Err(Broken::Closed(why.chars().take(200).filter(|c| !c.is_control()).collect()));
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
        events: &mut Vec<Event>,
    ) -> Result<(), Broken> {
        if self.incoming.contains_key(&stream) {
            return Err(Broken::OutOfPlace("a message while another's data is on its way"));
        }
        if self.incoming.len() >= self.bounds.streams {
            return Err(Broken::OutOfPlace("too many streams"));
        }
        let incoming = Incoming { announced, length, bytes: Vec::new(), untold: 0 };
        if length == 0 {
            events.push(incoming.whole());
        } else {
            self.incoming.insert(stream, incoming);
        }
        Ok(())
    }

    fn data(&mut self, stream: Stream, bytes: Vec<u8>, events: &mut Vec<Event>) -> Result<(), Broken> {
        let Some(incoming) = self.incoming.get_mut(&stream) else {
            // Of a request that was cancelled meanwhile, or of an answer that nobody waits for.
            return Ok(());
        };
        if incoming.bytes.len() + bytes.len() > incoming.length {
            return Err(Broken::OutOfPlace("more data than was announced"));
        }
        incoming.untold += bytes.len();
        if incoming.untold > self.bounds.window as usize {
            return Err(Broken::OutOfPlace("data beyond its window"));
        }
        incoming.bytes.extend_from_slice(&bytes);
        if incoming.bytes.len() == incoming.length {
            events.extend(self.incoming.remove(&stream).map(Incoming::whole));
        } else if incoming.untold >= self.bounds.window as usize / 2 {
            let more = std::mem::take(&mut incoming.untold) as u32;
            self.outbox.urgent(Kind::Window(Window { number: stream.0, value: stream.1, bytes: more }));
        }
        Ok(())
    }

    /// Says something. Nothing goes out before the greeting did.
    pub fn say(&mut self, said: Said) {
        match said {
            Said::Request(mut request, statement) => {
                request.length = statement.len() as u32;
                let stream = (request.number, false);
                self.outbox.short(Kind::Request(request));
                self.outbox.data(stream, statement);
            }
            Said::Outcome(mut outcome, value) => {
                outcome.length = value.len() as u32;
                let stream = (outcome.number, true);
                self.outbox.short(Kind::Outcome(outcome));
                self.outbox.data(stream, value);
            }
            Said::Fate(mut fate, value) => {
                fate.length = value.len() as u32;
                let stream = (fate.number, true);
                self.outbox.short(Kind::Fate(fate));
                self.outbox.data(stream, value);
            }
            Said::Cancel(number) => {
                self.outbox.drop_data((number, false));
                self.outbox.short(Kind::Cancel(number));
            }
            Said::Ask(ask) => self.outbox.short(Kind::Ask(ask)),
            Said::Confirm(confirm) => self.outbox.short(Kind::Confirm(confirm)),
            Said::Room(room) => self.outbox.urgent(Kind::Room(room)),
        }
    }

    /// The last frame of a link that ends.
    pub fn close(why: &str) -> Vec<u8> {
        crate::outbox::encode(Kind::Close(Close { why: why.to_owned() }))
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
    pub fn takes(&self) -> bool {
        self.outbox.waiting() < self.bounds.waiting
    }

    pub fn wake(&mut self, now: Micros) -> Result<(), Broken> {
        if now - self.heard >= self.bounds.silence {
            return Err(Broken::Silent);
        }
        if now >= self.next_ping {
            self.next_ping = now + self.bounds.heartbeat;
            self.ping += 1;
            self.pings.insert(self.ping, now);
            self.outbox.urgent(Kind::Ping(Ping { number: self.ping }));
        }
        Ok(())
    }

    pub fn wake_at(&self) -> Micros {
        self.next_ping.min(self.heard + self.bounds.silence)
    }
}

impl Incoming {
    fn whole(self) -> Event {
        match self.announced {
            Announced::Request(request) => Event::Request(request, self.bytes),
            Announced::Outcome(outcome) => Event::Outcome(outcome, self.bytes),
            Announced::Fate(fate) => Event::Fate(fate, self.bytes),
        }
    }
}
