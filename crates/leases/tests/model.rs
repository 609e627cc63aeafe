//! Model checking of a lease that one of three voters holds and another seeks. Messages are delayed,
//! duplicated and lost, clocks drift apart, and a voter restarts that has forgotten what it granted.

use std::collections::BTreeSet;
use std::sync::Arc;

use aldermill_leases::{
    Candidate, CandidateAction, Incarnation, Message, Payload, Term, Voter, clock_margin,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: &str = "d";
/// Duration of the lease in ticks. The clock margin of this duration is one tick.
const LEASE_DURATION: i64 = 3;
/// Time in ticks at which the clocks stop.
const END_TIME: i64 = 5;
/// Maximum depth of the search.
const MAX_DEPTH: usize = 11;
/// Maximum number of wakes in which the holder and the other candidate send a message to the voters, after
/// the initial state.
const MAX_ROUNDS: [u8; 2] = [1, 2];
/// Names of the voters. The first two are also the candidates: the initial holder, and the other.
const NAMES: [&str; 3] = ["a", "b", "c"];

fn incarnation(index: usize, start: u64) -> Incarnation {
    Incarnation { name: NAMES[index].into(), start }
}

/// State of all processes and of the network.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Time in ticks, by the voters' clocks.
    now: i64,
    /// Clocks of the two candidates, in ticks. One of them may fall behind by one tick, which models a clock
    /// that loses a tick per lease.
    clocks: [i64; 2],
    /// Whether one of the candidates' clocks has fallen behind.
    had_slow_tick: bool,
    candidates: [Candidate; 2],
    voters: [Voter; 3],
    /// Number of restarts of a voter, at most one.
    restarts: u8,
    /// Number of wakes in which each candidate has sent a message to the voters.
    rounds_started: [u8; 2],
    /// Messages in flight: index of the sender, index of the recipient, message. Some stay after their
    /// delivery, so that they may be delivered again. A lost message is one that is never delivered.
    in_flight: BTreeSet<(usize, usize, Arc<OrderedMessage>)>,
    /// Terms that were acquired, each with the index of the candidate that acquired it.
    acquired: BTreeSet<(Term, usize)>,
}

/// A message, ordered by its encoding.
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

/// A step from one state to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// All clocks advance by a tick.
    Tick,
    /// All clocks advance by a tick, except that of the candidate with this index.
    SlowTick(usize),
    /// The candidate with this index is woken.
    Wake(usize),
    /// A message is delivered: index of the sender, index of the recipient, message.
    Deliver(usize, usize, Arc<OrderedMessage>),
    /// The third voter restarts.
    Restart,
}

/// The protocol, from which safeguards can be left out.
#[derive(Clone, Copy)]
struct Protocol {
    /// Whether a lease expires earlier at its holder than at the voters, by the clock margin.
    has_clock_margin: bool,
    /// Whether a voter is silent for one lease duration after a restart.
    has_restart_silence: bool,
}

/// The protocol with all safeguards.
const COMPLETE_PROTOCOL: Protocol = Protocol { has_clock_margin: true, has_restart_silence: true };

impl Protocol {
    /// Carries out a candidate's actions. Messages to its own voter, and the replies to them, are delivered
    /// at once.
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

    /// Delivers a message to a voter, whose reply is then in flight, or a reply to a candidate.
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

    /// Returns the term under which a candidate may act now by its own clock, or `None` if it may not.
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
        // The first candidate holds the lease by its own vote and that of the third voter. The other
        // candidate has received nothing yet.
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
                // Proposals and grants may be delivered repeatedly; a repetition of any other message tells
                // nothing new.
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
                // Terms outlast a restart, as they are in the store or follow the wall clock.
                let stored_terms = vec![(LEASE.into(), state.voters[2].highest_term(LEASE))];
                state.voters[2] = Voter::start(started_at, LEASE_DURATION, Some(stored_terms));
                state.voters[2].persisted(LEASE, Term::MAX);
            }
        }
        // A reply to a request that is no longer pending changes nothing, and need not be kept.
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
            Property::<Self>::always("at most one process may act at a time", |protocol, state| {
                !(protocol.may_act(state, 0).is_some() && protocol.may_act(state, 1).is_some())
            }),
            Property::<Self>::sometimes("the lease is held", |_, state| !state.acquired.is_empty()),
        ]
    }
}

/// Searches the states up to a depth for violated properties and returns their names. The search ends at the
/// first one.
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
        "a protocol without the clock margin is not found to be unsafe"
    );
    assert!(
        !violated_properties(Protocol { has_restart_silence: false, ..COMPLETE_PROTOCOL }, MAX_DEPTH)
            .is_empty(),
        "a protocol without the silence after a restart is not found to be unsafe"
    );
}
