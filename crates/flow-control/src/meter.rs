//! Whether one peer moves its bytes quickly enough.

use crate::{Micros, MinimumRate, SECOND};

/// Which way the bytes go that a peer is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// The peer is to read: its response is written.
    ToPeer,
    /// The peer is to send: the rest of its statement is expected.
    FromPeer,
}

/// Measures one peer against its minimum rate, as a credit of time: bytes earn credit, time in which the peer is waited for
/// spends it. A peer whose credit is used up is behind.
///
/// One figure serves transfers of all sizes: a quick peer may pause for what it has earned, and one that moves single bytes
/// so as to look alive earns next to nothing. The cost: a peer whose bytes come in pieces larger than the minimum rate
/// brings in [`MinimumRate::pause_allowance`] falls behind between them, so buffers on the way must be smaller than that.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    minimum: MinimumRate,
    /// Credit as of `updated_at`: never more than a pause allowance or the start allowance, never less than a pause
    /// allowance below zero, so that a peer that was idle for long can catch up.
    credit: Micros,
    updated_at: Micros,
    /// Whether the peer is waited for.
    running: bool,
    slow_since: Option<Micros>,
}

impl ProgressMeter {
    /// A stopped meter, with the credit for a start.
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

    /// Measures the same peer against another rate from now on. Its credit is kept, as far as the new rate allows for.
    pub fn set_minimum_rate(&mut self, now: Micros, minimum: MinimumRate) {
        self.update(now);
        if self.minimum != minimum {
            let max_credit = minimum.pause_allowance.max(minimum.start_allowance);
            self.credit = self.credit.clamp(-minimum.pause_allowance, max_credit);
            self.minimum = minimum;
        }
    }

    /// The peer is waited for from now on.
    pub fn start(&mut self, now: Micros) {
        self.update(now);
        self.running = true;
    }

    /// The peer read or sent this many bytes.
    pub fn record_progress(&mut self, now: Micros, bytes: u64) {
        self.update(now);
        let earned = transfer_time(bytes, self.minimum.bytes_per_second);
        let max_credit = self.minimum.pause_allowance.max(self.credit);
        self.credit = self.credit.saturating_add(earned).min(max_credit);
        if self.credit >= 0 {
            self.slow_since = None;
        }
    }

    /// The peer is waited for no longer.
    pub fn stop(&mut self, now: Micros) {
        self.update(now);
        self.running = false;
    }

    /// Whether the peer is waited for.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Since when the peer has been behind its minimum rate; `None` while it keeps up.
    #[must_use]
    pub fn slow_since(&self, now: Micros) -> Option<Micros> {
        let passed_deadline = self.deadline().filter(|&deadline| deadline < now);
        self.slow_since.or(passed_deadline)
    }

    /// When the peer falls behind if it moves nothing until then, or when it fell behind; `None` while the meter is stopped.
    #[must_use]
    pub fn deadline(&self) -> Option<Micros> {
        let credit_exhausted_at = self.updated_at.saturating_add(self.credit);
        self.running.then_some(self.slow_since.unwrap_or(credit_exhausted_at))
    }

    /// Brings the credit up to date. A running meter spends it; a stopped one earns the start allowance back.
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

/// How long this many bytes take at a rate in bytes a second; a rate of zero counts as one.
pub(crate) fn transfer_time(bytes: u64, bytes_per_second: u64) -> Micros {
    let micros = bytes.saturating_mul(SECOND as u64) / bytes_per_second.max(1);
    Micros::try_from(micros).unwrap_or(Micros::MAX)
}
