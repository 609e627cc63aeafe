//! Tests, over loopback, that clients which send at full speed do not delay the requests of others.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, until};
use aldermill_wire::pg;

/// Number of clients that send at full speed.
const FLOODING_CLIENTS: usize = 6;
/// Number of ordinary clients, each of which sends one request after another.
const ORDINARY_CLIENTS: usize = 4;
/// Number of requests of each ordinary client.
const REQUESTS: usize = 15;
/// Latency objective of both classes in the settings of the tests (`targetMs`).
const OBJECTIVE: Duration = Duration::from_millis(1000);
/// Time that clients wait for their answers, in milliseconds. It exceeds the objective, so that late answers are seen.
const TIMEOUT_MS: u32 = 15_000;
/// Time that the member takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Time from SIGTERM after which the process may be killed: the longest timeout, taken as 3 s, and a margin.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Number of bytes that the flood has sent before the ordinary clients begin.
const FLOOD_BYTES: usize = 64 * 1024;

/// Clients that send blocks of bytes at full speed, and connect again when their connection ends.
struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts the clients, and waits until they have sent [`FLOOD_BYTES`]. With `reads`, they read what they are sent.
    fn start(address: SocketAddr, reads: bool, block: fn() -> Vec<u8>) -> Flood {
        let stop = Arc::<AtomicBool>::default();
        let sent = Arc::<AtomicUsize>::default();
        let threads = (0..FLOODING_CLIENTS)
            .map(|_| {
                let (stop, sent) = (stop.clone(), sent.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        if let Some(client) = Client::bare(address).greeted() {
                            flood(client.stream, reads, block, &stop, &sent);
                        }
                    }
                })
            })
            .collect();
        until("the flood", || sent.load(Ordering::SeqCst) > FLOOD_BYTES);
        Flood { stop, threads }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Sends blocks on one connection until it ends or the flood stops.
fn flood(stream: TcpStream, reads: bool, block: fn() -> Vec<u8>, stop: &AtomicBool, sent: &AtomicUsize) {
    stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let mut reader = stream.try_clone().unwrap();
    let reading = reads.then(|| {
        thread::spawn(move || {
            let mut bytes = vec![0; 64 * 1024];
            while matches!(reader.read(&mut bytes), Ok(1..)) {}
        })
    });
    let mut writer = stream;
    while !stop.load(Ordering::SeqCst) {
        let bytes = block();
        if writer.write_all(&bytes).is_err() {
            break;
        }
        sent.fetch_add(bytes.len(), Ordering::SeqCst);
    }
    let _ = writer.shutdown(Shutdown::Both);
    if let Some(reading) = reading {
        let _ = reading.join();
    }
}

/// Returns the time of the slowest answer that ordinary clients get, each of which must be a value.
fn slowest_answer(address: SocketAddr) -> Duration {
    let clients: Vec<_> = (0..ORDINARY_CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut slowest = Duration::ZERO;
                for _ in 0..REQUESTS {
                    let sent_at = Instant::now();
                    assert!(served(&client.ask(&look(TIMEOUT_MS))), "not served");
                    slowest = slowest.max(sent_at.elapsed());
                    thread::sleep(SERVICE_TIME);
                }
                slowest
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("a client failed")).max().unwrap()
}

/// Asserts that ordinary clients get their answers within the objective beside a flood of these blocks.
fn assert_not_delayed(reads: bool, block: fn() -> Vec<u8>) {
    let member = Member::start(|text, stream| {
        thread::sleep(SERVICE_TIME);
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let _flood = Flood::start(proxy.address, reads, block);
    let slowest = slowest_answer(proxy.address);
    assert!(slowest < OBJECTIVE, "{slowest:?}");
}

/// Returns as many messages as one write of a flood has.
fn block_of(one: impl Fn() -> Vec<u8>) -> Vec<u8> {
    (0..100).flat_map(|_| one()).collect()
}

fn query(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

/// Guards against a search for members whose cost grows with the requests that wait: each answer to one of them held
/// up everybody for milliseconds.
#[test]
fn hundreds_of_queued_reads_of_a_few_clients_do_not_delay_others() {
    assert_not_delayed(true, || block_of(|| query(&look(1_500))));
}

/// The same with clients that never read, whose requests are served until their buffers are full.
#[test]
fn hundreds_of_queued_writes_of_clients_that_never_read_do_not_delay_others() {
    assert_not_delayed(false, || block_of(|| query(&order(1_500))));
}

/// Guards against a connection that keeps the thread as long as it finds more bytes to read and room to write.
#[test]
fn a_flood_of_messages_that_need_no_member_does_not_delay_others() {
    const SYNC: [u8; 5] = [b'S', 0, 0, 0, 4];
    assert_not_delayed(true, || SYNC.repeat(2_000));
}

/// Guards against a client that asks for encryption for ever, each time with an answer.
#[test]
fn a_client_may_ask_for_each_kind_of_encryption_once() {
    const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
    let proxy = Driver::before(&[]);
    let mut client = Client::bare(proxy.address);
    client.raw(&ENCRYPTION_REQUEST.repeat(2));
    let mut rejections = [0; 2];
    client.stream.read_exact(&mut rejections).unwrap();
    assert_eq!(&rejections, b"NN");
    assert!(client.greeted().is_some(), "no session after two encryption requests");
    let mut client = Client::bare(proxy.address);
    client.raw(&ENCRYPTION_REQUEST.repeat(3));
    client.stream.read_exact(&mut rejections).unwrap();
    let error = client.answer().expect("an error after the third one");
    assert_eq!(error.code, "08P01");
    assert!(client.ended());
}

/// Guards against a shutdown that goes on accepting for as long as clients connect faster than they are served.
#[test]
fn a_flood_of_connections_does_not_hold_up_the_shutdown() {
    let member = Member::start(|text, stream| serve(text, "writer", stream));
    let mut proxy = Driver::before(&[("a", &member)]);
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..FLOODING_CLIENTS)
        .map(|_| {
            let (address, stop) = (proxy.address, stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let _ = TcpStream::connect(address);
                }
            })
        })
        .collect();
    assert!(served(&Client::connect(proxy.address).ask(&look(TIMEOUT_MS))));
    let stopped_at = Instant::now();
    proxy.signal("-TERM");
    while proxy.child.try_wait().unwrap().is_none() && stopped_at.elapsed() < 2 * EARLIEST_KILL {
        thread::sleep(Duration::from_millis(10));
    }
    let took = stopped_at.elapsed();
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(took < EARLIEST_KILL, "{took:?}");
}
