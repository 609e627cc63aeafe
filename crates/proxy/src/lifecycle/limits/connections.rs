//! Numbers of open connections, and when idle connections are closed to admit new ones.

use std::time::Duration;

use super::buffers::SMALL_MESSAGE;
use super::descriptors::DescriptorReserve;

/// Minimum number of descriptors for clients and members together, however many the process needs for itself.
const MIN_SHARED: usize = 4;
/// Minimum number of client connections, and of connections to members: one in use while another is being closed.
const MIN_CONNECTIONS: usize = 2;
/// Share of the descriptors for client connections. Connections to members have the rest.
const CLIENT_SHARE: Fraction = Fraction { numerator: 3, denominator: 5 };
/// Share of the memory for the small messages of all client connections. Large messages need reservations in a
/// budget of half of the memory, whatever the number of connections.
const CLIENT_MEMORY_SHARE: Fraction = Fraction { numerator: 2, denominator: 10 };
/// Number of small messages that one client connection may hold at once.
const MESSAGES_PER_CLIENT: usize = 4;
/// Share of the memory for the small messages of all connections to members.
const MEMBER_MEMORY_SHARE: Fraction = Fraction { numerator: 1, denominator: 10 };
/// Number of small messages that one connection to a member may hold at once.
const MESSAGES_PER_MEMBER: usize = 2;
/// Active clients hold at most 1/4 of all descriptors. Clients have a limit on descriptors, too, and some of them
/// open a connection for each request and never reuse it.
const ACTIVE_CLIENT_DIVISOR: usize = 4;
/// A client that received a response this recently is about to send its next request.
const RECENTLY_ACTIVE: Duration = Duration::from_millis(250);
/// Bounds the descriptors held by peers that never close their side. An error in transit arrives in less time.
const LINGER: Duration = Duration::from_millis(300);
/// Longer than a kernel waits before it sends a lost packet for the second time, and short compared with the time that a
/// process has to end.
const DELIVERY_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Detects client machines that vanished without closing their connections. Further probes follow at a third of
/// this interval.
const KEEPALIVE: Duration = Duration::from_secs(30);

/// A fraction for integer arithmetic.
struct Fraction {
    /// Number of parts taken.
    numerator: usize,
    /// Number of equal parts that the whole is divided into.
    denominator: usize,
}

impl Fraction {
    /// Returns this fraction of `whole`, rounded down.
    fn times(&self, whole: usize) -> usize {
        whole * self.numerator / self.denominator
    }
}

/// Numbers of open connections, and when idle connections are closed to admit new ones.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of client connections that are served at once. Set by descriptors and memory.
    pub clients: usize,
    /// Number of client connections that have had a request from which on the one that has been idle longest is
    /// closed for each new connection. Set by descriptors.
    pub active_clients: usize,
    /// A client whose last response is more recent than this counts as being between two requests. Its connection
    /// is not closed for a new one. Constant.
    pub recently_active: Duration,
    /// Maximum number of connections beyond `clients` that are admitted while idle ones are being closed for them.
    /// Set by descriptors.
    pub evicting: usize,
    /// Maximum number of connections beyond `clients` that are sent an error before they are closed. Any further
    /// ones are closed without an error. Set by descriptors.
    pub rejecting: usize,
    /// Maximum number of connections to members, including idle ones. Set by descriptors and memory.
    pub members: usize,
    /// How long a connection that this side has closed waits for the other side to close it, so that the data
    /// written last is read. Constant.
    pub linger: Duration,
    /// How long a connection that is being closed waits for the peer's system to acknowledge more of what was written.
    /// Constant.
    pub delivery_stall_timeout: Duration,
    /// Silence on a client connection after which the kernel probes whether the client's machine is still reachable
    /// (TCP keepalive). Constant.
    pub keepalive: Duration,
}

impl ConnectionLimits {
    /// Divides `descriptors` between client and member connections, and limits both so that their small messages
    /// fit into their shares of `memory`, which is in bytes.
    pub(super) fn new(descriptors: usize, reserve: &DescriptorReserve, memory: usize) -> ConnectionLimits {
        let shared = descriptors.saturating_sub(reserve.total()).max(MIN_SHARED);
        let clients_in_memory = CLIENT_MEMORY_SHARE.times(memory) / (MESSAGES_PER_CLIENT * SMALL_MESSAGE);
        let clients = CLIENT_SHARE.times(shared).min(clients_in_memory).max(MIN_CONNECTIONS);
        let members_in_memory = MEMBER_MEMORY_SHARE.times(memory) / (MESSAGES_PER_MEMBER * SMALL_MESSAGE);
        let members = (shared - clients).min(members_in_memory).max(MIN_CONNECTIONS);
        ConnectionLimits {
            clients,
            active_clients: (descriptors / ACTIVE_CLIENT_DIVISOR).min(clients),
            recently_active: RECENTLY_ACTIVE,
            evicting: reserve.evicting,
            rejecting: reserve.rejecting,
            members,
            linger: LINGER,
            delivery_stall_timeout: DELIVERY_STALL_TIMEOUT,
            keepalive: KEEPALIVE,
        }
    }
}
