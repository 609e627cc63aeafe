//! A member that costs little: one listener, some workers, a limit on connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::statement::Comment;
use aldermill_wire::{Buffer, pg};
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::ground::{Ground, count};
use crate::terms::{CLASSES, is_write};

const LAG_MS: u64 = 40;
const HANDSHAKE_MS: f64 = 1.0;
const MAX_MESSAGE: usize = 1 << 20;

pub struct Member {
    ground: Rc<Ground>,
    id: usize,
    workers: Semaphore,
    /// How much longer than usual work takes: what whole workers have too much or too little.
    slowness: f64,
    open: Cell<usize>,
}

impl Member {
    pub async fn start(ground: &Rc<Ground>, id: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let part = ground.day.part(ground.day.workers);
        let workers = part.floor().max(1.0);
        let member = Rc::new(Member {
            ground: ground.clone(),
            id,
            workers: Semaphore::new(workers as usize),
            slowness: workers / part,
            open: Cell::default(),
        });
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        spawn_local(member.clone().welcome(stream));
                    }
                    Err(error) => {
                        eprintln!("a member cannot accept: {error}");
                        sleep(Duration::from_millis(100)).await;
                    }
                }
            }
        });
        Ok(address)
    }

    async fn welcome(self: Rc<Member>, stream: TcpStream) {
        count(&self.ground.connections);
        self.open.set(self.open.get() + 1);
        self.serve(stream).await;
        self.open.set(self.open.get() - 1);
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut buffer, mut out) = (Buffer::default(), Vec::new());
        let length = loop {
            if let Some(pg::InitialMessage { length, .. }) = pg::initial_message(buffer.held()).ok()? {
                break length;
            }
            self.read(&mut stream, &mut buffer).await?;
        };
        buffer.consume(length);
        if self.open.get() as f64 > self.ground.day.part(self.ground.day.connections).max(2.0) {
            pg::write_error_response(&mut out, true, "53300", "too many connections", None);
            return stream.write_all(&out).await.ok();
        }
        self.work(HANDSHAKE_MS).await;
        pg::write_startup_response(&mut out, 1);
        stream.write_all(&out).await.ok()?;
        loop {
            let Some(message) = pg::message(buffer.held(), MAX_MESSAGE).ok()? else {
                self.read(&mut stream, &mut buffer).await?;
                continue;
            };
            if message.tag != b'Q' {
                return None;
            }
            let text = pg::parse_query(message.body).ok()?.to_vec();
            let length = message.length;
            buffer.consume(length);
            out.clear();
            self.answer(&text, &mut out).await;
            stream.write_all(&out).await.ok()?;
        }
    }

    /// `None` at the end of the connection, or once it was idle for as long as the settings say.
    async fn read(&self, stream: &mut TcpStream, buffer: &mut Buffer) -> Option<()> {
        let read = timeout(self.ground.day.idle, stream.read_buf(buffer.tail())).await;
        (read.ok()?.ok()? > 0).then_some(())
    }

    async fn work(&self, millis: f64) {
        let Ok(_worker) = self.workers.acquire().await else { return };
        sleep(Duration::from_secs_f64(millis * self.slowness / 1000.0)).await;
    }

    async fn answer(&self, text: &[u8], out: &mut Vec<u8>) {
        if text.is_empty() {
            pg::write_empty_query_response(out);
        } else if let Ok(comment) = Comment::parse(text) {
            self.request(&comment, out).await;
            self.state(out);
        } else {
            count(&self.ground.health_checks);
            let primary = u8::from(self.ground.is_primary(self.id));
            let report = format!("x0={:.3},x1={primary},inflight=0", self.position_ms() as f64 / 1000.0);
            pg::write_single_row(out, "usage", report.as_bytes(), "SHOW");
            self.state(out);
        }
        pg::write_ready_for_query(out);
    }

    async fn request(&self, comment: &Comment, out: &mut Vec<u8>) {
        let class = CLASSES.iter().position(|class| class.name == comment.class).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(u64::from(comment.timeout_ms));
        let Ok(Ok(_worker)) = timeout_at(until, self.workers.acquire()).await else {
            return pg::write_error_response(out, false, "53300", "over before it began", None);
        };
        if is_write(class) && !self.ground.is_primary(self.id) {
            count(&self.ground.misses);
            return pg::write_error_response(out, false, "25006", "not the primary", None);
        }
        if is_write(class) {
            let process = super::clients::process_of(&comment.id);
            self.ground.write_ran(process, self.ground.group_of(self.id));
        }
        let spread = 0.5 + self.ground.rng.borrow_mut().random::<f64>();
        let took = CLASSES[class].work_ms * spread * self.slowness;
        sleep(Duration::from_secs_f64(took / 1000.0)).await;
        pg::write_single_row(out, "val", b"the value", "SELECT 1");
    }

    fn state(&self, out: &mut Vec<u8>) {
        let role = if self.ground.is_primary(self.id) { "writer" } else { "reader" };
        pg::write_parameter_status(out, "server_role", role);
        pg::write_parameter_status(out, "commit_clock", &self.position_ms().to_string());
    }

    fn position_ms(&self) -> u64 {
        let lag = if self.ground.is_primary(self.id) { 0 } else { LAG_MS };
        aldermill_test_support::unix_millis() as u64 - lag - 1
    }
}
