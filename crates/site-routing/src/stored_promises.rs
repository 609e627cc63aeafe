//! Promises that earlier incarnations left on disk, and which of them were kept to the end.

use std::collections::BTreeMap;

use crate::Micros;
use crate::recording_promise::PROMISE_DURATION;

/// The bytes of a [`BootId`].
pub const BOOT_ID_LENGTH: usize = 16;

/// Names a boot of a machine; no other boot has the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BootId(pub [u8; BOOT_ID_LENGTH]);

/// An instant on the clock of a boot: it starts with the boot, counts suspensions, and cannot be set. All processes of the
/// boot read the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BootInstant {
    /// Whose clock it is.
    pub boot: BootId,
    /// What that clock shows, in microseconds.
    pub at: Micros,
}

/// When a promise ends, told so that a later incarnation can judge it whatever was done to the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PromiseEnd {
    /// With the incarnation that gave it.
    WithIncarnation,
    /// After this instant.
    After(BootInstant),
}

impl PromiseEnd {
    /// Whether the promise had not ended before `now`. On another boot's clock nothing can be told.
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

/// What stands on the disk of one promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseRecord {
    /// Until when it holds, in microseconds of Unix time.
    Until(Micros),
    /// When it ends, by what no step of the wall clock moves.
    End(PromiseEnd),
}

/// Both records of one promise, as far as they were read.
#[derive(Clone, Copy, Default)]
struct StoredPromise {
    until: Option<Micros>,
    end: Option<PromiseEnd>,
}

/// The promises of earlier incarnations.
#[derive(Default)]
pub struct StoredPromises {
    by_incarnation: BTreeMap<u64, StoredPromise>,
}

impl StoredPromises {
    /// Takes over a record that was read back.
    pub fn add(&mut self, incarnation: u64, record: PromiseRecord) {
        let promise = self.by_incarnation.entry(incarnation).or_default();
        match record {
            PromiseRecord::Until(until) => promise.until = Some(until),
            PromiseRecord::End(end) => promise.end = Some(end),
        }
    }

    /// The incarnations that had kept their promise when they ended, and until when it held in Unix time; `now` is the
    /// present, where the system has a boot clock.
    ///
    /// Unix time alone is not trusted: an incarnation may accept requests without a record once its promise is over, and
    /// under a wall clock that was set back the promise would look whole again. So a promise that was stored without its
    /// end, as earlier versions of the program did, proves nothing.
    pub fn kept(&self, now: Option<BootInstant>) -> impl Iterator<Item = (u64, Micros)> {
        self.by_incarnation.iter().filter_map(move |(&incarnation, promise)| {
            let was_kept = promise.end.is_some_and(|end| end.was_kept(now));
            promise.until.filter(|_| was_kept).map(|until| (incarnation, until))
        })
    }
}
