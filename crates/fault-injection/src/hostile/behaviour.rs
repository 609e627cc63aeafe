//! What hostile clients send: one behaviour each, and the bytes that it needs.

use std::fmt::Write as _;

use aldermill_wire::pg;
use serde::Serialize;

use super::ids::IdSource;

/// Size of the blocks that a flood writes, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;
/// Length that a large statement announces, in bytes. It is near the longest that a proxy with little memory accepts.
const LARGE_STATEMENT_BYTES: usize = 130_000;
/// How much of an unfinished large statement is sent, in bytes.
const UNFINISHED_LARGE_BYTES: usize = 129_000;
/// Length of the longest statements that need no reservation, in bytes.
const SMALL_STATEMENT_BYTES: usize = 7_900;
/// Number of statements that a client pipelines before it leaves.
const PIPELINED_BEFORE_LEAVING: usize = 600;
/// An SSLRequest.
const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// What a hostile client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Behaviour {
    /// Asks for encryption at full speed.
    EncryptionRequests,
    /// Sends Sync messages at full speed.
    Syncs,
    /// Sends empty queries at full speed.
    EmptyQueries,
    /// Sends function calls at full speed.
    FunctionCalls,
    /// Sends CopyData messages, which get no response, at full speed.
    CopyData,
    /// Sends statements without a comment at full speed.
    MissingComments,
    /// Sends statements of an unknown class, each under a new id, at full speed.
    UnknownClasses,
    /// Sends statements for ever new groups at full speed.
    UnknownGroups,
    /// Sends the same id at full speed.
    RepeatedIds,
    /// Sends valid reads, each under a new id, at full speed.
    Reads,
    /// Sends valid writes, each under a new id and to a new key, at full speed.
    Writes,
    /// Connects, starts a session and closes, at full speed.
    Reconnects,
    /// Sends most of a large statement of short fields, and waits.
    UnfinishedLarge,
    /// Sends large statements of short fields, one after another.
    WholeLarge,
    /// Sends large statements whose id takes most of the length.
    LongIds,
    /// Sends large writes whose key takes most of the length.
    LongKeys,
    /// Sends most of a statement that is small enough to need no reservation, and waits.
    UnfinishedSmall,
    /// Pipelines statements that are small enough to need no reservation.
    PipelinedSmall,
    /// Writes a large statement slowly.
    SlowWriters,
    /// Requests large values and never reads them.
    SlowReaders,
    /// Starts a session and sends nothing.
    Idle,
    /// Pipelines reads and closes the connection soon.
    LeavesAfterReads,
    /// Pipelines writes and closes the connection soon, with everything unread.
    LeavesAfterWrites,
    /// Sends a write, closes the connection, and sends the same id again on a new one.
    ReturnsWithSameId,
}

impl Behaviour {
    /// All behaviours.
    pub const ALL: [Behaviour; 24] = [
        Behaviour::EncryptionRequests,
        Behaviour::Syncs,
        Behaviour::EmptyQueries,
        Behaviour::FunctionCalls,
        Behaviour::CopyData,
        Behaviour::MissingComments,
        Behaviour::UnknownClasses,
        Behaviour::UnknownGroups,
        Behaviour::RepeatedIds,
        Behaviour::Reads,
        Behaviour::Writes,
        Behaviour::Reconnects,
        Behaviour::UnfinishedLarge,
        Behaviour::WholeLarge,
        Behaviour::LongIds,
        Behaviour::LongKeys,
        Behaviour::UnfinishedSmall,
        Behaviour::PipelinedSmall,
        Behaviour::SlowWriters,
        Behaviour::SlowReaders,
        Behaviour::Idle,
        Behaviour::LeavesAfterReads,
        Behaviour::LeavesAfterWrites,
        Behaviour::ReturnsWithSameId,
    ];

    /// Returns the behaviour of this name.
    pub fn named(name: &str) -> Option<Behaviour> {
        Behaviour::ALL.into_iter().find(|behaviour| format!("{behaviour:?}").eq_ignore_ascii_case(name))
    }

    /// Returns whether a few clients of this kind keep a connection busy at full speed, as opposed to many clients
    /// that each hold something.
    pub fn is_flood(self) -> bool {
        self <= Behaviour::Reconnects
    }

    /// Returns whether the client starts a session before it sends anything else.
    pub(super) fn starts_session(self) -> bool {
        self != Behaviour::EncryptionRequests
    }

    /// Returns the next bytes that a client of this kind sends.
    pub(super) fn block(self, ids: &mut IdSource) -> Vec<u8> {
        match self {
            Behaviour::EncryptionRequests => {
                ENCRYPTION_REQUEST.repeat(BLOCK_BYTES / ENCRYPTION_REQUEST.len())
            }
            Behaviour::Syncs => message(b'S', &[]).repeat(BLOCK_BYTES / 5),
            Behaviour::EmptyQueries => query("").repeat(BLOCK_BYTES / 6),
            Behaviour::FunctionCalls => message(b'F', &[0; 8]).repeat(BLOCK_BYTES / 13),
            Behaviour::CopyData => message(b'd', &[0; 4]).repeat(BLOCK_BYTES / 9),
            Behaviour::MissingComments => query("SELECT 1").repeat(BLOCK_BYTES / 14),
            Behaviour::RepeatedIds => {
                let id = ids.shared();
                query(&read(&id, "look", 2, "k")).repeat(BLOCK_BYTES / 100)
            }
            Behaviour::UnknownClasses => {
                many(BLOCK_BYTES / 100, || query(&read(&ids.next(), "no-such-class", 2, "k")))
            }
            Behaviour::UnknownGroups => many(BLOCK_BYTES / 100, || {
                let group = 1000 + ids.number();
                query(&read(&ids.next(), "look", group, "k"))
            }),
            Behaviour::Reads => many(BLOCK_BYTES / 100, || query(&read(&ids.next(), "look", 2, "k"))),
            Behaviour::LeavesAfterReads => {
                many(PIPELINED_BEFORE_LEAVING, || query(&read(&ids.next(), "look", 2, "k")))
            }
            Behaviour::Writes => many(BLOCK_BYTES / 130, || one_write(ids)),
            Behaviour::LeavesAfterWrites => many(PIPELINED_BEFORE_LEAVING, || one_write(ids)),
            Behaviour::ReturnsWithSameId => one_write(ids),
            Behaviour::UnfinishedLarge => {
                let mut bytes = query(&padded(&read(&ids.next(), "look", 2, "k"), LARGE_STATEMENT_BYTES));
                bytes.truncate(UNFINISHED_LARGE_BYTES);
                bytes
            }
            Behaviour::WholeLarge | Behaviour::SlowWriters => {
                query(&padded(&read(&ids.next(), "look", 2, "k"), LARGE_STATEMENT_BYTES))
            }
            Behaviour::LongIds => {
                let id = format!("{}{}", ids.next(), "i".repeat(LARGE_STATEMENT_BYTES));
                query(&read(&id, "look", 2, "k"))
            }
            Behaviour::LongKeys => {
                let key = format!("{}{}", ids.next(), "k".repeat(LARGE_STATEMENT_BYTES));
                query(&write(&ids.next(), &key))
            }
            Behaviour::UnfinishedSmall => {
                let mut bytes = query(&padded(&read(&ids.next(), "look", 2, "k"), SMALL_STATEMENT_BYTES));
                bytes.pop();
                bytes
            }
            Behaviour::PipelinedSmall => {
                many(64, || query(&padded(&read(&ids.next(), "look", 2, "k"), SMALL_STATEMENT_BYTES)))
            }
            Behaviour::SlowReaders => query(&read(&ids.next(), "look", 2, "v60000")),
            Behaviour::Reconnects | Behaviour::Idle => Vec::new(),
        }
    }
}

/// A read of this key.
pub(super) fn read(id: &str, class: &str, group: u64, key: &str) -> String {
    format!("/* id={id},c={class},d=1500,cluster={group} */ SELECT val FROM state WHERE uid = '{key}'")
}

/// A write to this key.
pub(super) fn write(id: &str, key: &str) -> String {
    format!(
        "/* id={id},c=order,d=1500,cluster=2 */ INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val"
    )
}

/// A Query message.
pub(super) fn query(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

fn one_write(ids: &mut IdSource) -> Vec<u8> {
    let key = ids.next();
    query(&write(&ids.next(), &key))
}

fn many(count: usize, mut one: impl FnMut() -> Vec<u8>) -> Vec<u8> {
    (0..count).flat_map(|_| one()).collect()
}

/// A message of this type.
fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() + 4) as u32;
    [&[kind], length.to_be_bytes().as_slice(), body].concat()
}

/// Adds short fields to the front of a statement's comment, up to this length in bytes.
fn padded(statement: &str, length: usize) -> String {
    let rest = statement.trim_start_matches("/* ");
    let mut padded = "/* ".to_owned();
    let mut number = 0;
    while padded.len() + rest.len() + 16 < length {
        let _ = write!(padded, "x{number}=1,");
        number += 1;
    }
    padded + rest
}
