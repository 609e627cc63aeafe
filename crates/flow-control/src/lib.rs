//! Flow control: limits the buffer space that slow peers may hold, and chooses which of them to disconnect when it
//! runs out.
//!
//! A client that reads its response slowly, or sends its statement slowly, holds memory and a connection that others
//! need. [`FlowController`] accounts for everything that is buffered for a peer: incomplete statements, unread
//! responses, the part of either that may still be in the kernel's socket buffers, and what closed connections left
//! there.
//!
//! - **Inputs**: opened and closed connections, requests for buffer space ([`ReservationRequest`]), the bytes that
//!   each peer read or sent, the operator's limits ([`FlowLimits`]). Every call takes the current time `now`.
//! - **Outputs**: [`Actions`]: reservations granted or rejected, peers to disconnect, and the time of the next call
//!   of [`FlowController::wake`].
//! - **Caller**: the proxy's `flow_control` module, which shares one controller among all its actors. Connections to
//!   members use a [`ProgressMeter`] on their own: an attempt fails if its member is too slow.
//!
//! A peer is *slow* while it is behind its [`MinimumRate`]. Two rules always hold. A peer that is not slow is never
//! disconnected, except at shutdown. A slow peer is disconnected once another peer needs what it holds, or when it
//! has been slow for [`FlowLimits::max_slow_time`].
//!
//! The crate does no I/O and has no clock. `now` never goes back, and excludes time in which the process was stalled,
//! so that peers are not blamed for a pause of the proxy. The same calls in the same order have the same results.
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
//! // Reserve space for a response of 1 MiB. With a deadline of `now` the request never waits.
//! let owner = ReservationOwner { peer: client, priority: Priority::Normal };
//! let request = ReservationRequest { owner, bytes: 1 << 20, deadline: 0 };
//! let (reservation, actions) = controller.reserve(0, request);
//! assert_eq!(actions.granted, [reservation]);
//!
//! // The response is written, but the client reads nothing.
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

/// A time on the caller's clock, or a duration, in whole microseconds.
pub type Micros = i64;

/// One second, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;
