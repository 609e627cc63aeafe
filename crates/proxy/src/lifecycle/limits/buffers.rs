//! Sizes of messages and socket buffers, in bytes.

/// Bytes in one KiB.
const KIB: usize = 1024;

/// Largest message that is buffered without a reservation. The connection limits leave memory for such messages.
pub(super) const SMALL_MESSAGE: usize = 8 * KIB;
/// Nominal maximum size of a value. Larger values do occur.
const MAX_NOMINAL_VALUE: usize = 64 * KIB;
/// A statement with a value of the nominal maximum size in hexadecimal and the text around it. The limits on
/// messages are never below this.
const FULL_SIZE_STATEMENT: usize = 2 * MAX_NOMINAL_VALUE + 4 * KIB;
/// A statement may take 1/128 of the memory.
const STATEMENT_MEMORY_DIVISOR: usize = 128;
/// A response may take 1/32 of the memory.
const RESPONSE_MEMORY_DIVISOR: usize = 32;
/// Pipelined small statements and their responses may take 1/16 of the memory.
const PIPELINE_MEMORY_DIVISOR: usize = 16;
/// Small, so that the kernel holds little data for a slow client and the amount is known to within one buffer.
const DEFAULT_CLIENT_SOCKET_BUFFER: usize = 16 * KIB;
/// An unread response smaller than this costs the kernel no more than the connection itself.
const IGNORABLE_UNREAD: usize = KIB;

/// Sizes of messages and socket buffers, in bytes.
#[derive(Clone, Debug)]
pub struct BufferLimits {
    /// Maximum size of a message from a client: a statement with a complete value in hexadecimal. Set by the
    /// memory.
    pub max_statement: usize,
    /// Maximum size of a message from a member: a complete value. Set by the memory.
    pub max_response: usize,
    /// Messages larger than this need a reservation in the buffer budget. Constant.
    pub small_message: usize,
    /// Memory of the small statements in progress beyond the first of each connection, and of their responses. Set by
    /// the memory.
    pub pipeline_memory: usize,
    /// Size of the kernel's send and receive buffers of a client connection. The kernel may hold twice this in each
    /// direction. Set by `slow_peers.buffer_kib` of the operator's file.
    pub client_socket_buffer: usize,
    /// Size of the kernel's receive buffer of a connection to a member: a value of the nominal maximum size.
    /// Constant.
    pub member_socket_buffer: usize,
    /// Unread bytes from which on a response counts against the buffer budget after its connection has been closed.
    /// Constant.
    pub ignorable_unread: usize,
}

impl BufferLimits {
    /// Computes the limits. `memory` is in bytes; `socket_buffer_kib` is the `slow_peers.buffer_kib` of the
    /// operator's file, in KiB, or `None` for the default.
    pub(super) fn new(memory: usize, socket_buffer_kib: Option<u32>) -> BufferLimits {
        BufferLimits {
            max_statement: FULL_SIZE_STATEMENT.max(memory / STATEMENT_MEMORY_DIVISOR),
            max_response: FULL_SIZE_STATEMENT.max(memory / RESPONSE_MEMORY_DIVISOR),
            small_message: SMALL_MESSAGE,
            pipeline_memory: memory / PIPELINE_MEMORY_DIVISOR,
            client_socket_buffer: socket_buffer_kib
                .map_or(DEFAULT_CLIENT_SOCKET_BUFFER, |kib| kib as usize * KIB),
            member_socket_buffer: MAX_NOMINAL_VALUE,
            ignorable_unread: IGNORABLE_UNREAD,
        }
    }
}
