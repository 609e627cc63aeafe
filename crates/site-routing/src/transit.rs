//! Bounds the time that a request was in transit between two gateways, without a common clock.
//!
//! Every capacity announcement has a number, and a request names the last announcement that its sender had received
//! from the receiver, and how long before. The request was sent after that announcement, which bounds its transit by
//! the receiver's own clock, whatever delayed the two: the link, or a process that did not run.

use std::collections::VecDeque;

use crate::Micros;

/// Number of announcements that are remembered, to all gateways together.
const MAX_REMEMBERED: usize = 4096;
/// Transit assumed if the announcement that a request names is not remembered, in microseconds: longer than any timeout.
const UNBOUNDED_TRANSIT: Micros = 1_000_000_000;

/// The last announcement of the receiver that the sender of a request had received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncementEcho {
    /// Number of the announcement.
    pub number: u64,
    /// How long before the request was sent the announcement was received, in microseconds.
    pub age: Micros,
}

/// When this gateway sent its recent announcements.
#[derive(Debug, Default)]
pub struct AnnouncementTimes {
    last_number: u64,
    /// Number and time of each announcement, oldest first.
    sent: VecDeque<(u64, Micros)>,
}

impl AnnouncementTimes {
    /// Returns the number of an announcement that is sent now; the first one is 1.
    pub fn announce(&mut self, now: Micros) -> u64 {
        self.last_number += 1;
        self.sent.push_back((self.last_number, now));
        if self.sent.len() > MAX_REMEMBERED {
            self.sent.pop_front();
        }
        self.last_number
    }

    /// Returns the longest time that a request that arrives now was in transit, in microseconds. `echo` is what its
    /// sender states; `None` if it states nothing, and then nothing is known.
    pub fn max_transit(&self, now: Micros, echo: Option<AnnouncementEcho>) -> Option<Micros> {
        let AnnouncementEcho { number, age } = echo?;
        let found = self.sent.binary_search_by_key(&number, |&(sent, _)| sent);
        let transit = found.map_or(UNBOUNDED_TRANSIT, |index| now - self.sent[index].1 - age);
        Some(transit.clamp(0, UNBOUNDED_TRANSIT))
    }
}

/// The times of a request as its sender stated them, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedTimes {
    /// The time until its deadline on arrival, by the sender's estimate of the way.
    pub timeout: Micros,
    /// The sender's estimate of the way, which is taken off the timeout.
    pub one_way_delay: Micros,
    /// The time from its first attempt that may have run to its sending; `None` if none may have run.
    pub earlier_attempt_age: Option<Micros>,
}

impl StatedTimes {
    /// Returns the times on arrival. `max_transit` bounds the time in transit, if it is known; else `one_way_delay`
    /// is assumed, the receiver's estimate.
    ///
    /// The deadline is moved only by what the transit exceeds a usual round trip, as the bound includes the way of the
    /// announcement. The age of an attempt includes all of it, as an attempt after the deduplication window takes
    /// effect again.
    pub fn on_arrival(self, max_transit: Option<Micros>, one_way_delay: Micros) -> StatedTimes {
        let held_up = max_transit.map_or(0, |transit| (transit - 2 * self.one_way_delay).max(0));
        let transit = max_transit.unwrap_or(one_way_delay);
        StatedTimes {
            timeout: self.timeout - held_up,
            earlier_attempt_age: self.earlier_attempt_age.map(|age| age + transit),
            ..self
        }
    }
}
