//! Detects pauses of the process itself, and spreads work that many processes would otherwise start
//! at the same time.
//!
//! A scheduler, a hypervisor or the suspension of the machine may stop a process at any
//! instruction, for milliseconds or minutes, without notice. Afterwards all its timers are due at
//! once, and data that others sent during the pause looks as if it had just arrived.
//!
//! - [`StallDetector`] detects stalls from the gaps between runs of the event loop. It separates
//!   stalled time from unstalled time, which is the basis for measuring others, and bounds when
//!   data was received that was read only after a stall.
//! - [`start_jitter`] spreads the work that all processes do at their start, and retries of
//!   operations that failed for all of them at once.
//!
//! **Inputs**: at each step of the loop, `now` from a clock that never goes backwards and that
//! counts suspension; for bounds on receipt, the time since the system received the last byte.
//! **Outputs**: durations, instants and bounds, in microseconds. **Callers**: the proxy's
//! `UnstalledClock`, its startup and its discovery watch. This crate does no I/O and has no clock;
//! the caller supplies the random number generator.
//!
//! An idle loop must still run at least every 20 ms. A loop that is busy for longer than
//! [`STALL_THRESHOLD`] counts as stalled, because whoever waits for the process cannot tell the
//! difference.
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

/// A number of microseconds: an instant on the caller's clock, or a duration.
pub type Micros = i64;
