//! A site that hands its clients on and goes.
//!
//! Sessions belong to sites by weighted rendezvous hashing ([`Homes`]): while the weight of one site falls, each of its sessions
//! moves at most once, and none between the others. The holder of the duty lowers it in steps that the survivors were
//! measured to bear, waits when something is wrong and says for what ([`Retirement`]); it says that the site is retired once
//! every driver that lives has said under this plan that nothing of it is left, and those that are not heard are past all
//! that they could hold ([`Farewell`]).
//!
//! What the operator said is a [`Word`], what stands a [`Plan`]: the body of the duty's decree, which each driver keeps to
//! ([`Obeyed`]) and which the holder of the duty carries on ([`Holder`]) by what drivers tell it ([`Told`]).
//!
//! Nothing here does I/O or has a clock.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod farewell;
mod holder;
mod homes;
mod obeyed;
mod pace;
mod plan;

pub use farewell::{Farewell, Left, Open};
pub use holder::{Heard, Holder, Keeps, Told};
pub use homes::{Homes, Unusable};
pub use obeyed::Obeyed;
pub use pace::{Looks, Order, Retirement, Site, State, Waits};
pub use plan::{Binding, Malformed, Place, Plan, Stage, Word};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Weights and shares are in thousandths of a whole site.
pub const WHOLE: u32 = 1000;
