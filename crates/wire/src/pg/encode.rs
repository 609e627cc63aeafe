//! Encoders: each appends one or more whole messages to `out`.

use super::PROTOCOL_VERSION_3;
use super::message_type::{
    AUTHENTICATION, BACKEND_KEY_DATA, COMMAND_COMPLETE, DATA_ROW, EMPTY_QUERY_RESPONSE, ERROR_RESPONSE,
    PARAMETER_STATUS, QUERY, READY_FOR_QUERY, ROW_DESCRIPTION,
};

/// The object identifier of the type `bytea`.
const BYTEA_TYPE: u32 = 17;
/// The size of a type of variable size, and a type modifier that says nothing.
const NONE: i32 = -1;
/// The format code of binary values.
const BINARY_FORMAT: u16 = 1;

/// Appends a StartupMessage.
pub fn write_startup_message(out: &mut Vec<u8>, user: &str, database: &str) {
    append_with_length(out, |out| {
        out.extend_from_slice(&PROTOCOL_VERSION_3.to_be_bytes());
        for text in ["user", user, "database", database] {
            push_string(out, text);
        }
        out.push(0);
    });
}

/// Appends the response to a StartupMessage: AuthenticationOk, the session's parameters, BackendKeyData and the first
/// ReadyForQuery. `process_id` names the session in a CancelRequest.
pub fn write_startup_response(out: &mut Vec<u8>, process_id: u32) {
    append(out, AUTHENTICATION, |out| out.extend_from_slice(&[0; 4]));
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        write_parameter_status(out, name, value);
    }
    append(out, BACKEND_KEY_DATA, |out| {
        out.extend_from_slice(&process_id.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    });
    write_ready_for_query(out);
}

/// Appends a ParameterStatus.
pub fn write_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append(out, PARAMETER_STATUS, |out| {
        push_string(out, name);
        push_string(out, value);
    });
}

/// Appends a ReadyForQuery of an idle session.
pub fn write_ready_for_query(out: &mut Vec<u8>) {
    append(out, READY_FOR_QUERY, |out| out.push(b'I'));
}

/// Appends an EmptyQueryResponse.
pub fn write_empty_query_response(out: &mut Vec<u8>) {
    append(out, EMPTY_QUERY_RESPONSE, |_| {});
}

/// Appends a Query whose statement comes in pieces.
pub fn write_query(out: &mut Vec<u8>, pieces: &[&[u8]]) {
    append(out, QUERY, |out| {
        pieces.iter().for_each(|piece| out.extend_from_slice(piece));
        out.push(0);
    });
}

/// Appends the start of a Query. The caller sends `remaining` more bytes behind it, its closing zero byte among them.
pub fn write_query_start(out: &mut Vec<u8>, piece: &[u8], remaining: usize) {
    out.push(QUERY);
    out.extend_from_slice(&((4 + piece.len() + remaining) as u32).to_be_bytes());
    out.extend_from_slice(piece);
}

/// Appends an ErrorResponse: FATAL, after which the connection is closed, or ERROR.
pub fn write_error_response(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    append(out, ERROR_RESPONSE, |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
        for (field, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.push(field);
            push_string(out, value);
        }
        out.push(0);
    });
}

/// Appends a RowDescription of one binary column, a DataRow with its value, and a CommandComplete.
pub fn write_single_row(out: &mut Vec<u8>, column: &str, value: &[u8], command_tag: &str) {
    append(out, ROW_DESCRIPTION, |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        push_string(out, column);
        // It belongs to no table: object identifier and column number are zero.
        out.extend_from_slice(&[0; 6]);
        out.extend_from_slice(&BYTEA_TYPE.to_be_bytes());
        out.extend_from_slice(&(NONE as i16).to_be_bytes());
        out.extend_from_slice(&NONE.to_be_bytes());
        out.extend_from_slice(&BINARY_FORMAT.to_be_bytes());
    });
    append(out, DATA_ROW, |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value);
    });
    append(out, COMMAND_COMPLETE, |out| push_string(out, command_tag));
}

/// Appends a message of that type.
fn append(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    append_with_length(out, body);
}

/// Appends a length word, which counts itself, and the body.
fn append_with_length(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string; zero bytes inside of it are left out.
fn push_string(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&byte| byte != 0));
    out.push(0);
}
