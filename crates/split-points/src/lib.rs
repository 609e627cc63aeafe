//! Where key ranges are best cut, from what all drivers saw of the keys.
//!
//! Each driver keeps a [`Sketch`] of each group's accesses over the key, as bytes in order, by cost. Its newest form is
//! reported; the holder of the duty puts all of them together ([`Picture`]) and keeps a recommendation for each group
//! ([`Advice`], for each range that its operators have cut it into [`Ranges`]): a point, the load on each side with an interval, who stands behind it, or why a cut would not help.
//!
//! The sketch is a priority sample (Duffield, Lund, Thorup: Priority sampling for estimation of arbitrary subset sums, 2007):
//! of n accesses with weights the k of highest weight / u are kept, u by chance from (0, 1]; each stands for the larger of its
//! weight and the highest priority left out, which is unbiased for every range of keys. Its relative standard error for a
//! whole of k samples is at most 1 / sqrt(k - 1). No library takes ordered bytes with weights. Heavy keys are counted apart by
//! SpaceSaving (Metwally, Agrawal, El Abbadi, 2005), which errs by the least count that it holds at most.
//!
//! Nothing here does I/O or has a clock.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod advice;
pub mod frame;
mod picture;
mod ranges;
mod sketch;

pub use advice::{Advice, Advisor, Said, State};
pub use picture::{Cut, Picture, Shape};
pub use ranges::{RangeAdvice, Ranges};
pub use sketch::{Heavy, Sample, Sketch, Summary};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A group of members.
pub type Group = u64;
