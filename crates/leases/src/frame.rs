//! The form of one word, big-endian: a byte of its kind, the duty (a byte of length, and its name), the ballot where the kind
//! has one (8 bytes of count, 8 of start, the name), and the kind's numbers. A word that cannot be read is dropped by whoever
//! carries it.

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{Ballot, Driver, Held, Micros, Said, Word};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("a word ends before it is whole")]
    Short,
    #[error("a name of {0} bytes; 64 are the most")]
    Name(usize),
    #[error("a word of kind {0}, which this version does not know")]
    Kind(u8),
}

const NAME: usize = 64;

fn put_name(name: &str, to: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(NAME)];
    to.put_u8(bytes.len() as u8);
    to.put_slice(bytes);
}

fn put_driver(driver: &Driver, to: &mut Vec<u8>) {
    to.put_u64(driver.start);
    put_name(&driver.name, to);
}

fn put_ballot(ballot: &Ballot, to: &mut Vec<u8>) {
    to.put_u64(ballot.count);
    put_driver(&ballot.by, to);
}

pub fn encode(said: &Said) -> Vec<u8> {
    let mut to = Vec::with_capacity(128);
    let kind = match said.word {
        Word::Prepare { .. } => 1,
        Word::Promise { .. } => 2,
        Word::Propose { .. } => 3,
        Word::Accept { .. } => 4,
        Word::Refuse { .. } => 5,
        Word::LayDown { .. } => 6,
    };
    to.put_u8(kind);
    put_name(&said.duty, &mut to);
    match &said.word {
        Word::Prepare { ballot } => put_ballot(ballot, &mut to),
        Word::Promise { ballot, term, held } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
            if let Some(held) = held {
                to.put_i64(held.left);
                put_driver(&held.by, &mut to);
            }
        }
        Word::Propose { ballot, term, lasts } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
            to.put_i64(*lasts);
        }
        Word::Accept { ballot, term } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
        }
        Word::Refuse { ballot, promised } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*promised);
        }
        Word::LayDown { term } => to.put_u64(*term),
    }
    to
}

fn byte(from: &mut &[u8]) -> Result<u8, Malformed> {
    from.try_get_u8().map_err(|_| Malformed::Short)
}

fn number(from: &mut &[u8]) -> Result<u64, Malformed> {
    from.try_get_u64().map_err(|_| Malformed::Short)
}

/// A span of time: never below zero, and never so long that adding it to a clock could run over.
fn span(from: &mut &[u8]) -> Result<Micros, Malformed> {
    Ok(number(from)?.min(1 << 50) as Micros)
}

fn name(from: &mut &[u8]) -> Result<String, Malformed> {
    let length = usize::from(byte(from)?);
    if length > NAME {
        return Err(Malformed::Name(length));
    }
    let bytes = from.get(..length).ok_or(Malformed::Short)?;
    let text = std::str::from_utf8(bytes).map_err(|_| Malformed::Short)?;
    let text = text.to_owned();
    from.advance(length);
    Ok(text)
}

fn driver(from: &mut &[u8]) -> Result<Driver, Malformed> {
    let start = number(from)?;
    Ok(Driver { start, name: name(from)? })
}

fn ballot(from: &mut &[u8]) -> Result<Ballot, Malformed> {
    let count = number(from)?;
    Ok(Ballot { count, by: driver(from)? })
}

pub fn decode(mut bytes: &[u8]) -> Result<Said, Malformed> {
    let from = &mut bytes;
    let kind = byte(from)?;
    let duty = name(from)?;
    let word = match kind {
        1 => Word::Prepare { ballot: ballot(from)? },
        2 => {
            let (ballot, term) = (ballot(from)?, number(from)?);
            let held = match from.is_empty() {
                true => None,
                false => {
                    let left = span(from)?;
                    Some(Held { left, by: driver(from)? })
                }
            };
            Word::Promise { ballot, term, held }
        }
        3 => Word::Propose { ballot: ballot(from)?, term: number(from)?, lasts: span(from)? },
        4 => Word::Accept { ballot: ballot(from)?, term: number(from)? },
        5 => Word::Refuse { ballot: ballot(from)?, promised: number(from)? },
        6 => Word::LayDown { term: number(from)? },
        kind => return Err(Malformed::Kind(kind)),
    };
    Ok(Said { duty, word })
}
