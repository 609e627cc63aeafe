//! The summary of a sketch that a proxy sends for one group, and its encoding.
//!
//! All numbers are big-endian, and costs, errors and weights are 32-bit floats. A summary consists of:
//!
//! 1. the cost (4 bytes);
//! 2. the number of heavy hitters (1 byte), and for each of them its cost (4 bytes), its error (4 bytes), the
//!    length of its key (1 byte) and the key;
//! 3. samples up to the end of the summary. Each has 1 byte whose highest bit marks a write and whose other
//!    bits are the length of the key, followed by the weight (4 bytes) and the key.
//!
//! Keys are at most 48 bytes long. Heavy hitters and samples that do not fit are omitted: the heavy hitters
//! of lowest cost, and the samples of lowest priority.

use bytes::{Buf, BufMut};

use crate::DecodeError;
use crate::sketch::MAX_KEY_BYTES;

/// Maximum size of an encoded summary, in bytes, so that it fits into a datagram together with the header of
/// a report.
pub const MAX_SUMMARY_BYTES: usize = 900;
/// Maximum number of heavy hitters in an encoded summary; those of highest cost are included.
const MAX_HEAVY_HITTERS: usize = 6;
/// Size of the cost and the number of heavy hitters, in bytes.
const HEADER_BYTES: usize = 5;
/// Size of an encoded heavy hitter without its key, in bytes.
const HEAVY_HITTER_BYTES: usize = 9;
/// Size of an encoded sample without its key, in bytes.
const SAMPLE_BYTES: usize = 5;
/// The bit that marks a sample as a write, in the byte that holds the length of its key.
const WRITE_FLAG: u8 = 0x80;

/// An access in the sample, which represents other accesses to nearby keys as well.
#[derive(Clone, Debug, PartialEq)]
pub struct AccessSample {
    /// The key, truncated to its first 48 bytes.
    pub key: Vec<u8>,
    /// Whether the access was a write.
    pub is_write: bool,
    /// The cost that the sample represents, in the caller's unit.
    pub weight: f64,
}

/// A key that has a large share of the cost by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct HeavyHitter {
    /// The key, truncated to its first 48 bytes.
    pub key: Vec<u8>,
    /// Upper bound of the key's cost.
    pub cost: f64,
    /// The most by which `cost` may exceed the true cost.
    pub error: f64,
}

/// A proxy's summary of the recent accesses to one group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeySummary {
    /// The cost of all recent accesses, sampled or not.
    pub cost: f64,
    /// A priority sample of the accesses.
    pub samples: Vec<AccessSample>,
    /// The heavy hitters in descending order of cost.
    pub heavy_hitters: Vec<HeavyHitter>,
}

/// Returns how many samples fit into an encoded summary together with these heavy hitters if the keys of the
/// samples are at most `longest_key` bytes long.
pub(crate) fn sample_capacity(heavy_hitters: &[HeavyHitter], longest_key: usize) -> usize {
    let reported = heavy_hitters.iter().take(MAX_HEAVY_HITTERS);
    let heavy_hitter_bytes: usize = reported.map(|hitter| hitter.key.len() + HEAVY_HITTER_BYTES).sum();
    (MAX_SUMMARY_BYTES - HEADER_BYTES - heavy_hitter_bytes) / (longest_key + SAMPLE_BYTES)
}

impl KeySummary {
    /// Encodes the summary with its first six heavy hitters and all of its samples.
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

    /// Decodes a summary.
    ///
    /// # Errors
    ///
    /// Fails if the summary ends within a field, a key is too long, or a cost, error or weight is negative or
    /// not finite.
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

/// Reads a cost, error or weight. Negative and non-finite values are rejected, as sums of them might not be
/// numbers.
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
