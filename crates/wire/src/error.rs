//! What a peer sent that its protocol does not allow.

use thiserror::Error;

/// The peer's bytes are not what the protocol allows. The connection cannot be read any further, as it is not known
/// where the next message begins; for an invalid statement alone, the connection may go on.
///
/// The texts are part of the client protocol: they are sent in an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    // ---- PostgreSQL's protocol.
    /// A startup message whose length is too small for any, or larger than any needs.
    #[error("startup message of impossible length")]
    StartupMessageLength,
    /// A startup message of another major version than 3.
    #[error("unsupported protocol version")]
    UnsupportedProtocolVersion,
    /// More encryption requests than there are kinds of encryption to ask for.
    #[error("repeated encryption request")]
    RepeatedEncryptionRequest,
    /// A type that is no letter, or a length too small for the length word itself.
    #[error("bytes that are no message")]
    InvalidMessageHeader,
    /// A message longer than the caller allows.
    #[error("message too long")]
    MessageTooLong,
    /// A message whose type the protocol does not know.
    #[error("unknown message type")]
    UnknownMessageType,
    /// A message that may not come in a response, or not at this place in it.
    #[error("message that has no place in an answer")]
    UnexpectedMessage,
    /// A message's length and the lengths and ends inside of it do not agree.
    #[error("lengths that do not fit")]
    InconsistentLength,
    /// A Query that does not end with its one zero byte.
    #[error("query without its end")]
    UnterminatedQuery,
    /// A ParameterStatus that is not a name and a value.
    #[error("parameter status without its parts")]
    InvalidParameterStatus,
    /// An ErrorResponse whose fields do not end, or are not text.
    #[error("error response without its parts")]
    InvalidErrorResponse,
    /// A DataRow with another number of columns than one, or with another length than it says.
    #[error("no row of one column")]
    InvalidDataRow,

    // ---- The comment at the front of a statement.
    /// The statement does not begin with a comment.
    #[error("no comment names the task")]
    NoComment,
    /// The comment does not end.
    #[error("comment without an end")]
    UnterminatedComment,
    /// The comment is not UTF-8.
    #[error("comment is not text")]
    CommentNotText,
    /// A field of the comment without `=`.
    #[error("comment field without a value")]
    CommentFieldWithoutValue,
    /// A field that stands twice, or an empty `id`.
    #[error("comment field repeated or empty")]
    CommentFieldRepeatedOrEmpty,
    /// A name that is longer than [`crate::statement::MAX_NAME_LENGTH`].
    #[error("comment field too long")]
    CommentFieldTooLong,
    /// A field that each request must have is absent; its key.
    #[error("comment lacks {0}")]
    CommentLacks(&'static str),
    /// The client's timeout is zero, or longer than [`crate::statement::MAX_TIMEOUT_MS`].
    #[error("comment leaves no time, or more than any client has")]
    TimeoutOutOfRange,
    /// A field that must be a number is none, or is out of range.
    #[error("comment field is no number in range")]
    InvalidCommentNumber,

    // ---- HTTP, and the JSON lines in its body.
    /// The response's head is longer than the caller allows.
    #[error("head too long")]
    HeadTooLong,
    /// The response's head is not UTF-8.
    #[error("head is not text")]
    HeadNotText,
    /// The response does not begin with an HTTP/1 status line.
    #[error("no status line")]
    NoStatusLine,
    /// A header without a colon.
    #[error("header without a colon")]
    HeaderWithoutColon,
    /// A Content-Length that is no number.
    #[error("bad content length")]
    InvalidContentLength,
    /// A line of the body is longer than the caller allows.
    #[error("line too long")]
    LineTooLong,
    /// A chunk's size line, or a trailer, is longer than any needs.
    #[error("chunk line too long")]
    ChunkLineTooLong,
    /// A chunk's data are not followed by a line end.
    #[error("chunk longer than its size")]
    ChunkOverrun,
    /// A chunk's size is not one to eight hexadecimal digits.
    #[error("bad chunk size")]
    InvalidChunkSize,
    /// A JSON value over several lines is longer than the caller allows.
    #[error("value too long")]
    ValueTooLong,
}
