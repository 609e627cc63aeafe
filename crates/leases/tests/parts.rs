//! Tests of the individual parts: held leases, the fence, the voter, the configuration and the encoding.

use aldermill_leases::{
    Ballot, CLOCK_DRIFT_DIVISOR, ConfigError, Fence, FenceDecision, HeldLease, Incarnation, LeaseConfig,
    Message, Micros, OutstandingLease, Participant, Payload, Voter, frame,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SECOND: Micros = 1_000_000;
const LEASE_DURATION: Micros = 3 * SECOND;

fn incarnation(name: &str, start: u64) -> Incarnation {
    Incarnation { name: name.to_owned(), start }
}

fn message(payload: Payload) -> Message {
    Message { lease: "d".to_owned(), payload }
}

#[test]
fn a_lease_counts_from_its_request_and_expires_at_its_holder_before_others_may_hold_it() {
    let mut lease = HeldLease::granted(4, 10 * SECOND, LEASE_DURATION);
    assert_eq!(lease.may_act(12 * SECOND), Some(4));
    assert!(lease.expires_at() < 13 * SECOND && lease.may_act(13 * SECOND).is_none());
    assert!(lease.renew_at() < 12 * SECOND);
    lease.renew(11 * SECOND);
    assert_eq!(lease.may_act(13 * SECOND), Some(4));
    // A reply to an earlier request has no effect.
    lease.renew(10 * SECOND);
    assert_eq!(lease.may_act(13 * SECOND), Some(4));
    // At the end of the lease by the voters' clock, a holder's clock that is slower by one part in
    // `CLOCK_DRIFT_DIVISOR` has not reached it: only the margin makes the holder stop in time.
    let voters_clock = LEASE_DURATION;
    let holders_clock = voters_clock - voters_clock / CLOCK_DRIFT_DIVISOR;
    assert!(HeldLease::granted(1, 0, LEASE_DURATION).may_act(holders_clock).is_none());
}

#[test]
fn a_durable_fence_accepts_no_operation_under_an_unpersisted_term() {
    let mut fence = Fence::durable([("d".to_owned(), 3)]);
    assert_eq!(fence.admit("d", 2), FenceDecision::Stale { highest_term: 3 });
    assert_eq!(fence.admit("d", 3), FenceDecision::Accept);
    assert_eq!(fence.admit("d", 5), FenceDecision::PersistFirst);
    // A term that was only seen is enough to reject lower ones; a term is accepted only once it is persisted.
    assert_eq!(fence.admit("d", 3), FenceDecision::Stale { highest_term: 5 });
    fence.persisted("d", 5);
    assert_eq!(fence.admit("d", 5), FenceDecision::Accept);
    assert_eq!(fence.admit("other", 1), FenceDecision::PersistFirst);
    assert_eq!(Fence::volatile().admit("d", 1), FenceDecision::Accept);
}

#[test]
fn a_voter_is_silent_for_one_lease_duration_after_its_start_and_rejects_lower_ballots() {
    let mut voter = Voter::start(0, LEASE_DURATION, None::<Vec<(String, u64)>>);
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let ballot = |number, candidate: &Incarnation| Ballot { number, candidate: candidate.clone() };
    let prepare =
        |number, candidate: &Incarnation| message(Payload::Prepare { ballot: ballot(number, candidate) });
    assert_eq!(voter.receive(LEASE_DURATION, &a, &prepare(1, &a)), None);
    let now = 4 * SECOND;
    let promise = |number, candidate: &Incarnation, term, outstanding| Payload::Promise {
        ballot: ballot(number, candidate),
        term,
        outstanding,
    };
    assert_eq!(voter.receive(now, &a, &prepare(2, &a)).unwrap().payload, promise(2, &a, 0, None));
    let propose = |number, candidate: &Incarnation, term| Payload::Propose {
        ballot: ballot(number, candidate),
        term,
        duration: LEASE_DURATION,
    };
    assert_eq!(
        voter.receive(now, &b, &message(propose(1, &b, 9))).unwrap().payload,
        Payload::Reject { ballot: ballot(1, &b), promised: 2 }
    );
    // A ballot is valid only from the candidate that it names.
    assert_eq!(voter.receive(now, &b, &message(propose(2, &a, 9))), None);
    let granted = voter.receive(now, &a, &message(propose(2, &a, 9))).unwrap();
    assert_eq!(
        (granted.payload, granted.once_persisted),
        (Payload::Accept { ballot: ballot(2, &a), term: 9 }, None)
    );
    let outstanding = Some(OutstandingLease { holder: a.clone(), remaining: LEASE_DURATION - SECOND });
    assert_eq!(
        voter.receive(now + SECOND, &b, &prepare(3, &b)).unwrap().payload,
        promise(3, &b, 9, outstanding)
    );
    // A later start of the holder's name is not the holder, and cannot release its lease.
    let restarted = incarnation("a", 2);
    voter.receive(now + SECOND, &restarted, &message(Payload::Release { term: 9 }));
    assert!(voter.granted(now + SECOND, "d").is_some());
    voter.receive(now + SECOND, &a, &message(Payload::Release { term: 9 }));
    assert!(voter.granted(now + SECOND, "d").is_none());
}

#[test]
fn a_durable_voter_persists_a_term_before_it_replies_and_refuses_lower_terms() {
    let mut voter = Voter::start(0, LEASE_DURATION, Some([("d".to_owned(), 7)]));
    let a = incarnation("a", 1);
    let ballot = Ballot { number: 1, candidate: a.clone() };
    let now = 4 * SECOND;
    assert!(
        voter
            .receive(
                now,
                &a,
                &message(Payload::Propose { ballot: ballot.clone(), term: 6, duration: LEASE_DURATION })
            )
            .is_none()
    );
    let grant = Payload::Propose { ballot, term: 8, duration: LEASE_DURATION };
    assert_eq!(voter.receive(now, &a, &message(grant.clone())).unwrap().once_persisted, Some(8));
    voter.persisted("d", 8);
    assert_eq!(voter.receive(now, &a, &message(grant)).unwrap().once_persisted, None);
    // A lease that is longer than the voter's silence after a start is refused.
    let ballot = Ballot { number: 2, candidate: a.clone() };
    assert!(
        voter
            .receive(now, &a, &message(Payload::Propose { ballot, term: 9, duration: LEASE_DURATION + 1 }))
            .is_none()
    );
}

#[test]
fn an_invalid_configuration_is_rejected_with_its_cause() {
    let start = |voters: &[&str], duration| {
        let voters = voters.iter().map(|name| (*name).to_owned()).collect();
        let config = LeaseConfig { voters, leases: vec!["d".to_owned()], duration, least_term: 0 };
        Participant::start(0, incarnation("a", 1), &config, None, 1).map(|_| ())
    };
    assert_eq!(start(&["a", "b", "c"], LEASE_DURATION), Ok(()));
    assert_eq!(start(&["a", "b"], LEASE_DURATION), Err(ConfigError::VoterCount(2)));
    assert_eq!(start(&["a", "b", "a"], LEASE_DURATION), Err(ConfigError::DuplicateVoter("a".to_owned())));
    assert_eq!(start(&["a", "b", "c"], 1000), Err(ConfigError::TooShort(1000)));
}

#[test]
fn messages_decode_as_encoded_and_arbitrary_bytes_do_no_harm() {
    let ballot = Ballot { number: 1 << 40, candidate: incarnation("n7", u64::MAX) };
    let outstanding = Some(OutstandingLease { holder: incarnation("n8", 3), remaining: LEASE_DURATION });
    let payloads = [
        Payload::Prepare { ballot: ballot.clone() },
        Payload::Promise { ballot: ballot.clone(), term: 5, outstanding: None },
        Payload::Promise { ballot: ballot.clone(), term: 5, outstanding },
        Payload::Propose { ballot: ballot.clone(), term: 6, duration: LEASE_DURATION },
        Payload::Accept { ballot: ballot.clone(), term: 6 },
        Payload::Reject { ballot, promised: 9 },
        Payload::Release { term: 6 },
    ];
    for payload in payloads {
        let bytes = frame::encode(&message(payload.clone()));
        assert_eq!(frame::decode(&bytes), Ok(message(payload.clone())));
        for end in 0..bytes.len() {
            // A promise that ends after its term is complete: it has no outstanding lease.
            let decoded = frame::decode(&bytes[..end]);
            assert!(
                decoded.is_err()
                    || matches!(decoded.unwrap().payload, Payload::Promise { outstanding: None, .. })
            );
        }
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(any::<u8>(), 0..90), |bytes| {
            if let Ok(message) = frame::decode(&bytes) {
                let mut voter = Voter::start(-10 * SECOND, LEASE_DURATION, None::<Vec<(String, u64)>>);
                voter.receive(0, &incarnation("a", 1), &message);
            }
            Ok(())
        })
        .unwrap();
}
