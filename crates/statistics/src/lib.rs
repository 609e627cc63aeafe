//! Estimators for routing decisions: quantiles of durations, round-trip times, and the offset of
//! other machines' clocks.
//!
//! - [`Histogram`]: quantiles of durations, weighted towards recent ones.
//! - [`RoundTripEstimate`]: mean and variation of a round-trip time, as in RFC 6298.
//! - [`ClockOffset`]: how far other machines' wall clock is ahead of this process's clock.
//!
//! **Inputs**: samples, in microseconds, on the caller's clock. **Outputs**: estimates, which are
//! `None` or a neutral value while there are too few samples. **Callers**: `routing`,
//! `site-routing` and the proxy's dispatcher. Each type uses a fixed or bounded amount of memory,
//! and recording a sample takes constant time. This crate does no I/O and has no clock.
//!
//! ```
//! use aldermill_statistics::{Histogram, RoundTripEstimate};
//!
//! let mut service_times = Histogram::default();
//! for milliseconds in 1..=100 {
//!     service_times.add(milliseconds * 1_000, 1_000);
//! }
//! // Each bin ends at 1.35 times the end of the previous one, which bounds the error factor.
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

/// A number of microseconds: an instant on the caller's clock, or a duration.
pub type Micros = i64;
