//! Start: opens the resources that all actors need, then starts the actors, one a function.
//!
//! Resources come first: log, clocks, flow control's state, the clients' listening socket and the channels between actors.
//! The actors follow in this order: flow control, reload, data directory, links to other sites, membership with
//! coordination, dispatcher, discovery watch, listener. Each of the first five may hand something to the dispatcher: what a
//! former start saved, the gateway's part, the site drains in force. The listener is the last, so that no client is accepted
//! before there is somebody to decide on its requests.

mod actors;
mod gateway;
mod resources;

pub use resources::Startup;
