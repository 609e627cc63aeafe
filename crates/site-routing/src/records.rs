//! The form of records on disk, as `docs/store.md` has it. Records outlast versions of the program: the form never changes.

use crate::stored_promises::BOOT_ID_LENGTH;
use crate::{BootId, BootInstant, ForwardNumber, Micros, Origin, Outcome, PromiseEnd, PromiseRecord};

/// The bytes of a key's three numbers: the receiver's incarnation, the request's number, the sender's incarnation.
const NUMERIC_KEY_PREFIX_LENGTH: usize = 24;

const IN_FLIGHT_TAG: u8 = b'T';
const NEVER_ACCEPTED_TAG: u8 = b'N';
const REJECTED_TAG: u8 = b'D';
const SERVED_TAG: u8 = b'H';
const FAILED_TAG: u8 = b'B';

/// Stands for the boot of a promise that ends with its incarnation.
const NO_BOOT: [u8; BOOT_ID_LENGTH] = [0; BOOT_ID_LENGTH];

/// Which request a record is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordKey {
    /// The incarnation of this gateway that accepted the request.
    pub incarnation: u64,
    /// Who sent the request.
    pub origin: Origin,
    /// The sender's number for it.
    pub number: ForwardNumber,
}

/// A record's key in the store.
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

/// Reads a record's key; `None` where it is not one.
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

/// A record's value in the store. An outcome that is unknown is recorded as failed.
pub fn encode_outcome(outcome: &Outcome<&[u8]>) -> Vec<u8> {
    match outcome {
        Outcome::InFlight => vec![IN_FLIGHT_TAG],
        Outcome::NeverAccepted => vec![NEVER_ACCEPTED_TAG],
        Outcome::Rejected { retry_after } => [&[REJECTED_TAG][..], &retry_after.to_be_bytes()].concat(),
        Outcome::Served(response) => [&[SERVED_TAG][..], response].concat(),
        Outcome::Failed | Outcome::Unknown => vec![FAILED_TAG],
    }
}

/// Reads a record's value. One that cannot be read may have been any outcome, and counts as failed.
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

/// A key and its value in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPair {
    /// The key in its namespace.
    pub key: Vec<u8>,
    /// The value.
    pub value: [u8; 8],
}

/// A promise of `incarnation` as it stands in the store. An end stands under a longer key than the Unix time, which
/// versions of the program that know no end pass over.
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

/// Reads a promise: whose it is, and what the record says; `None` where it is not one.
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
