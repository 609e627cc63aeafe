//! Tells client retries from first attempts where clients do not mark them.

use crate::Micros;

/// The most that a detector's confidence grows to, in requests.
const MAX_CONFIDENCE: i32 = 64;
/// A shorter wait is taken for that of a retry only after this many requests agreed on the usual one.
const MIN_CONFIDENCE: i32 = 2;

/// What a request is, as far as its client's wait tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientAttempt {
    /// The first attempt of its client.
    First,
    /// Its client waits for another time than most; it is ranked as a retry, but its objective counts from
    /// now.
    Unusual,
    /// A retry: the time missing from its wait has gone by already.
    Retry,
}

/// Learns how long most clients of a request class wait: most first attempts bring the same time, so a
/// shorter one is a retry.
///
/// Guards against serving first what a client has already waited for in vain; costs a client in a hurry,
/// whose first attempt is ranked as a retry, when clients of one class wait for different times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryDetector {
    usual_wait: Micros,
    confidence: i32,
}

impl RetryDetector {
    /// Takes in the whole wait of a request that is not marked, in microseconds, and says what the request
    /// is.
    pub(crate) fn classify(&mut self, wait: Micros) -> ClientAttempt {
        let is_usual = (wait - self.usual_wait).abs() <= self.usual_wait / 64;
        self.update_majority(wait, is_usual);
        if is_usual {
            ClientAttempt::First
        } else if self.confidence >= MIN_CONFIDENCE && wait < self.usual_wait {
            ClientAttempt::Retry
        } else {
            ClientAttempt::Unusual
        }
    }

    /// A running majority vote: a wait that loses its majority is replaced by the newest one.
    fn update_majority(&mut self, wait: Micros, is_usual: bool) {
        if is_usual {
            self.confidence = (self.confidence + 1).min(MAX_CONFIDENCE);
            return;
        }
        self.confidence -= 1;
        if self.confidence < 0 {
            self.usual_wait = wait;
            self.confidence = 1;
        }
    }
}
