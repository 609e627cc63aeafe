//! Recording promises that previous incarnations stored on disk, and the check which of them held to the end.

use std::collections::BTreeMap;

use crate::Micros;
use crate::recording_promise::PROMISE_DURATION;

/// Length of a [`BootId`] in bytes.
pub const BOOT_ID_LENGTH: usize = 16;

/// Unique identifier of one boot of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BootId(pub [u8; BOOT_ID_LENGTH]);

/// An instant on a machine's boot clock.
///
/// The clock starts when the machine boots, keeps counting while the machine is suspended, and cannot be set. All
/// processes of the boot read the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BootInstant {
    /// Boot that the clock belongs to.
    pub boot: BootId,
    /// Reading of the clock, in microseconds.
    pub at: Micros,
}

/// When a promise ends, in a form that a later incarnation can check even if the wall clock was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PromiseEnd {
    /// The promise lasts as long as the incarnation that made it.
    WithIncarnation,
    /// The promise ends after this instant.
    After(BootInstant),
}

impl PromiseEnd {
    /// Returns whether the promise had not ended before `now`. Clocks of different boots cannot be compared, so a
    /// promise timed on another boot's clock is not taken to have held.
    fn was_kept(&self, now: Option<BootInstant>) -> bool {
        match (self, now) {
            (PromiseEnd::WithIncarnation, _) => true,
            (PromiseEnd::After(end), Some(now)) => {
                end.boot == now.boot && (now.at..=now.at.saturating_add(PROMISE_DURATION)).contains(&end.at)
            }
            (PromiseEnd::After(_), None) => false,
        }
    }
}

/// One of the two records stored on disk for each promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseRecord {
    /// End of the promise in microseconds of Unix time.
    Until(Micros),
    /// End of the promise in a form that no change of the wall clock affects.
    End(PromiseEnd),
}

/// Both records of one promise; `None` stands for a record that was not read back.
#[derive(Clone, Copy, Default)]
struct StoredPromise {
    until: Option<Micros>,
    end: Option<PromiseEnd>,
}

/// Promises of previous incarnations, as read back from disk.
#[derive(Default)]
pub struct StoredPromises {
    by_incarnation: BTreeMap<u64, StoredPromise>,
}

impl StoredPromises {
    /// Adds a record that was read back.
    pub fn add(&mut self, incarnation: u64, record: PromiseRecord) {
        let promise = self.by_incarnation.entry(incarnation).or_default();
        match record {
            PromiseRecord::Until(until) => promise.until = Some(until),
            PromiseRecord::End(end) => promise.end = Some(end),
        }
    }

    /// Returns the incarnations whose promise still held when they ended, each with the end of its promise in
    /// microseconds of Unix time. `now` is the current instant on the boot clock, or `None` if the system has no boot
    /// clock.
    ///
    /// Unix time alone is not trusted: an incarnation may accept requests without a record once its promise has ended,
    /// and if the wall clock was then set back, the promise would appear to be still in force. A promise that was
    /// stored without a [`PromiseRecord::End`], as earlier versions of the program did, therefore proves nothing.
    pub fn kept(&self, now: Option<BootInstant>) -> impl Iterator<Item = (u64, Micros)> {
        self.by_incarnation.iter().filter_map(move |(&incarnation, promise)| {
            let was_kept = promise.end.is_some_and(|end| end.was_kept(now));
            promise.until.filter(|_| was_kept).map(|until| (incarnation, until))
        })
    }
}
