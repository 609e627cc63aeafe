//! Where the key ranges of groups are best split, from the keys that all proxies saw accessed.
//!
//! **Job.** Operators split a group's key range when its load grows; no single proxy can tell where half of the load lies.
//! This package recommends a key, with the load on each side and how far that may be off, or says why a split would not
//! help. It splits nothing.
//!
//! **Steps**, each in the module of that name:
//!
//! 1. *Report.* Each proxy keeps a [`KeySketch`] of each group's accesses, by key and cost, and sends a [`KeySummary`].
//! 2. *Evidence.* The lease holder combines the summaries of all proxies into a [`KeyDistribution`] of each group.
//! 3. *Recommendation.* A [`SplitAdvisor`] for each range into which operators have split the group ([`RangeSet`]) returns
//!    a [`SplitRecommendation`].
//! 4. *Directive.* Its body is JSON for operators, and is written by the caller.
//!
//! **Caller.** The proxy's dispatcher records accesses; its `coordination::split_points` sends reports, runs steps 2 and 3
//! once a second while it holds the lease `splits`, and issues the directives. `docs/splits.md` has the table of
//! recommendations.
//!
//! **Assumptions.** `now` never goes back, comes from one clock for each object, and is in whole microseconds. Cost is in
//! one unit at all proxies (the proxy uses milliseconds). Keys are bytes in order; only their first [`MAX_KEY_BYTES`]
//! count. Nothing here does I/O, has a clock or keeps globals; a sketch's random draws follow from its seed.
//!
//! **Methods.** The sketch is a priority sample (Duffield, Lund, Thorup: Priority sampling for estimation of arbitrary subset
//! sums, 2007): of n accesses with weights the k of highest weight / u are kept, u by chance from (0, 1]; each stands for the
//! larger of its weight and the highest priority left out, which is unbiased for every range of keys. Its relative standard
//! error for a whole of k samples is at most 1 / sqrt(k - 1). No library takes ordered bytes with weights. Heavy hitters are
//! counted apart by SpaceSaving (Metwally, Agrawal, El Abbadi, 2005), which errs by the least count that it holds at most.
//!
//! ```
//! use std::collections::BTreeMap;
//! use aldermill_split_points::{KeyDistribution, KeySketch, KeySummary, SplitAdvisor, SplitAssessment};
//!
//! // At each proxy: record accesses, and report.
//! let mut sketch = KeySketch::new(0, 7);
//! sketch.record(0, b"k0815", false, 2.5);
//! let summary = sketch.encode_summary(0);
//!
//! // At the lease holder: combine what was received, and advise.
//! let received = BTreeMap::from([("n0".to_owned(), KeySummary::decode(&summary)?)]);
//! let distribution = KeyDistribution::combine(&received);
//! let recommendation = SplitAdvisor::new(0, None).advise(0, distribution, 1);
//! assert_eq!(recommendation.assessment, SplitAssessment::Unknown, "one access proves nothing");
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

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// A group of members, by the number that statements and the endpoint list name it by.
pub type Group = u64;

/// Load is judged by windows of this span, in microseconds.
const WINDOW_LENGTH: Micros = 10_000_000;
/// In how many windows running something has to show before it is recommended: half a minute, so that nobody moves data for
/// the load of some seconds.
const REQUIRED_WINDOWS: usize = 3;
