//! The lines between parties do what they are told, and nothing else.

use std::time::Duration;

use aldermill_fault_injection::cable::{BACK, Line, THERE};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const SHORT: Duration = Duration::from_millis(80);
const LONG: Duration = Duration::from_secs(20);

fn play(scene: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, scene);
}

/// One that says back what it hears.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

async fn said_back(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    let mut back = vec![0; bytes.len()];
    stream.write_all(bytes).await.is_ok() && stream.read_exact(&mut back).await.is_ok() && back == bytes
}

#[test]
fn a_held_stream_goes_on_whole() {
    play(async {
        let line = Line::new(1);
        let mut stream = TcpStream::connect(line.stream(echo().await).await.unwrap()).await.unwrap();
        assert!(said_back(&mut stream, b"one").await);
        line.hold(BACK, true);
        assert!(timeout(SHORT, said_back(&mut stream, b"two")).await.is_err());
        line.hold(BACK, false);
        let mut back = [0; 3];
        timeout(LONG, stream.read_exact(&mut back)).await.unwrap().unwrap();
        assert_eq!(&back, b"two");
        line.delay.set(SHORT);
        let start = Instant::now();
        assert!(said_back(&mut stream, b"three").await);
        assert!(start.elapsed() >= 2 * SHORT, "there and back");
    });
}

#[test]
fn a_cut_comes_at_the_byte_that_was_named() {
    play(async {
        let line = Line::new(1);
        let mut stream = TcpStream::connect(line.stream(echo().await).await.unwrap()).await.unwrap();
        line.cut_after(BACK, 4);
        stream.write_all(b"seven..").await.unwrap();
        let mut back = Vec::new();
        let end = timeout(LONG, stream.read_to_end(&mut back)).await.unwrap();
        assert!(end.is_err() || back.len() <= 4, "no more than was let through");
    });
}

#[test]
fn a_lost_way_is_mute_and_a_half_open_one_stays_open() {
    play(async {
        let line = Line::new(1);
        let address = line.stream(echo().await).await.unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert!(said_back(&mut stream, b"one").await);
        line.half_open();
        assert!(timeout(SHORT, said_back(&mut stream, b"two")).await.is_err(), "nothing is told");
        let mut other = TcpStream::connect(address).await.unwrap();
        assert!(said_back(&mut other, b"new ones come up").await);
        line.lost[THERE].set(true);
        assert!(timeout(SHORT, said_back(&mut other, b"lost")).await.is_err());
        line.lost[THERE].set(false);
        line.cut();
        let mut piece = [0; 8];
        let end = timeout(LONG, other.read(&mut piece)).await.unwrap();
        assert!(matches!(end, Ok(0) | Err(_)), "a cut is told");
    });
}

#[test]
fn datagrams_are_lost_doubled_and_reordered_by_chance() {
    play(async {
        let far = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let line = Line::new(7);
        let near = line.datagrams(far.local_addr().unwrap()).await.unwrap();
        let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        line.loss.set(0.2);
        line.doubled.set(0.3);
        line.reordered.set(0.3);
        for number in 0..100u8 {
            own.send_to(&[number], near).await.unwrap();
            sleep(Duration::from_micros(500)).await;
        }
        let (mut came, mut bytes) = (Vec::new(), [0; 8]);
        while let Ok(Ok((1, from))) = timeout(SHORT, far.recv_from(&mut bytes)).await {
            came.push(bytes[0]);
            if came.len() == 1 {
                far.send_to(b"answer", from).await.unwrap();
            }
        }
        let mut once = came.clone();
        once.sort_unstable();
        once.dedup();
        assert!(once.len() < 100 && once.len() > 40, "{} of 100 came", once.len());
        assert!(came.len() > once.len(), "some came twice");
        assert!(came.windows(2).any(|pair| pair[1] < pair[0]), "some came behind later ones");
        line.loss.set(0.0);
        let (count, from) = timeout(LONG, own.recv_from(&mut bytes)).await.unwrap().unwrap();
        assert_eq!((&bytes[..count], from), (&b"answer"[..], near));
    });
}
