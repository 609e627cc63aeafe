//! Recommends where to split the key ranges of groups, based on the key accesses that all proxies observed.
//!
//! # Purpose
//!
//! Operators split a group's key range when its load grows. Each proxy sees only part of the accesses, so no
//! single proxy can tell which key halves the load. This crate recommends a split key, with the estimated
//! load on each side and its margin of error, or gives the reason why a split would not help. It only
//! recommends; it does not split anything.
//!
//! # Pipeline
//!
//! 1. *Summary.* Each proxy maintains a [`KeySketch`] of the accesses to each group, by key and cost, and
//!    sends a [`KeySummary`] of it.
//! 2. *Distribution.* The lease holder combines the summaries of all proxies into one [`KeyDistribution`] per
//!    group.
//! 3. *Recommendation.* A [`RangeSet`] holds the ranges into which operators have split the group. The
//!    [`SplitAdvisor`] of each range returns a [`SplitRecommendation`].
//! 4. *Directive.* The caller publishes the recommendations to operators as directives with a JSON body.
//!
//! # Caller
//!
//! The proxy's dispatcher records accesses. The proxy's `coordination::split_points` sends the summaries,
//! runs steps 2 and 3 once a second while it holds the lease `splits`, and issues the directives. The table
//! of recommendations is in `docs/splits.md`.
//!
//! # Assumptions
//!
//! - `now` is in whole microseconds, never decreases, and comes from the same clock in all calls on one
//!   object.
//! - All proxies measure cost in the same unit (the proxy uses milliseconds).
//! - Keys are byte strings in lexicographic order. Only their first [`MAX_KEY_BYTES`] bytes are significant.
//! - The crate does no I/O, reads no clock and has no global state. The random draws of a sketch are
//!   determined by its seed.
//!
//! # Algorithms
//!
//! The sketch is a priority sample (Duffield, Lund, Thorup: "Priority sampling for estimation of arbitrary
//! subset sums", 2007). Each access has the priority weight / u, with u drawn uniformly from (0, 1], and the
//! k accesses of highest priority are kept. Each of them represents the larger of its own weight and the
//! highest priority that was dropped, which gives an unbiased estimate for any key range. The relative
//! standard error of the total over k samples is at most 1 / sqrt(k - 1). No existing library supports
//! weighted samples over ordered byte strings.
//!
//! Heavy hitters are counted separately with SpaceSaving (Metwally, Agrawal, El Abbadi, 2005), whose error is
//! at most the smallest count that it holds.
//!
//! # Example
//!
//! ```
//! use std::collections::BTreeMap;
//! use aldermill_split_points::{KeyDistribution, KeySketch, KeySummary, SplitAdvisor, SplitAssessment};
//!
//! // At each proxy: record accesses and encode a summary of them.
//! let mut sketch = KeySketch::new(0, 7);
//! sketch.record(0, b"k0815", false, 2.5);
//! let summary = sketch.encode_summary(0);
//!
//! // At the lease holder: combine the received summaries and evaluate them.
//! let received = BTreeMap::from([("n0".to_owned(), KeySummary::decode(&summary)?)]);
//! let distribution = KeyDistribution::combine(&received);
//! let recommendation = SplitAdvisor::new(0, None).advise(0, distribution, 1);
//! assert_eq!(recommendation.assessment, SplitAssessment::Unknown, "a single access is not enough");
//! # Ok::<(), aldermill_split_points::DecodeError>(())
//! ```

#![warn(missing_docs)]

mod distribution;
mod error;
mod ranges;
mod recommendation;
mod shape;
mod sketch;
mod summary;

pub use distribution::{KeyDistribution, ShareEstimate};
pub use error::DecodeError;
pub use ranges::{RangeRecommendation, RangeSet};
pub use recommendation::{RecommendationState, SplitAdvisor, SplitAssessment, SplitRecommendation};
pub use shape::{LoadShape, SplitPoint, WriteShares};
pub use sketch::{KeySketch, MAX_KEY_BYTES};
pub use summary::{AccessSample, HeavyHitter, KeySummary, MAX_SUMMARY_BYTES};

/// A point in time on the caller's clock, or a duration, in whole microseconds.
pub type Micros = i64;

/// The number that identifies a group of members in statements and in the endpoint list.
pub type Group = u64;

/// Length of the windows in which load is evaluated, in microseconds (10 s).
const WINDOW_LENGTH: Micros = 10_000_000;
/// Number of consecutive windows for which a condition has to hold before a recommendation is based on it.
/// Three windows are half a minute, so that operators do not move data because of a load that lasts only a
/// few seconds.
const REQUIRED_WINDOWS: usize = 3;
