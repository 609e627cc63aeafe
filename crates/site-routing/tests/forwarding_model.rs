//! Model checking of one crossing: a sender's and a receiver's book with a network between them that loses, doubles
//! and delays as it likes, a receiver that restarts, and a sender that gives up.

use std::collections::BTreeSet;

use aldermill_site_routing::{
    Conclusion, ForwardState, Origin, Outcome, OutcomeTable, PeerAnswer, PreviousIncarnations,
    RecordingPromise,
};
use stateright::{Checker, Model, Property};

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { key: u64, start: u64 },
    Ask { key: u64, start: u64 },
    Outcome { key: u64, what: What },
    Told { key: u64, what: What },
    Confirm { upto: u64, start: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum What {
    NeverAccepted,
    InFlight,
    Rejected,
    Served,
    Failed,
    Unknown,
}

/// What the sender has made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    New,
    Crossed(ForwardState),
    /// It never ran there: it runs here, or was rejected.
    RunHere,
    Rejected,
    Served,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Never taken away: whatever was sent may come, at any time and any number of times, or not at all.
    network: BTreeSet<Message>,
    phases: Vec<Phase>,
    /// The receiver's start that each request was sent to.
    sent_to: Vec<u64>,
    fates: OutcomeTable<()>,
    start: u64,
    /// Taken by the receiver's present start and not run yet.
    taken: BTreeSet<u64>,
    /// What the receiver has on its disk, where it has one: its books, and its promise. `away` is a disk that takes
    /// nothing, `now` moves when a promise runs out.
    kept: PreviousIncarnations<()>,
    promise: RecordingPromise,
    away: bool,
    now: i64,
    /// Effects, at either side.
    runs: Vec<u8>,
    cuts: u8,
    expired: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Send(u64),
    Cut,
    Ask(u64),
    GiveUp(u64),
    Confirm,
    Deliver(Message),
    Run(u64),
    Reject(u64),
    Fail(u64),
    DiskGoes,
    PromiseEnds,
    Restart,
    SeeRestart,
    Expire,
}

struct Protocol {
    keys: u64,
    cuts: u8,
    restarts: u64,
    /// With the fence left out, to show that the check bites.
    fenced: bool,
    /// Whether the receiver's book is on a disk, and whether it minds its promise.
    disk: bool,
    minds: bool,
}

const PLAIN: Protocol = Protocol { keys: 1, cuts: 1, restarts: 1, fenced: true, disk: false, minds: true };

fn origin() -> Origin {
    Origin { site: "a".into(), instance: "n0".into(), incarnation: 1 }
}

fn what(fate: &Outcome<()>) -> What {
    match fate {
        Outcome::NeverAccepted => What::NeverAccepted,
        Outcome::InFlight => What::InFlight,
        Outcome::Rejected { .. } => What::Rejected,
        Outcome::Served(()) => What::Served,
        Outcome::Failed => What::Failed,
        Outcome::Unknown => What::Unknown,
    }
}

fn fate(what: What) -> Outcome<()> {
    match what {
        What::NeverAccepted => Outcome::NeverAccepted,
        What::InFlight => Outcome::InFlight,
        What::Rejected => Outcome::Rejected { retry_after: 0 },
        What::Served => Outcome::Served(()),
        What::Failed => Outcome::Failed,
        What::Unknown => Outcome::Unknown,
    }
}

fn new_book() -> OutcomeTable<()> {
    let mut fates = OutcomeTable::new(100, 10);
    fates.greeted(&origin(), false);
    fates
}

impl Protocol {
    fn promise(&self, now: i64) -> RecordingPromise {
        let mut promise = RecordingPromise::default();
        if self.disk {
            promise.renew(now);
            promise.settle();
        }
        promise
    }

    fn settle(&self, state: &mut State, key: u64, settled: Conclusion) {
        let at = key as usize - 1;
        state.phases[at] = match settled {
            Conclusion::Open => return,
            // Either may follow; a rejection promises more, and running it here shows a double.
            Conclusion::NeverRan if key % 2 == 1 => {
                state.runs[at] += 1;
                Phase::RunHere
            }
            Conclusion::NeverRan => Phase::Rejected,
            Conclusion::Served => Phase::Served,
            Conclusion::MayHaveRun => Phase::Failed,
        };
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Request { key, start } if start == state.start => {
                if state.fates.accept(0, &origin(), key, 10).is_ok() {
                    // The record first; without one it is rejected while the promise holds.
                    if self.disk && !state.away {
                        state.kept.add_record(start, origin(), key, Outcome::InFlight);
                    }
                    if self.disk && state.away && self.minds && !state.promise.permits_unrecorded(state.now) {
                        return self.end(state, key, Outcome::Rejected { retry_after: 0 });
                    }
                    state.taken.insert(key);
                }
            }
            // Meant for an earlier start: nothing is said of it.
            Message::Request { .. } => {}
            Message::Ask { key, start } => {
                let mut book = state.fates.clone();
                let fate = match start < state.start && self.disk {
                    true => state.kept.query(&origin(), key, start),
                    false => book.query(0, &origin(), key, start, state.start),
                };
                if self.fenced {
                    state.fates = book;
                }
                state.network.insert(Message::Told { key, what: what(&fate) });
            }
            Message::Confirm { upto, start } if start == state.start => state.fates.confirm(&origin(), upto),
            Message::Confirm { .. } => {}
            Message::Outcome { key, what } => {
                if let Phase::Crossed(mut crossing) = state.phases[key as usize - 1] {
                    let settled = crossing.answered(match what {
                        What::Served => PeerAnswer::Served,
                        What::Rejected => PeerAnswer::Rejected { retry_after: 0 },
                        _ => PeerAnswer::Failed,
                    });
                    state.phases[key as usize - 1] = Phase::Crossed(crossing);
                    self.settle(state, key, settled);
                }
            }
            Message::Told { key, what } => {
                if let Phase::Crossed(mut crossing) = state.phases[key as usize - 1] {
                    let settled = crossing.outcome_received(&fate(what));
                    state.phases[key as usize - 1] = Phase::Crossed(crossing);
                    self.settle(state, key, settled);
                }
            }
        }
    }

    fn end(&self, state: &mut State, key: u64, fate: Outcome<()>) {
        state.taken.remove(&key);
        if self.disk && !state.away {
            state.kept.add_record(state.start, origin(), key, fate.clone());
        }
        state.network.insert(Message::Outcome { key, what: what(&fate) });
        state.fates.record(&origin(), key, fate);
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let keys = self.keys as usize;
        vec![State {
            network: BTreeSet::new(),
            phases: vec![Phase::New; keys],
            sent_to: vec![0; keys],
            fates: new_book(),
            start: 1,
            taken: BTreeSet::new(),
            kept: PreviousIncarnations::default(),
            promise: self.promise(0),
            away: false,
            now: 0,
            runs: vec![0; keys],
            cuts: 0,
            expired: false,
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        let open = |phase: &Phase| matches!(phase, Phase::New | Phase::Crossed(_));
        for (key, phase) in (1..).zip(&state.phases) {
            match phase {
                // In the order of their numbers, as the sender gives them out.
                Phase::New if key == 1 || state.phases[key as usize - 2] != Phase::New => {
                    acts.push(Act::Send(key))
                }
                Phase::Crossed(ForwardState::Unresolved) => acts.extend([Act::Ask(key), Act::GiveUp(key)]),
                Phase::Crossed(_) => acts.push(Act::GiveUp(key)),
                _ => {}
            }
        }
        if state.cuts < self.cuts && state.phases.contains(&Phase::Crossed(ForwardState::InFlight)) {
            acts.push(Act::Cut);
        }
        acts.extend(state.network.iter().cloned().map(Act::Deliver));
        state.taken.iter().for_each(|&key| acts.extend([Act::Run(key), Act::Reject(key), Act::Fail(key)]));
        if state.start <= self.restarts {
            acts.push(Act::Restart);
        }
        if self.disk && !state.away {
            acts.push(Act::DiskGoes);
        }
        if self.disk && !state.promise.permits_unrecorded(state.now) {
            acts.push(Act::PromiseEnds);
        }
        let old = |(phase, &start): (&Phase, &u64)| {
            matches!(phase, Phase::Crossed(ForwardState::InFlight)) && start < state.start
        };
        if state.phases.iter().zip(&state.sent_to).any(old) {
            acts.push(Act::SeeRestart);
        }
        acts.push(Act::Confirm);
        // Time limits are long over for the sender before the receiver forgets.
        if !state.expired && !state.phases.iter().any(open) {
            acts.push(Act::Expire);
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Send(key) => {
                state.phases[key as usize - 1] = Phase::Crossed(ForwardState::InFlight);
                state.sent_to[key as usize - 1] = state.start;
                state.network.insert(Message::Request { key, start: state.start });
            }
            Act::Cut => {
                state.cuts += 1;
                for phase in &mut state.phases {
                    if let Phase::Crossed(crossing) = phase {
                        crossing.link_lost(false);
                    }
                }
            }
            Act::Ask(key) => {
                let start = state.sent_to[key as usize - 1];
                state.phases[key as usize - 1] = Phase::Crossed(ForwardState::Queried);
                state.network.insert(Message::Ask { key, start });
            }
            Act::GiveUp(key) => state.phases[key as usize - 1] = Phase::Failed,
            Act::Confirm => {
                let open = |phase: &&Phase| matches!(phase, Phase::New | Phase::Crossed(_));
                let closed = state.phases.iter().take_while(|phase| !open(phase)).count() as u64;
                let start = state.sent_to.get(closed.saturating_sub(1) as usize).copied().unwrap_or(0);
                state.network.insert(Message::Confirm { upto: closed, start });
            }
            Act::Deliver(message) => self.deliver(&mut state, message),
            Act::Run(key) => {
                state.runs[key as usize - 1] += 1;
                self.end(&mut state, key, Outcome::Served(()));
            }
            Act::Reject(key) => self.end(&mut state, key, Outcome::Rejected { retry_after: 0 }),
            Act::Fail(key) => {
                // It ran, and the answer was lost.
                state.runs[key as usize - 1] += 1;
                self.end(&mut state, key, Outcome::Failed);
            }
            Act::DiskGoes => state.away = true,
            Act::PromiseEnds => state.now += 10_000_000,
            Act::Restart => {
                let until =
                    if state.promise.permits_unrecorded(state.now) { state.now - 1 } else { state.now };
                state.kept.add_promise(state.now, state.start, until);
                (state.away, state.promise) = (false, self.promise(state.now));
                state.start += 1;
                state.fates = new_book();
                state.taken.clear();
            }
            Act::SeeRestart => {
                for (phase, &start) in state.phases.iter_mut().zip(&state.sent_to) {
                    if let Phase::Crossed(crossing) = phase
                        && start < state.start
                    {
                        crossing.link_lost(false);
                    }
                }
            }
            Act::Expire => {
                state.expired = true;
                state.fates.expire(1000);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one side ever runs a key", |_: &Protocol, state: &State| {
                state.runs.iter().all(|&runs| runs <= 1)
            }),
            Property::always("a denial means that nobody ran it", |_: &Protocol, state: &State| {
                state
                    .phases
                    .iter()
                    .zip(&state.runs)
                    .all(|(phase, &runs)| *phase != Phase::Rejected || runs == 0)
            }),
            Property::always("what was honoured ran", |_: &Protocol, state: &State| {
                state
                    .phases
                    .iter()
                    .zip(&state.runs)
                    .all(|(phase, &runs)| *phase != Phase::Served || runs == 1)
            }),
            Property::sometimes("a cut task is honoured after all", |_: &Protocol, state: &State| {
                state.cuts > 0 && state.phases.contains(&Phase::Served)
            }),
            Property::sometimes("a cut task runs here instead", |_: &Protocol, state: &State| {
                state.cuts > 0 && state.phases.contains(&Phase::RunHere)
            }),
        ]
    }
}

#[test]
fn no_key_runs_twice_whatever_is_lost_doubled_or_late() {
    let checked = Protocol { cuts: 2, ..PLAIN }.checker().spawn_bfs().join();
    println!("one key: {} states", checked.unique_state_count());
    checked.assert_properties();
    assert!(checked.unique_state_count() > 500);
}

#[test]
fn without_the_fence_a_double_is_found() {
    let checked = Protocol { restarts: 0, fenced: false, ..PLAIN }.checker().spawn_bfs().join();
    let double = checked.discovery("at most one side ever runs a key");
    println!("{:?}", double.expect("a double").into_actions());
}

#[test]
fn with_its_book_on_a_disk_no_key_runs_twice_and_an_earlier_start_is_answered_for() {
    let checked = Protocol { disk: true, ..PLAIN }.checker().spawn_bfs().join();
    println!("one key with a disk: {} states", checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn a_promise_that_is_not_minded_makes_a_double() {
    let checked = Protocol { disk: true, minds: false, ..PLAIN }.checker().spawn_bfs().join();
    println!("{:?}", checked.discovery("at most one side ever runs a key").expect("a double").into_actions());
}

/// Millions of states: `cargo test --release -p aldermill-site-routing -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn two_keys_with_a_floor_between_them() {
    let checker = Protocol { keys: 2, ..PLAIN }.checker();
    let checked = checker.threads(4).spawn_bfs().join();
    println!("two keys: {} states", checked.unique_state_count());
    checked.assert_properties();
}
