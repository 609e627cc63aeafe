//! Members that answer after a fixed time, and the log of what they received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use aldermill_wire::{Buffer, pg, statement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest message that a member reads, in bytes.
const MAX_MESSAGE: usize = 1 << 20;
/// Time that a member takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// When a request was received, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    /// The last time.
    pub last: Instant,
    /// How often a primary ran it as a write.
    pub writes: u32,
}

/// The requests that all members received, by id.
#[derive(Clone, Default)]
pub struct ArrivalLog(Arc<Mutex<HashMap<String, Arrivals>>>);

impl ArrivalLog {
    /// Returns what is known of a request; `None` if no member received it.
    pub fn get(&self, id: &str) -> Option<Arrivals> {
        self.0.lock().expect("the log").get(id).copied()
    }

    /// Returns the ids of writes that ran more than once.
    pub fn written_twice(&self) -> Vec<String> {
        let log = self.0.lock().expect("the log");
        log.iter().filter(|(_, arrivals)| arrivals.writes > 1).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of requests.
    pub fn request_count(&self) -> usize {
        self.0.lock().expect("the log").len()
    }

    fn record(&self, id: &str, is_write: bool) {
        let now = Instant::now();
        let mut log = self.0.lock().expect("the log");
        let arrivals = log.entry(id.to_owned()).or_insert(Arrivals { last: now, writes: 0 });
        arrivals.last = now;
        arrivals.writes += u32::from(is_write);
    }
}

/// What a member is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The one that accepts writes.
    Primary,
    /// One that accepts reads alone.
    Replica,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Primary => "writer",
            Role::Replica => "reader",
        }
    }
}

/// Serves the connections of one member. Never returns.
pub async fn serve(listener: TcpListener, role: Role, log: ArrivalLog) {
    while let Ok((stream, _)) = listener.accept().await {
        let log = log.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, role, &log).await;
        });
    }
}

/// Opens the socket of a member.
pub async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn serve_connection(mut stream: TcpStream, role: Role, log: &ArrivalLog) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Buffer::default();
    let mut started = false;
    loop {
        while let Some(length) = next_length(&buffer, started) {
            let bytes = buffer.take(length);
            let response = if started { respond(&bytes, role, log).await } else { startup_response() };
            started = true;
            stream.write_all(&response).await?;
        }
        if stream.read_buf(buffer.tail()).await? == 0 {
            return Ok(());
        }
    }
}

fn next_length(buffer: &Buffer, started: bool) -> Option<usize> {
    if started {
        return pg::message(buffer.held(), MAX_MESSAGE).ok()?.map(|message| message.length);
    }
    pg::initial_message(buffer.held()).ok()?.map(|message| message.length)
}

fn startup_response() -> Vec<u8> {
    let mut response = Vec::new();
    pg::write_startup_response(&mut response, 1);
    response
}

async fn respond(message: &[u8], role: Role, log: &ArrivalLog) -> Vec<u8> {
    let statement = &message[pg::MESSAGE_HEADER_LENGTH..message.len() - 1];
    let mut response = Vec::new();
    if statement.is_empty() {
        pg::write_empty_query_response(&mut response);
        pg::write_ready_for_query(&mut response);
        return response;
    }
    if let Some(id) = statement::field(statement, "id") {
        let is_write = is_insert(statement);
        log.record(id, is_write && role == Role::Primary);
        sleep(SERVICE_TIME).await;
        if is_write && role == Role::Replica {
            pg::write_error_response(&mut response, false, "25006", "not the primary", None);
            finish(&mut response, role);
            return response;
        }
    }
    pg::write_single_row(&mut response, "val", &value(statement), "SELECT 1");
    finish(&mut response, role);
    response
}

fn finish(response: &mut Vec<u8>, role: Role) {
    pg::write_parameter_status(response, "server_role", role.name());
    pg::write_ready_for_query(response);
}

fn is_insert(statement: &[u8]) -> bool {
    let tail = &statement[statement.iter().position(|&byte| byte == b'*').unwrap_or(0)..];
    tail.windows(7).any(|word| word == b"INSERT ")
}

/// The value for a statement: of as many bytes as its key asks for, or a short one.
fn value(statement: &[u8]) -> Vec<u8> {
    if statement == b"SHOW usage" {
        return b"inflight=0".to_vec();
    }
    let key = statement::first_quoted_text(statement).unwrap_or_default();
    match key.strip_prefix('v').and_then(|length| length.parse().ok()) {
        Some(length) => vec![7; length],
        None => b"the value".to_vec(),
    }
}
