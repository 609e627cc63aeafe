//! What a driver keeps over a restart, and what of it is believed afterwards.
//!
//! [`Kept`] compares what is believed now with what was handed to the disk, and says what is to be written.
//! [`recall`] reads records back: every belief is old news, has its age, and is used only where being wrong costs no
//! more than not knowing. Nothing here does I/O or has a clock; times are Unix times in whole microseconds.

mod kept;
mod recall;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use kept::{Change, Kept};
pub use recall::{Recalled, Refused, recall};

/// Whole microseconds since 1970.
pub type Micros = i64;

/// The version of the records' form. Records of a later one are left alone.
pub const FORMAT: u32 = 1;

/// What the records of a namespace of the store hold.
pub mod space {
    pub const IDENTITY: u32 = 1;
    pub const LIST: u32 = 2;
    pub const PRIMARIES: u32 = 3;
    pub const HOMES: u32 = 4;
    pub const PACES: u32 = 5;
    /// The gateway's book and its promises, which have records of their own form and are none of the beliefs.
    pub const BOOK: u32 = 6;
    pub const PROMISES: u32 = 7;
    /// The highest term that a voter granted, and that a driver took a decree of, by duty.
    pub const GRANTED: u32 = 8;
    pub const DECREED: u32 = 9;
    /// What stands of a site that retires, by its name.
    pub const BOUND: u32 = 10;
}

/// A group's primary as it was believed, and the time of the word that proved it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    pub member: String,
    pub word: Micros,
}

/// How long attempts of a request class took: half of them no longer than the first, nine tenths than the
/// second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    pub usual: Micros,
    pub slow: Micros,
}

/// What a driver believes of the world.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Beliefs {
    /// The list's revision, and its entries by member, as discovery words them.
    pub revision: Option<u64>,
    pub members: BTreeMap<String, String>,
    pub primaries: BTreeMap<u64, Primary>,
    /// Where a group's primary is, by the name of the site.
    pub homes: BTreeMap<u64, String>,
    /// By request class.
    pub paces: BTreeMap<String, Pace>,
    /// Attempts that may be out at a member, in powers of two.
    pub windows: BTreeMap<String, i32>,
}

#[derive(Serialize, Deserialize)]
struct Identity {
    name: String,
    format: u32,
}

#[derive(Serialize, Deserialize)]
struct Paces {
    at: Micros,
    paces: BTreeMap<String, Pace>,
    windows: BTreeMap<String, i32>,
}

/// The key of what a namespace has once.
const ONE: &[u8] = b"";
