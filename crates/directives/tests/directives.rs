//! Tests of directives and reports. The last runs a fleet of proxies in virtual time, over a network that delays,
//! loses, duplicates and reorders datagrams.

use aldermill_directives::frame::{self, Message};
use aldermill_directives::{
    DigestEntry, Directive, DirectiveStore, KnownHolder, Micros, ReceiveOutcome, Report, Reporter, Reports,
    Topic, Version,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;

fn test_directive(term: u64, number: u64, remaining: Micros) -> Directive {
    Directive {
        topic: Topic::new("d", "g"),
        version: Version { term, number },
        issuer: format!("n{term}"),
        remaining,
        body: vec![number as u8],
    }
}

#[test]
fn late_duplicate_and_reordered_directives_never_replace_a_higher_version() {
    let mut store = DirectiveStore::default();
    assert_eq!(store.receive(0, 0, test_directive(2, 3, 6 * SECOND)), ReceiveOutcome::New);
    assert_eq!(store.receive(0, 0, test_directive(2, 3, 6 * SECOND)), ReceiveOutcome::AlreadyKnown);
    assert_eq!(store.receive(0, 0, test_directive(2, 1, 6 * SECOND)), ReceiveOutcome::AlreadyKnown);
    assert_eq!(store.receive(0, 0, test_directive(1, 9, 6 * SECOND)), ReceiveOutcome::Superseded);
    // This directive waited unread for longer than its lifetime, as after a stall of the process.
    assert_eq!(store.receive(0, 7 * SECOND, test_directive(2, 4, 6 * SECOND)), ReceiveOutcome::Expired);
    assert_eq!(store.receive(0, 0, test_directive(3, 1, SECOND)), ReceiveOutcome::New);
    assert_eq!(store.holder(0, "d"), Some(KnownHolder { name: "n3", term: 3 }));
    assert_eq!(store.in_force(0, &Topic::new("d", "g")), Some(&[1][..]));
    // Once it has expired, neither an older directive nor the same one takes its place.
    assert_eq!(store.in_force(SECOND, &Topic::new("d", "g")), None);
    assert_eq!(store.receive(2 * SECOND, 0, test_directive(2, 8, 60 * SECOND)), ReceiveOutcome::Superseded);
    assert_eq!(store.receive(2 * SECOND, 0, test_directive(3, 1, 60 * SECOND)), ReceiveOutcome::AlreadyKnown);
    // The highest term of the lease also applies to a subject without any directive.
    let other_topic = Directive { topic: Topic::new("d", "h"), ..test_directive(2, 1, SECOND) };
    assert_eq!(store.receive(2 * SECOND, 0, other_topic), ReceiveOutcome::Superseded);
    assert!(store.issue(2 * SECOND, Topic::new("d", "g"), 2, "x", SECOND, vec![]).is_none());
    assert_eq!(
        store
            .issue(2 * SECOND, Topic::new("d", "g"), 3, "x", SECOND, vec![])
            .map(|directive| directive.version.number),
        Some(2)
    );
}

#[test]
fn a_restored_store_rejects_versions_not_above_the_restored_ones() {
    let mut store = DirectiveStore::restored([(Topic::new("d", "g"), Version { term: 4, number: 7 })]);
    assert_eq!(store.receive(0, 0, test_directive(3, 9, SECOND)), ReceiveOutcome::Superseded);
    assert_eq!(store.receive(0, 0, test_directive(4, 7, SECOND)), ReceiveOutcome::AlreadyKnown);
    assert_eq!(store.receive(0, 0, test_directive(4, 8, SECOND)), ReceiveOutcome::New);
}

#[test]
fn stored_topics_body_lengths_and_queued_reports_are_bounded() {
    let mut store = DirectiveStore::default();
    let topic = |index: usize| Topic::new("d", &index.to_string());
    for index in 0..300 {
        let outcome = store.receive(0, 0, Directive { topic: topic(index), ..test_directive(1, 1, SECOND) });
        assert_eq!(outcome, if index < 96 { ReceiveOutcome::New } else { ReceiveOutcome::NoCapacity });
    }
    assert_eq!(
        store.receive(2 * SECOND, 0, Directive { topic: topic(200), ..test_directive(1, 1, SECOND) }),
        ReceiveOutcome::New
    );
    assert_eq!(
        store.receive(2 * SECOND, 0, Directive { body: vec![0; 901], ..test_directive(1, 9, SECOND) }),
        ReceiveOutcome::NoCapacity
    );
    let mut reporter = Reporter::default();
    (0..300).for_each(|index| reporter.put(topic(index), vec![0]));
    let sent: Vec<Report> = (0..1000).filter_map(|tenth| reporter.next(tenth * SECOND / 10)).collect();
    assert_eq!(sent.len(), 64, "one report per second, each sent once");
}

#[test]
fn a_lease_with_many_reports_does_not_delay_those_of_another() {
    let mut reporter = Reporter::default();
    (0..9).for_each(|index| reporter.put(Topic::new("many", &index.to_string()), vec![]));
    let mut sent = Vec::new();
    for second in 0..10 {
        reporter.put(Topic::new("one", "0"), vec![]);
        sent.extend(reporter.next(second * SECOND).map(|report| report.topic));
    }
    assert_eq!(sent.iter().filter(|topic| topic.lease == "one").count(), 5, "{sent:?}");
    let many: Vec<&str> =
        sent.iter().filter(|topic| topic.lease == "many").map(|topic| &*topic.subject).collect();
    assert_eq!(many, ["0", "1", "2", "3", "4"]);
}

#[test]
fn duplicate_reports_and_those_of_an_earlier_incarnation_are_rejected() {
    let mut reports = Reports::default();
    let report = |number, body| Report { topic: Topic::new("d", "z"), number, body: vec![body] };
    assert!(reports.receive(0, 0, "a", 5, report(2, 20)));
    assert!(!reports.receive(0, 0, "a", 5, report(2, 20)) && !reports.receive(0, 0, "a", 5, report(1, 10)));
    assert!(!reports.receive(0, 0, "a", 4, report(9, 90)));
    assert!(reports.receive(SECOND, 0, "a", 6, report(1, 30)), "the numbers of a new incarnation start over");
    let recent_bodies = |reports: &Reports, now| -> Vec<u8> {
        reports.recent(now, 2 * SECOND, "d").map(|report| report.body[0]).collect()
    };
    assert_eq!(recent_bodies(&reports, 2 * SECOND), [30]);
    assert!(recent_bodies(&reports, 4 * SECOND).is_empty(), "a reporter without recent reports is missing");
    reports.remove_reporter("a");
    assert!(recent_bodies(&reports, SECOND).is_empty());
}

#[test]
fn messages_round_trip_and_arbitrary_bytes_cause_no_panic() {
    let directives: Vec<Directive> = (0..40)
        .map(|index| Directive { body: vec![7; index * 20], ..test_directive(1, index as u64, SECOND) })
        .collect();
    let messages = frame::encode_directives(&directives);
    assert!(messages.iter().all(|message| message.len() <= frame::MAX_MESSAGE_BYTES + 200));
    let decoded: Vec<Directive> = messages
        .iter()
        .flat_map(|message| match frame::decode(message) {
            Ok(Message::Directives(directives)) => directives,
            other => panic!("expected directives, got {other:?}"),
        })
        .collect();
    assert_eq!(decoded, directives);
    let entries = vec![DigestEntry { topic: Topic::new("d", "g"), version: Version { term: 3, number: 4 } }];
    let digest = Message::Digest { entries: entries.clone(), is_answer: true };
    assert_eq!(frame::decode(&frame::encode_digest(&entries, true)[0]), Ok(digest));
    let report = Report { topic: Topic::new("d", "g"), number: 3, body: vec![1, 2] };
    assert_eq!(frame::decode(&frame::encode_report(&report)), Ok(Message::Report(report)));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
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

/// Guards against proxies that accept directives out of order or never learn of a new lease holder.
///
/// Each of 40 proxies forwards new directives to three others and sends a digest to another one each second. Some are
/// partitioned from the rest from 5 s to 11 s, and the run ends at 20 s. Each must accept versions in rising order,
/// and all must have the latest term at the end, 4 s after the last directive was issued.
#[test]
#[allow(clippy::too_many_lines, reason = "one history of a superseded holder, step by step")]
fn proxies_converge_in_version_order_despite_lost_datagrams() {
    const PROXIES: usize = 40;
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut stores = vec![DirectiveStore::default(); PROXIES];
        let mut accepted: Vec<Vec<Version>> = vec![Vec::new(); PROXIES];
        let mut in_flight: Vec<(Micros, usize, usize, Vec<u8>)> = Vec::new();
        let topic = Topic::new("d", "g");
        let (mut term, mut holder) = (1, 0);
        let is_cut_off: Vec<bool> = (0..PROXIES).map(|_| rng.random_bool(0.3)).collect();
        for step in 0..400 {
            let now = step * SECOND / 20;
            let is_partitioned = (100..220).contains(&step);
            let mut sent: Vec<(usize, usize, Vec<u8>)> = Vec::new();
            if step % 40 == 0 && step <= 320 {
                if rng.random_bool(0.3) {
                    (term, holder) = (term + 1, rng.random_range(0..PROXIES));
                }
                // A superseded lease holder that has not heard of the new term may go on issuing for a while.
                for (from, term) in [(holder, term), (rng.random_range(0..PROXIES), term - 1)] {
                    let issued = (term > 0)
                        .then(|| stores[from].issue(now, topic.clone(), term, "n", 6 * SECOND, vec![]));
                    if let Some(issued) = issued.flatten() {
                        accepted[from].push(issued.version);
                        let bytes = frame::encode_directives(&[issued]).remove(0);
                        (0..3).for_each(|_| sent.push((from, rng.random_range(0..PROXIES), bytes.clone())));
                    }
                }
            }
            if step % 20 == 0 {
                for (from, store) in stores.iter().enumerate() {
                    let to = rng.random_range(0..PROXIES);
                    frame::encode_digest(&store.digest(now), false)
                        .into_iter()
                        .for_each(|message| sent.push((from, to, message)));
                }
            }
            let (due, not_due): (Vec<_>, Vec<_>) =
                in_flight.into_iter().partition(|(arrives_at, ..)| *arrives_at <= now);
            in_flight = not_due;
            for (_, from, to, message) in due {
                match frame::decode(&message).unwrap() {
                    Message::Directives(directives) => {
                        for directive in directives {
                            let version = directive.version;
                            let mut forwarded = directive.clone();
                            if stores[to].receive(now, 0, directive) == ReceiveOutcome::New {
                                accepted[to].push(version);
                                forwarded.remaining -= SECOND / 20;
                                let message = frame::encode_directives(&[forwarded]).remove(0);
                                (0..3).for_each(|_| {
                                    sent.push((to, rng.random_range(0..PROXIES), message.clone()))
                                });
                            }
                        }
                    }
                    Message::Digest { entries, is_answer } => {
                        let missing = stores[to].missing_from(now, &entries);
                        if !missing.is_empty() {
                            frame::encode_directives(&missing)
                                .into_iter()
                                .for_each(|message| sent.push((to, from, message)));
                        }
                        if !is_answer && stores[to].is_behind(&entries) {
                            let own = frame::encode_digest(&stores[to].digest(now), true);
                            own.into_iter().for_each(|message| sent.push((to, from, message)));
                        }
                    }
                    Message::Report(_) => unreachable!(),
                }
            }
            for (from, to, message) in sent {
                let copies = 1 + usize::from(rng.random_bool(0.1));
                for _ in 0..copies {
                    let delay = if rng.random_bool(0.1) { 2 * SECOND } else { SECOND / 20 };
                    if !(rng.random_bool(0.1) || is_partitioned && is_cut_off[from] != is_cut_off[to]) {
                        in_flight.push((now + delay, from, to, message.clone()));
                    }
                }
            }
        }
        for (proxy, accepted) in accepted.iter().enumerate() {
            assert!(
                accepted.windows(2).all(|pair| pair[0] < pair[1]),
                "proxy {proxy} accepted versions out of order: {accepted:?}"
            );
        }
        let last = accepted.iter().flatten().max().unwrap();
        let converged = accepted
            .iter()
            .filter(|accepted| accepted.last().is_some_and(|version| version.term == last.term))
            .count();
        assert!(
            converged == PROXIES,
            "{converged} of {PROXIES} proxies accepted term {}, seed {seed}",
            last.term
        );
    }
}
