//! The records in the store, as programs of other versions wrote and read them.

use aldermill_warm_start::{Beliefs, Change, FORMAT, Kept, Pace, Primary, recall, space};

const NOW: i64 = 1_800_000_000_000_000;

/// The space, the key and the value of each record.
const RECORDS: [(u32, &str, &str); 8] = [
    (1, "", r#"{"name":"n1","format":1}"#),
    (2, "", "41"),
    (2, "s-1", r#"{"id":"s-1"}"#),
    (2, "s-2", r#"{"id":"s-2"}"#),
    (3, "7", r#"{"member":"s-2","word":1799999995000000}"#),
    (4, "8", r#""east""#),
    (4, "18446744073709551615", r#""west""#),
    (
        5,
        "",
        r#"{"at":1800000000000000,"paces":{"look":{"usual":9000,"slow":30000}},"windows":{"s-1":-2,"s-2":3}}"#,
    ),
];

fn beliefs() -> Beliefs {
    let entry = |id: &str| (id.to_owned(), format!(r#"{{"id":"{id}"}}"#));
    Beliefs {
        revision: Some(41),
        members: [entry("s-1"), entry("s-2")].into(),
        primaries: [(7, Primary { member: "s-2".to_owned(), word: NOW - 5_000_000 })].into(),
        homes: [(8, "east".to_owned()), (u64::MAX, "west".to_owned())].into(),
        paces: [("look".to_owned(), Pace { usual: 9_000, slow: 30_000 })].into(),
        windows: [("s-1".to_owned(), -2), ("s-2".to_owned(), 3)].into(),
    }
}

#[test]
fn records_of_all_beliefs_as_they_are_written() {
    let written: Vec<Change> = Kept::start("n1", []).changes(NOW, beliefs());
    let written: Vec<(u32, String, String)> = written
        .into_iter()
        .map(|Change { space, key, value }| {
            (space, String::from_utf8(key).unwrap(), String::from_utf8(value.unwrap()).unwrap())
        })
        .collect();
    let pinned: Vec<(u32, String, String)> =
        RECORDS.iter().map(|&(space, key, value)| (space, key.to_owned(), value.to_owned())).collect();
    assert_eq!(written, pinned);
}

#[test]
fn records_of_all_beliefs_as_they_are_read() {
    let records = RECORDS.iter().map(|&(space, key, value)| (space, key.as_bytes(), value.as_bytes()));
    let recalled = recall("n1", NOW, records).unwrap();
    assert_eq!(recalled.beliefs, beliefs());
    assert_eq!((recalled.age, recalled.left_out), (Some(5_000_000), 0));
}

#[test]
fn numbers_of_the_spaces_and_of_the_format() {
    let beliefs = [space::IDENTITY, space::LIST, space::PRIMARIES, space::HOMES, space::PACES];
    assert_eq!(beliefs, [1, 2, 3, 4, 5]);
    let others = [space::BOOK, space::PROMISES, space::GRANTED, space::DECREED, space::BOUND];
    assert_eq!(others, [6, 7, 8, 9, 10]);
    assert_eq!(FORMAT, 1);
}
