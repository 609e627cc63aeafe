//! Hostile clients at work: each task repeats one behaviour on one connection after another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use aldermill_wire::{pg, statement};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::behaviour::Behaviour;
use super::ids::IdSource;

/// Pause before a client whose connection has ended connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits for the response to its startup message.
const STARTUP_WAIT: Duration = Duration::from_secs(3);
/// Longest time that a client spends on one connection.
const CONNECTION_TIME: Duration = Duration::from_secs(4);
/// Rate of a slow writer: so many bytes at a time, with this pause between.
const SLOW_PIECE: usize = 2_000;
const SLOW_PAUSE: Duration = Duration::from_millis(400);
/// How long a client that leaves stays after its last byte.
const STAYS_FOR: Duration = Duration::from_millis(15);

/// When clients closed their connections, by the ids of the requests on them.
#[derive(Clone, Default)]
pub struct DepartureLog(Arc<Mutex<HashMap<String, Instant>>>);

impl DepartureLog {
    /// Returns all ids and when their clients closed the connection.
    pub fn entries(&self) -> Vec<(String, Instant)> {
        self.0.lock().expect("the log").iter().map(|(id, &at)| (id.clone(), at)).collect()
    }

    fn record(&self, bytes: &[u8], at: Instant) {
        let mut log = self.0.lock().expect("the log");
        let mut rest = bytes;
        while let Ok(Some(message)) = pg::message(rest, usize::MAX >> 1) {
            if let Some(id) = statement::field(message.body, "id") {
                log.insert(id.to_owned(), at);
            }
            rest = &rest[message.length..];
        }
    }
}

/// A group of hostile clients of one behaviour.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct HostileGroup {
    /// What they do.
    pub behaviour: Behaviour,
    /// How many connections they have at once.
    pub connections: usize,
    /// Whether they read what they are sent.
    pub reads: bool,
}

/// What all hostile clients of a trial share.
#[derive(Clone)]
pub struct AttackContext {
    /// Address of the proxy.
    pub proxy: SocketAddr,
    /// Set when the trial ends.
    pub stop: Arc<AtomicBool>,
    /// Requests whose client left.
    pub departures: DepartureLog,
    /// Number of connections that were opened.
    pub connections: Arc<AtomicUsize>,
}

/// One hostile client.
pub struct HostileClient {
    /// What the clients share.
    pub context: AttackContext,
    /// The client's group.
    pub group: HostileGroup,
}

impl HostileClient {
    /// Repeats the behaviour until the trial ends.
    pub async fn run(self) {
        let mut ids = IdSource::new("h");
        while !self.context.stop.load(Ordering::Relaxed) {
            let _ = timeout(CONNECTION_TIME, self.use_connection(&mut ids)).await;
            if self.group.behaviour != Behaviour::Reconnects {
                sleep(RECONNECT_PAUSE).await;
            }
        }
    }

    async fn use_connection(&self, ids: &mut IdSource) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.context.proxy).await?;
        self.context.connections.fetch_add(1, Ordering::Relaxed);
        stream.set_nodelay(true)?;
        if self.group.behaviour.starts_session() {
            start_session(&mut stream).await?;
        }
        match self.group.behaviour {
            Behaviour::Reconnects => Ok(()),
            Behaviour::Idle => wait_for_end(&mut stream).await,
            Behaviour::UnfinishedLarge | Behaviour::UnfinishedSmall => {
                let block = self.group.behaviour.block(ids);
                stream.write_all(&block).await?;
                wait_for_end(&mut stream).await
            }
            Behaviour::SlowWriters => {
                for piece in self.group.behaviour.block(ids).chunks(SLOW_PIECE) {
                    stream.write_all(piece).await?;
                    sleep(SLOW_PAUSE).await;
                }
                wait_for_end(&mut stream).await
            }
            Behaviour::LeavesAfterReads | Behaviour::LeavesAfterWrites => self.leave(stream, ids).await,
            Behaviour::ReturnsWithSameId => self.return_with_same_id(stream, ids).await,
            _ => self.flood(stream, ids).await,
        }
    }

    /// Sends blocks, as fast as the proxy takes them.
    async fn flood(&self, stream: TcpStream, ids: &mut IdSource) -> std::io::Result<()> {
        let (mut reader, mut writer) = stream.into_split();
        let reads = self.group.reads;
        let reading = async {
            let mut bytes = vec![0; 64 * 1024];
            while reads && reader.read(&mut bytes).await? > 0 {}
            if !reads {
                std::future::pending::<()>().await;
            }
            std::io::Result::Ok(())
        };
        let writing = async {
            while !self.context.stop.load(Ordering::Relaxed) {
                let block = self.group.behaviour.block(ids);
                writer.write_all(&block).await?;
            }
            std::io::Result::Ok(())
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
        }
    }

    /// Sends many requests and closes the connection, so that most are unread by then.
    async fn leave(&self, mut stream: TcpStream, ids: &mut IdSource) -> std::io::Result<()> {
        let block = self.group.behaviour.block(ids);
        let written = timeout(STAYS_FOR, stream.write_all(&block)).await;
        if written.is_ok() {
            sleep(STAYS_FOR).await;
        }
        drop(stream);
        self.context.departures.record(&block, Instant::now());
        Ok(())
    }

    /// Sends a write, leaves at once and sends it again under the same id.
    async fn return_with_same_id(&self, mut stream: TcpStream, ids: &mut IdSource) -> std::io::Result<()> {
        let write = self.group.behaviour.block(ids);
        stream.write_all(&write).await?;
        sleep(Duration::from_millis(2)).await;
        drop(stream);
        let mut again = TcpStream::connect(self.context.proxy).await?;
        start_session(&mut again).await?;
        again.write_all(&write).await?;
        let _ = timeout(Duration::from_millis(100), wait_for_end(&mut again)).await;
        Ok(())
    }
}

/// Starts a session and reads up to the end of its greeting.
pub(super) async fn start_session(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut startup = Vec::new();
    pg::write_startup_message(&mut startup, "client", "core");
    stream.write_all(&startup).await?;
    let mut bytes = Vec::new();
    let greeting = async {
        while !pg::ends_with_ready_for_query(&bytes) {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    };
    timeout(STARTUP_WAIT, greeting).await.map_err(|_| std::io::ErrorKind::TimedOut)?
}

/// Reads until the proxy closes the connection.
async fn wait_for_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut bytes = vec![0; 4096];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}
