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

/// Time that a slow member takes in addition.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(150);
/// Time after which a member that hangs closes the connection.
const HANG_TIME: Duration = Duration::from_secs(3);
/// One request of so many on a connection meets the member's trouble.
const TROUBLED_REQUEST: u32 = 4;
/// A NoticeResponse without fields.
const NOTICE: [u8; 6] = [b'N', 0, 0, 0, 5, 0];

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

/// How a member answers wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum MemberTrouble {
    /// Each answer takes 150 ms.
    Slow,
    /// One request of four is never answered.
    Hangs,
    /// One connection of four is reset under a request.
    Resets,
    /// One answer of four is notices without an end.
    EndlessNotices,
}

impl MemberTrouble {
    /// All troubles.
    pub const ALL: [MemberTrouble; 4] =
        [MemberTrouble::Slow, MemberTrouble::Hangs, MemberTrouble::Resets, MemberTrouble::EndlessNotices];
}

/// A member.
#[derive(Clone)]
pub struct Member {
    /// What it is in its group.
    pub role: Role,
    /// Where it records what it received.
    pub log: ArrivalLog,
    /// How it answers wrongly; `None` if it is sound.
    pub trouble: Option<MemberTrouble>,
}

/// Serves the connections of one member. Never returns.
pub async fn serve(listener: TcpListener, member: Member) {
    while let Ok((stream, _)) = listener.accept().await {
        let member = member.clone();
        tokio::task::spawn_local(async move {
            let _ = member.serve_connection(stream).await;
        });
    }
}

/// Opens the socket of a member.
pub async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl Member {
    async fn serve_connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Buffer::default();
        let (mut started, mut requests) = (false, 0_u32);
        loop {
            while let Some(length) = next_length(&buffer, started) {
                let bytes = buffer.take(length);
                let response =
                    if started { respond(&bytes, self.role, &self.log).await } else { startup_response() };
                started = true;
                requests += u32::from(statement::field(&bytes[pg::MESSAGE_HEADER_LENGTH..], "id").is_some());
                if requests % TROUBLED_REQUEST == TROUBLED_REQUEST - 1 {
                    requests += 1;
                    self.make_trouble(&mut stream).await?;
                }
                if self.trouble == Some(MemberTrouble::Slow) {
                    sleep(SLOW_SERVICE_TIME).await;
                }
                stream.write_all(&response).await?;
            }
            if stream.read_buf(buffer.tail()).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Does instead of an answer what the member's trouble is. Fails if the connection is of no more use.
    async fn make_trouble(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self.trouble {
            None | Some(MemberTrouble::Slow) => Ok(()),
            Some(MemberTrouble::Hangs) => {
                stream.readable().await?;
                sleep(HANG_TIME).await;
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Some(MemberTrouble::Resets) => Err(std::io::ErrorKind::ConnectionReset.into()),
            Some(MemberTrouble::EndlessNotices) => loop {
                stream.write_all(&NOTICE.repeat(1024)).await?;
            },
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
