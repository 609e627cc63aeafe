//! What actors say to each other; no actor is named here.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_link::{Event, Said};
use aldermill_pace::Peer;
use aldermill_retire::Plan;
use aldermill_routing::{Handle, MemberId, Micros, Told, Validity, Verdict};
use aldermill_sites::Opens;
use aldermill_wire::pg;
use aldermill_wire::statement::Comment;
use aldermill_zones::{Lean, Row};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::catalog::Catalog;
use crate::gate::Room;
use crate::trial::Trial;

/// A statement of a client, new for each.
pub type ClientId = u64;

/// What clients and members tell the desk.
pub enum Call {
    Take(Order),
    Left(ClientId),
    Ended(Ended),
    Probed {
        member: MemberId,
        verdict: Verdict,
        took: Micros,
        told: Told,
        replica_words: u64,
    },
    /// The settings that are on trial from now on.
    Trial(Option<Box<Trial>>),
    /// A link to another site's gateway came up, heard something, or broke.
    Link(LinkId, LinkCall),
    /// To be answered once nothing of other gateways is under way here.
    Parted(oneshot::Sender<()>),
    /// What is believed of sites and links, as JSON.
    Describe(oneshot::Sender<String>),
    /// By how many drivers room at members is shared, and at cold ones.
    Fleet {
        living: usize,
        at_cold: usize,
    },
    /// What was seen since this was last asked, for the fleet.
    Sight(oneshot::Sender<Seen>),
    /// What the fleet decreed for this driver's zone, by group.
    Lean(Vec<(u64, Lean)>),
    /// What the fleet decided of sites that retire.
    Bind(Vec<Plan>),
    /// This member found no descriptor free for a connection.
    Crowded(MemberId),
}

/// What a driver saw of zones of late, over how long, and, by group, of its keys.
#[derive(Default)]
pub struct Seen {
    pub over: Micros,
    pub rows: Vec<Row>,
    pub keys: Vec<(u64, Vec<u8>)>,
    /// Where there is a gateway.
    pub site: Option<SiteSeen>,
}

/// What a gateway saw of its own site over that time, the round trips to others, and what it has of sites that retire.
#[derive(Default)]
pub struct SiteSeen {
    pub site: String,
    pub over: Micros,
    pub ended: u32,
    pub in_time: u32,
    /// Those that would go elsewhere with their sessions.
    pub bound: u32,
    pub trips: Vec<(String, Micros)>,
    pub open: Opens,
}

/// One connection to another gateway.
pub type LinkId = u64;

/// What the actor of a link tells the desk.
pub enum LinkCall {
    /// It stands, and the other side has greeted as one that it may be. Room for its values is asked for this peer.
    Up {
        said: mpsc::Sender<Said>,
        holder: Peer,
    },
    Heard(Event),
    Broke,
}

/// A client's statement with its comment, when it was whole.
pub struct Order {
    pub client: ClientId,
    /// For whom room is asked for what comes back.
    pub holder: Peer,
    pub mailbox: mpsc::Sender<Mail>,
    /// On the router's clock.
    pub arrived: Micros,
    pub statement: Vec<u8>,
    pub comment: Comment,
    /// How long ago the session's last write was committed, where another gateway says so.
    pub written_ago: Option<Micros>,
}

impl Order {
    /// How long before `now` the session's last write was committed; below zero where this process's clock is behind.
    /// The client's own word comes first: as long as both stand on one clock it is compared with positions as told.
    pub fn last_write(&self, now: Micros) -> Option<Micros> {
        let told = self.comment.after.map(|after| now.saturating_sub(millis(after)));
        told.or(self.written_ago)
    }
}

fn millis(millis: u64) -> Micros {
    Micros::try_from(millis).map_or(Micros::MAX, |millis| millis.saturating_mul(1000))
}

/// How a launch ended.
pub struct Ended {
    pub handle: Handle,
    pub verdict: Verdict,
    /// When the attempt was decided.
    pub sent: Instant,
    pub took: Micros,
    pub told: Told,
    /// What the member gave.
    pub gave: Gave,
    /// The member, and how often it has said that it is a replica, this answer included.
    pub replica_words: Option<(MemberId, u64)>,
}

/// What a launch brought.
pub enum Gave {
    Nothing,
    /// Where it was honoured: the messages that carry the value.
    Rows(Rows),
    /// It began an answer that nobody has room for, on the client's side: no fault of the member's.
    MoreThanFits,
}

/// The messages that carry a value, and the room reserved for them where they are large.
#[derive(Default)]
pub struct Rows {
    pub pieces: Vec<Vec<u8>>,
    pub room: Option<Room>,
}

/// What the desk and the listener tell a client's actor.
pub enum Mail {
    Answer(ClientId, Answer),
    /// Close the connection if nothing is under way on it.
    Yield,
}

pub enum Answer {
    Honoured(Rows),
    Denied {
        cool_down: Micros,
    },
    BrokenOff,
    /// Not taken: the statement names what is not there.
    Wrong(&'static str),
}

/// What the desk asks of a member's actor.
pub enum MemberCommand {
    Send(Attempt),
    Probe {
        sent: Instant,
        until: Instant,
    },
    /// The member's process is another one, or reached elsewhere: old connections are of no use.
    Renew(SocketAddr),
    /// Others need descriptors: close an idle connection.
    Shed,
    /// The member has few connections to spare: close all idle ones.
    CloseIdle,
}

pub struct Attempt {
    pub handle: Handle,
    /// Worded when it leaves: what it tells the member is the time that the client has left then.
    pub order: Rc<Order>,
    pub withdrawal: Withdrawal,
    /// For whom room is asked for the answer, and whether the task is of the best paid.
    pub holder: (Peer, bool),
    pub sent: Instant,
    pub until: Instant,
    /// On a new connection, the idle ones being closed.
    pub afresh: bool,
    /// Whether it may still leave.
    pub validity: Validity,
    /// How often the member had been heard to say that it is a replica, when this was decided.
    pub replica_words: u64,
}

/// Set once nobody waits for a request any more: a first or further attempt that has not left by then is not to
/// leave, whatever it waits for.
#[derive(Clone, Default)]
pub struct Withdrawal(Rc<Cell<bool>>);

impl Withdrawal {
    pub fn set(&self) {
        self.0.set(true);
    }

    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// What the list's actor tells the desk.
pub enum Bulletin {
    List(Catalog),
    Unavailable,
}

/// Statements up to this size go out in one piece.
const SMALL: usize = 8 * 1024;

/// A statement as it goes to a member. A large one is held once, by its order.
pub enum Query {
    Whole(Vec<u8>),
    Split {
        /// All up to where the order's own bytes go on.
        front: Vec<u8>,
        order: Rc<Order>,
    },
}

impl Query {
    /// The client's statement with another wait.
    pub fn of(order: &Rc<Order>, wait: &str) -> Query {
        let Order { statement, comment, .. } = &**order;
        let (before, after) = (&statement[..comment.wait_at.start], &statement[comment.wait_at.end..]);
        if statement.len() <= SMALL {
            let mut query = Vec::with_capacity(statement.len() + 16);
            pg::query(&mut query, &[before, wait.as_bytes(), after]);
            return Query::Whole(query);
        }
        let mut front = Vec::with_capacity(before.len() + 16);
        pg::query_front(&mut front, &[before, wait.as_bytes()].concat(), after.len() + 1);
        Query::Split { front, order: order.clone() }
    }

    /// Its bytes, in their order; the closing zero of a large one stands by itself.
    pub fn pieces(&self) -> [&[u8]; 3] {
        match self {
            Query::Whole(query) => [query, &[], &[]],
            Query::Split { front, order } => [front, &order.statement[order.comment.wait_at.end..], &[0]],
        }
    }
}
