//! The first byte of a message, by PostgreSQL's names of the messages.

/// Query, from a client.
pub const QUERY: u8 = b'Q';
/// AuthenticationOk, and the other authentication messages.
pub const AUTHENTICATION: u8 = b'R';
/// BackendKeyData.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// ParameterStatus.
pub const PARAMETER_STATUS: u8 = b'S';
/// ReadyForQuery.
pub const READY_FOR_QUERY: u8 = b'Z';
/// RowDescription.
pub const ROW_DESCRIPTION: u8 = b'T';
/// DataRow.
pub const DATA_ROW: u8 = b'D';
/// CommandComplete.
pub const COMMAND_COMPLETE: u8 = b'C';
/// EmptyQueryResponse.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
/// ErrorResponse.
pub const ERROR_RESPONSE: u8 = b'E';
/// NoticeResponse.
pub const NOTICE_RESPONSE: u8 = b'N';
