//! The SQLSTATE codes that the proxy writes, or that mean more to it than "the statement failed". The constants have
//! PostgreSQL's condition names.

/// The member or the proxy has no connection or no capacity left, or the request was rejected: it did not run.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// It is not known whether the statement took effect.
pub const STATEMENT_COMPLETION_UNKNOWN: &str = "40003";
/// The member does not take queries at the moment; health checks meet it at a member that is overloaded.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// A write was sent to a member that is not the primary.
pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
/// The other code by which members say that they are not the primary.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// The message, or the statement's comment, is not what the protocol allows.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The message is none that the proxy serves.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
