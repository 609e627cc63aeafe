//! How many connections are open at once, and which of them are closed for new ones.

use std::time::Duration;

use super::buffers::SMALL_MESSAGE;
use super::descriptors::DescriptorReserve;

/// Descriptors that clients and members have at the least, however many the program needs for itself.
const MIN_SHARED: usize = 4;
/// The least number of connections of clients, and of members: one in use while another is being closed.
const MIN_CONNECTIONS: usize = 2;
/// The clients' share of the descriptors, as a fraction; members have the rest.
const CLIENT_SHARE: Fraction = Fraction { numerator: 3, denominator: 5 };
/// The part of the memory that small messages of all client connections together may take. Large messages reserve what
/// they need in half of the memory, however many connections there are.
const CLIENT_MEMORY_SHARE: Fraction = Fraction { numerator: 2, denominator: 10 };
/// Small messages that one client connection may hold at once.
const MESSAGES_PER_CLIENT: usize = 4;
/// The part of the memory that small messages of all connections to members together may take.
const MEMBER_MEMORY_SHARE: Fraction = Fraction { numerator: 1, denominator: 10 };
/// Small messages that one connection to a member may hold at once.
const MESSAGES_PER_MEMBER: usize = 2;
/// Active clients hold at most this part of all descriptors (one in four): clients have a limit on descriptors, too,
/// and some open a connection for each request and never use it twice.
const ACTIVE_CLIENT_DIVISOR: usize = 4;
/// Whoever had a response so short a time ago is about to send the next request.
const RECENTLY_ACTIVE: Duration = Duration::from_millis(250);
/// Bounds the descriptors held by peers that never end their side; an error on its way arrives in less.
const LINGER: Duration = Duration::from_millis(300);
/// Finds client machines that vanished without closing; further probes follow at a third of it.
const KEEPALIVE: Duration = Duration::from_secs(30);

/// `numerator` parts out of `denominator`, in whole numbers.
struct Fraction {
    /// How many of the parts.
    numerator: usize,
    /// Into how many equal parts the whole is divided.
    denominator: usize,
}

impl Fraction {
    /// This part of a whole, rounded down.
    fn times(&self, whole: usize) -> usize {
        whole * self.numerator / self.denominator
    }
}

/// How many connections are open at once, and which of them are closed for new ones.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Client connections served at once. Set by descriptors and memory.
    pub clients: usize,
    /// Client connections that had a request. Beyond this number the one that was idle longest is closed for each new
    /// connection. Set by descriptors.
    pub active_clients: usize,
    /// A client whose last response is younger than this is between two requests: its connection is not closed for a
    /// new one. A constant.
    pub recently_active: Duration,
    /// Connections beyond `clients` that are accepted while idle ones are being closed for them. Set by descriptors.
    pub evicting: usize,
    /// Connections beyond `clients` that are being sent an error and closed; more than these are dropped without a
    /// word. Set by descriptors.
    pub rejecting: usize,
    /// Connections to members, idle ones included. Set by descriptors and memory.
    pub members: usize,
    /// How long a connection that this side has closed waits for the other side's end, so that what was written last is
    /// read. A constant.
    pub linger: Duration,
    /// Silence on a client connection after which the system asks whether the client's machine is still there (TCP
    /// keepalive). A constant.
    pub keepalive: Duration,
}

impl ConnectionLimits {
    /// Divides `descriptors`; fewer connections where their small messages would not fit into `memory` bytes.
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
            keepalive: KEEPALIVE,
        }
    }
}
