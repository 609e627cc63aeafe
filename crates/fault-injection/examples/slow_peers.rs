//! Measures what slow peers cost usual clients: `cargo run --release -p aldermill-fault-injection --example slow_peers`.
//! ALDERMILL names another build of the program to measure. Takes about two minutes; wants the machine to itself.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use aldermill_test_support::{
    Client, Discovery, Driver, Member, config, drip, list, look, order, paced, quantile, refuse, serve,
    serve_with, whole,
};

const CLIENTS: usize = 40;
const EVERY: Duration = Duration::from_millis(100);
const QUOTED: Duration = Duration::from_millis(1000);
const LONG: Duration = Duration::from_secs(15);

/// What the usual clients saw.
#[derive(Default)]
struct Seen {
    asked: usize,
    in_time: usize,
    late: usize,
    took: Vec<Duration>,
}

/// Ten requests a second from each client, a quarter of them effectful, counted from when they were due.
fn usual(address: SocketAddr, long: Duration) -> Seen {
    let seen = Mutex::<Seen>::default();
    paced(CLIENTS, EVERY, long, |turn, due, client| {
        let statement = if turn % 4 == 3 { order(2000) } else { look(2000) };
        let mut said = None;
        for _ in 0..2 {
            *client = client.take().or_else(|| Client::bare(address).greeted());
            said = client
                .as_mut()
                .and_then(|client| client.offer(&statement).then(|| client.answer()).flatten());
            if said.is_some() {
                break;
            }
            *client = None;
        }
        let mut seen = seen.lock().unwrap();
        seen.asked += 1;
        if said.is_some_and(|said| said.value.is_some()) {
            seen.took.push(due.elapsed());
            if due.elapsed() <= QUOTED { seen.in_time += 1 } else { seen.late += 1 }
        }
    });
    seen.into_inner().unwrap()
}

/// What the system's TCP holds in all, in KiB, and how many connections that no program has any more.
fn kernel() -> (u64, u64) {
    let stat = std::fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
    let words: Vec<&str> =
        stat.lines().find(|line| line.starts_with("TCP:")).unwrap_or("").split(' ').collect();
    let after = |name| {
        let at = words.iter().position(|&word| word == name)?;
        words.get(at + 1)?.parse::<u64>().ok()
    };
    (after("mem").unwrap_or(0) * 4, after("orphan").unwrap_or(0))
}

fn start(members: &[(&str, &Member)], memory: usize, sockets: usize) -> Driver {
    let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
    let discovery = Discovery::default();
    discovery.say(list(1, true, &members));
    let whole = config(discovery.start(), sockets, &list(1, true, &members));
    Driver::of(&whole.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory}")))
}

fn row(what: &str, seen: &mut Seen, cpu: f64, resident: u64, kernel: u64, orphans: u64) {
    let (half, most) = (quantile(&mut seen.took, 0.5), quantile(&mut seen.took, 0.99));
    println!(
        "{what:<34} {:>6} asked  {:.4} in time  {:.4} late  {:.4} nothing  p50 {half:.2} ms  p99 {most:.2} ms  {:.0} us CPU a request  \
         resident {resident} KiB  kernel {kernel} KiB  orphans {orphans}",
        seen.asked,
        seen.in_time as f64 / seen.asked as f64,
        seen.late as f64 / seen.asked as f64,
        1.0 - (seen.in_time + seen.late) as f64 / seen.asked as f64,
        cpu * 1e6 / seen.asked as f64,
    );
}

/// Runs the usual clients and watches the memory meanwhile.
fn watched(driver: &Driver, what: &str, base: u64) -> f64 {
    let done = Arc::<AtomicBool>::default();
    let pid = driver.child.id();
    let watching = {
        let done = done.clone();
        thread::spawn(move || {
            let (mut resident, mut held, mut orphans) = (0, 0, 0);
            while !done.load(Ordering::SeqCst) {
                let (mem, without) = kernel();
                (held, orphans) = (held.max(mem), orphans.max(without));
                let status = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
                let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
                resident = resident.max(pages * 4);
                thread::sleep(Duration::from_millis(100));
            }
            (resident, held, orphans)
        })
    };
    let before = driver.cpu();
    let mut seen = usual(driver.address, LONG);
    let used = driver.cpu() - before;
    done.store(true, Ordering::SeqCst);
    let (resident, held, orphans) = watching.join().unwrap();
    row(what, &mut seen, used, resident, held.saturating_sub(base), orphans);
    seen.in_time as f64 / seen.asked as f64
}

fn readers() {
    let value = Arc::new(vec![7; 1_400_000]);
    let member = {
        let value = value.clone();
        Member::start(move |text, stream| match text.contains("'large'") {
            true => serve_with(&value, text, "writer", stream),
            false => serve(text, "writer", stream),
        })
    };
    let base = kernel().0;
    let driver = start(&[("a", &member)], 48, 384);
    watched(&driver, "no slow readers", base);
    let stop = Arc::<AtomicBool>::default();
    let slow: Vec<_> = (0..300)
        .map(|_| {
            let (address, stop) = (driver.address, stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    if let Some(mut client) = Client::narrow(address) {
                        client.offer(&look(15_000).replace("'k'", "'large'"));
                        while !stop.load(Ordering::SeqCst) && !client.sip(5, Duration::from_secs(1), EVERY).1
                        {
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    watched(&driver, "300 readers of 1.4 MB at 5 B/s", base);
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(8));
    let (mem, orphans) = kernel();
    println!("8 s after they stopped: kernel {} KiB, orphans {orphans}", mem.saturating_sub(base));
    drop(driver);
    slow.into_iter().for_each(|reader| reader.join().unwrap());
}

fn trickling() {
    let mut of = [0.0; 2];
    for (turn, what) in ["four sound members", "one of four a byte every 0.25 s"].into_iter().enumerate() {
        let member = |role: &'static str, ill: bool| {
            Member::start(move |text, stream| match role {
                "reader" if text.contains("INSERT") => refuse("25006", role, stream),
                _ if ill => drip(&whole(b"the value", text, role), 1, Duration::from_millis(250), stream),
                _ => serve(text, role, stream),
            })
        };
        let members = [
            member("writer", false),
            member("reader", false),
            member("reader", false),
            member("reader", turn == 1),
        ];
        let named: Vec<(&str, &Member)> = ["a", "b", "c", "d"].into_iter().zip(&members).collect();
        let driver = start(&named, 48, 384);
        of[turn] = watched(&driver, what, kernel().0);
    }
    println!("service kept with the trickling member: {:.4}", of[1] / of[0]);
}

fn main() {
    readers();
    trickling();
}
