/// How far a driver doubts itself: Lifeguard's local health. Whoever finds others mute, or stood still, may be the one
/// that cannot hear, and waits longer before it accuses.
///
/// Protects the others from a driver that is slow or cut off. Harms the speed at which a real death is found by one that
/// is in doubt, `MOST` times at the worst; those that are well find it meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u8);

const MOST: u8 = 7;

impl Health {
    /// A probe was answered, by the fellow itself or by way of others.
    pub fn heard(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A probe was not answered, nor by way of others.
    pub fn unheard(&mut self) {
        self.0 = (self.0 + 1).min(MOST);
    }

    /// This process stood still, or was taken for dead by the others.
    pub fn absent(&mut self) {
        self.0 = (self.0 + 2).min(MOST);
    }

    /// By how much all patience is stretched.
    pub fn stretch(self) -> u32 {
        u32::from(self.0) + 1
    }
}
