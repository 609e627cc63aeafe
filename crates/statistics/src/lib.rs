//! What decisions estimate from samples: quantiles of durations, round-trip times, and the offset of other machines' clocks.
//!
//! - [`Histogram`]: quantiles of durations, of which recent ones count more.
//! - [`RoundTripEstimate`]: the mean and variation of a round trip, as in RFC 6298.
//! - [`ClockOffset`]: how far the other machines' wall clock is ahead of this process's clock.
//!
//! **Inputs**: samples, in microseconds, of the caller's clock. **Outputs**: estimates; `None` or a neutral value as long as
//! there are too few samples. **Callers**: `routing`, `site-routing` and the proxy's dispatcher. Each type takes a fixed or
//! bounded amount of memory, and a sample takes constant time. Nothing here does I/O or has a clock.
//!
//! ```
//! use aldermill_statistics::{Histogram, RoundTripEstimate};
//!
//! let mut service_times = Histogram::default();
//! for milliseconds in 1..=100 {
//!     service_times.add(milliseconds * 1_000, 1_000);
//! }
//! // Bins are 1.35 times as wide as the one before: estimates are within that.
//! let median = service_times.quantile(0.5).unwrap();
//! assert!((37_000..68_000).contains(&median));
//!
//! let mut round_trip = RoundTripEstimate::with_initial_mean(50_000);
//! round_trip.record(10_000);
//! assert_eq!(round_trip.mean(), 10_000);
//! ```

#![warn(missing_docs)]

mod clock_offset;
mod histogram;
mod round_trip;

pub use clock_offset::ClockOffset;
pub use histogram::Histogram;
pub use round_trip::RoundTripEstimate;

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;
