//! Renumbering of a process whose wall clock was set back, which happens once the process has learned of its
//! earlier start.

use aldermill_leases::{Actions, Incarnation, LeaseChange, LeaseConfig, Micros, Participant, Term};

const SECOND: Micros = 1_000_000;
const STEP: Micros = 20_000;
const LEASE: &str = "zones";
const WALL_MS: u64 = 1_800_000_000_000;

/// Three voters whose messages arrive at once.
struct Voters {
    now: Micros,
    participants: Vec<(Incarnation, Participant)>,
    /// The voters that acquired or lost the lease, by index, in order.
    changes: Vec<(usize, LeaseChange)>,
}

impl Voters {
    fn start() -> Voters {
        let names = ["a", "b", "c"];
        let config = LeaseConfig {
            voters: names.iter().map(|name| (*name).to_owned()).collect(),
            leases: vec![LEASE.to_owned()],
            duration: 2 * SECOND,
            least_term: 0,
        };
        let participant = |(index, name): (usize, &&str)| {
            let incarnation = Incarnation { name: (*name).to_owned(), start: 10 + index as u64 };
            let participant =
                Participant::start(0, incarnation.clone(), &config, None, index as u64).unwrap();
            (incarnation, participant)
        };
        let participants = names.iter().enumerate().map(participant).collect();
        Voters { now: 0, participants, changes: Vec::new() }
    }

    fn carry_out(&mut self, index: usize, actions: Actions) {
        self.changes.extend(actions.changes.into_iter().map(|change| (index, change)));
        let from = self.participants[index].0.clone();
        for outgoing in actions.send {
            let to = self
                .participants
                .iter()
                .position(|(incarnation, _)| incarnation.name == outgoing.to)
                .unwrap();
            let reply_actions = self.participants[to].1.receive(self.now, WALL_MS, &from, &outgoing.message);
            self.carry_out(to, reply_actions);
        }
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.participants.len() {
                let actions = self.participants[index].1.wake(self.now, WALL_MS);
                self.carry_out(index, actions);
            }
        }
    }

    fn renumber(&mut self, index: usize, start: u64) {
        self.participants[index].0.start = start;
        let actions = self.participants[index].1.renumber(self.now, start);
        self.carry_out(index, actions);
    }

    fn holders(&self) -> Vec<(usize, Term)> {
        let term = |(index, (_, participant)): (usize, &(_, Participant))| {
            Some((index, participant.may_act(self.now, LEASE)?))
        };
        self.participants.iter().enumerate().filter_map(term).collect()
    }
}

/// Guards against ballots that a renumbered process signs with its former number: the voters accepted none of
/// them.
#[test]
fn voters_accept_ballots_of_renumbered_processes() {
    let mut voters = Voters::start();
    (0..3).for_each(|index| voters.renumber(index, 100 + index as u64));
    voters.run_for(10 * SECOND);
    assert_eq!(voters.holders().len(), 1, "{:?}", voters.changes);
}

#[test]
fn a_renumbered_holder_gives_up_its_lease_and_two_never_hold_it_at_once() {
    let mut voters = Voters::start();
    voters.run_for(10 * SECOND);
    let [(holder, term)] = voters.holders()[..] else { panic!("no holder: {:?}", voters.changes) };
    voters.renumber(holder, 100);
    assert!(voters.holders().is_empty(), "a renumbered holder no longer acts");
    assert!(voters.changes.contains(&(holder, LeaseChange::Lost { lease: LEASE.to_owned(), term })));
    for _ in 0..500 {
        voters.run_for(STEP);
        let holders = voters.holders();
        assert!(holders.len() <= 1 && holders.iter().all(|&(_, later)| later > term), "{holders:?}");
    }
    assert_eq!(voters.holders().len(), 1, "{:?}", voters.changes);
}
