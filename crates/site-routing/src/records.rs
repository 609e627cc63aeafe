//! The format of the outcome log's records on disk, specified in `docs/store.md`.
//!
//! Records outlive the version of the program that wrote them, so the format never changes. All integers are
//! 8 bytes, big-endian.
//!
//! The key of a request's record is the receiver's incarnation, the request's number, the sender's
//! incarnation, the name of the sender's site, a zero byte, and the name of the sender's instance. Its value
//! is a tag byte, followed by the retry-after in microseconds for a rejected request, or by the response for
//! a served one.
//!
//! A promise has two records. The first, whose key is the incarnation, holds the end of the promise in
//! microseconds of Unix time. The second, whose key is the incarnation followed by a boot ID, holds its end
//! in microseconds on the clock of that boot; a boot ID of zeros means that the promise ends with the
//! incarnation.

use crate::stored_promises::BOOT_ID_LENGTH;
use crate::{BootId, BootInstant, ForwardNumber, Micros, Origin, Outcome, PromiseEnd, PromiseRecord};

/// The length in bytes of a key's three numbers: the receiver's incarnation, the request's number and the
/// sender's incarnation.
const NUMERIC_KEY_PREFIX_LENGTH: usize = 24;

// The first byte of an outcome's value.
const IN_FLIGHT_TAG: u8 = b'T';
const NEVER_ACCEPTED_TAG: u8 = b'N';
const REJECTED_TAG: u8 = b'D';
const SERVED_TAG: u8 = b'H';
const FAILED_TAG: u8 = b'B';

/// Takes the place of the boot ID for a promise that ends with its incarnation.
const NO_BOOT: [u8; BOOT_ID_LENGTH] = [0; BOOT_ID_LENGTH];

/// Identifies the request that a record belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordKey {
    /// The incarnation of this gateway that accepted the request.
    pub incarnation: u64,
    /// The process that sent the request.
    pub origin: Origin,
    /// The sender's number for the request.
    pub number: ForwardNumber,
}

/// Encodes the key of a request's record.
pub fn encode_key(incarnation: u64, origin: &Origin, number: ForwardNumber) -> Vec<u8> {
    let mut key =
        Vec::with_capacity(NUMERIC_KEY_PREFIX_LENGTH + 1 + origin.site.len() + origin.instance.len());
    key.extend_from_slice(&incarnation.to_be_bytes());
    key.extend_from_slice(&number.to_be_bytes());
    key.extend_from_slice(&origin.incarnation.to_be_bytes());
    key.extend_from_slice(origin.site.as_bytes());
    key.push(0);
    key.extend_from_slice(origin.instance.as_bytes());
    key
}

/// Decodes the key of a request's record. Returns `None` if `key` is malformed.
pub fn decode_key(key: &[u8]) -> Option<RecordKey> {
    let (numbers, names) = key.split_at_checked(NUMERIC_KEY_PREFIX_LENGTH)?;
    let mut numbers = numbers.chunks_exact(8).map(|bytes| bytes.try_into().map(u64::from_be_bytes));
    let mut next_number = || numbers.next()?.ok();
    let incarnation = next_number()?;
    let number = next_number()?;
    let sender_incarnation = next_number()?;
    let (site, instance) = std::str::from_utf8(names).ok()?.split_once('\0')?;
    let origin =
        Origin { site: site.to_owned(), instance: instance.to_owned(), incarnation: sender_incarnation };
    Some(RecordKey { incarnation, origin, number })
}

/// Encodes the value of a request's record. [`Outcome::Unknown`] is stored as failed.
pub fn encode_outcome(outcome: &Outcome<&[u8]>) -> Vec<u8> {
    match outcome {
        Outcome::InFlight => vec![IN_FLIGHT_TAG],
        Outcome::NeverAccepted => vec![NEVER_ACCEPTED_TAG],
        Outcome::Rejected { retry_after } => [&[REJECTED_TAG][..], &retry_after.to_be_bytes()].concat(),
        Outcome::Served(response) => [&[SERVED_TAG][..], response].concat(),
        Outcome::Failed | Outcome::Unknown => vec![FAILED_TAG],
    }
}

/// Decodes the value of a request's record. A malformed value may stand for any outcome and decodes as
/// [`Outcome::Failed`]; a negative retry-after decodes as 0.
pub fn decode_outcome(value: &[u8]) -> Outcome<Vec<u8>> {
    match value.split_first() {
        Some((&IN_FLIGHT_TAG, [])) => Outcome::InFlight,
        Some((&NEVER_ACCEPTED_TAG, [])) => Outcome::NeverAccepted,
        Some((&REJECTED_TAG, rest)) => match rest.try_into().map(Micros::from_be_bytes) {
            Ok(retry_after) => Outcome::Rejected { retry_after: retry_after.max(0) },
            Err(_) => Outcome::Failed,
        },
        Some((&SERVED_TAG, rest)) => Outcome::Served(rest.to_vec()),
        _ => Outcome::Failed,
    }
}

/// A key and its value, as stored for a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPair {
    /// The key within the store's namespace for promises.
    pub key: Vec<u8>,
    /// The value: a time in microseconds, big-endian.
    pub value: [u8; 8],
}

/// Encodes one record of a promise that `incarnation` gave.
///
/// A [`PromiseRecord::End`] has a longer key than a [`PromiseRecord::Until`], so that versions of the program
/// that do not know it skip it.
pub fn encode_promise(incarnation: u64, record: PromiseRecord) -> StoredPair {
    let incarnation = incarnation.to_be_bytes();
    let (boot, at) = match record {
        PromiseRecord::Until(until) => {
            return StoredPair { key: incarnation.to_vec(), value: until.to_be_bytes() };
        }
        PromiseRecord::End(PromiseEnd::WithIncarnation) => (NO_BOOT, Micros::MAX),
        PromiseRecord::End(PromiseEnd::After(end)) => (end.boot.0, end.at),
    };
    StoredPair { key: [&incarnation[..], &boot].concat(), value: at.to_be_bytes() }
}

/// Decodes one record of a promise and the incarnation that gave it. Returns `None` if the record is
/// malformed.
pub fn decode_promise(key: &[u8], value: &[u8]) -> Option<(u64, PromiseRecord)> {
    let (incarnation, boot) = key.split_first_chunk()?;
    let at = Micros::from_be_bytes(value.try_into().ok()?);
    let record = match boot.try_into() {
        _ if boot.is_empty() => PromiseRecord::Until(at),
        Ok(NO_BOOT) => PromiseRecord::End(PromiseEnd::WithIncarnation),
        Ok(boot) => PromiseRecord::End(PromiseEnd::After(BootInstant { boot: BootId(boot), at })),
        Err(_) => return None,
    };
    Some((u64::from_be_bytes(*incarnation), record))
}
