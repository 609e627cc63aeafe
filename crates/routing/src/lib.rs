//! The routing decisions of aldermill and the types they are asked and answered in.
//!
//! [`Router`] in `policy` holds every decision. This file holds the interface: what a driver
//! is told once ([`Terms`]), what it takes ([`Task`]), what it hears ([`Listed`], [`Outcome`],
//! [`Told`]) and what it is to do next ([`Todo`]).

mod policy;
mod state;

pub use state::{Handle, Router};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A member, as a small index that the caller gives out.
pub type MemberId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Group,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pure,
    Receipted { scope: Scope, window: Micros },
    Effectful,
}

/// How new the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Write,
    Latest,
    OwnWrites,
    Recent(Micros),
    Loose,
}

#[derive(Clone, Debug)]
pub struct Offering {
    pub effect: Effect,
    pub need: Need,
    pub quoted: Micros,
    /// How long a client waits for all its tries together.
    pub limit: Micros,
    pub payoff: f64,
    /// The part of the payoff that an answer after the quoted time still earns.
    pub late_share: f64,
}

/// What the list's word on roles is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRoles {
    Late,
    AtStart,
    Never,
}

/// What one driver is told once, when it starts.
#[derive(Clone, Debug)]
pub struct Terms {
    pub offerings: Vec<Offering>,
    pub drivers: usize,
    /// The same, as far as cold members are concerned.
    pub drivers_at_cold: usize,
    pub repeats_marked: bool,
    pub zone: usize,
    /// How many zones there are.
    pub zones: usize,
    pub max_launches: u32,
    pub may_probe: bool,
    pub max_cool_down: Micros,
    pub listed_roles: ListedRoles,
    /// Members turn away reads for which they are too far behind.
    pub members_check: bool,
    /// The router itself remembers what each session wrote.
    pub remember_sessions: bool,
    pub list_on_request: bool,
    pub only_draining_binds: bool,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub overload_factor: f64,
    pub overload_window: Micros,
    pub crossing_price: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Task {
    pub offering: usize,
    pub group: u64,
    /// How long the client still waits for this try, and how long it has waited; the first may be below zero where
    /// the driver stood still.
    pub ttl: Micros,
    pub waited: Micros,
    pub session: Option<String>,
    /// How long ago the session's last write was committed, where the client says so.
    pub last_write: Option<Micros>,
    /// The client says that it has tried before.
    pub repeat: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the member list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub member: MemberId,
    pub name: String,
    pub group: u64,
    pub zone: usize,
    pub standing: Standing,
    /// When the member last started; `None` is long ago.
    pub since: Option<Micros>,
    /// Its size compared with other members', as far as the list tells sizes.
    pub size: f64,
    pub primary: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// What a member says of itself: its role, and the time up to which it has applied all commits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub role: Option<Role>,
    pub position: Option<Micros>,
    /// How long ago it said so, at the most, where the driver stood still meanwhile.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Honoured,
    Error,
    Full,
    TimedOut,
    Unconnected,
    /// No path leads to it (ETIMEDOUT, EHOSTUNREACH): never sent whole, and its process may well live.
    Unreachable,
    /// This machine could open no connection for it: never sent, and nothing was learnt of the member.
    LocalFailure,
    Reset,
    /// What came back is of no use, or its connection alone broke: it may have run, and the member stands.
    Spoilt,
    /// Its connection broke before it was written whole, though the member stands.
    Dropped,
    CalledOff,
    /// Its time limit passed while the driver stood still: it may have run, and nothing was seen of the member.
    Unseen,
    Moot,
    Miss,
}

impl Verdict {
    /// The launch is known never to have run.
    pub fn never_ran(self) -> bool {
        use Verdict::*;
        matches!(self, Full | Unconnected | Unreachable | LocalFailure | Dropped | Moot | Miss)
    }

    /// The member's process was heard.
    pub fn heard(self) -> bool {
        use Verdict::*;
        matches!(self, Honoured | Error | Full | Miss | Spoilt | Dropped)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub verdict: Verdict,
    pub took: Micros,
    pub told: Told,
    /// The task is over, by this outcome or before it.
    pub closed: bool,
}

/// What a router has learnt that may be kept over a restart, in coarse form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    /// Believed primaries, each with the time of the newest word on it.
    pub primaries: Vec<(MemberId, Micros)>,
    /// By offering: what half of its launches take at most, and nine tenths.
    pub took: Vec<(Micros, Micros)>,
    /// Launches that may be out at a member, in powers of two.
    pub windows: Vec<(MemberId, i32)>,
}

/// What must still hold when an attempt's last byte leaves, however long it waited for a connection; where it does
/// not, the attempt is not sent, and ends as `Moot`. Sources: the rule on stale reads, by which a bound counts from
/// the send, not from the decision; the rule on effects, by which a repeat stays within its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// On the router's clock; `Micros::MAX` where nothing runs out.
    pub until: Micros,
    /// The member must not have said since that it is a replica.
    pub while_primary: bool,
}

impl Validity {
    /// Nothing runs out.
    pub const LASTING: Validity = Validity { until: Micros::MAX, while_primary: false };
}

/// What is to be done for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// `afresh`: on a new connection, the idle ones being closed.
    Launch {
        member: MemberId,
        limit: Micros,
        afresh: bool,
        validity: Validity,
    },
    Deny {
        cool_down: Micros,
    },
    BreakOff,
}

/// What the caller is to do now, in this order, and when to wake the router again.
#[derive(Clone, Debug, Default)]
pub struct Todo {
    pub steps: Vec<(Handle, Step)>,
    pub probes: Vec<MemberId>,
    /// Members whose idle connections are to be closed.
    pub shut: Vec<MemberId>,
    pub subscribe: bool,
    pub wake_at: Option<Micros>,
}
