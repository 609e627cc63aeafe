//! Flow control: how much buffer space slow peers may hold, and which of them are disconnected when it runs out.
//!
//! A client that reads its response slowly, or sends its statement slowly, holds memory and a connection that others need.
//! [`FlowController`] accounts for all that is buffered for a peer: statements not yet complete, responses not yet read,
//! what the system's socket buffers may still hold of either, and what closed connections left there.
//!
//! - **Inputs**: connections that come and go, requests for buffer space ([`ReservationRequest`]), the bytes that each peer
//!   moved, the operator's limits ([`FlowLimits`]). Every call brings `now`.
//! - **Outputs**: [`Actions`]: reservations granted or rejected, peers to disconnect, and when to call
//!   [`FlowController::wake`].
//! - **Caller**: the proxy's `flow_control` module, which shares one controller among all its actors. Connections to members
//!   use a [`ProgressMeter`] by themselves: one that is too slow fails its attempt.
//!
//! Two rules hold throughout. A peer that keeps up with its [`MinimumRate`] is never disconnected, but for the end of the
//! proxy. One that falls behind is disconnected once somebody needs what it holds, or when it has been behind for
//! [`FlowLimits::max_slow_time`].
//!
//! Nothing here does I/O or has a clock. `now` never goes back, and leaves out time in which the process was stalled: peers
//! are not blamed for a pause of the proxy. The same calls in the same order have the same outcome.
//!
//! ```
//! use std::net::{IpAddr, Ipv4Addr};
//!
//! use aldermill_flow_control::{
//!     DisconnectReason, FlowController, FlowLimits, Priority, ReservationOwner, ReservationRequest, Transfer,
//! };
//!
//! let limits = FlowLimits::for_memory(64 << 20);
//! let mut controller = FlowController::new(limits);
//! let client = controller.register(0, IpAddr::V4(Ipv4Addr::LOCALHOST)).unwrap();
//!
//! // Space for a response of 1 MiB, now or not at all.
//! let owner = ReservationOwner { peer: client, priority: Priority::Normal };
//! let request = ReservationRequest { owner, bytes: 1 << 20, deadline: 0 };
//! let (reservation, actions) = controller.reserve(0, request);
//! assert_eq!(actions.granted, [reservation]);
//!
//! // The response is written, and the client reads nothing of it.
//! let actions = controller.start_metering(0, client, Transfer::ToPeer);
//! let actions = controller.wake(actions.wake_at.unwrap());
//! assert_eq!(actions.disconnect[0].peer, client);
//! assert_eq!(actions.disconnect[0].reason, DisconnectReason::TooSlow);
//! ```

#![warn(missing_docs)]

mod actions;
mod addresses;
mod admission;
mod buffer_budget;
mod controller;
mod drain_rate;
mod limits;
mod meter;
mod peers;
mod pressure;
mod reservation;

pub use actions::{Actions, ConnectionLimitReached, Disconnect, DisconnectReason, PressureChange};
pub use controller::FlowController;
pub use limits::{AddressLimits, FlowLimits, FlowLimitsError, MinimumRate, PressureThresholds};
pub use meter::{ProgressMeter, Transfer};
pub use reservation::{PeerId, Priority, ReservationId, ReservationOwner, ReservationRequest};

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// One second, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;
