//! What a proxy reports of one group: a summary of its sketch.
//!
//! Bytes of a summary, big-endian: 4 of cost (a float), then heavy hitters (1 byte of their number; each 4 of cost, 4 of
//! error, 1 of the key's length, the key), then samples until the end (1 byte whose highest bit marks a write and whose
//! others are the key's length, 4 of weight, the key). A key is 48 bytes at most. What does not fit is left out, the
//! lightest first.

use bytes::{Buf, BufMut};

use crate::DecodeError;
use crate::sketch::MAX_KEY_BYTES;

/// The longest summary, in bytes, so that it fits into a datagram with the header of a report.
pub const MAX_SUMMARY_BYTES: usize = 900;
/// Heavy hitters in a summary; the costliest ones.
const MAX_HEAVY_HITTERS: usize = 6;
/// The cost, and the number of heavy hitters.
const HEADER_BYTES: usize = 5;
/// What a heavy hitter takes besides its key.
const HEAVY_HITTER_BYTES: usize = 9;
/// What a sample takes besides its key.
const SAMPLE_BYTES: usize = 5;
/// Marks a sample of a write, in the byte of its key's length.
const WRITE_FLAG: u8 = 0x80;

/// One access that stands for others like it.
#[derive(Clone, Debug, PartialEq)]
pub struct AccessSample {
    /// The key, up to its first 48 bytes.
    pub key: Vec<u8>,
    /// Whether it was a write.
    pub is_write: bool,
    /// How much cost it stands for.
    pub weight: f64,
}

/// A key that alone has much of the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct HeavyHitter {
    /// The key, up to its first 48 bytes.
    pub key: Vec<u8>,
    /// Its cost, which is never too low.
    pub cost: f64,
    /// By how much `cost` may be too high.
    pub error: f64,
}

/// What a proxy tells of one group's recent accesses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeySummary {
    /// The cost of all recent accesses, sampled or not.
    pub cost: f64,
    /// A priority sample of the accesses.
    pub samples: Vec<AccessSample>,
    /// The costliest first.
    pub heavy_hitters: Vec<HeavyHitter>,
}

/// How many samples fit into a summary next to these heavy hitters, with keys of at most `longest_key` bytes.
pub(crate) fn sample_capacity(heavy_hitters: &[HeavyHitter], longest_key: usize) -> usize {
    let reported = heavy_hitters.iter().take(MAX_HEAVY_HITTERS);
    let heavy_hitter_bytes: usize = reported.map(|hitter| hitter.key.len() + HEAVY_HITTER_BYTES).sum();
    (MAX_SUMMARY_BYTES - HEADER_BYTES - heavy_hitter_bytes) / (longest_key + SAMPLE_BYTES)
}

impl KeySummary {
    /// The bytes of the summary, with the first six heavy hitters and all samples.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_SUMMARY_BYTES);
        bytes.put_f32(self.cost as f32);
        let heavy_hitters = &self.heavy_hitters[..self.heavy_hitters.len().min(MAX_HEAVY_HITTERS)];
        bytes.put_u8(heavy_hitters.len() as u8);
        for HeavyHitter { key, cost, error } in heavy_hitters {
            bytes.put_f32(*cost as f32);
            bytes.put_f32(*error as f32);
            bytes.put_u8(key.len() as u8);
            bytes.put_slice(key);
        }
        for AccessSample { key, is_write, weight } in &self.samples {
            bytes.put_u8(key.len() as u8 | if *is_write { WRITE_FLAG } else { 0 });
            bytes.put_f32(*weight as f32);
            bytes.put_slice(key);
        }
        bytes
    }

    /// Reads a summary; fails where it ends within a field, or a key's length or a cost is out of bounds.
    pub fn decode(mut bytes: &[u8]) -> Result<KeySummary, DecodeError> {
        let cost = read_cost(&mut bytes)?;
        let mut heavy_hitters = Vec::new();
        for _ in 0..read_byte(&mut bytes)? {
            heavy_hitters.push(read_heavy_hitter(&mut bytes)?);
        }
        let mut samples = Vec::new();
        while !bytes.is_empty() {
            samples.push(read_sample(&mut bytes)?);
        }
        Ok(KeySummary { cost, samples, heavy_hitters })
    }
}

fn read_heavy_hitter(bytes: &mut &[u8]) -> Result<HeavyHitter, DecodeError> {
    let cost = read_cost(bytes)?;
    let error = read_cost(bytes)?;
    let length = read_byte(bytes)?;
    Ok(HeavyHitter { key: read_key(bytes, length)?, cost, error })
}

fn read_sample(bytes: &mut &[u8]) -> Result<AccessSample, DecodeError> {
    let length_and_flag = read_byte(bytes)?;
    let weight = read_cost(bytes)?;
    let key = read_key(bytes, length_and_flag & !WRITE_FLAG)?;
    Ok(AccessSample { key, is_write: length_and_flag & WRITE_FLAG != 0, weight })
}

fn read_byte(bytes: &mut &[u8]) -> Result<u8, DecodeError> {
    bytes.try_get_u8().map_err(|_| DecodeError::Truncated)
}

/// A cost, error or weight. Sums of them must stay numbers, so only finite ones that are not negative are read.
fn read_cost(bytes: &mut &[u8]) -> Result<f64, DecodeError> {
    let cost = f64::from(bytes.try_get_f32().map_err(|_| DecodeError::Truncated)?);
    if cost.is_finite() && cost >= 0.0 { Ok(cost) } else { Err(DecodeError::InvalidCost) }
}

fn read_key(bytes: &mut &[u8], length: u8) -> Result<Vec<u8>, DecodeError> {
    let length = usize::from(length);
    if length > MAX_KEY_BYTES {
        return Err(DecodeError::KeyTooLong(length));
    }
    let key = bytes.get(..length).ok_or(DecodeError::Truncated)?.to_vec();
    bytes.advance(length);
    Ok(key)
}
