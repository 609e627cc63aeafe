//! Stall detection: what a process knows of its own pauses, and how processes that start together keep apart.
//!
//! A process may be stopped at any instruction, for milliseconds or minutes, by a scheduler, a hypervisor or a suspended
//! machine, and nobody tells it. Then all its timers are due at once, and what others sent meanwhile looks as if it had just
//! arrived.
//!
//! - [`StallDetector`] notices by when its loop last ran. It tells stalled time from unstalled time, in which others are
//!   measured, and says when bytes were received that were read only after a stall.
//! - [`start_jitter`] spreads what all processes do at their start, and retries of what failed for all at once.
//!
//! **Inputs**: `now` of a clock that never goes back and counts suspension, at each step of the loop; for receipt, how long
//! ago the system received the last byte. **Outputs**: spans and bounds, in microseconds. **Caller**: the proxy's
//! `UnstalledClock`, its start and its discovery watch. Nothing here does I/O or has a clock; randomness is the caller's.
//!
//! The loop must run at least every 20 ms when nothing happens. One that is busy for longer than [`STALL_THRESHOLD`] is taken
//! for stalled: for those who wait for it that is the same.
//!
//! ```
//! use aldermill_stall_detection::StallDetector;
//!
//! let mut detector = StallDetector::new(0);
//! detector.observe(20_000);
//! // The process is stopped for two seconds.
//! detector.observe(2_020_000);
//! assert_eq!(detector.total_stalled_time(), 2_000_000);
//! assert_eq!(detector.unstalled_time(10_000, 2_030_000), 20_000);
//! ```

#![warn(missing_docs)]

mod detector;
pub mod start_jitter;

pub use detector::{ReceiptBounds, STALL_THRESHOLD, StallDetector};

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;
