//! What decisions measure: durations in small histograms, and round trips.

mod histogram;
mod trip;

pub use histogram::Histogram;
pub use trip::Trip;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;
