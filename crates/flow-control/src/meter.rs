use crate::{Micros, MinimumRate};

/// How one peer stands against the least rate, as time in hand: bytes earn it, time in which something waits for
/// the peer uses it up. With none left the peer is behind.
///
/// Protects what a peer holds from one that moves too slowly, and from one that moves a byte at a time so as to
/// look alive. A peer ahead keeps so much in hand that it may pause for the window; a pause at the start is
/// allowed for. Should also cover machines that vanish and processes that stand still. Harms a peer whose bytes
/// come in pieces larger than the least rate brings in a window: buffers on the way must be smaller than that.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMeter {
    minimum: MinimumRate,
    /// Time in hand at `at`; never more than the window, never further behind than it.
    in_hand: Micros,
    at: Micros,
    /// Something waits for the peer.
    running: bool,
    behind_since: Option<Micros>,
}

impl ProgressMeter {
    /// At rest, with the allowance for a start.
    pub fn new(now: Micros, minimum: MinimumRate) -> ProgressMeter {
        ProgressMeter { minimum, in_hand: minimum.start, at: now, running: false, behind_since: None }
    }

    /// The same peer under another least rate; it starts anew where that asks for more.
    pub fn set_minimum_rate(&mut self, now: Micros, minimum: MinimumRate) {
        self.account(now);
        if self.minimum != minimum {
            self.in_hand = self.in_hand.clamp(-minimum.window, minimum.window.max(minimum.start));
            self.minimum = minimum;
        }
    }

    /// From now on something waits for the peer.
    pub fn start(&mut self, now: Micros) {
        self.account(now);
        self.running = true;
    }

    /// The peer took or gave so many bytes.
    pub fn record_progress(&mut self, now: Micros, bytes: u64) {
        self.account(now);
        let earned = bytes.saturating_mul(1_000_000) / self.minimum.rate.max(1);
        let earned = Micros::try_from(earned).unwrap_or(Micros::MAX);
        let most = self.minimum.window.max(self.in_hand);
        self.in_hand = self.in_hand.saturating_add(earned).min(most);
        if self.in_hand >= 0 {
            self.behind_since = None;
        }
    }

    /// Nothing waits for it any more.
    pub fn stop(&mut self, now: Micros) {
        self.account(now);
        self.running = false;
    }

    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Since when it has been under the least rate.
    pub fn behind_since(&self, now: Micros) -> Option<Micros> {
        let falls = self.deadline().filter(|&due| due < now);
        self.behind_since.or(falls)
    }

    /// When it falls behind if nothing moves until then; `None` at rest.
    pub fn deadline(&self) -> Option<Micros> {
        self.running.then(|| self.behind_since.unwrap_or(self.at.saturating_add(self.in_hand)))
    }

    fn account(&mut self, now: Micros) {
        let passed = (now - self.at).max(0);
        if self.running {
            self.behind_since = self.behind_since(now);
            self.in_hand = (self.in_hand - passed).max(-self.minimum.window);
        } else {
            // At rest the allowance for a start comes back.
            let back = self.in_hand.saturating_add(passed).min(self.minimum.start);
            self.in_hand = self.in_hand.max(back);
            self.behind_since = None;
        }
        self.at = self.at.max(now);
    }
}
