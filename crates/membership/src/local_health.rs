//! Lifeguard's local health: how far this proxy doubts its own view of the others.

/// How far this proxy doubts its own view of the others. Zero is healthy.
///
/// A proxy that hears no answers, or was stalled, may itself be the one that is slow or cut off. It waits longer before it
/// accuses others, so that they aren't declared dead for its fault. The cost: while it is in doubt it finds a real death up
/// to [`LocalHealth::MAX_SCORE`] times later; healthy proxies find it meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth(u8);

impl LocalHealth {
    const MAX_SCORE: u8 = 7;
    /// What a stall, or being declared dead, adds: it says more than one probe without an answer.
    const ABSENCE_PENALTY: u8 = 2;

    /// A probe was answered, by the probed proxy itself or through others.
    pub(crate) fn record_probe_success(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A probe was not answered, not through others either.
    pub(crate) fn record_probe_failure(&mut self) {
        self.0 = (self.0 + 1).min(Self::MAX_SCORE);
    }

    /// This process was stalled, or the others had declared it dead.
    pub(crate) fn record_absence(&mut self) {
        self.0 = (self.0 + Self::ABSENCE_PENALTY).min(Self::MAX_SCORE);
    }

    /// The factor by which timeouts are longer than for a healthy proxy.
    pub(crate) fn timeout_factor(self) -> u32 {
        u32::from(self.0) + 1
    }
}
