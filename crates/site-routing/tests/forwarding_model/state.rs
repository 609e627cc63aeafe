//! The states of the model, and the frames between sender and receiver.

use std::collections::BTreeSet;

use aldermill_site_routing::{
    ForwardState, Origin, Outcome, OutcomeTable, PreviousIncarnations, RecordingPromise,
};

/// A frame on the network.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Request { number: u64, incarnation: u64 },
    OutcomeQuery { number: u64, incarnation: u64 },
    Answer { number: u64, report: Report },
    OutcomeReply { number: u64, report: Report },
    Confirm { up_to: u64, incarnation: u64 },
}

/// An outcome as a frame carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Report {
    NeverAccepted,
    InFlight,
    Rejected,
    Served,
    Failed,
    Unknown,
}

/// Report the sender has made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    New,
    Forwarded(ForwardState),
    /// It never ran there: it runs here, or was rejected.
    RanElsewhere,
    Rejected,
    Served,
    Failed,
}

/// The sender, the receiver, and the network between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Never accepted disk_full: whatever was sent may come, at any time and any number of times, or not at all.
    pub network: BTreeSet<Message>,
    pub phases: Vec<Phase>,
    /// The incarnation of the receiver that each request was sent to.
    pub sent_to: Vec<u64>,
    pub outcomes: OutcomeTable<()>,
    pub incarnation: u64,
    /// Accepted by the receiver's present incarnation and not run yet.
    pub accepted: BTreeSet<u64>,
    /// The records on the receiver's disk, where it has one.
    pub previous: PreviousIncarnations<()>,
    /// The promise on that disk.
    pub promise: RecordingPromise,
    /// The disk takes nothing.
    pub disk_full: bool,
    /// Moves when a promise ends.
    pub now: i64,
    /// How often each request ran, at either side.
    pub runs: Vec<u8>,
    pub link_losses: u8,
    pub expired: bool,
}

/// What may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Send(u64),
    LoseLink,
    Query(u64),
    GiveUp(u64),
    Confirm,
    Deliver(Message),
    Run(u64),
    Reject(u64),
    Fail(u64),
    DiskFills,
    PromiseEnds,
    Restart,
    NoticeRestart,
    Expire,
}

pub fn origin() -> Origin {
    Origin { site: "a".into(), instance: "n0".into(), incarnation: 1 }
}

pub fn report(outcome: &Outcome<()>) -> Report {
    match outcome {
        Outcome::NeverAccepted => Report::NeverAccepted,
        Outcome::InFlight => Report::InFlight,
        Outcome::Rejected { .. } => Report::Rejected,
        Outcome::Served(()) => Report::Served,
        Outcome::Failed => Report::Failed,
        Outcome::Unknown => Report::Unknown,
    }
}

pub fn outcome(report: Report) -> Outcome<()> {
    match report {
        Report::NeverAccepted => Outcome::NeverAccepted,
        Report::InFlight => Outcome::InFlight,
        Report::Rejected => Outcome::Rejected { retry_after: 0 },
        Report::Served => Outcome::Served(()),
        Report::Failed => Outcome::Failed,
        Report::Unknown => Outcome::Unknown,
    }
}

pub fn new_table() -> OutcomeTable<()> {
    let mut outcomes = OutcomeTable::new(100, 10);
    outcomes.register_incarnation(&origin(), false);
    outcomes
}
