//! Statements as clients word them.

use std::sync::atomic::{AtomicUsize, Ordering};

pub fn new_id() -> String {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    format!("9b1f{:012}", COUNT.fetch_add(1, Ordering::SeqCst))
}

/// The statement under another id.
pub fn named(statement: &str, id: &str) -> String {
    let (before, rest) = statement.split_once("id=").unwrap();
    format!("{before}id={id}{}", &rest[rest.find(',').unwrap()..])
}

pub fn look(wait: u32) -> String {
    format!("/* id={},c=look,d={wait},cluster=2 */ SELECT val FROM state WHERE uid = 'k'", new_id())
}

pub fn order(wait: u32) -> String {
    format!(
        "/* id={},c=order,d={wait},cluster=2 */ INSERT INTO state (uid, val) VALUES ('k', '\\x9f') RETURNING val",
        new_id()
    )
}
