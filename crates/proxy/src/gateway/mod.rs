//! Links to the gateways of other sites. Each link that is accepted or opened runs in its own actor.
//!
//! This module owns the sockets, decides which gateways may open a link, and reopens links that have ended.
//! The link protocol is implemented by the `site-link` crate, and the dispatcher's gateway part decides what
//! is sent over links.

mod errors;
mod inbound;
mod link;
mod link_registry;
mod outbound;
mod status;

pub use inbound::accept_links;
pub use link_registry::LinkRegistry;
pub use outbound::maintain_links;
pub use status::serve_status;
