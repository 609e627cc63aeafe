//! A voter whose store cannot be read yet.

use aldermill_duties::{Ballot, Driver, Micros, Said, Term, Voter, Word};

const LASTS: Micros = 3_000_000;

#[test]
fn an_unread_voter_hears_and_says_nothing_and_votes_at_once_when_it_has_read() {
    let mut voter = Voter::start(0, LASTS, None::<Vec<(String, Term)>>);
    voter.hold_back();
    let from = Driver { name: "a".to_owned(), start: 1 };
    let now = voter.speaks_from();
    let prepare = |count| {
        let ballot = Ballot { count, by: from.clone() };
        Said { duty: "d".to_owned(), word: Word::Prepare { ballot } }
    };
    assert_eq!(voter.hear(now, &from, &prepare(1)), None);
    voter.read([("d".to_owned(), 7)]);
    let answer = voter.hear(now, &from, &prepare(2)).expect("it votes");
    assert!(matches!(answer.word, Word::Promise { term: 7, .. }));
}
