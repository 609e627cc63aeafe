//! Clients of each process: they come by chance at its rate, and ask once.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::{Buffer, pg};
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::Answers;
use super::ground::Ground;
use crate::terms::CLASSES;

const MAX_MESSAGE: usize = 1 << 20;
/// Beyond the deadline an answer is none.
const SLACK: Duration = Duration::from_millis(150);
/// Classes of reads and writes, and the share that the first of each has.
const READS: [usize; 2] = [0, 1];
const WRITES: [usize; 2] = [2, 3];
const FIRST_SHARE: f64 = 2.0 / 3.0;

enum Outcome {
    Served,
    Rejected,
    Failed,
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    welcomed: bool,
}

pub struct Clients {
    ground: Rc<Ground>,
    addresses: Vec<SocketAddr>,
    /// By process, connections that rest.
    idle: Vec<RefCell<Vec<Connection>>>,
    next: Cell<u64>,
}

/// Which process a request was sent to first, by its id.
pub fn process_of(id: &str) -> usize {
    id.split_once('-').and_then(|(process, _)| process.parse().ok()).unwrap_or(0)
}

impl Clients {
    pub fn new(ground: &Rc<Ground>, addresses: Vec<SocketAddr>) -> Rc<Clients> {
        let idle = addresses.iter().map(|_| RefCell::default()).collect();
        Rc::new(Clients { ground: ground.clone(), addresses, idle, next: Cell::default() })
    }

    /// Whether each process answers an empty query.
    pub async fn are_ready(&self) -> bool {
        for &address in &self.addresses {
            let Ok(mut connection) = connect(address).await else { return false };
            let asked = timeout(Duration::from_secs(1), connection.converse(b"")).await;
            if !matches!(asked, Ok(Some(_))) {
                return false;
            }
        }
        true
    }

    /// Until the day is over and the last client has its answer or has given up.
    pub async fn run(self: Rc<Clients>) {
        let end = Instant::now() + self.ground.day.length;
        let mut arrivals = JoinSet::new();
        for process in 0..self.addresses.len() {
            arrivals.spawn_local(self.clone().arrivals(process, end));
        }
        while arrivals.join_next().await.is_some() {}
    }

    async fn arrivals(self: Rc<Clients>, process: usize, end: Instant) {
        let (mut due, mut requests) = (Instant::now(), JoinSet::new());
        loop {
            let chance: f64 = self.ground.rng.borrow_mut().random();
            due += Duration::from_secs_f64(-(1.0 - chance).ln() / self.ground.day.rate);
            if due >= end {
                break;
            }
            sleep_until(due).await;
            requests.spawn_local(self.clone().request(process));
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(self: Rc<Clients>, process: usize) {
        let (writes, class, group) = {
            let mut rng = self.ground.rng.borrow_mut();
            let writes = rng.random::<f64>() < self.ground.day.writes;
            let classes = if writes { WRITES } else { READS };
            let class = classes[usize::from(rng.random::<f64>() >= FIRST_SHARE)];
            (writes, class, rng.random_range(0..self.ground.day.groups))
        };
        if writes {
            self.ground.write_asked(process, group);
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let verb = if writes {
            format!("INSERT INTO state (uid, val) VALUES ('k{id}', '\\x9f') RETURNING val")
        } else {
            format!("SELECT val FROM state WHERE uid = 'k{id}'")
        };
        let (name, limit) = (CLASSES[class].name, CLASSES[class].timeout_ms);
        let text = format!("/* id={process}-{id:012},c={name},d={limit},cluster={group} */ {verb}");
        let until = Duration::from_millis(limit as u64) + SLACK;
        let outcome = timeout(until, self.ask(process, text.as_bytes())).await;
        let counted = if writes { &self.ground.writes } else { &self.ground.reads };
        let before = counted.get();
        let (served, rejected, failed) = match outcome.ok().flatten() {
            Some(Outcome::Served) => (1, 0, 0),
            Some(Outcome::Rejected) => (0, 1, 0),
            Some(Outcome::Failed) | None => (0, 0, 1),
        };
        counted.set(Answers {
            asked: before.asked + 1,
            served: before.served + served,
            rejected: before.rejected + rejected,
            failed: before.failed + failed,
        });
    }

    async fn ask(&self, process: usize, text: &[u8]) -> Option<Outcome> {
        loop {
            let resting = self.idle[process].borrow_mut().pop();
            let was_resting = resting.is_some();
            let mut connection = match resting {
                Some(connection) => connection,
                None => connect(self.addresses[process]).await.ok()?,
            };
            let outcome = connection.converse(text).await;
            if outcome.is_some() {
                self.idle[process].borrow_mut().push(connection);
            } else if was_resting {
                // Its end may have crossed the request.
                continue;
            }
            return outcome;
        }
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Connection { stream, buffer: Buffer::default(), welcomed: false })
}

impl Connection {
    /// One query up to the end of its answer; `None` at the end of the connection.
    async fn converse(&mut self, text: &[u8]) -> Option<Outcome> {
        let mut out = Vec::new();
        if !self.welcomed {
            pg::write_startup_message(&mut out, "client", "core");
        }
        pg::write_query(&mut out, &[text]);
        self.stream.write_all(&out).await.ok()?;
        let mut outcome = Outcome::Failed;
        loop {
            while let Some(message) = pg::message(self.buffer.held(), MAX_MESSAGE).ok()? {
                match message.tag {
                    b'D' => outcome = Outcome::Served,
                    b'E' => {
                        let code = pg::ErrorResponse::parse(message.body).ok()?.code;
                        if matches!(code, "53300" | "57P03") {
                            outcome = Outcome::Rejected;
                        }
                    }
                    _ => {}
                }
                let (tag, length) = (message.tag, message.length);
                self.buffer.consume(length);
                if tag == b'Z' && std::mem::replace(&mut self.welcomed, true) {
                    return Some(outcome);
                }
            }
            if self.stream.read_buf(self.buffer.tail()).await.ok()? == 0 {
                return None;
            }
        }
    }
}
