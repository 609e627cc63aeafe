//! Measures whether a peer transfers its bytes at the minimum rate.

use crate::{Micros, MinimumRate, SECOND};

/// Direction of the bytes that the proxy waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// The peer must read: a response is being written to it.
    ToPeer,
    /// The peer must send: the rest of its statement is expected.
    FromPeer,
}

/// Measures one peer against its minimum rate with a credit of time. Bytes that the peer transfers earn credit; time
/// in which the proxy waits for it spends credit. A peer that has used up its credit is behind its minimum rate, i.e.
/// slow.
///
/// The same measure works for transfers of all sizes: a fast peer may pause for as long as the credit that it earned,
/// and a peer that sends single bytes to look alive earns next to nothing. The cost is that a peer whose bytes arrive
/// in chunks larger than the minimum rate transfers in [`MinimumRate::pause_allowance`] becomes slow between chunks, so
/// buffers on the way must be smaller than that.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    minimum: MinimumRate,
    /// Credit as of `updated_at`. At most the larger of pause allowance and start allowance. At least minus the pause
    /// allowance, so that a peer that was idle for long can catch up.
    credit: Micros,
    updated_at: Micros,
    /// Whether the proxy is waiting for the peer.
    running: bool,
    /// When the peer became slow, as of `updated_at`; `None` if it was not slow.
    slow_since: Option<Micros>,
}

impl ProgressMeter {
    /// Creates a stopped meter whose credit is the start allowance.
    #[must_use]
    pub fn new(now: Micros, minimum: MinimumRate) -> ProgressMeter {
        ProgressMeter {
            minimum,
            credit: minimum.start_allowance,
            updated_at: now,
            running: false,
            slow_since: None,
        }
    }

    /// Measures the peer against another rate from now on. Its credit is kept within the bounds of the new rate.
    pub fn set_minimum_rate(&mut self, now: Micros, minimum: MinimumRate) {
        self.update(now);
        if self.minimum != minimum {
            let max_credit = minimum.pause_allowance.max(minimum.start_allowance);
            self.credit = self.credit.clamp(-minimum.pause_allowance, max_credit);
            self.minimum = minimum;
        }
    }

    /// Starts spending credit, because the proxy is now waiting for the peer.
    pub fn start(&mut self, now: Micros) {
        self.update(now);
        self.running = true;
    }

    /// Records that the peer read or sent this many bytes.
    pub fn record_progress(&mut self, now: Micros, bytes: u64) {
        self.update(now);
        let earned = transfer_time(bytes, self.minimum.bytes_per_second);
        let max_credit = self.minimum.pause_allowance.max(self.credit);
        self.credit = self.credit.saturating_add(earned).min(max_credit);
        if self.credit >= 0 {
            self.slow_since = None;
        }
    }

    /// Stops spending credit, because the proxy is no longer waiting for the peer.
    pub fn stop(&mut self, now: Micros) {
        self.update(now);
        self.running = false;
    }

    /// Whether the proxy is waiting for the peer.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Since when the peer has been slow, i.e. behind its minimum rate; `None` if it is not slow.
    #[must_use]
    pub fn slow_since(&self, now: Micros) -> Option<Micros> {
        let passed_deadline = self.deadline().filter(|&deadline| deadline < now);
        self.slow_since.or(passed_deadline)
    }

    /// When the peer becomes slow if it transfers nothing until then, or when it became slow; `None` while the meter
    /// is stopped.
    #[must_use]
    pub fn deadline(&self) -> Option<Micros> {
        let credit_exhausted_at = self.updated_at.saturating_add(self.credit);
        self.running.then_some(self.slow_since.unwrap_or(credit_exhausted_at))
    }

    /// Brings the credit up to date. A running meter spends credit; a stopped one regains it up to the start
    /// allowance.
    fn update(&mut self, now: Micros) {
        let elapsed = (now - self.updated_at).max(0);
        if self.running {
            self.slow_since = self.slow_since(now);
            self.credit = (self.credit - elapsed).max(-self.minimum.pause_allowance);
        } else {
            let recovered = self.credit.saturating_add(elapsed).min(self.minimum.start_allowance);
            self.credit = self.credit.max(recovered);
            self.slow_since = None;
        }
        self.updated_at = self.updated_at.max(now);
    }
}

/// Time that this many bytes take at a rate in bytes per second. A rate of zero counts as one byte per second.
pub(crate) fn transfer_time(bytes: u64, bytes_per_second: u64) -> Micros {
    let micros = bytes.saturating_mul(SECOND as u64) / bytes_per_second.max(1);
    Micros::try_from(micros).unwrap_or(Micros::MAX)
}
