//! What each part decides, by itself.

use aldermill_leases::{
    Ballot, CLOCK_DRIFT, ConfigError, Fence, FenceDecision, HeldLease, Incarnation, LeaseConfig, Message,
    Micros, OutstandingLease, Participant, Payload, Voter, frame,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const S: Micros = 1_000_000;
const LASTS: Micros = 3 * S;

fn incarnation(name: &str, start: u64) -> Incarnation {
    Incarnation { name: name.to_owned(), start }
}

fn message(payload: Payload) -> Message {
    Message { lease: "d".to_owned(), payload }
}

#[test]
fn a_lease_counts_from_before_it_was_asked_for_and_ends_before_it_is_given_on() {
    let mut lease = HeldLease::granted(4, 10 * S, LASTS);
    assert_eq!(lease.may_act(12 * S), Some(4));
    assert!(lease.expires_at() < 13 * S && lease.may_act(13 * S).is_none());
    assert!(lease.renew_at() < 12 * S);
    lease.renew(11 * S);
    assert_eq!(lease.may_act(13 * S), Some(4));
    // An answer that comes behind a later one changes nothing.
    lease.renew(10 * S);
    assert_eq!(lease.may_act(13 * S), Some(4));
    // A clock that is slower by a fiftieth has not seen the end when others may, but for the margin.
    let others = LASTS;
    let own = others - others / CLOCK_DRIFT;
    assert!(HeldLease::granted(1, 0, LASTS).may_act(own).is_none());
}

#[test]
fn a_receiver_with_a_store_takes_no_act_of_a_term_that_it_could_forget() {
    let mut fence = Fence::durable([("d".to_owned(), 3)]);
    assert_eq!(fence.receive("d", 2), FenceDecision::Stale { highest: 3 });
    assert_eq!(fence.receive("d", 3), FenceDecision::Accept);
    assert_eq!(fence.receive("d", 5), FenceDecision::PersistFirst);
    // Seen is enough to refuse what is lower; only kept is enough to take.
    assert_eq!(fence.receive("d", 3), FenceDecision::Stale { highest: 5 });
    fence.persisted("d", 5);
    assert_eq!(fence.receive("d", 5), FenceDecision::Accept);
    assert_eq!(fence.receive("other", 1), FenceDecision::PersistFirst);
    assert_eq!(Fence::volatile().receive("d", 1), FenceDecision::Accept);
}

#[test]
fn a_voter_is_silent_for_one_lease_after_its_start_and_never_serves_a_lower_ballot() {
    let mut voter = Voter::start(0, LASTS, None::<Vec<(String, u64)>>);
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let ballot = |number, by: &Incarnation| Ballot { number, candidate: by.clone() };
    let prepare = |count, by: &Incarnation| message(Payload::Prepare { ballot: ballot(count, by) });
    assert_eq!(voter.receive(LASTS, &a, &prepare(1, &a)), None);
    let now = 4 * S;
    let promise = |count, by: &Incarnation, term, outstanding| Payload::Promise {
        ballot: ballot(count, by),
        term,
        outstanding,
    };
    assert_eq!(voter.receive(now, &a, &prepare(2, &a)).unwrap().payload, promise(2, &a, 0, None));
    let propose =
        |count, by: &Incarnation, term| Payload::Propose { ballot: ballot(count, by), term, duration: LASTS };
    assert_eq!(
        voter.receive(now, &b, &message(propose(1, &b, 9))).unwrap().payload,
        Payload::Reject { ballot: ballot(1, &b), promised: 2 }
    );
    // Somebody else's ballot is nobody's to use.
    assert_eq!(voter.receive(now, &b, &message(propose(2, &a, 9))), None);
    let granted = voter.receive(now, &a, &message(propose(2, &a, 9))).unwrap();
    assert_eq!(
        (granted.payload, granted.once_persisted),
        (Payload::Accept { ballot: ballot(2, &a), term: 9 }, None)
    );
    let outstanding = Some(OutstandingLease { holder: a.clone(), remaining: LASTS - S });
    assert_eq!(voter.receive(now + S, &b, &prepare(3, &b)).unwrap().payload, promise(3, &b, 9, outstanding));
    // Another start of its holder's name is not its holder.
    let again = incarnation("a", 2);
    voter.receive(now + S, &again, &message(Payload::Release { term: 9 }));
    assert!(voter.granted(now + S, "d").is_some());
    voter.receive(now + S, &a, &message(Payload::Release { term: 9 }));
    assert!(voter.granted(now + S, "d").is_none());
}

#[test]
fn a_voter_with_a_store_grants_no_term_that_it_could_forget() {
    let mut voter = Voter::start(0, LASTS, Some([("d".to_owned(), 7)]));
    let a = incarnation("a", 1);
    let ballot = Ballot { number: 1, candidate: a.clone() };
    let now = 4 * S;
    assert!(
        voter
            .receive(now, &a, &message(Payload::Propose { ballot: ballot.clone(), term: 6, duration: LASTS }))
            .is_none()
    );
    let grant = Payload::Propose { ballot, term: 8, duration: LASTS };
    assert_eq!(voter.receive(now, &a, &message(grant.clone())).unwrap().once_persisted, Some(8));
    voter.persisted("d", 8);
    assert_eq!(voter.receive(now, &a, &message(grant)).unwrap().once_persisted, None);
    // Longer than it is silent after a start.
    let ballot = Ballot { number: 2, candidate: a.clone() };
    assert!(
        voter.receive(now, &a, &message(Payload::Propose { ballot, term: 9, duration: LASTS + 1 })).is_none()
    );
}

#[test]
fn a_configuration_that_cannot_work_is_refused_with_what_to_do() {
    let start = |voters: &[&str], duration| {
        let voters = voters.iter().map(|name| (*name).to_owned()).collect();
        let config = LeaseConfig { voters, leases: vec!["d".to_owned()], duration, least_term: 0 };
        Participant::start(0, incarnation("a", 1), &config, None, 1).map(|_| ())
    };
    assert_eq!(start(&["a", "b", "c"], LASTS), Ok(()));
    assert_eq!(start(&["a", "b"], LASTS), Err(ConfigError::VoterCount(2)));
    assert_eq!(start(&["a", "b", "a"], LASTS), Err(ConfigError::DuplicateVoter("a".to_owned())));
    assert_eq!(start(&["a", "b", "c"], 1000), Err(ConfigError::TooShort(1000)));
}

#[test]
fn messages_are_read_as_they_were_written_and_nonsense_harms_nothing() {
    let ballot = Ballot { number: 1 << 40, candidate: incarnation("n7", u64::MAX) };
    let outstanding = Some(OutstandingLease { holder: incarnation("n8", 3), remaining: LASTS });
    let payloads = [
        Payload::Prepare { ballot: ballot.clone() },
        Payload::Promise { ballot: ballot.clone(), term: 5, outstanding: None },
        Payload::Promise { ballot: ballot.clone(), term: 5, outstanding },
        Payload::Propose { ballot: ballot.clone(), term: 6, duration: LASTS },
        Payload::Accept { ballot: ballot.clone(), term: 6 },
        Payload::Reject { ballot, promised: 9 },
        Payload::Release { term: 6 },
    ];
    for payload in payloads {
        let bytes = frame::encode(&message(payload.clone()));
        assert_eq!(frame::decode(&bytes), Ok(message(payload.clone())));
        for end in 0..bytes.len() {
            // A promise without its holder is whole as well.
            let cut = frame::decode(&bytes[..end]);
            assert!(
                cut.is_err() || matches!(cut.unwrap().payload, Payload::Promise { outstanding: None, .. })
            );
        }
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..90), |bytes| {
            if let Ok(message) = frame::decode(&bytes) {
                let mut voter = Voter::start(-10 * S, LASTS, None::<Vec<(String, u64)>>);
                voter.receive(0, &incarnation("a", 1), &message);
            }
            Ok(())
        })
        .unwrap();
}
