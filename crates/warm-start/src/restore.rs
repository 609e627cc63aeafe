//! Reading the records of a former start.

use thiserror::Error;

use crate::records::{FORMAT_VERSION, Identity, SINGLE_RECORD_KEY, ServiceTimes, decode, decode_group_key};
use crate::{KnownPrimary, Micros, StateSnapshot, namespace};

/// A primary that was confirmed longer ago is not used. A wrong one costs a proxy one attempt for its group, so that
/// even a guess of a day ago is cheaper than a search.
const PRIMARY_MAX_AGE: Micros = 24 * 3_600_000_000;
/// Service times that were written longer ago are not used: those of another hour mislead.
const SERVICE_TIMES_MAX_AGE: Micros = 600_000_000;
/// How far ahead of the clock a record's time may be: clocks of machines differ, and may be stepped between two starts.
const MAX_CLOCK_AHEAD: Micros = 1_000_000;

/// A record: its namespace, its key and its value.
type Record<'a> = (u32, &'a [u8], &'a [u8]);

/// What is used of a former start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// What that start knew, without what is too old.
    pub snapshot: StateSnapshot,
    /// How long ago the newest of the primaries was confirmed; `None` without primaries.
    pub newest_confirmation_age: Option<Micros>,
    /// Records that cannot be read, or are too old, or from the future.
    pub unusable_records: usize,
}

/// Why nothing of a data directory is used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// Another proxy, of this name, wrote the records.
    #[error("the data directory belongs to proxy {0}; give each proxy a directory of its own")]
    OtherOwner(String),
    /// A later version, with this record format, wrote the records.
    #[error(
        "the records have format {0}, which is newer than this program; run the newer version or name another directory"
    )]
    NewerFormat(u32),
    /// There are records, and none says whose they are.
    #[error("the records do not name their owner; name an empty directory or one that this program wrote")]
    NoIdentity,
}

/// Reads the records of a data directory: namespace, key and value of each. No record at all is a new directory.
///
/// Without it, a restarted proxy would search for every primary, try members that are gone, and reject clients until
/// the endpoint list comes. The cost: where something has changed meanwhile, the first attempt for a group may go to a
/// former primary.
///
/// # Errors
///
/// The records are not this proxy's, which is called `name`, or not of a format that it can read.
pub fn restore<'a>(
    name: &str,
    now: Micros,
    records: impl Iterator<Item = (u32, &'a [u8], &'a [u8])>,
) -> Result<RestoredState, RestoreError> {
    let records: Vec<Record<'a>> = records.collect();
    if records.is_empty() {
        return Ok(RestoredState::default());
    }
    check_identity(name, &records)?;
    let mut restored = RestoredState::default();
    for record in records {
        if !restored.apply_record(now, record) {
            restored.unusable_records += 1;
        }
    }
    restored.drop_incomplete_endpoint_list();
    let confirmations = restored.snapshot.primaries.values().map(|primary| primary.confirmed_at);
    restored.newest_confirmation_age = confirmations.max().map(|newest| (now - newest).max(0));
    Ok(restored)
}

fn check_identity(name: &str, records: &[Record<'_>]) -> Result<(), RestoreError> {
    let is_identity =
        |(namespace, key, _): &&Record<'_>| *namespace == namespace::IDENTITY && *key == SINGLE_RECORD_KEY;
    let identity = records.iter().find(is_identity).and_then(|(_, _, value)| decode::<Identity>(value));
    match identity {
        None => Err(RestoreError::NoIdentity),
        Some(identity) if identity.format > FORMAT_VERSION => Err(RestoreError::NewerFormat(identity.format)),
        Some(identity) if identity.name != name => Err(RestoreError::OtherOwner(identity.name)),
        Some(_) => Ok(()),
    }
}

fn is_fresh(now: Micros, written_at: Micros, max_age: Micros) -> bool {
    written_at <= now + MAX_CLOCK_AHEAD && now.saturating_sub(written_at) <= max_age
}

impl RestoredState {
    /// Takes a record in; whether it can be read and used, or is another module's.
    fn apply_record(&mut self, now: Micros, (namespace, key, value): Record<'_>) -> bool {
        match namespace {
            namespace::IDENTITY
            | namespace::OUTCOME_LOG
            | namespace::OUTCOME_LOG_PROMISES
            | namespace::GRANTED_TERMS
            | namespace::ACCEPTED_TERMS
            | namespace::SITE_DRAINS => true,
            namespace::ENDPOINT_LIST if key == SINGLE_RECORD_KEY => {
                self.snapshot.revision = decode(value);
                self.snapshot.revision.is_some()
            }
            namespace::ENDPOINT_LIST => self.apply_endpoint(key, value).is_some(),
            namespace::PRIMARIES => self.apply_primary(now, key, value).is_some(),
            namespace::HOME_SITES => self.apply_home_site(key, value).is_some(),
            namespace::SERVICE_TIMES => self.apply_service_times(now, value).is_some(),
            _ => false,
        }
    }

    fn apply_endpoint(&mut self, key: &[u8], value: &[u8]) -> Option<()> {
        let name = String::from_utf8(key.to_vec()).ok()?;
        let entry = String::from_utf8(value.to_vec()).ok()?;
        self.snapshot.members.insert(name, entry);
        Some(())
    }

    fn apply_primary(&mut self, now: Micros, key: &[u8], value: &[u8]) -> Option<()> {
        let group = decode_group_key(key)?;
        let primary: KnownPrimary = decode(value)?;
        if !is_fresh(now, primary.confirmed_at, PRIMARY_MAX_AGE) {
            return None;
        }
        self.snapshot.primaries.insert(group, primary);
        Some(())
    }

    fn apply_home_site(&mut self, key: &[u8], value: &[u8]) -> Option<()> {
        let group = decode_group_key(key)?;
        self.snapshot.home_sites.insert(group, decode(value)?);
        Some(())
    }

    fn apply_service_times(&mut self, now: Micros, value: &[u8]) -> Option<()> {
        let record: ServiceTimes = decode(value)?;
        if !is_fresh(now, record.written_at, SERVICE_TIMES_MAX_AGE) {
            return None;
        }
        self.snapshot.service_times = record.service_times;
        self.snapshot.concurrency_limits = record.concurrency_limits;
        Some(())
    }

    /// Entries without a revision cannot be compared with a later list, and a revision without entries is no list.
    fn drop_incomplete_endpoint_list(&mut self) {
        if self.snapshot.revision.is_none() {
            self.unusable_records += self.snapshot.members.len();
            self.snapshot.members.clear();
        }
        if self.snapshot.members.is_empty() {
            self.snapshot.revision = None;
        }
    }
}
