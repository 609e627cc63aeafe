//! The steps that sender, receiver and network may take, and the properties that must hold after any sequence
//! of steps.

use std::collections::BTreeSet;

use aldermill_site_routing::{
    Conclusion, ForwardState, Outcome, PeerAnswer, PreviousIncarnations, PromiseScope, RecordingPromise,
};
use stateright::{Model, Property};

use crate::state::{
    Message, Phase, ReportedOutcome, State, Step, from_reported, new_outcome_table, origin, to_reported,
};

/// The configuration of the model: how often steps may happen, and which safeguards the receiver omits.
pub struct Protocol {
    /// The number of requests that the sender forwards, numbered from 1.
    pub requests: u64,
    /// How often the link may be lost.
    pub max_link_losses: u8,
    /// How often the receiver may restart.
    pub max_restarts: u64,
    /// Whether a query fences a number that was never accepted; false to show that the model finds the fault.
    pub queries_fence: bool,
    /// Whether the receiver keeps an outcome log on disk.
    pub has_disk: bool,
    /// Whether the receiver keeps its recording promise; false to show that the model finds the fault.
    pub keeps_promise: bool,
}

/// One request, at most one lost link and one restart, no disk, no safeguard omitted.
pub const SINGLE_REQUEST: Protocol = Protocol {
    requests: 1,
    max_link_losses: 1,
    max_restarts: 1,
    queries_fence: true,
    has_disk: false,
    keeps_promise: true,
};

impl Protocol {
    /// Creates the promise state of a receiver that starts at `now`, in microseconds. With a disk the first
    /// promise is made and stored at once.
    fn new_promise(&self, now: i64) -> RecordingPromise {
        let mut promise = RecordingPromise::new(PromiseScope::Timed);
        if self.has_disk {
            promise.renew(now);
            promise.resolve_pending();
        }
        promise
    }

    /// Changes the sender's phase of a request according to a conclusion.
    fn conclude(&self, state: &mut State, number: u64, conclusion: Conclusion) {
        let index = number as usize - 1;
        state.phases[index] = match conclusion {
            Conclusion::Open => return,
            // The sender may run the request elsewhere or reject it. Odd numbers run elsewhere, which exposes
            // a double execution; even numbers are rejected, which is the stronger guarantee to the client.
            Conclusion::NeverRan if number % 2 == 1 => {
                state.runs[index] += 1;
                Phase::RanElsewhere
            }
            Conclusion::NeverRan => Phase::Rejected,
            Conclusion::Served => Phase::Served,
            Conclusion::MayHaveRun => Phase::Failed,
        };
    }

    /// Delivers a frame to its receiver. The frame also stays in the network.
    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Request { number, incarnation } if incarnation == state.incarnation => {
                if state.outcomes.accept(0, &origin(), number, 10).is_ok() {
                    // The record is written before the request counts as accepted. If the disk is full, the
                    // request is rejected while a promise is in force.
                    if self.has_disk && !state.disk_full {
                        state.previous.add_record(incarnation, origin(), number, Outcome::InFlight);
                    }
                    if self.has_disk
                        && state.disk_full
                        && self.keeps_promise
                        && !state.promise.permits_unrecorded(state.now)
                    {
                        return self.finish(state, number, Outcome::Rejected { retry_after: 0 });
                    }
                    state.accepted.insert(number);
                }
            }
            // The request was sent to an earlier incarnation and is ignored.
            Message::Request { .. } => {}
            Message::OutcomeQuery { number, incarnation } => {
                let mut table = state.outcomes.clone();
                let outcome = match incarnation < state.incarnation && self.has_disk {
                    true => state.previous.query(&origin(), number, incarnation),
                    false => table.query(0, &origin(), number, incarnation, state.incarnation),
                };
                if self.queries_fence {
                    state.outcomes = table;
                }
                state.network.insert(Message::OutcomeReply { number, outcome: to_reported(&outcome) });
            }
            Message::Confirm { up_to, incarnation } if incarnation == state.incarnation => {
                state.outcomes.confirm(&origin(), up_to)
            }
            Message::Confirm { .. } => {}
            Message::Answer { number, outcome } => {
                if let Phase::Forwarded(mut forward) = state.phases[number as usize - 1] {
                    let conclusion = forward.answered(match outcome {
                        ReportedOutcome::Served => PeerAnswer::Served,
                        ReportedOutcome::Rejected => PeerAnswer::Rejected { retry_after: 0 },
                        _ => PeerAnswer::Failed,
                    });
                    state.phases[number as usize - 1] = Phase::Forwarded(forward);
                    self.conclude(state, number, conclusion);
                }
            }
            Message::OutcomeReply { number, outcome } => {
                if let Phase::Forwarded(mut forward) = state.phases[number as usize - 1] {
                    let conclusion = forward.outcome_received(&from_reported(outcome));
                    state.phases[number as usize - 1] = Phase::Forwarded(forward);
                    self.conclude(state, number, conclusion);
                }
            }
        }
    }

    /// The receiver ends a request with an outcome: it records the outcome and answers the sender.
    fn finish(&self, state: &mut State, number: u64, outcome: Outcome<()>) {
        state.accepted.remove(&number);
        if self.has_disk && !state.disk_full {
            state.previous.add_record(state.incarnation, origin(), number, outcome.clone());
        }
        state.network.insert(Message::Answer { number, outcome: to_reported(&outcome) });
        state.outcomes.record(&origin(), number, outcome);
    }

    /// The receiver restarts. The next incarnation reads what is on the disk, and the disk has space again.
    fn restart(&self, state: &mut State) {
        let until = if state.promise.permits_unrecorded(state.now) { state.now - 1 } else { state.now };
        state.previous.add_promise(state.now, state.incarnation, until);
        state.disk_full = false;
        state.promise = self.new_promise(state.now);
        state.incarnation += 1;
        state.outcomes = new_outcome_table();
        state.accepted.clear();
    }
}

/// The sender learns that the receiver has restarted. Requests sent to an earlier incarnation are no longer
/// in flight.
fn notice_restart(state: &mut State) {
    for (phase, &incarnation) in state.phases.iter_mut().zip(&state.receiver_incarnations) {
        if let Phase::Forwarded(forward) = phase
            && incarnation < state.incarnation
        {
            forward.answer_lost(false);
        }
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let requests = self.requests as usize;
        vec![State {
            network: BTreeSet::new(),
            phases: vec![Phase::New; requests],
            receiver_incarnations: vec![0; requests],
            outcomes: new_outcome_table(),
            incarnation: 1,
            accepted: BTreeSet::new(),
            previous: PreviousIncarnations::default(),
            promise: self.new_promise(0),
            disk_full: false,
            now: 0,
            runs: vec![0; requests],
            link_losses: 0,
            expired: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let is_open = |phase: &Phase| matches!(phase, Phase::New | Phase::Forwarded(_));
        for (number, phase) in (1..).zip(&state.phases) {
            match phase {
                // Requests are sent in the order of their numbers, as the sender assigns them.
                Phase::New if number == 1 || state.phases[number as usize - 2] != Phase::New => {
                    steps.push(Step::Send(number))
                }
                Phase::Forwarded(ForwardState::Unresolved) => {
                    steps.extend([Step::Query(number), Step::GiveUp(number)])
                }
                Phase::Forwarded(_) => steps.push(Step::GiveUp(number)),
                _ => {}
            }
        }
        if state.link_losses < self.max_link_losses
            && state.phases.contains(&Phase::Forwarded(ForwardState::InFlight))
        {
            steps.push(Step::LoseLink);
        }
        steps.extend(state.network.iter().cloned().map(Step::Deliver));
        state
            .accepted
            .iter()
            .for_each(|&number| steps.extend([Step::Run(number), Step::Reject(number), Step::Fail(number)]));
        if state.incarnation <= self.max_restarts {
            steps.push(Step::Restart);
        }
        if self.has_disk && !state.disk_full {
            steps.push(Step::FillDisk);
        }
        if self.has_disk && !state.promise.permits_unrecorded(state.now) {
            steps.push(Step::EndPromise);
        }
        let is_stale = |(phase, &incarnation): (&Phase, &u64)| {
            matches!(phase, Phase::Forwarded(ForwardState::InFlight)) && incarnation < state.incarnation
        };
        if state.phases.iter().zip(&state.receiver_incarnations).any(is_stale) {
            steps.push(Step::NoticeRestart);
        }
        steps.push(Step::Confirm);
        // The receiver drops its records long after the deadlines of the requests, so the sender has none
        // open by then.
        if !state.expired && !state.phases.iter().any(is_open) {
            steps.push(Step::Expire);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Send(number) => {
                state.phases[number as usize - 1] = Phase::Forwarded(ForwardState::InFlight);
                state.receiver_incarnations[number as usize - 1] = state.incarnation;
                state.network.insert(Message::Request { number, incarnation: state.incarnation });
            }
            Step::LoseLink => {
                state.link_losses += 1;
                for phase in &mut state.phases {
                    if let Phase::Forwarded(forward) = phase {
                        forward.answer_lost(false);
                    }
                }
            }
            Step::Query(number) => {
                let incarnation = state.receiver_incarnations[number as usize - 1];
                state.phases[number as usize - 1] = Phase::Forwarded(ForwardState::Queried);
                state.network.insert(Message::OutcomeQuery { number, incarnation });
            }
            Step::GiveUp(number) => state.phases[number as usize - 1] = Phase::Failed,
            Step::Confirm => {
                let is_open = |phase: &&Phase| matches!(phase, Phase::New | Phase::Forwarded(_));
                let closed = state.phases.iter().take_while(|phase| !is_open(phase)).count() as u64;
                let incarnation =
                    state.receiver_incarnations.get(closed.saturating_sub(1) as usize).copied().unwrap_or(0);
                state.network.insert(Message::Confirm { up_to: closed, incarnation });
            }
            Step::Deliver(message) => self.deliver(&mut state, message),
            Step::Run(number) => {
                state.runs[number as usize - 1] += 1;
                self.finish(&mut state, number, Outcome::Served(()));
            }
            Step::Reject(number) => self.finish(&mut state, number, Outcome::Rejected { retry_after: 0 }),
            Step::Fail(number) => {
                // The request ran, but its response was lost.
                state.runs[number as usize - 1] += 1;
                self.finish(&mut state, number, Outcome::Failed);
            }
            Step::FillDisk => state.disk_full = true,
            Step::EndPromise => state.now += 10_000_000,
            Step::Restart => self.restart(&mut state),
            Step::NoticeRestart => notice_restart(&mut state),
            Step::Expire => {
                state.expired = true;
                state.outcomes.expire(1000);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one side ever runs a request", |_: &Protocol, state: &State| {
                state.runs.iter().all(|&runs| runs <= 1)
            }),
            Property::always("a rejected request never ran", |_: &Protocol, state: &State| {
                state
                    .phases
                    .iter()
                    .zip(&state.runs)
                    .all(|(phase, &runs)| *phase != Phase::Rejected || runs == 0)
            }),
            Property::always("a served request ran", |_: &Protocol, state: &State| {
                state
                    .phases
                    .iter()
                    .zip(&state.runs)
                    .all(|(phase, &runs)| *phase != Phase::Served || runs == 1)
            }),
            Property::sometimes(
                "a request whose link was lost is served after all",
                |_: &Protocol, state: &State| state.link_losses > 0 && state.phases.contains(&Phase::Served),
            ),
            Property::sometimes(
                "a request whose link was lost runs elsewhere instead",
                |_: &Protocol, state: &State| {
                    state.link_losses > 0 && state.phases.contains(&Phase::RanElsewhere)
                },
            ),
        ]
    }
}
