//! Sizes of messages and of socket buffers, in bytes.

/// Bytes of a KiB.
const KIB: usize = 1024;

/// A message up to this size is buffered without a reservation: the connections' limits leave memory for them.
pub(super) const SMALL_MESSAGE: usize = 8 * KIB;
/// The size that values are said to have at most; larger ones come all the same.
const MAX_NOMINAL_VALUE: usize = 64 * KIB;
/// A statement with a value of the usual full size in hexadecimal, and the text around it: the least limit on messages.
const FULL_SIZE_STATEMENT: usize = 2 * MAX_NOMINAL_VALUE + 4 * KIB;
/// A statement may take this part of the memory (one in 128).
const STATEMENT_MEMORY_DIVISOR: usize = 128;
/// A response may take this part of the memory (one in 32).
const RESPONSE_MEMORY_DIVISOR: usize = 32;
/// Small, so that what the system holds of a slow client is little, and is known to within a buffer.
const DEFAULT_CLIENT_SOCKET_BUFFER: usize = 16 * KIB;
/// A response of less than this costs the system no more than the connection itself.
const IGNORABLE_UNREAD: usize = KIB;

/// Sizes of messages and of socket buffers, in bytes.
#[derive(Clone, Debug)]
pub struct BufferLimits {
    /// One message of a client: a statement with a whole value in hexadecimal. Set by the memory.
    pub max_statement: usize,
    /// One message of a member: a whole value. Set by the memory.
    pub max_response: usize,
    /// Messages beyond this size need a reservation in the buffer budget. A constant.
    pub small_message: usize,
    /// The system's send and receive buffer of a client connection; it may hold twice that in each direction. Set by
    /// the operator's `slow_peers.buffer_kib`.
    pub client_socket_buffer: usize,
    /// The system's receive buffer of a member's connection: a value of the usual full size. A constant.
    pub member_socket_buffer: usize,
    /// From this many unread bytes on, a response counts against the buffer budget after its connection is closed. A
    /// constant.
    pub ignorable_unread: usize,
}

impl BufferLimits {
    /// Takes the memory in bytes, and the operator's size of a client's socket buffers.
    pub(super) fn new(memory: usize, socket_buffer_kib: Option<u32>) -> BufferLimits {
        BufferLimits {
            max_statement: FULL_SIZE_STATEMENT.max(memory / STATEMENT_MEMORY_DIVISOR),
            max_response: FULL_SIZE_STATEMENT.max(memory / RESPONSE_MEMORY_DIVISOR),
            small_message: SMALL_MESSAGE,
            client_socket_buffer: socket_buffer_kib
                .map_or(DEFAULT_CLIENT_SOCKET_BUFFER, |kib| kib as usize * KIB),
            member_socket_buffer: MAX_NOMINAL_VALUE,
            ignorable_unread: IGNORABLE_UNREAD,
        }
    }
}
