//! Startup of the proxy: opens the resources that all actors need, then starts the actors.
//!
//! The resources are the log, the clocks, the state of flow control, the listening socket for clients and the
//! channels between actors. The actors then start in this order: flow control, reload, data directory, links
//! to other sites, membership with coordination, dispatcher, discovery watch, listener. Each of the first
//! five may pass something to the dispatcher: the state that an earlier start saved, the gateway part, the
//! site drains in force. The listener starts last, so that no client is accepted before the dispatcher can
//! decide on its requests.

mod actors;
mod gateway;
mod resources;

pub use resources::Startup;
