//! What each part decides, by itself.

use std::collections::BTreeMap;

use aldermill_duties::{
    Candidates, Fence, Free, Grants, Micros, Order, Outcome, Standing, Taken, Tenure, Term, Voters, Warden,
};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const S: Micros = 1_000_000;
const LASTS: Micros = 3 * S;

fn pass(duty: &str, to: &str, after: Term) -> Order {
    Order::Pass { duty: duty.to_owned(), to: to.to_owned(), lasts: LASTS, after }
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
    let own = others - others / aldermill_duties::DRIFT;
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
fn a_duty_that_is_held_passes_on_only_after_its_lease_or_when_it_is_laid_down() {
    let (mut grants, mut warden) = (Grants::default(), Warden::start(0));
    assert_eq!(warden.is_free(&grants, S, "d"), Free::Now { after: 0 });
    assert_eq!(grants.apply(pass("d", "a", 0)), Outcome::Granted(1));
    warden.passed(S, "d", 1);
    assert_eq!(warden.is_free(&grants, 2 * S, "d"), Free::Later(S + LASTS));
    assert!(warden.renews(&grants, 3 * S, "d", "a", 1));
    assert!(!warden.renews(&grants, 3 * S, "d", "b", 1) && !warden.renews(&grants, 3 * S, "d", "a", 2));
    assert_eq!(warden.is_free(&grants, 5 * S, "d"), Free::Later(6 * S));
    // One that has just begun to lead knows of no renewal and waits for a whole lease.
    let mut next = Warden::start(5 * S);
    assert_eq!(next.is_free(&grants, 5 * S, "d"), Free::Later(8 * S));
    assert_eq!(warden.is_free(&grants, 6 * S, "d"), Free::Now { after: 1 });
    assert!(!warden.renews(&grants, 6 * S, "d", "a", 1), "the order to pass it on may be on its way");
    // Two orders under one term: the first counts.
    assert_eq!(grants.apply(pass("d", "b", 1)), Outcome::Granted(2));
    assert_eq!(grants.apply(pass("d", "c", 1)), Outcome::Void);
    assert_eq!(grants.apply(Order::LayDown { duty: "d".to_owned(), term: 1 }), Outcome::Void);
    assert_eq!(grants.apply(Order::LayDown { duty: "d".to_owned(), term: 2 }), Outcome::LaidDown);
    assert_eq!(next.is_free(&grants, 5 * S, "d"), Free::Now { after: 2 });
    // An operator's word after a majority was lost: higher, or it is not taken.
    assert_eq!(grants.apply(Order::Recover { duty: "d".to_owned(), term: 2 }), Outcome::Void);
    assert_eq!(grants.apply(Order::Recover { duty: "d".to_owned(), term: 9 }), Outcome::Recovered);
    assert_eq!(grants.apply(pass("d", "a", 9)), Outcome::Granted(10));
}

#[test]
fn a_voter_that_lost_its_state_learns_until_a_majority_of_the_others_takes_it_in() {
    let mut voters = Voters::of(["u", "v", "w"].map(|name| (name.to_owned(), 1)));
    assert_eq!(voters.standing("u", 2), Standing::Learns);
    assert_eq!(voters.standing("x", 1), Standing::Stranger);
    assert!(!voters.agree([("u", 2), ("v", 1)]) && !voters.agree([("v", 1), ("v", 1)]));
    assert!(!voters.take_in("u", 2, [("u", 2), ("v", 1)]), "its own word does not count");
    assert!(voters.take_in("u", 2, [("v", 1), ("w", 1)]));
    assert_eq!((voters.standing("u", 2), voters.standing("u", 1)), (Standing::Votes, Standing::Learns));
    assert_eq!(voters.epoch(), 1);
    // A majority's loss is told, never guessed over.
    assert!(!voters.is_lost([("u", 2), ("v", 7)]));
    assert!(voters.is_lost([("u", 8), ("v", 7)]));
    assert!(!voters.take_in("u", 8, [("v", 7), ("w", 1)]));
}

#[test]
fn duties_are_spread_and_one_that_loses_them_is_held_back_for_growing_times() {
    let (mut grants, mut candidates) = (Grants::default(), Candidates::default());
    ["a", "b", "c", "d"].into_iter().for_each(|name| candidates.heard(name, name != "d"));
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for duty in ["one", "two", "three", "four", "five", "six"] {
        let to = candidates.choose(0, &grants, duty).expect("some are able").to_owned();
        grants.apply(pass(duty, &to, 0));
        *held.entry(to).or_default() += 1;
    }
    assert_eq!(held.into_values().collect::<Vec<_>>(), [2, 2, 2], "one that is not able has none");
    let mut rest = Vec::new();
    for loss in 0..9 {
        let now = loss * 20 * S;
        candidates.lost_one(now, "a");
        rest.push((candidates.held_back_until("a") - now) / S);
    }
    assert_eq!(rest, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    let now = 8 * 20 * S + 1;
    assert!((0..20).all(|duty| candidates.choose(now, &grants, &duty.to_string()) != Some("a")));
    ["b", "c"].into_iter().for_each(|name| candidates.gone(name));
    assert_eq!(candidates.choose(now, &grants, "one"), Some("a"), "where nobody else is able");
}

/// Holders, receivers with stores and leaders as they come; after every step no act is taken out of the order of terms.
#[test]
fn no_act_is_taken_out_of_order_whoever_leads_stands_still_or_starts_again() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let limits = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..10, 0usize..3, 1i64..2_000), 20..200);
    TestRunner::new_with_rng(limits, rng)
        .run(&steps, |steps| {
            let names = ["a", "b", "c"];
            let (mut now, mut grants, mut warden) = (0, Grants::default(), Warden::start(0));
            let mut tenures: [Option<Tenure>; 3] = [None; 3];
            // Acts on their way; what stood between a look and its act is among them.
            let mut acts: Vec<Term> = Vec::new();
            let mut store: BTreeMap<String, Term> = BTreeMap::new();
            let mut fence = Fence::durable([]);
            let (mut last, mut by_term) = (0, BTreeMap::new());
            for (kind, of, time) in steps {
                match kind {
                    0 | 1 => now += time * 1_000,
                    2 => {
                        if let Free::Now { after } = warden.is_free(&grants, now, "d") {
                            // The answer took its time: the lease counts from when it was asked for.
                            if grants.apply(pass("d", names[of], after)) == Outcome::Granted(after + 1) {
                                warden.passed(now, "d", after + 1);
                                tenures[of] = Some(Tenure::granted(after + 1, now - time * 100, LASTS));
                                assert!(by_term.insert(after + 1, of).is_none(), "a term has one holder");
                            }
                        }
                    }
                    3 => {
                        if let Some(tenure) = &mut tenures[of]
                            && warden.renews(&grants, now, "d", names[of], tenure.term())
                        {
                            tenure.renewed(now - time * 100);
                        }
                    }
                    4 | 5 => acts.extend(tenures[of].and_then(|tenure| tenure.may_act(now))),
                    6 if !acts.is_empty() => {
                        let term = acts[of % acts.len()];
                        match fence.receive("d", term) {
                            Taken::Yes => {
                                assert!(term >= last, "a term fell: {term} behind {last}");
                                last = term;
                            }
                            Taken::WhenKept => {
                                store.insert("d".to_owned(), term);
                                fence.kept("d", term);
                            }
                            Taken::No { highest } => assert!(highest > term),
                        }
                    }
                    7 => warden = Warden::start(now),
                    // The receiver starts again with what it kept.
                    8 => fence = Fence::durable(store.clone()),
                    _ => {
                        if let Some(tenure) = tenures[of].take() {
                            grants.apply(Order::LayDown { duty: "d".to_owned(), term: tenure.term() });
                        }
                    }
                }
                let acting = tenures.iter().flatten().filter(|tenure| tenure.may_act(now).is_some());
                assert!(acting.count() <= 1, "two may act");
            }
            Ok(())
        })
        .unwrap();
}
