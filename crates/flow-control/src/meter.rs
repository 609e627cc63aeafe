use crate::{Least, Micros};

/// How one peer stands against the least rate, as time in hand: bytes earn it, time in which something waits for
/// the peer uses it up. With none left the peer is behind.
///
/// Protects what a peer holds from one that moves too slowly, and from one that moves a byte at a time so as to
/// look alive. A peer ahead keeps so much in hand that it may pause for the window; a pause at the start is
/// allowed for. Should also cover machines that vanish and processes that stand still. Harms a peer whose bytes
/// come in pieces larger than the least rate brings in a window: buffers on the way must be smaller than that.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    least: Least,
    /// Time in hand at `at`; never more than the window, never further behind than it.
    in_hand: Micros,
    at: Micros,
    /// Something waits for the peer.
    owing: bool,
    behind_since: Option<Micros>,
}

impl Meter {
    /// At rest, with the allowance for a start.
    pub fn start(least: Least, now: Micros) -> Meter {
        Meter { least, in_hand: least.start, at: now, owing: false, behind_since: None }
    }

    /// The same peer under another least rate; it starts anew where that asks for more.
    pub fn under(&mut self, least: Least, now: Micros) {
        self.account(now);
        if self.least != least {
            self.in_hand = self.in_hand.clamp(-least.window, least.window.max(least.start));
            self.least = least;
        }
    }

    /// From now on something waits for the peer.
    pub fn owes(&mut self, now: Micros) {
        self.account(now);
        self.owing = true;
    }

    /// The peer took or gave so many bytes.
    pub fn moved(&mut self, now: Micros, bytes: u64) {
        self.account(now);
        let earned = bytes.saturating_mul(1_000_000) / self.least.rate.max(1);
        let earned = Micros::try_from(earned).unwrap_or(Micros::MAX);
        let most = self.least.window.max(self.in_hand);
        self.in_hand = self.in_hand.saturating_add(earned).min(most);
        if self.in_hand >= 0 {
            self.behind_since = None;
        }
    }

    /// Nothing waits for it any more.
    pub fn rests(&mut self, now: Micros) {
        self.account(now);
        self.owing = false;
    }

    pub fn is_owing(&self) -> bool {
        self.owing
    }

    /// Since when it has been under the least rate.
    pub fn behind_since(&self, now: Micros) -> Option<Micros> {
        let falls = self.due().filter(|&due| due < now);
        self.behind_since.or(falls)
    }

    /// When it falls behind if nothing moves until then; `None` at rest.
    pub fn due(&self) -> Option<Micros> {
        self.owing.then(|| self.behind_since.unwrap_or(self.at.saturating_add(self.in_hand)))
    }

    fn account(&mut self, now: Micros) {
        let passed = (now - self.at).max(0);
        if self.owing {
            self.behind_since = self.behind_since(now);
            self.in_hand = (self.in_hand - passed).max(-self.least.window);
        } else {
            // At rest the allowance for a start comes back.
            let back = self.in_hand.saturating_add(passed).min(self.least.start);
            self.in_hand = self.in_hand.max(back);
            self.behind_since = None;
        }
        self.at = self.at.max(now);
    }
}
