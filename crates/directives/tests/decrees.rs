//! Decrees and reports among many drivers in virtual time, over a network that delays, loses, doubles and reorders.

use aldermill_directives::frame::{self, Message};
use aldermill_directives::{About, Book, Decree, Entry, Heard, Ledger, Micros, Report, Reporter};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;

fn decree(term: u64, number: u64, left: Micros) -> Decree {
    Decree {
        about: About::new("d", "g"),
        term,
        number,
        by: format!("n{term}"),
        left,
        body: vec![number as u8],
    }
}

#[test]
fn the_highest_counts_whatever_comes_late_doubled_or_out_of_order() {
    let mut book = Book::default();
    assert_eq!(book.hear(0, 0, decree(2, 3, 6 * S)), Heard::News);
    assert_eq!(book.hear(0, 0, decree(2, 3, 6 * S)), Heard::Known);
    assert_eq!(book.hear(0, 0, decree(2, 1, 6 * S)), Heard::Known);
    assert_eq!(book.hear(0, 0, decree(1, 9, 6 * S)), Heard::Overtaken);
    // One that lay unread while the process stood still.
    assert_eq!(book.hear(0, 7 * S, decree(2, 4, 6 * S)), Heard::Late);
    assert_eq!(book.hear(0, 0, decree(3, 1, S)), Heard::News);
    assert_eq!(book.holder(0, "d"), Some(("n3", 3)));
    assert_eq!(book.in_force(0, &About::new("d", "g")), Some(&[1][..]));
    // It runs out, and an old one does not come back in its place.
    assert_eq!(book.in_force(S, &About::new("d", "g")), None);
    assert_eq!(book.hear(2 * S, 0, decree(2, 8, 60 * S)), Heard::Overtaken);
    assert_eq!(book.hear(2 * S, 0, decree(3, 1, 60 * S)), Heard::Known);
    // A subject that it has nothing on is bound by the duty's term all the same.
    let other = Decree { about: About::new("d", "h"), ..decree(2, 1, S) };
    assert_eq!(book.hear(2 * S, 0, other), Heard::Overtaken);
    assert!(book.issue(2 * S, About::new("d", "g"), 2, "x", S, vec![]).is_none());
    assert_eq!(book.issue(2 * S, About::new("d", "g"), 3, "x", S, vec![]).map(|of| of.number), Some(2));
}

#[test]
fn a_start_with_a_store_takes_no_older_one_than_the_start_before() {
    let mut book = Book::start([(About::new("d", "g"), (4, 7))]);
    assert_eq!(book.hear(0, 0, decree(3, 9, S)), Heard::Overtaken);
    assert_eq!(book.hear(0, 0, decree(4, 7, S)), Heard::Known);
    assert_eq!(book.hear(0, 0, decree(4, 8, S)), Heard::News);
}

#[test]
fn what_is_kept_is_bounded() {
    let mut book = Book::default();
    let about = |at: usize| About::new("d", &at.to_string());
    for at in 0..300 {
        let heard = book.hear(0, 0, Decree { about: about(at), ..decree(1, 1, S) });
        assert_eq!(heard, if at < 96 { Heard::News } else { Heard::NoRoom });
    }
    assert_eq!(book.hear(2 * S, 0, Decree { about: about(200), ..decree(1, 1, S) }), Heard::News);
    assert_eq!(book.hear(2 * S, 0, Decree { body: vec![0; 901], ..decree(1, 9, S) }), Heard::NoRoom);
    let mut reporter = Reporter::default();
    (0..300).for_each(|at| reporter.put(about(at), vec![0]));
    let sent: Vec<Report> = (0..1000).filter_map(|at| reporter.next(at * S / 10)).collect();
    assert_eq!(sent.len(), 64, "one a second, each once");
}

#[test]
fn a_duty_with_much_to_tell_keeps_no_other_waiting() {
    let mut reporter = Reporter::default();
    (0..9).for_each(|at| reporter.put(About::new("many", &at.to_string()), vec![]));
    let mut sent = Vec::new();
    for second in 0..10 {
        reporter.put(About::new("one", "0"), vec![]);
        sent.extend(reporter.next(second * S).map(|report| report.about));
    }
    assert_eq!(sent.iter().filter(|about| about.duty == "one").count(), 5, "{sent:?}");
    let many: Vec<&str> =
        sent.iter().filter(|about| about.duty == "many").map(|about| &*about.subject).collect();
    assert_eq!(many, ["0", "1", "2", "3", "4"]);
}

#[test]
fn a_report_counts_once_and_one_of_an_earlier_start_not_at_all() {
    let mut ledger = Ledger::default();
    let report = |number, body| Report { about: About::new("d", "z"), number, body: vec![body] };
    assert!(ledger.hear(0, 0, "a", 5, report(2, 20)));
    assert!(!ledger.hear(0, 0, "a", 5, report(2, 20)) && !ledger.hear(0, 0, "a", 5, report(1, 10)));
    assert!(!ledger.hear(0, 0, "a", 4, report(9, 90)));
    assert!(ledger.hear(S, 0, "a", 6, report(1, 30)), "a new start counts anew");
    let told = |ledger: &Ledger, now| -> Vec<u8> {
        ledger.told(now, 2 * S, "d").map(|(.., body)| body[0]).collect()
    };
    assert_eq!(told(&ledger, 2 * S), [30]);
    assert!(told(&ledger, 4 * S).is_empty(), "who is not heard is missing");
    ledger.gone("a");
    assert!(told(&ledger, S).is_empty());
}

#[test]
fn what_is_written_is_read_and_nonsense_harms_nothing() {
    let all: Vec<Decree> =
        (0..40).map(|at| Decree { body: vec![7; at * 20], ..decree(1, at as u64, S) }).collect();
    let packed = frame::decrees(&all);
    assert!(packed.iter().all(|message| message.len() <= frame::MOST + 200));
    let read: Vec<Decree> = packed
        .iter()
        .flat_map(|message| match frame::decode(message) {
            Ok(Message::Decrees(decrees)) => decrees,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(read, all);
    let entries = vec![Entry { about: About::new("d", "g"), place: (3, 4) }];
    let digest = Message::Digest { entries: entries.clone(), answer: true };
    assert_eq!(frame::decode(&frame::digest(&entries, true)[0]), Ok(digest));
    let report = Report { about: About::new("d", "g"), number: 3, body: vec![1, 2] };
    assert_eq!(frame::decode(&frame::report(&report)), Ok(Message::Report(report)));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..200), |bytes| {
            if let Ok(Message::Decrees(decrees)) = frame::decode(&bytes) {
                let mut book = Book::default();
                for decree in decrees {
                    book.hear(0, 0, decree);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Forty drivers, news passed on to three, digests compared with one each second; some are cut off for a while. Each takes
/// what it takes in order, and all have the last one within seconds of the cut's end.
#[test]
fn all_drivers_come_to_have_the_same_in_order_although_datagrams_are_lost() {
    const DRIVERS: usize = 40;
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut books = vec![Book::default(); DRIVERS];
        let mut taken: Vec<Vec<(u64, u64)>> = vec![Vec::new(); DRIVERS];
        let mut under_way: Vec<(Micros, usize, usize, Vec<u8>)> = Vec::new();
        let about = About::new("d", "g");
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
                        (term > 0).then(|| books[by].issue(now, about.clone(), term, "n", 6 * S, vec![]));
                    if let Some(issued) = issued.flatten() {
                        taken[by].push((issued.term, issued.number));
                        let message = frame::decrees(&[issued]).remove(0);
                        (0..3).for_each(|_| send.push((by, rng.random_range(0..DRIVERS), message.clone())));
                    }
                }
            }
            if step % 20 == 0 {
                for (from, book) in books.iter().enumerate() {
                    let to = rng.random_range(0..DRIVERS);
                    frame::digest(&book.digest(now), false)
                        .into_iter()
                        .for_each(|of| send.push((from, to, of)));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = under_way.into_iter().partition(|(at, ..)| *at <= now);
            under_way = later;
            for (_, from, to, message) in due {
                match frame::decode(&message).unwrap() {
                    Message::Decrees(decrees) => {
                        for decree in decrees {
                            let place = (decree.term, decree.number);
                            let mut again = decree.clone();
                            if books[to].hear(now, 0, decree) == Heard::News {
                                taken[to].push(place);
                                again.left -= S / 20;
                                let message = frame::decrees(&[again]).remove(0);
                                (0..3).for_each(|_| {
                                    send.push((to, rng.random_range(0..DRIVERS), message.clone()))
                                });
                            }
                        }
                    }
                    Message::Digest { entries, answer } => {
                        let lacks = books[to].lacks(now, &entries);
                        if !lacks.is_empty() {
                            frame::decrees(&lacks).into_iter().for_each(|of| send.push((to, from, of)));
                        }
                        if !answer && books[to].is_behind(&entries) {
                            let own = frame::digest(&books[to].digest(now), true);
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
        let have = taken.iter().filter(|taken| taken.last().is_some_and(|have| have.0 == last.0)).count();
        assert!(have == DRIVERS, "{have} of {DRIVERS} know of term {}, seed {seed}", last.0);
    }
}
