//! What decisions measure: durations in small histograms, round trips, and the offset of other machines' clock.

mod clock_offset;
mod histogram;
mod round_trip;

pub use clock_offset::ClockOffset;
pub use histogram::Histogram;
pub use round_trip::RoundTripEstimate;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;
