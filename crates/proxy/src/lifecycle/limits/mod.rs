//! Every size, count and time that bounds the proxy, in one place, grouped by what it bounds.
//!
//! A limit is set by one of: the configuration's `limits.sockets` and `limits.memory_mb`, the settings, the operator's
//! file, or a constant beside it that gives the reason for its figure. All are computed once, at start.

mod buffers;
mod client;
mod connections;
mod descriptors;
mod discovery;
mod links;
mod member;
mod queues;
mod shutdown;

use std::time::Duration;

use aldermill_settings::Settings;

pub use buffers::BufferLimits;
pub use client::ClientLimits;
pub use connections::ConnectionLimits;
pub use descriptors::DescriptorLimits;
pub use discovery::DiscoveryLimits;
pub use links::LinkLimits;
pub use member::MemberLimits;
pub use queues::QueueLimits;
pub use shutdown::ShutdownLimits;

use descriptors::DescriptorReserve;

/// Bytes of a MiB.
const MIB: usize = 1024 * 1024;

/// All limits of the process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// File descriptors of the process.
    pub descriptors: DescriptorLimits,
    /// How many connections are open at once, and which of them are closed for new ones.
    pub connections: ConnectionLimits,
    /// Sizes of messages and of socket buffers.
    pub buffers: BufferLimits,
    /// Lengths of the queues between actors.
    pub queues: QueueLimits,
    /// Requests under way at once, as the settings' `limits.maxOpen` says, at least one.
    pub open_requests: usize,
    /// Timeouts and sizes of one client connection.
    pub client: ClientLimits,
    /// Timeouts of connections to members.
    pub member: MemberLimits,
    /// Timeouts and sizes of the watch on discovery.
    pub discovery: DiscoveryLimits,
    /// Links to and from peer gateways.
    pub links: LinkLimits,
    /// How long each step of a shutdown may take.
    pub shutdown: ShutdownLimits,
}

/// The waits between attempts to reach a peer: they double from the first to the longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    /// The wait after the first failure.
    pub initial: Duration,
    /// The longest wait.
    pub max: Duration,
}

impl Limits {
    /// Divides descriptors and memory (in MiB) between what needs them. `socket_buffer_kib` is the operator's
    /// `slow_peers.buffer_kib`.
    pub fn new(
        descriptors: DescriptorLimits,
        memory_mb: usize,
        settings: &Settings,
        socket_buffer_kib: Option<u32>,
    ) -> Limits {
        let memory = memory_mb * MIB;
        let usable_descriptors = descriptors.usable();
        let reserve = DescriptorReserve::new(usable_descriptors);
        let connections = ConnectionLimits::new(usable_descriptors, &reserve, memory);
        Limits {
            descriptors,
            buffers: BufferLimits::new(memory, socket_buffer_kib),
            queues: QueueLimits::new(&connections),
            connections,
            open_requests: settings.max_open_requests.max(1),
            client: ClientLimits::new(),
            member: MemberLimits::new(settings),
            discovery: DiscoveryLimits::new(settings),
            links: LinkLimits::new(usable_descriptors, memory),
            shutdown: ShutdownLimits::new(settings),
        }
    }
}
