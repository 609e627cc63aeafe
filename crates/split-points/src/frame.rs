//! The form of a summary, big-endian: 4 bytes of cost (a float), then heavy keys (1 byte of their number; each 4 of cost, 4 of
//! error, the key), then samples until the end (1 byte whose highest bit says that it is a write and whose others are the
//! key's length, 4 of weight, the key). A key is 48 bytes at most. What does not fit is left out, the lightest first.

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::Micros;
use crate::sketch::KEY;
use crate::{Heavy, Sample, Sketch, Summary};

/// The longest.
pub const MOST: usize = 900;
const HEAVY: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("a summary ends before it is whole")]
    Short,
    #[error("a key of {0} bytes, which is more than may be")]
    Key(usize),
    #[error("a cost that is no number, or below zero")]
    Cost,
}

/// The newest summary, with as many samples as fit.
pub fn encode(sketch: &mut Sketch, now: Micros) -> Vec<u8> {
    let heavy = sketch.summary(now, 0).heavy;
    let heavy: usize = heavy.iter().take(HEAVY).map(|heavy| heavy.key.len() + 9).sum();
    let fit = (MOST - 5 - heavy) / (sketch.longest() + 5);
    put(&sketch.summary(now, fit))
}

fn put(of: &Summary) -> Vec<u8> {
    let mut to = Vec::with_capacity(MOST);
    to.put_f32(of.cost as f32);
    let heavy = &of.heavy[..of.heavy.len().min(HEAVY)];
    to.put_u8(heavy.len() as u8);
    for Heavy { key, cost, error } in heavy {
        to.put_f32(*cost as f32);
        to.put_f32(*error as f32);
        to.put_u8(key.len() as u8);
        to.put_slice(key);
    }
    for Sample { key, write, weight } in &of.samples {
        to.put_u8(key.len() as u8 | if *write { 0x80 } else { 0 });
        to.put_f32(*weight as f32);
        to.put_slice(key);
    }
    to
}

fn cost(from: &mut &[u8]) -> Result<f64, Malformed> {
    let cost = f64::from(from.try_get_f32().map_err(|_| Malformed::Short)?);
    if cost.is_finite() && cost >= 0.0 { Ok(cost) } else { Err(Malformed::Cost) }
}

fn key(from: &mut &[u8], length: u8) -> Result<Vec<u8>, Malformed> {
    let length = usize::from(length);
    if length > KEY {
        return Err(Malformed::Key(length));
    }
    let key = from.get(..length).ok_or(Malformed::Short)?.to_vec();
    from.advance(length);
    Ok(key)
}

pub fn decode(mut bytes: &[u8]) -> Result<Summary, Malformed> {
    let from = &mut bytes;
    let short = |_| Malformed::Short;
    let all = cost(from)?;
    let mut heavy = Vec::new();
    for _ in 0..from.try_get_u8().map_err(short)? {
        let (cost, error) = (cost(from)?, cost(from)?);
        let length = from.try_get_u8().map_err(short)?;
        heavy.push(Heavy { key: key(from, length)?, cost, error });
    }
    let mut samples = Vec::new();
    while !from.is_empty() {
        let length = from.try_get_u8().map_err(short)?;
        let weight = cost(from)?;
        samples.push(Sample { key: key(from, length & 0x7f)?, write: length & 0x80 != 0, weight });
    }
    Ok(Summary { cost: all, samples, heavy })
}
