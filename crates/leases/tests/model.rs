//! Model checking of a lease that one of three voters holds and another seeks: messages that are late, doubled and lost, clocks
//! that run apart, a voter that starts anew and has forgotten what it granted.

use std::collections::BTreeSet;
use std::sync::Arc;

use aldermill_leases::{
    Candidate, CandidateAction, Incarnation, Message, Payload, Term, Voter, clock_margin,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: &str = "d";
/// In ticks; the margin is one.
const LEASE_DURATION: i64 = 3;
const END_TIME: i64 = 5;
const MAX_DEPTH: usize = 11;
/// How often the holder and the other turn to the voters.
const MAX_ROUNDS: [u8; 2] = [1, 2];
const NAMES: [&str; 3] = ["a", "b", "c"];

fn incarnation(index: usize, start: u64) -> Incarnation {
    Incarnation { name: NAMES[index].into(), start }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    /// Both candidates' own clocks, one of which may be slower by a tick a lease.
    clocks: [i64; 2],
    had_slow_tick: bool,
    candidates: [Candidate; 2],
    voters: [Voter; 3],
    restarts: u8,
    /// How often each has turned to the voters.
    rounds_started: [u8; 2],
    /// Words under way: from, to, what. A word stays, so that it may come again; those lost never come.
    in_flight: BTreeSet<(usize, usize, Arc<OrderedMessage>)>,
    acquired: BTreeSet<(Term, usize)>,
}

/// A word in an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OrderedMessage(Message);

impl PartialOrd for OrderedMessage {
    fn partial_cmp(&self, other: &OrderedMessage) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedMessage {
    fn cmp(&self, other: &OrderedMessage) -> std::cmp::Ordering {
        aldermill_leases::frame::encode(&self.0).cmp(&aldermill_leases::frame::encode(&other.0))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    SlowTick(usize),
    Wake(usize),
    Deliver(usize, usize, Arc<OrderedMessage>),
    Restart,
}

#[derive(Clone, Copy)]
struct Protocol {
    /// Whether a lease ends earlier at its holder.
    has_clock_margin: bool,
    /// Whether a voter that starts is silent for one lease.
    has_restart_silence: bool,
}

const COMPLETE_PROTOCOL: Protocol = Protocol { has_clock_margin: true, has_restart_silence: true };

impl Protocol {
    /// What a candidate says to its own voter is heard at once, and so is the answer.
    fn send(&self, state: &mut State, from: usize, actions: Vec<CandidateAction>) {
        for action in actions {
            match action {
                CandidateAction::Broadcast(payload) => {
                    let message = Message { lease: LEASE.into(), payload };
                    for to in (0..3).filter(|&to| to != from) {
                        state.in_flight.insert((from, to, Arc::new(OrderedMessage(message.clone()))));
                    }
                    if let Some(reply) =
                        state.voters[from].receive(state.now, &incarnation(from, 1), &message)
                    {
                        let actions = state.candidates[from].receive(
                            state.clocks[from],
                            0,
                            NAMES[from],
                            &reply.payload,
                        );
                        self.send(state, from, actions);
                    }
                }
                CandidateAction::Acquired(term) => drop(state.acquired.insert((term, from))),
                CandidateAction::Lost(_) => {}
            }
        }
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, message: &Message) {
        match &message.payload {
            Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. } => {
                if let Some(reply) = state.voters[to].receive(state.now, &incarnation(from, 1), message) {
                    let message =
                        Arc::new(OrderedMessage(Message { lease: LEASE.into(), payload: reply.payload }));
                    state.in_flight.insert((to, from, message));
                }
            }
            reply => {
                let actions = state.candidates[to].receive(state.clocks[to], 0, NAMES[from], reply);
                self.send(state, to, actions);
            }
        }
    }

    /// Whether this one may act now, by its own clock.
    fn may_act(&self, state: &State, index: usize) -> Option<Term> {
        let omitted_margin = if self.has_clock_margin { 0 } else { clock_margin(LEASE_DURATION) };
        state.candidates[index].may_act(state.clocks[index] - omitted_margin)
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voter = || Voter::start(-10, LEASE_DURATION, None::<Vec<(String, Term)>>);
        let mut state = State {
            now: 0,
            clocks: [0; 2],
            had_slow_tick: false,
            candidates: [0, 1].map(|index| Candidate::start(incarnation(index, 1), 3, LEASE_DURATION, 0)),
            voters: [voter(), voter(), voter()],
            restarts: 0,
            rounds_started: [0; 2],
            in_flight: BTreeSet::new(),
            acquired: BTreeSet::new(),
        };
        // One holds it, by its own vote and the third's; the other has heard of nothing yet.
        let actions = state.candidates[0].wake(0, None, 0.0);
        self.send(&mut state, 0, actions);
        while state.acquired.is_empty() {
            let (from, to, message) =
                state.in_flight.iter().find(|(from, to, _)| from + to == 2).cloned().unwrap();
            state.in_flight.remove(&(from, to, message.clone()));
            self.deliver(&mut state, from, to, &message.0);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.now < END_TIME {
            actions.push(Step::Tick);
            if !state.had_slow_tick {
                actions.extend([Step::SlowTick(0), Step::SlowTick(1)]);
            }
        }
        actions.extend([Step::Wake(0), Step::Wake(1)]);
        actions.extend(
            state.in_flight.iter().map(|(from, to, message)| Step::Deliver(*from, *to, message.clone())),
        );
        if state.restarts == 0 {
            actions.push(Step::Restart);
        }
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        match step {
            Step::Tick => {
                state.now += 1;
                state.clocks.iter_mut().for_each(|clock| *clock += 1);
            }
            Step::SlowTick(slow_candidate) => {
                state.now += 1;
                state.clocks[1 - slow_candidate] += 1;
                state.had_slow_tick = true;
            }
            Step::Wake(index) => {
                let now = state.clocks[index];
                if now < state.candidates[index].wake_at() || state.rounds_started[index] >= MAX_ROUNDS[index]
                {
                    return None;
                }
                let granted = state.voters[index].granted(state.now, LEASE);
                let held_elsewhere_until = granted
                    .filter(|granted| *granted.holder.name != *NAMES[index])
                    .map(|granted| granted.expires_at);
                let actions = state.candidates[index].wake(now, held_elsewhere_until, 0.0);
                state.rounds_started[index] +=
                    u8::from(actions.iter().any(|action| matches!(action, CandidateAction::Broadcast(_))));
                self.send(&mut state, index, actions);
            }
            Step::Deliver(from, to, message) => {
                // A grant may come twice; what else comes again says nothing new.
                let is_repeatable =
                    matches!(message.0.payload, Payload::Propose { .. } | Payload::Accept { .. });
                if !is_repeatable {
                    state.in_flight.remove(&(from, to, message.clone()));
                }
                self.deliver(&mut state, from, to, &message.0);
            }
            Step::Restart => {
                state.restarts += 1;
                let started_at = if self.has_restart_silence { state.now } else { state.now - 10 };
                // LeaseConfig are the store's to keep, or the clock's.
                let stored_terms = vec![(LEASE.into(), state.voters[2].highest_term(LEASE))];
                state.voters[2] = Voter::start(started_at, LEASE_DURATION, Some(stored_terms));
                state.voters[2].persisted(LEASE, Term::MAX);
            }
        }
        // An answer to what is asked no longer changes nothing, and need not be remembered.
        let is_stale = |(_, to, message): &(usize, usize, Arc<OrderedMessage>)| {
            let mut candidate = state.candidates.get(*to).cloned();
            let receive =
                |candidate: &mut Candidate| candidate.receive(state.clocks[*to], 0, "x", &message.0.payload);
            let is_reply = !matches!(
                message.0.payload,
                Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. }
            );
            is_reply
                && candidate.as_mut().is_none_or(|candidate| {
                    receive(candidate).is_empty() && *candidate == state.candidates[*to]
                })
        };
        let retained = state.in_flight.iter().filter(|entry| !is_stale(entry)).cloned().collect();
        state.in_flight = retained;
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a term has one holder", |_, state| {
                state
                    .acquired
                    .iter()
                    .zip(state.acquired.iter().skip(1))
                    .all(|(previous, next)| previous.0 != next.0)
            }),
            Property::<Self>::always("never two may act at one time", |protocol, state| {
                !(protocol.may_act(state, 0).is_some() && protocol.may_act(state, 1).is_some())
            }),
            Property::<Self>::sometimes("the lease is held", |_, state| !state.acquired.is_empty()),
        ]
    }
}

/// Which properties are found broken, the first of them.
fn violated_properties(protocol: Protocol, depth: usize) -> Vec<&'static str> {
    let checker = protocol.checker().threads(4).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    let mut violated: Vec<&'static str> =
        checker.discoveries().into_keys().filter(|name| *name != "the lease is held").collect();
    violated.sort_unstable();
    violated
}

#[test]
fn at_most_one_process_may_act_at_a_time_and_each_term_has_one_holder() {
    assert!(violated_properties(COMPLETE_PROTOCOL, MAX_DEPTH).is_empty());
}

#[test]
fn the_checker_detects_a_missing_clock_margin_and_a_missing_restart_silence() {
    assert!(
        !violated_properties(Protocol { has_clock_margin: false, ..COMPLETE_PROTOCOL }, MAX_DEPTH).is_empty(),
        "the margin"
    );
    assert!(
        !violated_properties(Protocol { has_restart_silence: false, ..COMPLETE_PROTOCOL }, MAX_DEPTH)
            .is_empty(),
        "a new voter's silence"
    );
}
