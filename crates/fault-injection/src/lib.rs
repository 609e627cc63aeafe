//! Many processes of the program, the world around them, faults by a plan, and judges.
//!
//! A run is told by a [`plan::Plan`] and a seed. Members, discovery and clients are models in this process; the
//! drivers are processes of the built program and see nothing but sockets. Everything that happens at the models is
//! kept as a [`history::History`]; `judge` reads nothing else, and shares no code with the driver.

#![allow(
    clippy::cognitive_complexity,
    clippy::too_many_lines,
    reason = "long functions are split when this package is reworked for readers (docs/ROADMAP.md)"
)]
#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]
#![allow(
    clippy::items_after_statements,
    reason = "this package is not reworked for readers yet (docs/ROADMAP.md)"
)]

pub mod cable;
pub mod council;
pub mod discovery;
pub mod drawn;
pub mod drivers;
pub mod duties;
pub mod faults;
pub mod figures;
pub mod front;
pub mod history;
pub mod hostile;
pub mod judge;
pub mod keys;
mod lists;
pub mod member;
pub mod plan;
pub mod report;
pub mod run;
mod scheduled;
mod shortage;
pub mod sites;
pub mod terms;
mod trouble;
pub mod what;
pub mod wide;
pub mod world;

pub use trouble::Trouble;
