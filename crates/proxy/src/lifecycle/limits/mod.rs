//! All sizes, counts and durations that bound the proxy, grouped by what they bound.
//!
//! A limit is derived from the configuration's `limits.sockets` and `limits.memory_mb`, from the settings, from the
//! operator's file, or from a constant whose comment gives the reason for its value. All limits are computed once,
//! at startup.

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

/// Bytes in one MiB.
const MIB: usize = 1024 * 1024;

/// All limits of the process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// File descriptors that the process may open.
    pub descriptors: DescriptorLimits,
    /// Numbers of open connections, and when idle connections are closed to admit new ones.
    pub connections: ConnectionLimits,
    /// Sizes of messages and socket buffers.
    pub buffers: BufferLimits,
    /// Capacities of the queues between actors.
    pub queues: QueueLimits,
    /// Maximum number of requests in progress at once, at least 1. Set by the settings' `limits.maxOpen`.
    pub open_requests: usize,
    /// Timeouts and sizes for each client connection.
    pub client: ClientLimits,
    /// Timeouts for connections to members.
    pub member: MemberLimits,
    /// Timeouts and sizes for the discovery watch.
    pub discovery: DiscoveryLimits,
    /// Limits on links to and from peer gateways.
    pub links: LinkLimits,
    /// Durations of the steps of a shutdown.
    pub shutdown: ShutdownLimits,
}

/// Waits between attempts to reach a peer, which double from `initial` up to `max`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Wait after the first failure.
    pub initial: Duration,
    /// Longest wait.
    pub max: Duration,
}

impl Limits {
    /// Computes the limits. `memory_mb` is in MiB; `socket_buffer_kib` is the `slow_peers.buffer_kib` of the
    /// operator's file, in KiB, or `None` for the default.
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
