use std::time::Duration;

use aldermill_routing::Micros;
use aldermill_settings::Decoded;
use uapi::c;

use crate::lifecycle::clock::duration;

/// A message of this size is nothing to be careful about.
const SMALL: usize = 8 * 1024;
/// What the system may hold of a connection, twice that each way.
const BUFFER: usize = 16 * 1024;

/// The program is killed no earlier after a request to stop than the longest deadline, of which no more than so much
/// counts, and this span behind it.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
const KILLED_BEHIND: Duration = Duration::from_millis(700);
/// For so long may the process be held up between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);

/// Guards answers against a kill that finds them unwritten. Harms requests that come late in a shutdown: they have less
/// time than they ask for.
fn stop_end(decoded: &Decoded) -> Duration {
    let longest = decoded.terms.classes.iter().map(|class| duration(class.timeout)).max();
    longest.unwrap_or_default().min(LONGEST_WAIT) + KILLED_BEHIND - HELD_UP
}

/// How many descriptors this process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// As its configuration says (`limits.sockets`).
    pub configured: usize,
    /// As the system says (RLIMIT_NOFILE); `usize::MAX` where that is not known.
    pub allowed: usize,
}

impl Descriptors {
    /// With fewer the program's own, one client and one member's connection do not fit.
    pub const LEAST: usize = 24;

    pub fn of_this_process(configured: usize) -> Descriptors {
        let limit = uapi::getrlimit(c::RLIMIT_NOFILE as c::c_int);
        let allowed = limit.map_or(usize::MAX, |limit| usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX));
        Descriptors { configured, allowed }
    }

    /// What may be shared out. Protects clients from connections that are accepted late or never, as the system refuses
    /// what the configuration promised; harms nobody, as the system's limit stands whatever is shared out.
    pub fn usable(self) -> usize {
        self.configured.min(self.allowed)
    }
}

/// What is not shared out between clients and members.
struct Reserved {
    /// Standard streams, signals, event queues, listener, discovery and the operator's sockets.
    own: usize,
    /// Client connections that are about to be closed, as [`Limits::yielding`] and [`Limits::turned_away`].
    yielding: usize,
    turned_away: usize,
}

impl Reserved {
    /// Where there are few, everything shrinks with them, down to what the program has open without a connection.
    fn of(descriptors: usize) -> Reserved {
        let own = (descriptors * 5 / 16).clamp(12, 20);
        let yielding = (descriptors * 3 / 16).clamp(2, 12);
        let turned_away = if descriptors < 64 { descriptors / 16 } else { (descriptors / 32).clamp(4, 64) };
        Reserved { own, yielding, turned_away }
    }

    fn sum(&self) -> usize {
        self.own + self.yielding + self.turned_away
    }
}

/// All sizes, counts and times that bound the driver, filled once at its start.
#[derive(Clone, Debug)]
pub struct Limits {
    pub descriptors: Descriptors,
    /// Client connections served at once.
    pub clients: usize,
    /// Those that had a request, beyond which the one idle longest is closed for each new one: clients, too,
    /// have only so many, and some never use one twice.
    pub regulars: usize,
    /// Who asked so short a time ago is between two requests, and not closed for a new connection.
    pub between: Duration,
    /// Idle ones over that number that are being closed for new ones.
    pub yielding: usize,
    /// Client connections over that number that are being told so.
    pub turned_away: usize,
    /// Connections to members, idle ones included.
    pub members: usize,
    /// Requests held at once.
    pub requests: usize,
    /// One message of a client: a statement with a whole value in hexadecimal.
    pub statement: usize,
    /// One message of a member: a whole value.
    pub answer: usize,
    /// The head of discovery's answer, and one line of the member list.
    pub list_head: usize,
    pub list_line: usize,
    /// Statements of one connection that are under way at once.
    pub pipelined: usize,
    /// What a client may send ahead while its request is on the way.
    pub ahead: usize,
    /// How often it is seen whether a client has left that has sent so much ahead.
    pub look_again: Duration,
    /// Calls that wait for the router, and commands that wait at a member.
    pub calls: usize,
    pub commands: usize,
    pub lists: usize,
    pub log_lines: usize,
    pub backlog: i32,
    /// Silence of a client's machine after which it is asked whether it is there.
    pub keepalive: Duration,
    /// From a client's connection to its whole startup message, and to its first whole statement.
    pub startup: Duration,
    pub first: Duration,
    /// From the first byte of a client's message to its last, however steadily it comes.
    pub message: Duration,
    /// Silence within a client's message after which its connection is closed: a client that stops there and stays is
    /// owed an end within three seconds.
    pub stalled: Duration,
    /// How long a client's connection may stand without a request.
    pub client_idle: Duration,
    /// Room is asked for a message beyond this size.
    pub small: usize,
    /// How long a statement waits for room that slow peers are giving up.
    pub room_wait: Duration,
    /// The system's send and receive buffer of a client's connection; it may hold twice that each.
    pub buffer: usize,
    /// The system's receive buffer of a member's connection: a value of the usual full size.
    pub member_buffer: usize,
    /// From what on an answer that may be unread counts once its connection is closed.
    pub unread: usize,
    /// What is still read of a client that is parted with, so that the error reaches it.
    pub scrap: usize,
    /// How long a client may take to accept an error that ends its connection.
    pub accepting: Duration,
    /// How long the other side's end is waited for once this side has ended.
    pub parting: Duration,
    /// From the attempt to connect to a member until it is ready for a statement.
    pub connect: Duration,
    /// A connection to a member that is not there after less than this says nothing of the member.
    pub opening: Duration,
    pub health_check: Duration,
    /// After so many malformed answers in a row there is a line in the log.
    pub malformed_told: usize,
    /// From the last byte of a value to the end of its answer.
    pub closing: Duration,
    /// How long a connection to a member has stood after an answer when nothing more can come of that.
    pub rest: Duration,
    /// How far a member's position may be ahead of this machine's clock, which is to be the same.
    pub ahead_of_clock: Micros,
    /// How long a connection to a member stays in the pool.
    pub idle: Duration,
    pub sweep: Duration,
    /// Silence of discovery that is taken for a lost connection: more than two of its usual gaps.
    pub list_silence: Duration,
    /// From the attempt to connect to discovery to the first bytes that come from there. With the silence before it
    /// that stays under the six seconds after which what discovery has counts as told.
    pub list_opening: Duration,
    pub list_retry: (Duration, Duration),
    /// Links from other gateways at once, the waits before one is opened again, and fates kept for one sender.
    pub links: usize,
    pub link_retry: (Duration, Duration),
    pub fates: usize,
    /// After a request to stop, how long new connections are still taken, and the rest of a message waited for.
    pub stop_window: Duration,
    /// After a request to stop, by when every answer must be out: the program may be killed soon after.
    pub stop_end: Duration,
    /// How long after the last client what other gateways sent is waited for.
    pub stop_guests: Duration,
}

impl Limits {
    /// Shares out what the platform allows.
    pub fn new(
        descriptors: Descriptors,
        memory_mb: usize,
        decoded: &Decoded,
        buffer_kib: Option<u32>,
    ) -> Limits {
        // Values are said to be of 64 KiB at most, and yet larger ones come.
        let memory = memory_mb * 1024 * 1024;
        let least = 2 * 64 * 1024 + 4 * 1024;
        let (statement, answer) = (least.max(memory / 128), least.max(memory / 32));
        let sockets = descriptors.usable();
        let reserved = Reserved::of(sockets);
        let shared = sockets.saturating_sub(reserved.sum()).max(4);
        // Large messages reserve what they need of half of the memory, however many connections there are; small
        // ones fit into three tenths on all of them.
        let clients = (shared * 3 / 5).min(memory * 2 / 10 / (4 * SMALL)).max(2);
        let members = (shared - clients).min(memory / 10 / (2 * SMALL)).max(2);
        Limits {
            descriptors,
            clients,
            // Clients hold no more than a third of the descriptors for their requests.
            regulars: (sockets / 4).min(clients),
            between: Duration::from_millis(250),
            yielding: reserved.yielding,
            turned_away: reserved.turned_away,
            members,
            requests: decoded.max_open.max(1),
            statement,
            answer,
            list_head: 16 * 1024,
            list_line: 4 * 1024 * 1024,
            pipelined: 64,
            ahead: 8 * 1024,
            look_again: Duration::from_millis(20),
            calls: 2 * (clients + members),
            commands: clients + members,
            lists: 16,
            log_lines: 1024,
            backlog: 1024,
            keepalive: Duration::from_secs(30),
            startup: Duration::from_secs(2),
            first: Duration::from_millis(2500),
            message: Duration::from_secs(60),
            stalled: Duration::from_millis(2500),
            client_idle: Duration::from_millis(2100),
            small: SMALL,
            room_wait: Duration::from_millis(100),
            buffer: buffer_kib.map_or(BUFFER, |kib| kib as usize * 1024),
            member_buffer: 64 * 1024,
            unread: 1024,
            scrap: 256 * 1024,
            accepting: Duration::from_secs(5),
            parting: Duration::from_millis(300),
            connect: duration(decoded.connect_timeout),
            opening: duration(decoded.connect_timeout).min(Duration::from_millis(100)),
            health_check: duration(decoded.connect_timeout),
            malformed_told: 3,
            closing: Duration::from_millis(5),
            rest: Duration::from_millis(100),
            ahead_of_clock: 1_000_000,
            idle: duration(decoded.idle * 4 / 5),
            sweep: Duration::from_secs(1),
            list_silence: Duration::from_millis(4600),
            list_opening: Duration::from_millis(1000),
            // What discovery has counts as told when it is back, and the grace after drains runs from then.
            list_retry: {
                let least = Duration::from_millis(100);
                (least, (duration(decoded.drain_grace) / 2).clamp(least, Duration::from_secs(2)))
            },
            links: (sockets / 32).clamp(4, 64),
            link_retry: (Duration::from_millis(50), Duration::from_secs(2)),
            fates: (memory / 16 / SMALL).clamp(256, 65_536),
            stop_window: Duration::from_millis(600),
            stop_end: stop_end(decoded),
            stop_guests: Duration::from_secs(30),
        }
    }
}
