//! Links to the gateways of other sites: accepted and opened here, each with an actor of its own.
//!
//! The protocol of a link is `site-link`'s; what is sent over links is decided by the dispatcher's gateway part. Here are
//! the sockets, who may open a link, and when one is opened again.

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
