//! Version 3 of PostgreSQL's protocol, as far as simple queries need it.

mod decode;
mod encode;
pub mod message_type;
mod prefix;
pub mod sql_state;

pub use decode::{
    ErrorResponse, IncompleteMessage, InitialMessage, InitialMessageKind, MESSAGE_HEADER_LENGTH, Message,
    announced_length, incomplete_message, initial_message, message, parse_data_row, parse_parameter_status,
    parse_query,
};
pub use encode::{
    write_empty_query_response, write_error_response, write_parameter_status, write_query, write_query_start,
    write_ready_for_query, write_single_row, write_startup_message, write_startup_response,
};
pub use prefix::{check_prefix, ends_with_ready_for_query};

/// Version 3.0, as a startup message gives it: the major version in the upper half.
const PROTOCOL_VERSION_3: u32 = 196_608;
