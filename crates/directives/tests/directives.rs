//! Directives and reports among many processes in virtual time, over a network that delays, loses, doubles and reorders.

use aldermill_directives::frame::{self, Message};
use aldermill_directives::{
    Acceptance, DigestEntry, Directive, DirectiveStore, KnownHolder, Micros, Report, Reporter, Reports,
    Topic, Version,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;

fn directive(term: u64, number: u64, remaining: Micros) -> Directive {
    Directive {
        topic: Topic::new("d", "g"),
        version: Version { term, number },
        issuer: format!("n{term}"),
        remaining,
        body: vec![number as u8],
    }
}

#[test]
fn the_highest_counts_whatever_comes_late_doubled_or_out_of_order() {
    let mut store = DirectiveStore::default();
    assert_eq!(store.receive(0, 0, directive(2, 3, 6 * S)), Acceptance::New);
    assert_eq!(store.receive(0, 0, directive(2, 3, 6 * S)), Acceptance::AlreadyKnown);
    assert_eq!(store.receive(0, 0, directive(2, 1, 6 * S)), Acceptance::AlreadyKnown);
    assert_eq!(store.receive(0, 0, directive(1, 9, 6 * S)), Acceptance::Superseded);
    // One that lay unread while the process stood still.
    assert_eq!(store.receive(0, 7 * S, directive(2, 4, 6 * S)), Acceptance::Expired);
    assert_eq!(store.receive(0, 0, directive(3, 1, S)), Acceptance::New);
    assert_eq!(store.holder(0, "d"), Some(KnownHolder { name: "n3", term: 3 }));
    assert_eq!(store.in_force(0, &Topic::new("d", "g")), Some(&[1][..]));
    // It runs out, and an old one does not come back in its place.
    assert_eq!(store.in_force(S, &Topic::new("d", "g")), None);
    assert_eq!(store.receive(2 * S, 0, directive(2, 8, 60 * S)), Acceptance::Superseded);
    assert_eq!(store.receive(2 * S, 0, directive(3, 1, 60 * S)), Acceptance::AlreadyKnown);
    // A subject that it has nothing on is bound by the duty's term all the same.
    let other = Directive { topic: Topic::new("d", "h"), ..directive(2, 1, S) };
    assert_eq!(store.receive(2 * S, 0, other), Acceptance::Superseded);
    assert!(store.issue(2 * S, Topic::new("d", "g"), 2, "x", S, vec![]).is_none());
    assert_eq!(
        store.issue(2 * S, Topic::new("d", "g"), 3, "x", S, vec![]).map(|directive| directive.version.number),
        Some(2)
    );
}

#[test]
fn a_start_with_a_store_takes_no_older_one_than_the_start_before() {
    let mut store = DirectiveStore::restored([(Topic::new("d", "g"), Version { term: 4, number: 7 })]);
    assert_eq!(store.receive(0, 0, directive(3, 9, S)), Acceptance::Superseded);
    assert_eq!(store.receive(0, 0, directive(4, 7, S)), Acceptance::AlreadyKnown);
    assert_eq!(store.receive(0, 0, directive(4, 8, S)), Acceptance::New);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut store = DirectiveStore::default();
    let topic = |at: usize| Topic::new("d", &at.to_string());
    for at in 0..300 {
        let heard = store.receive(0, 0, Directive { topic: topic(at), ..directive(1, 1, S) });
        assert_eq!(heard, if at < 96 { Acceptance::New } else { Acceptance::NoCapacity });
    }
    assert_eq!(
        store.receive(2 * S, 0, Directive { topic: topic(200), ..directive(1, 1, S) }),
        Acceptance::New
    );
    assert_eq!(
        store.receive(2 * S, 0, Directive { body: vec![0; 901], ..directive(1, 9, S) }),
        Acceptance::NoCapacity
    );
    let mut reporter = Reporter::default();
    (0..300).for_each(|at| reporter.put(topic(at), vec![0]));
    let sent: Vec<Report> = (0..1000).filter_map(|at| reporter.next(at * S / 10)).collect();
    assert_eq!(sent.len(), 64, "one a second, each once");
}

#[test]
fn a_lease_with_much_to_tell_keeps_no_other_waiting() {
    let mut reporter = Reporter::default();
    (0..9).for_each(|at| reporter.put(Topic::new("many", &at.to_string()), vec![]));
    let mut sent = Vec::new();
    for second in 0..10 {
        reporter.put(Topic::new("one", "0"), vec![]);
        sent.extend(reporter.next(second * S).map(|report| report.topic));
    }
    assert_eq!(sent.iter().filter(|topic| topic.lease == "one").count(), 5, "{sent:?}");
    let many: Vec<&str> =
        sent.iter().filter(|topic| topic.lease == "many").map(|topic| &*topic.subject).collect();
    assert_eq!(many, ["0", "1", "2", "3", "4"]);
}

#[test]
fn a_report_counts_once_and_one_of_an_earlier_start_not_at_all() {
    let mut reports = Reports::default();
    let report = |number, body| Report { topic: Topic::new("d", "z"), number, body: vec![body] };
    assert!(reports.receive(0, 0, "a", 5, report(2, 20)));
    assert!(!reports.receive(0, 0, "a", 5, report(2, 20)) && !reports.receive(0, 0, "a", 5, report(1, 10)));
    assert!(!reports.receive(0, 0, "a", 4, report(9, 90)));
    assert!(reports.receive(S, 0, "a", 6, report(1, 30)), "a new start counts anew");
    let told = |reports: &Reports, now| -> Vec<u8> {
        reports.recent(now, 2 * S, "d").map(|report| report.body[0]).collect()
    };
    assert_eq!(told(&reports, 2 * S), [30]);
    assert!(told(&reports, 4 * S).is_empty(), "who is not heard is missing");
    reports.forget("a");
    assert!(told(&reports, S).is_empty());
}

#[test]
fn what_is_written_is_read_and_nonsense_harms_nothing() {
    let all: Vec<Directive> =
        (0..40).map(|at| Directive { body: vec![7; at * 20], ..directive(1, at as u64, S) }).collect();
    let packed = frame::encode_directives(&all);
    assert!(packed.iter().all(|message| message.len() <= frame::LONGEST_MESSAGE + 200));
    let read: Vec<Directive> = packed
        .iter()
        .flat_map(|message| match frame::decode(message) {
            Ok(Message::Directives(directives)) => directives,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(read, all);
    let entries = vec![DigestEntry { topic: Topic::new("d", "g"), version: Version { term: 3, number: 4 } }];
    let digest = Message::Digest { entries: entries.clone(), is_answer: true };
    assert_eq!(frame::decode(&frame::encode_digest(&entries, true)[0]), Ok(digest));
    let report = Report { topic: Topic::new("d", "g"), number: 3, body: vec![1, 2] };
    assert_eq!(frame::decode(&frame::encode_report(&report)), Ok(Message::Report(report)));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            if let Ok(Message::Directives(directives)) = frame::decode(&bytes) {
                let mut store = DirectiveStore::default();
                for directive in directives {
                    store.receive(0, 0, directive);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Forty drivers, news passed on to three, digests compared with one each second; some are cut off for a while. Each takes
/// what it takes in order, and all have the last one within seconds of the cut's end.
#[test]
#[allow(clippy::too_many_lines, reason = "one history of a superseded holder, step by step")]
fn all_drivers_come_to_have_the_same_in_order_although_datagrams_are_lost() {
    const DRIVERS: usize = 40;
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut stores = vec![DirectiveStore::default(); DRIVERS];
        let mut taken: Vec<Vec<Version>> = vec![Vec::new(); DRIVERS];
        let mut under_way: Vec<(Micros, usize, usize, Vec<u8>)> = Vec::new();
        let topic = Topic::new("d", "g");
        let (mut term, mut holder) = (1, 0);
        let cut: Vec<bool> = (0..DRIVERS).map(|_| rng.random_bool(0.3)).collect();
        for step in 0..400 {
            let now = step * S / 20;
            let divided = (100..220).contains(&step);
            let mut send: Vec<(usize, usize, Vec<u8>)> = Vec::new();
            if step % 40 == 0 && step <= 320 {
                if rng.random_bool(0.3) {
                    (term, holder) = (term + 1, rng.random_range(0..DRIVERS));
                }
                // One that was overtaken, and has not heard of it, goes on for a while.
                for (by, term) in [(holder, term), (rng.random_range(0..DRIVERS), term - 1)] {
                    let issued =
                        (term > 0).then(|| stores[by].issue(now, topic.clone(), term, "n", 6 * S, vec![]));
                    if let Some(issued) = issued.flatten() {
                        taken[by].push(issued.version);
                        let message = frame::encode_directives(&[issued]).remove(0);
                        (0..3).for_each(|_| send.push((by, rng.random_range(0..DRIVERS), message.clone())));
                    }
                }
            }
            if step % 20 == 0 {
                for (from, store) in stores.iter().enumerate() {
                    let to = rng.random_range(0..DRIVERS);
                    frame::encode_digest(&store.digest(now), false)
                        .into_iter()
                        .for_each(|of| send.push((from, to, of)));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = under_way.into_iter().partition(|(at, ..)| *at <= now);
            under_way = later;
            for (_, from, to, message) in due {
                match frame::decode(&message).unwrap() {
                    Message::Directives(directives) => {
                        for directive in directives {
                            let version = directive.version;
                            let mut again = directive.clone();
                            if stores[to].receive(now, 0, directive) == Acceptance::New {
                                taken[to].push(version);
                                again.remaining -= S / 20;
                                let message = frame::encode_directives(&[again]).remove(0);
                                (0..3).for_each(|_| {
                                    send.push((to, rng.random_range(0..DRIVERS), message.clone()))
                                });
                            }
                        }
                    }
                    Message::Digest { entries, is_answer } => {
                        let lacks = stores[to].missing_from(now, &entries);
                        if !lacks.is_empty() {
                            frame::encode_directives(&lacks)
                                .into_iter()
                                .for_each(|of| send.push((to, from, of)));
                        }
                        if !is_answer && stores[to].is_behind(&entries) {
                            let own = frame::encode_digest(&stores[to].digest(now), true);
                            own.into_iter().for_each(|of| send.push((to, from, of)));
                        }
                    }
                    Message::Report(_) => unreachable!(),
                }
            }
            for (from, to, message) in send {
                let copies = 1 + usize::from(rng.random_bool(0.1));
                for _ in 0..copies {
                    let way = if rng.random_bool(0.1) { 2 * S } else { S / 20 };
                    if !(rng.random_bool(0.1) || divided && cut[from] != cut[to]) {
                        under_way.push((now + way, from, to, message.clone()));
                    }
                }
            }
        }
        for (driver, taken) in taken.iter().enumerate() {
            assert!(taken.windows(2).all(|pair| pair[0] < pair[1]), "n{driver}: {taken:?}");
        }
        let last = taken.iter().flatten().max().unwrap();
        let have =
            taken.iter().filter(|taken| taken.last().is_some_and(|have| have.term == last.term)).count();
        assert!(have == DRIVERS, "{have} of {DRIVERS} know of term {}, seed {seed}", last.term);
    }
}
