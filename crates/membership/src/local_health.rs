//! Local health score of Lifeguard, which lengthens timeouts while this proxy may itself be impaired.

/// Local health score, from 0 (healthy) to [`LocalHealth::MAX_SCORE`].
///
/// A proxy that receives no answers, or was stalled, may itself be slow or cut off. It then waits longer before it
/// suspects others, so that they are not declared dead because of its own fault. The cost is that an impaired proxy
/// detects a real death later, by up to [`LocalHealth::MAX_SCORE`] times the usual time; healthy proxies detect it in the
/// meantime.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth(u8);

impl LocalHealth {
    /// Highest, least healthy score.
    const MAX_SCORE: u8 = 7;
    /// Increase of the score after a stall or after this proxy was declared dead. Either is stronger evidence than a
    /// single unanswered probe, which adds 1.
    const ABSENCE_PENALTY: u8 = 2;

    /// Lowers the score by 1 after a probe was answered, directly or through other proxies.
    pub(crate) fn record_probe_success(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Raises the score by 1 after a probe was answered neither directly nor through other proxies.
    pub(crate) fn record_probe_failure(&mut self) {
        self.0 = (self.0 + 1).min(Self::MAX_SCORE);
    }

    /// Raises the score after a stall, or after this proxy changed its identity.
    pub(crate) fn record_absence(&mut self) {
        self.0 = (self.0 + Self::ABSENCE_PENALTY).min(Self::MAX_SCORE);
    }

    /// Factor by which timeouts are longer than those of a healthy proxy: 1 if healthy.
    pub(crate) fn timeout_factor(self) -> u32 {
        u32::from(self.0) + 1
    }
}
