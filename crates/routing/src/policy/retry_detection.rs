//! Detection of client retries, for clients that do not mark them.

use crate::Micros;

/// Maximum confidence of a detector, in requests.
const MAX_CONFIDENCE: i32 = 64;
/// Confidence, in requests that agree on the usual wait, from which a shorter wait is taken for that of a
/// retry.
const MIN_CONFIDENCE: i32 = 2;

/// What a request is to its client, as inferred from how long the client waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientAttempt {
    /// The client's first attempt.
    First,
    /// The client waits for a different time than most. The request is ranked as a retry, but its objective
    /// counts from now.
    Unusual,
    /// A retry: the time by which its wait is shorter than the usual one has already passed.
    Retry,
}

/// Learns how long most clients of a request class wait. Most first attempts carry the same wait, so a
/// shorter wait indicates a retry.
///
/// This keeps requests for which a client has already waited in vain from being served first. The cost: if
/// clients of one class wait for different times, the first attempt of an impatient client is ranked as a
/// retry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryDetector {
    usual_wait: Micros,
    confidence: i32,
}

impl RetryDetector {
    /// Records the whole wait of a request, in microseconds, and returns what the request is if it is not
    /// marked.
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

    /// Updates a running majority vote: once the usual wait loses its majority, the newest wait replaces it.
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
