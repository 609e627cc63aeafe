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
const LASTS: i64 = 3;
const TIME: i64 = 5;
const DEPTH: usize = 11;
/// How often the holder and the other turn to the voters.
const ASKINGS: [u8; 2] = [1, 2];
const NAMES: [&str; 3] = ["a", "b", "c"];

fn incarnation(at: usize, start: u64) -> Incarnation {
    Incarnation { name: NAMES[at].into(), start }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: i64,
    /// Both candidates' own clocks, one of which may be slower by a tick a lease.
    clocks: [i64; 2],
    slowed: bool,
    candidates: [Candidate; 2],
    voters: [Voter; 3],
    restarts: u8,
    /// How often each has turned to the voters.
    asked: [u8; 2],
    /// Words under way: from, to, what. A word stays, so that it may come again; those lost never come.
    under_way: BTreeSet<(usize, usize, Arc<Ordered>)>,
    got: BTreeSet<(Term, usize)>,
}

/// A word in an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ordered(Message);

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Ordered) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ordered {
    fn cmp(&self, other: &Ordered) -> std::cmp::Ordering {
        aldermill_leases::frame::encode(&self.0).cmp(&aldermill_leases::frame::encode(&other.0))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    SlowTick(usize),
    Wake(usize),
    Deliver(usize, usize, Arc<Ordered>),
    Restart,
}

#[derive(Clone, Copy)]
struct Protocol {
    /// Whether a lease ends earlier at its holder.
    margin: bool,
    /// Whether a voter that starts is silent for one lease.
    silent: bool,
}

const WHOLE: Protocol = Protocol { margin: true, silent: true };

impl Protocol {
    /// What a candidate says to its own voter is heard at once, and so is the answer.
    fn send(&self, state: &mut State, from: usize, moves: Vec<CandidateAction>) {
        for step in moves {
            match step {
                CandidateAction::Broadcast(payload) => {
                    let said = Message { lease: LEASE.into(), payload };
                    for to in (0..3).filter(|&to| to != from) {
                        state.under_way.insert((from, to, Arc::new(Ordered(said.clone()))));
                    }
                    if let Some(answer) = state.voters[from].receive(state.now, &incarnation(from, 1), &said)
                    {
                        let moves = state.candidates[from].receive(
                            state.clocks[from],
                            0,
                            NAMES[from],
                            &answer.payload,
                        );
                        self.send(state, from, moves);
                    }
                }
                CandidateAction::Acquired(term) => drop(state.got.insert((term, from))),
                CandidateAction::Lost(_) => {}
            }
        }
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, said: &Message) {
        match &said.payload {
            Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. } => {
                if let Some(answer) = state.voters[to].receive(state.now, &incarnation(from, 1), said) {
                    let said = Arc::new(Ordered(Message { lease: LEASE.into(), payload: answer.payload }));
                    state.under_way.insert((to, from, said));
                }
            }
            answer => {
                let moves = state.candidates[to].receive(state.clocks[to], 0, NAMES[from], answer);
                self.send(state, to, moves);
            }
        }
    }

    /// Whether this one may act now, by its own clock.
    fn may(&self, state: &State, at: usize) -> Option<Term> {
        let behind = if self.margin { 0 } else { clock_margin(LASTS) };
        state.candidates[at].may_act(state.clocks[at] - behind)
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voter = || Voter::start(-10, LASTS, None::<Vec<(String, Term)>>);
        let mut state = State {
            now: 0,
            clocks: [0; 2],
            slowed: false,
            candidates: [0, 1].map(|at| Candidate::start(incarnation(at, 1), 3, LASTS, 0)),
            voters: [voter(), voter(), voter()],
            restarts: 0,
            asked: [0; 2],
            under_way: BTreeSet::new(),
            got: BTreeSet::new(),
        };
        // One holds it, by its own vote and the third's; the other has heard of nothing yet.
        let moves = state.candidates[0].wake(0, None, 0.0);
        self.send(&mut state, 0, moves);
        while state.got.is_empty() {
            let (from, to, said) =
                state.under_way.iter().find(|(from, to, _)| from + to == 2).cloned().unwrap();
            state.under_way.remove(&(from, to, said.clone()));
            self.deliver(&mut state, from, to, &said.0);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.now < TIME {
            actions.push(Step::Tick);
            if !state.slowed {
                actions.extend([Step::SlowTick(0), Step::SlowTick(1)]);
            }
        }
        actions.extend([Step::Wake(0), Step::Wake(1)]);
        actions
            .extend(state.under_way.iter().map(|(from, to, said)| Step::Deliver(*from, *to, said.clone())));
        if state.restarts == 0 {
            actions.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => {
                state.now += 1;
                state.clocks.iter_mut().for_each(|clock| *clock += 1);
            }
            Step::SlowTick(slow) => {
                state.now += 1;
                state.clocks[1 - slow] += 1;
                state.slowed = true;
            }
            Step::Wake(at) => {
                let now = state.clocks[at];
                if now < state.candidates[at].wake_at() || state.asked[at] >= ASKINGS[at] {
                    return None;
                }
                let lease = state.voters[at].granted(state.now, LEASE);
                let other =
                    lease.filter(|lease| *lease.holder.name != *NAMES[at]).map(|lease| lease.expires_at);
                let moves = state.candidates[at].wake(now, other, 0.0);
                state.asked[at] +=
                    u8::from(moves.iter().any(|step| matches!(step, CandidateAction::Broadcast(_))));
                self.send(&mut state, at, moves);
            }
            Step::Deliver(from, to, said) => {
                // A grant may come twice; what else comes again says nothing new.
                let again = matches!(said.0.payload, Payload::Propose { .. } | Payload::Accept { .. });
                if !again {
                    state.under_way.remove(&(from, to, said.clone()));
                }
                self.deliver(&mut state, from, to, &said.0);
            }
            Step::Restart => {
                state.restarts += 1;
                let began = if self.silent { state.now } else { state.now - 10 };
                // LeaseConfig are the store's to keep, or the clock's.
                let kept = vec![(LEASE.into(), state.voters[2].highest_term(LEASE))];
                state.voters[2] = Voter::start(began, LASTS, Some(kept));
                state.voters[2].persisted(LEASE, Term::MAX);
            }
        }
        // An answer to what is asked no longer changes nothing, and need not be remembered.
        let stale = |(_, to, said): &(usize, usize, Arc<Ordered>)| {
            let mut candidate = state.candidates.get(*to).cloned();
            let heard =
                |candidate: &mut Candidate| candidate.receive(state.clocks[*to], 0, "x", &said.0.payload);
            let answer = !matches!(
                said.0.payload,
                Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. }
            );
            answer
                && candidate.as_mut().is_none_or(|candidate| {
                    heard(candidate).is_empty() && *candidate == state.candidates[*to]
                })
        };
        let kept = state.under_way.iter().filter(|word| !stale(word)).cloned().collect();
        state.under_way = kept;
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("a term has one holder", |_, state| {
                state.got.iter().zip(state.got.iter().skip(1)).all(|(one, next)| one.0 != next.0)
            }),
            Property::<Self>::always("never two may act at one time", |protocol, state| {
                !(protocol.may(state, 0).is_some() && protocol.may(state, 1).is_some())
            }),
            Property::<Self>::sometimes("the lease is held", |_, state| !state.got.is_empty()),
        ]
    }
}

/// Which properties are found broken, the first of them.
fn broken(protocol: Protocol, depth: usize) -> Vec<&'static str> {
    let checker = protocol.checker().threads(4).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    let mut found: Vec<&'static str> =
        checker.discoveries().into_keys().filter(|name| *name != "the lease is held").collect();
    found.sort_unstable();
    found
}

#[test]
fn nobody_gets_a_lease_while_another_may_act_and_each_term_has_one_holder() {
    assert!(broken(WHOLE, DEPTH).is_empty());
}

#[test]
fn the_check_finds_what_is_left_out() {
    assert!(!broken(Protocol { margin: false, ..WHOLE }, DEPTH).is_empty(), "the margin");
    assert!(!broken(Protocol { silent: false, ..WHOLE }, DEPTH).is_empty(), "a new voter's silence");
}
