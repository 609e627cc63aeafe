//! What decisions measure: durations in small histograms, round trips, and the offset of other machines' clock.

mod histogram;
mod offset;
mod trip;

pub use histogram::Histogram;
pub use offset::ClockOffset;
pub use trip::Trip;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;
