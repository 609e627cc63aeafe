//! What a process knows of its own standstills, and how processes that start together keep apart.
//!
//! A process may be stopped at any instruction, for milliseconds to minutes, and is not told. [`StallDetector`] notices by
//! what its loop last did; what came meanwhile is dated, and time spent standing is told from time lived. [`start_jitter`]
//! spreads what drivers do once when they start. Nothing here has a clock or does I/O: each call brings `now`.

mod detector;
pub mod start_jitter;

pub use detector::{ReceiptBounds, STALL_THRESHOLD, StallDetector};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;
