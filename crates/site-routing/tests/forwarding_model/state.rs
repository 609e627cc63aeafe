//! The states and steps of the model, and the frames between sender and receiver.

use std::collections::BTreeSet;

use aldermill_site_routing::{
    ForwardState, Origin, Outcome, OutcomeTable, PreviousIncarnations, RecordingPromise,
};

/// A frame on the network. `number` identifies the request, and `incarnation` the receiver's incarnation that
/// the frame is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Forwards a request to the receiver.
    Request { number: u64, incarnation: u64 },
    /// Asks the receiver for the outcome of a request.
    OutcomeQuery { number: u64, incarnation: u64 },
    /// Answers a request.
    Answer { number: u64, outcome: ReportedOutcome },
    /// Replies to a query about an outcome.
    OutcomeReply { number: u64, outcome: ReportedOutcome },
    /// Confirms that the sender will not ask about any request up to a number.
    Confirm { up_to: u64, incarnation: u64 },
}

/// An outcome as carried in a frame, without retry-after and response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// The request was never accepted, and never will be.
    NeverAccepted,
    /// The request was accepted and has not ended yet.
    InFlight,
    /// The request was rejected and never ran.
    Rejected,
    /// The request was served.
    Served,
    /// The request failed, and may have run.
    Failed,
    /// Nothing is known about the request.
    Unknown,
}

/// The state of a request at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request has not been sent yet.
    New,
    /// The request was forwarded, and its outcome is not known yet.
    Forwarded(ForwardState),
    /// The request never ran at the receiver, and ran elsewhere instead.
    RanElsewhere,
    /// The request never ran, and its client was told so.
    Rejected,
    /// The request was served by the receiver.
    Served,
    /// The request may have run, or the sender gave up on it.
    Failed,
}

/// The state of the sender, the receiver, and the network between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// All frames sent so far. No frame is ever removed, so each may arrive at any time, any number of times,
    /// or not at all.
    pub network: BTreeSet<Message>,
    /// The phase of each request. Request 1 is the first here and in the other lists.
    pub phases: Vec<Phase>,
    /// The incarnation of the receiver that each request was sent to; zero before it is sent.
    pub receiver_incarnations: Vec<u64>,
    /// The outcome table of the receiver's current incarnation.
    pub outcomes: OutcomeTable<()>,
    /// The receiver's current incarnation, from 1.
    pub incarnation: u64,
    /// Requests that the receiver's current incarnation accepted and has not ended yet.
    pub accepted: BTreeSet<u64>,
    /// The records and promises on the receiver's disk; never queried in a model without a disk.
    pub previous: PreviousIncarnations<()>,
    /// The recording promise of the receiver's current incarnation.
    pub promise: RecordingPromise,
    /// Whether the receiver's disk accepts no writes.
    pub disk_full: bool,
    /// The time in microseconds. It advances only to end a promise.
    pub now: i64,
    /// How often each request ran, at the receiver or elsewhere.
    pub runs: Vec<u8>,
    /// How often the link was lost.
    pub link_losses: u8,
    /// Whether the receiver has dropped its expired records.
    pub expired: bool,
}

/// A step of the model. Numbers are those of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The sender forwards a request.
    Send(u64),
    /// The link is lost, so that the sender no longer expects answers to the requests in flight.
    LoseLink,
    /// The sender asks for the outcome of a request.
    Query(u64),
    /// The sender fails a request whose outcome it does not know.
    GiveUp(u64),
    /// The sender confirms that it will not ask about the requests before the first open one.
    Confirm,
    /// The network delivers a frame.
    Deliver(Message),
    /// The receiver runs a request and serves it.
    Run(u64),
    /// The receiver rejects a request without running it.
    Reject(u64),
    /// The receiver runs a request and answers that it failed.
    Fail(u64),
    /// The receiver's disk stops accepting writes.
    FillDisk,
    /// The receiver's recording promise ends.
    EndPromise,
    /// The receiver restarts.
    Restart,
    /// The sender learns that the receiver has restarted.
    NoticeRestart,
    /// The receiver drops the records that have expired.
    Expire,
}

/// Returns the sender of all requests.
pub fn origin() -> Origin {
    Origin { site: "a".into(), instance: "n0".into(), incarnation: 1 }
}

/// Converts an outcome to the form that a frame carries.
pub fn to_reported(outcome: &Outcome<()>) -> ReportedOutcome {
    match outcome {
        Outcome::NeverAccepted => ReportedOutcome::NeverAccepted,
        Outcome::InFlight => ReportedOutcome::InFlight,
        Outcome::Rejected { .. } => ReportedOutcome::Rejected,
        Outcome::Served(()) => ReportedOutcome::Served,
        Outcome::Failed => ReportedOutcome::Failed,
        Outcome::Unknown => ReportedOutcome::Unknown,
    }
}

/// Converts an outcome from the form that a frame carries.
pub fn from_reported(outcome: ReportedOutcome) -> Outcome<()> {
    match outcome {
        ReportedOutcome::NeverAccepted => Outcome::NeverAccepted,
        ReportedOutcome::InFlight => Outcome::InFlight,
        ReportedOutcome::Rejected => Outcome::Rejected { retry_after: 0 },
        ReportedOutcome::Served => Outcome::Served(()),
        ReportedOutcome::Failed => Outcome::Failed,
        ReportedOutcome::Unknown => Outcome::Unknown,
    }
}

/// Creates the receiver's outcome table, in which the sender is registered.
pub fn new_outcome_table() -> OutcomeTable<()> {
    let mut outcomes = OutcomeTable::new(100, 10);
    outcomes.register_incarnation(&origin(), false);
    outcomes
}
