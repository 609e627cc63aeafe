//! What each part decides, by itself.

use aldermill_leases::{
    Agreement, Ballot, Driver, Fence, Held, Micros, Said, Taken, Tenure, Terms, Unusable, Voter, Word, frame,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const S: Micros = 1_000_000;
const LASTS: Micros = 3 * S;

fn driver(name: &str, start: u64) -> Driver {
    Driver { name: name.to_owned(), start }
}

fn said(word: Word) -> Said {
    Said { duty: "d".to_owned(), word }
}

#[test]
fn a_lease_counts_from_before_it_was_asked_for_and_ends_before_it_is_given_on() {
    let mut tenure = Tenure::granted(4, 10 * S, LASTS);
    assert_eq!(tenure.may_act(12 * S), Some(4));
    assert!(tenure.ends() < 13 * S && tenure.may_act(13 * S).is_none());
    assert!(tenure.renew_at() < 12 * S);
    tenure.renewed(11 * S);
    assert_eq!(tenure.may_act(13 * S), Some(4));
    // An answer that comes behind a later one changes nothing.
    tenure.renewed(10 * S);
    assert_eq!(tenure.may_act(13 * S), Some(4));
    // A clock that is slower by a fiftieth has not seen the end when others may, but for the margin.
    let others = LASTS;
    let own = others - others / aldermill_leases::DRIFT;
    assert!(Tenure::granted(1, 0, LASTS).may_act(own).is_none());
}

#[test]
fn a_receiver_with_a_store_takes_no_act_of_a_term_that_it_could_forget() {
    let mut fence = Fence::durable([("d".to_owned(), 3)]);
    assert_eq!(fence.receive("d", 2), Taken::No { highest: 3 });
    assert_eq!(fence.receive("d", 3), Taken::Yes);
    assert_eq!(fence.receive("d", 5), Taken::WhenKept);
    // Seen is enough to refuse what is lower; only kept is enough to take.
    assert_eq!(fence.receive("d", 3), Taken::No { highest: 5 });
    fence.kept("d", 5);
    assert_eq!(fence.receive("d", 5), Taken::Yes);
    assert_eq!(fence.receive("other", 1), Taken::WhenKept);
    assert_eq!(Fence::passing().receive("d", 1), Taken::Yes);
}

#[test]
fn a_voter_is_silent_for_one_lease_after_its_start_and_never_serves_a_lower_ballot() {
    let mut voter = Voter::start(0, LASTS, None::<Vec<(String, u64)>>);
    let (a, b) = (driver("a", 1), driver("b", 1));
    let ballot = |count, by: &Driver| Ballot { count, by: by.clone() };
    let prepare = |count, by: &Driver| said(Word::Prepare { ballot: ballot(count, by) });
    assert_eq!(voter.hear(LASTS, &a, &prepare(1, &a)), None);
    let now = 4 * S;
    let promise = |count, by: &Driver, term, held| Word::Promise { ballot: ballot(count, by), term, held };
    assert_eq!(voter.hear(now, &a, &prepare(2, &a)).unwrap().word, promise(2, &a, 0, None));
    let propose = |count, by: &Driver, term| Word::Propose { ballot: ballot(count, by), term, lasts: LASTS };
    assert_eq!(
        voter.hear(now, &b, &said(propose(1, &b, 9))).unwrap().word,
        Word::Refuse { ballot: ballot(1, &b), promised: 2 }
    );
    // Somebody else's ballot is nobody's to use.
    assert_eq!(voter.hear(now, &b, &said(propose(2, &a, 9))), None);
    let granted = voter.hear(now, &a, &said(propose(2, &a, 9))).unwrap();
    assert_eq!((granted.word, granted.once_kept), (Word::Accept { ballot: ballot(2, &a), term: 9 }, None));
    let held = Some(Held { by: a.clone(), left: LASTS - S });
    assert_eq!(voter.hear(now + S, &b, &prepare(3, &b)).unwrap().word, promise(3, &b, 9, held));
    // Another start of its holder's name is not its holder.
    let again = driver("a", 2);
    voter.hear(now + S, &again, &said(Word::LayDown { term: 9 }));
    assert!(voter.lease(now + S, "d").is_some());
    voter.hear(now + S, &a, &said(Word::LayDown { term: 9 }));
    assert!(voter.lease(now + S, "d").is_none());
}

#[test]
fn a_voter_with_a_store_grants_no_term_that_it_could_forget() {
    let mut voter = Voter::start(0, LASTS, Some([("d".to_owned(), 7)]));
    let a = driver("a", 1);
    let ballot = Ballot { count: 1, by: a.clone() };
    let now = 4 * S;
    assert!(
        voter.hear(now, &a, &said(Word::Propose { ballot: ballot.clone(), term: 6, lasts: LASTS })).is_none()
    );
    let grant = Word::Propose { ballot, term: 8, lasts: LASTS };
    assert_eq!(voter.hear(now, &a, &said(grant.clone())).unwrap().once_kept, Some(8));
    voter.kept("d", 8);
    assert_eq!(voter.hear(now, &a, &said(grant)).unwrap().once_kept, None);
    // Longer than it is silent after a start.
    let ballot = Ballot { count: 2, by: a.clone() };
    assert!(voter.hear(now, &a, &said(Word::Propose { ballot, term: 9, lasts: LASTS + 1 })).is_none());
}

#[test]
fn terms_that_cannot_be_meant_are_refused_with_what_to_do() {
    let start = |voters: &[&str], lasts| {
        let voters = voters.iter().map(|name| (*name).to_owned()).collect();
        let terms = Terms { voters, duties: vec!["d".to_owned()], lasts, least_term: 0 };
        Agreement::start(0, driver("a", 1), &terms, None, 1).map(|_| ())
    };
    assert_eq!(start(&["a", "b", "c"], LASTS), Ok(()));
    assert_eq!(start(&["a", "b"], LASTS), Err(Unusable::Voters(2)));
    assert_eq!(start(&["a", "b", "a"], LASTS), Err(Unusable::Twice("a".to_owned())));
    assert_eq!(start(&["a", "b", "c"], 1000), Err(Unusable::Short(1000)));
}

#[test]
fn words_are_read_as_they_were_written_and_nonsense_harms_nothing() {
    let ballot = Ballot { count: 1 << 40, by: driver("n7", u64::MAX) };
    let held = Some(Held { by: driver("n8", 3), left: LASTS });
    let words = [
        Word::Prepare { ballot: ballot.clone() },
        Word::Promise { ballot: ballot.clone(), term: 5, held: None },
        Word::Promise { ballot: ballot.clone(), term: 5, held },
        Word::Propose { ballot: ballot.clone(), term: 6, lasts: LASTS },
        Word::Accept { ballot: ballot.clone(), term: 6 },
        Word::Refuse { ballot, promised: 9 },
        Word::LayDown { term: 6 },
    ];
    for word in words {
        let bytes = frame::encode(&said(word.clone()));
        assert_eq!(frame::decode(&bytes), Ok(said(word.clone())));
        for end in 0..bytes.len() {
            // A promise without its holder is whole as well.
            let cut = frame::decode(&bytes[..end]);
            assert!(cut.is_err() || matches!(cut.unwrap().word, Word::Promise { held: None, .. }));
        }
    }
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..90), |bytes| {
            if let Ok(said) = frame::decode(&bytes) {
                let mut voter = Voter::start(-10 * S, LASTS, None::<Vec<(String, u64)>>);
                voter.hear(0, &driver("a", 1), &said);
            }
            Ok(())
        })
        .unwrap();
}
