//! The form of what drivers say to each other of decrees, big-endian. First a byte: 1 for decrees, 2 for a digest that wants
//! an answer, 3 for one that is an answer, 4 for a report. Then, until the end, for each: the duty and the subject (a byte of
//! length, and the name), and
//!
//! | what | fields |
//! | --- | --- |
//! | decree | 8 bytes of term, 8 of number, 8 of life left in microseconds, who holds the duty, 2 of length, the body |
//! | digest | 8 bytes of term, 8 of number |
//! | report | 8 bytes of number, 2 of length, the body |

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::book::BODY;
use crate::{About, Decree, Entry, Micros, Report};

/// The longest message; a datagram has room for its sender beside.
pub const MOST: usize = 1000;
const NAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("a message ends before it is whole")]
    Short,
    #[error("a name or body of {0} bytes, which is more than may be")]
    Long(usize),
    #[error("a message of kind {0}, which this version does not know")]
    Kind(u8),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Decrees(Vec<Decree>),
    Digest { entries: Vec<Entry>, answer: bool },
    Report(Report),
}

fn put_name(name: &str, to: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(NAME)];
    to.put_u8(bytes.len() as u8);
    to.put_slice(bytes);
}

fn put_body(body: &[u8], to: &mut Vec<u8>) {
    let body = &body[..body.len().min(BODY)];
    to.put_u16(body.len() as u16);
    to.put_slice(body);
}

fn put_about(about: &About, to: &mut Vec<u8>) {
    put_name(&about.duty, to);
    put_name(&about.subject, to);
}

/// In as many messages as they need.
pub fn decrees(of: &[Decree]) -> Vec<Vec<u8>> {
    pack(1, of, |decree, to| {
        put_about(&decree.about, to);
        to.put_u64(decree.term);
        to.put_u64(decree.number);
        to.put_i64(decree.left);
        put_name(&decree.by, to);
        put_body(&decree.body, to);
    })
}

pub fn digest(of: &[Entry], answer: bool) -> Vec<Vec<u8>> {
    pack(if answer { 3 } else { 2 }, of, |entry, to| {
        put_about(&entry.about, to);
        to.put_u64(entry.place.0);
        to.put_u64(entry.place.1);
    })
}

pub fn report(of: &Report) -> Vec<u8> {
    let mut to = vec![4];
    put_about(&of.about, &mut to);
    to.put_u64(of.number);
    put_body(&of.body, &mut to);
    to
}

fn pack<T>(kind: u8, of: &[T], put: impl Fn(&T, &mut Vec<u8>)) -> Vec<Vec<u8>> {
    let mut messages = vec![vec![kind]];
    for one in of {
        let mut bytes = Vec::new();
        put(one, &mut bytes);
        let last = messages.last().map_or(0, Vec::len);
        if last > 1 && last + bytes.len() > MOST {
            messages.push(vec![kind]);
        }
        if let Some(message) = messages.last_mut() {
            message.append(&mut bytes);
        }
    }
    messages
}

fn number(from: &mut &[u8]) -> Result<u64, Malformed> {
    from.try_get_u64().map_err(|_| Malformed::Short)
}

fn piece<'a>(from: &mut &'a [u8], length: usize, most: usize) -> Result<&'a [u8], Malformed> {
    if length > most {
        return Err(Malformed::Long(length));
    }
    let piece = from.get(..length).ok_or(Malformed::Short)?;
    from.advance(length);
    Ok(piece)
}

fn name(from: &mut &[u8]) -> Result<String, Malformed> {
    let length = from.try_get_u8().map_err(|_| Malformed::Short)?;
    let bytes = piece(from, usize::from(length), NAME)?;
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| Malformed::Short)
}

fn body(from: &mut &[u8]) -> Result<Vec<u8>, Malformed> {
    let length = from.try_get_u16().map_err(|_| Malformed::Short)?;
    piece(from, usize::from(length), BODY).map(<[u8]>::to_vec)
}

fn about(from: &mut &[u8]) -> Result<About, Malformed> {
    Ok(About { duty: name(from)?, subject: name(from)? })
}

pub fn decode(mut bytes: &[u8]) -> Result<Message, Malformed> {
    let from = &mut bytes;
    let kind = from.try_get_u8().map_err(|_| Malformed::Short)?;
    match kind {
        1 => {
            let mut decrees = Vec::new();
            while !from.is_empty() {
                let (about, term, counted) = (about(from)?, number(from)?, number(from)?);
                // Never below zero, nor so long that a clock could run over.
                let left = number(from)?.min(1 << 50) as Micros;
                decrees.push(Decree {
                    about,
                    term,
                    number: counted,
                    left,
                    by: name(from)?,
                    body: body(from)?,
                });
            }
            Ok(Message::Decrees(decrees))
        }
        2 | 3 => {
            let mut entries = Vec::new();
            while !from.is_empty() {
                entries.push(Entry { about: about(from)?, place: (number(from)?, number(from)?) });
            }
            Ok(Message::Digest { entries, answer: kind == 3 })
        }
        4 => Ok(Message::Report(Report { about: about(from)?, number: number(from)?, body: body(from)? })),
        kind => Err(Malformed::Kind(kind)),
    }
}
