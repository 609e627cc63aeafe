//! Restores state from the records of an earlier start.

use thiserror::Error;

use crate::records::{FORMAT_VERSION, Identity, SINGLE_RECORD_KEY, ServiceTimes, decode, decode_group_key};
use crate::{KnownPrimary, Micros, StateSnapshot, namespace};

/// A primary that was confirmed longer ago than this, in microseconds (24 h), is not used. A wrong
/// primary costs a proxy one attempt for its group, so even a guess that is a day old is cheaper
/// than a primary search.
const PRIMARY_MAX_AGE: Micros = 24 * 3_600_000_000;
/// Service times that were written longer ago than this, in microseconds (10 min), are not used,
/// because those of another hour are misleading.
const SERVICE_TIMES_MAX_AGE: Micros = 600_000_000;
/// How far a record's time may be ahead of the clock, in microseconds (1 s). The clocks of
/// different machines differ, and a clock may be stepped between two starts.
const MAX_CLOCK_AHEAD: Micros = 1_000_000;

/// A record's namespace, key and value.
type Record<'a> = (u32, &'a [u8], &'a [u8]);

/// State that is restored from an earlier start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// The state that the earlier start saved, without values that are too old.
    pub snapshot: StateSnapshot,
    /// Time since the newest confirmation of a primary, in microseconds and never negative; `None`
    /// if no primary is restored.
    pub newest_confirmation_age: Option<Micros>,
    /// Number of records that are not used: unreadable, of an unknown namespace, too old, dated in
    /// the future, or endpoints without the revision of their list.
    pub unusable_records: usize,
}

/// The reason why no record of a data directory is used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The records were written by another proxy, whose name is given.
    #[error("the data directory belongs to proxy {0}; configure a separate directory for each proxy")]
    OtherOwner(String),
    /// The records were written by a later version of the program, in the given format version.
    #[error(
        "the records have format version {0}, which this version cannot read; run a newer version or configure another directory"
    )]
    NewerFormat(u32),
    /// There are records, but none of them identifies the owner.
    #[error(
        "the records do not identify their owner; configure an empty directory or one written by this program"
    )]
    NoIdentity,
}

/// Restores state from the records of a data directory, each given as namespace, key and value. A
/// directory without records counts as new and restores an empty state.
///
/// `name` is the name of this proxy, and `now` is the Unix time in microseconds.
///
/// Without restored state, a restarted proxy would search for every primary, try members that are
/// gone, and reject clients until the endpoint list arrives. The trade-off is that, if the primary
/// of a group has changed in the meantime, the first attempt for this group may go to the former
/// primary.
///
/// # Errors
///
/// Returns a [`RestoreError`] if the records belong to another proxy, do not identify their owner,
/// or have a format that this version cannot read.
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
    /// Adds a record to the restored state. Returns `true` if the record was used, or if it is the
    /// identity record or belongs to another module; `false` if it is unusable.
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

    /// Drops endpoints without a revision, which cannot be compared with a later list, and a
    /// revision without endpoints, which is not a list.
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
