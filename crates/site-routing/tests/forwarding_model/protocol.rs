//! What sender, receiver and network may do, and what must hold whatever they do.

use std::collections::BTreeSet;

use aldermill_site_routing::{
    Conclusion, ForwardState, Outcome, PeerAnswer, PreviousIncarnations, PromiseScope, RecordingPromise,
};
use stateright::{Model, Property};

use crate::state::{Message, Phase, Report, State, Step, new_table, origin, outcome, report};

/// How much may happen, and what the receiver leaves out.
pub struct Protocol {
    pub requests: u64,
    pub link_losses: u8,
    pub restarts: u64,
    /// Whether a query fences a number; left out to show that the model finds the fault.
    pub fenced: bool,
    /// Whether the receiver's log is on a disk.
    pub disk: bool,
    /// Whether the receiver keeps its promise; broken to show that the model finds the fault.
    pub keeps_promise: bool,
}

/// One request, one lost link, one restart, no disk.
pub const PLAIN: Protocol =
    Protocol { requests: 1, link_losses: 1, restarts: 1, fenced: true, disk: false, keeps_promise: true };

impl Protocol {
    fn promise(&self, now: i64) -> RecordingPromise {
        let mut promise = RecordingPromise::new(PromiseScope::Timed);
        if self.disk {
            promise.renew(now);
            promise.resolve_pending();
        }
        promise
    }

    fn conclude(&self, state: &mut State, number: u64, conclusion: Conclusion) {
        let at = number as usize - 1;
        state.phases[at] = match conclusion {
            Conclusion::Open => return,
            // Either may follow; a rejection promises more, and running it here shows a double.
            Conclusion::NeverRan if number % 2 == 1 => {
                state.runs[at] += 1;
                Phase::RanElsewhere
            }
            Conclusion::NeverRan => Phase::Rejected,
            Conclusion::Served => Phase::Served,
            Conclusion::MayHaveRun => Phase::Failed,
        };
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Request { number, incarnation } if incarnation == state.incarnation => {
                if state.outcomes.accept(0, &origin(), number, 10).is_ok() {
                    // The record first; without one it is rejected while the promise holds.
                    if self.disk && !state.disk_full {
                        state.previous.add_record(incarnation, origin(), number, Outcome::InFlight);
                    }
                    if self.disk
                        && state.disk_full
                        && self.keeps_promise
                        && !state.promise.permits_unrecorded(state.now)
                    {
                        return self.end(state, number, Outcome::Rejected { retry_after: 0 });
                    }
                    state.accepted.insert(number);
                }
            }
            // Meant for an earlier incarnation: nothing is said of it.
            Message::Request { .. } => {}
            Message::OutcomeQuery { number, incarnation } => {
                let mut table = state.outcomes.clone();
                let outcome = match incarnation < state.incarnation && self.disk {
                    true => state.previous.query(&origin(), number, incarnation),
                    false => table.query(0, &origin(), number, incarnation, state.incarnation),
                };
                if self.fenced {
                    state.outcomes = table;
                }
                state.network.insert(Message::OutcomeReply { number, report: report(&outcome) });
            }
            Message::Confirm { up_to, incarnation } if incarnation == state.incarnation => {
                state.outcomes.confirm(&origin(), up_to)
            }
            Message::Confirm { .. } => {}
            Message::Answer { number, report } => {
                if let Phase::Forwarded(mut forward) = state.phases[number as usize - 1] {
                    let conclusion = forward.answered(match report {
                        Report::Served => PeerAnswer::Served,
                        Report::Rejected => PeerAnswer::Rejected { retry_after: 0 },
                        _ => PeerAnswer::Failed,
                    });
                    state.phases[number as usize - 1] = Phase::Forwarded(forward);
                    self.conclude(state, number, conclusion);
                }
            }
            Message::OutcomeReply { number, report } => {
                if let Phase::Forwarded(mut forward) = state.phases[number as usize - 1] {
                    let conclusion = forward.outcome_received(&outcome(report));
                    state.phases[number as usize - 1] = Phase::Forwarded(forward);
                    self.conclude(state, number, conclusion);
                }
            }
        }
    }

    fn end(&self, state: &mut State, number: u64, outcome: Outcome<()>) {
        state.accepted.remove(&number);
        if self.disk && !state.disk_full {
            state.previous.add_record(state.incarnation, origin(), number, outcome.clone());
        }
        state.network.insert(Message::Answer { number, report: report(&outcome) });
        state.outcomes.record(&origin(), number, outcome);
    }

    /// The receiver's process ends, and the next one reads what is on the disk.
    fn restart(&self, state: &mut State) {
        let until = if state.promise.permits_unrecorded(state.now) { state.now - 1 } else { state.now };
        state.previous.add_promise(state.now, state.incarnation, until);
        state.disk_full = false;
        state.promise = self.promise(state.now);
        state.incarnation += 1;
        state.outcomes = new_table();
        state.accepted.clear();
    }
}

/// The sender learns that what it sent to an earlier incarnation is not under way any more.
fn notice_restart(state: &mut State) {
    for (phase, &incarnation) in state.phases.iter_mut().zip(&state.sent_to) {
        if let Phase::Forwarded(forward) = phase
            && incarnation < state.incarnation
        {
            forward.link_lost(false);
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
            sent_to: vec![0; requests],
            outcomes: new_table(),
            incarnation: 1,
            accepted: BTreeSet::new(),
            previous: PreviousIncarnations::default(),
            promise: self.promise(0),
            disk_full: false,
            now: 0,
            runs: vec![0; requests],
            link_losses: 0,
            expired: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let open = |phase: &Phase| matches!(phase, Phase::New | Phase::Forwarded(_));
        for (number, phase) in (1..).zip(&state.phases) {
            match phase {
                // In the order of their numbers, as the sender gives them out.
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
        if state.link_losses < self.link_losses
            && state.phases.contains(&Phase::Forwarded(ForwardState::InFlight))
        {
            steps.push(Step::LoseLink);
        }
        steps.extend(state.network.iter().cloned().map(Step::Deliver));
        state
            .accepted
            .iter()
            .for_each(|&number| steps.extend([Step::Run(number), Step::Reject(number), Step::Fail(number)]));
        if state.incarnation <= self.restarts {
            steps.push(Step::Restart);
        }
        if self.disk && !state.disk_full {
            steps.push(Step::DiskFills);
        }
        if self.disk && !state.promise.permits_unrecorded(state.now) {
            steps.push(Step::PromiseEnds);
        }
        let stale = |(phase, &incarnation): (&Phase, &u64)| {
            matches!(phase, Phase::Forwarded(ForwardState::InFlight)) && incarnation < state.incarnation
        };
        if state.phases.iter().zip(&state.sent_to).any(stale) {
            steps.push(Step::NoticeRestart);
        }
        steps.push(Step::Confirm);
        // Time limits are long over for the sender before the receiver forgets.
        if !state.expired && !state.phases.iter().any(open) {
            steps.push(Step::Expire);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Send(number) => {
                state.phases[number as usize - 1] = Phase::Forwarded(ForwardState::InFlight);
                state.sent_to[number as usize - 1] = state.incarnation;
                state.network.insert(Message::Request { number, incarnation: state.incarnation });
            }
            Step::LoseLink => {
                state.link_losses += 1;
                for phase in &mut state.phases {
                    if let Phase::Forwarded(forward) = phase {
                        forward.link_lost(false);
                    }
                }
            }
            Step::Query(number) => {
                let incarnation = state.sent_to[number as usize - 1];
                state.phases[number as usize - 1] = Phase::Forwarded(ForwardState::Queried);
                state.network.insert(Message::OutcomeQuery { number, incarnation });
            }
            Step::GiveUp(number) => state.phases[number as usize - 1] = Phase::Failed,
            Step::Confirm => {
                let open = |phase: &&Phase| matches!(phase, Phase::New | Phase::Forwarded(_));
                let closed = state.phases.iter().take_while(|phase| !open(phase)).count() as u64;
                let incarnation = state.sent_to.get(closed.saturating_sub(1) as usize).copied().unwrap_or(0);
                state.network.insert(Message::Confirm { up_to: closed, incarnation });
            }
            Step::Deliver(message) => self.deliver(&mut state, message),
            Step::Run(number) => {
                state.runs[number as usize - 1] += 1;
                self.end(&mut state, number, Outcome::Served(()));
            }
            Step::Reject(number) => self.end(&mut state, number, Outcome::Rejected { retry_after: 0 }),
            Step::Fail(number) => {
                // It ran, and the answer was lost.
                state.runs[number as usize - 1] += 1;
                self.end(&mut state, number, Outcome::Failed);
            }
            Step::DiskFills => state.disk_full = true,
            Step::PromiseEnds => state.now += 10_000_000,
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
