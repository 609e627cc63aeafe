//! Ordinary clients: each sends requests at a fixed rate on a connection that it keeps, and records how they ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use aldermill_wire::{Buffer, pg};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

use super::attack::start_session;
use super::behaviour::{query, read, write};
use super::ids::IdSource;

/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// One request of so many is a write.
const WRITE_EVERY: u64 = 4;
/// How long a client waits for its answer. The statements state the same time.
pub const DEADLINE: Duration = Duration::from_millis(1500);
/// How long after the deadline an answer is late rather than missing.
pub const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(500);
/// Pause before a client whose connection was refused connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest message that a client reads, in bytes.
const MAX_MESSAGE: usize = 1 << 20;

/// How a request of an ordinary client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A value came.
    Served,
    /// The request was rejected as harmless to repeat.
    Rejected,
    /// Another error came, with this SQLSTATE.
    Failed(String),
    /// The connection ended without an answer, on a second connection too.
    Closed,
    /// Neither an answer nor an end of the connection came in time.
    Unanswered,
    /// No connection could be opened, so that no request was sent.
    NotSent,
    /// The value is not the one that members give.
    WrongValue,
}

/// One request of an ordinary client.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its last byte was written.
    pub sent_at: Instant,
    /// Time from then to its end.
    pub took: Duration,
    /// How it ended.
    pub ending: Ending,
}

/// All requests of the ordinary clients.
pub type RequestLog = Arc<Mutex<Vec<Request>>>;

/// An open session.
struct Session {
    stream: TcpStream,
    buffer: Buffer,
}

/// One ordinary client.
pub struct OrdinaryClient {
    /// Address of the proxy.
    pub proxy: SocketAddr,
    /// Where its requests are recorded.
    pub log: RequestLog,
    /// When it sends its last request.
    pub until: Instant,
}

impl OrdinaryClient {
    /// Sends requests until the end of the trial.
    pub async fn run(self, start_delay: Duration) {
        sleep(start_delay).await;
        let mut ids = IdSource::new("o");
        let mut session = None;
        let mut due = tokio::time::Instant::now();
        while Instant::now() < self.until {
            sleep_until(due).await;
            due = (due + REQUEST_INTERVAL).max(tokio::time::Instant::now());
            let request = self.request(&mut session, &mut ids).await;
            let not_sent = request.ending == Ending::NotSent;
            self.log.lock().expect("the requests").push(request);
            if not_sent {
                sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    /// Sends a request. If the connection ends without an answer, sends it once more on a new one.
    async fn request(&self, session: &mut Option<Session>, ids: &mut IdSource) -> Request {
        let id = ids.next();
        let number = ids.number();
        let statement =
            if number.is_multiple_of(WRITE_EVERY) { write(&id, &id) } else { read(&id, "look", 2, "k") };
        let mut request = Request { sent_at: Instant::now(), took: Duration::ZERO, ending: Ending::NotSent };
        for _ in 0..2 {
            let Some(mut open) = self.open(session.take()).await else { break };
            if open.stream.write_all(&query(&statement)).await.is_err() {
                continue;
            }
            request.sent_at = Instant::now();
            let answered = timeout(DEADLINE + LATE_ANSWER_WINDOW, open.read_answer()).await;
            request.took = request.sent_at.elapsed();
            request.ending = match answered {
                Err(_) => Ending::Unanswered,
                Ok(None) => Ending::Closed,
                Ok(Some(ending)) => {
                    *session = Some(open);
                    ending
                }
            };
            if request.ending != Ending::Closed {
                break;
            }
        }
        request
    }

    async fn open(&self, session: Option<Session>) -> Option<Session> {
        if session.is_some() {
            return session;
        }
        let mut stream = TcpStream::connect(self.proxy).await.ok()?;
        stream.set_nodelay(true).ok()?;
        start_session(&mut stream).await.ok()?;
        Some(Session { stream, buffer: Buffer::default() })
    }
}

impl Session {
    /// Reads one answer; `None` if the connection ends before.
    async fn read_answer(&mut self) -> Option<Ending> {
        let mut ending = None;
        loop {
            while let Some(message) = pg::message(self.buffer.held(), MAX_MESSAGE).ok()? {
                let (kind, length) = (message.tag, message.length);
                match kind {
                    b'D' => {
                        let value = pg::parse_data_row(message.body).ok()??;
                        let expected = value == b"the value";
                        ending = Some(if expected { Ending::Served } else { Ending::WrongValue });
                    }
                    b'E' => {
                        let code = pg::ErrorResponse::parse(message.body).ok()?.code.to_owned();
                        let rejected = code == "53300" || code == "57P03";
                        ending = Some(if rejected { Ending::Rejected } else { Ending::Failed(code) });
                    }
                    _ => {}
                }
                self.buffer.consume(length);
                if kind == b'Z' {
                    return ending;
                }
            }
            if self.stream.read_buf(self.buffer.tail()).await.ok()? == 0 {
                return ending;
            }
        }
    }
}
