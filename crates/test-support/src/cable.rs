//! A line between two programs that delays, holds back and cuts what goes over it.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Which way: to the one that was connected to, or back.
pub const THERE: usize = 0;
pub const BACK: usize = 1;

#[derive(Default)]
struct Plan {
    delay: Duration,
    /// Nothing goes this way for now; it goes on later, or never.
    held: [bool; 2],
    /// The connection that carries the byte after so many more of this way is cut there.
    cut_after: [Option<usize>; 2],
    /// Everything is refused.
    down: bool,
    open: Vec<Weak<(TcpStream, TcpStream)>>,
    carried: [usize; 2],
    cuts: usize,
}

#[derive(Clone)]
pub struct Cable {
    pub address: SocketAddr,
    plan: Arc<Mutex<Plan>>,
}

impl Cable {
    pub fn to(target: SocketAddr) -> Cable {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let cable = Cable { address: listener.local_addr().unwrap(), plan: Arc::default() };
        let plan = cable.plan.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if plan.lock().unwrap().down {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                // The line itself adds no wait but the one that was asked for.
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ends = Arc::new((near, far));
                plan.lock().unwrap().open.push(Arc::downgrade(&ends));
                for way in [THERE, BACK] {
                    let (ends, plan) = (ends.clone(), plan.clone());
                    thread::spawn(move || carry(&ends, way, &plan));
                }
            }
        });
        cable
    }

    pub fn delay(&self, delay: Duration) {
        self.plan.lock().unwrap().delay = delay;
    }

    pub fn hold(&self, way: usize, held: bool) {
        self.plan.lock().unwrap().held[way] = held;
    }

    pub fn cut_after(&self, way: usize, bytes: usize) {
        self.plan.lock().unwrap().cut_after[way] = Some(bytes);
    }

    /// Cuts all that stands, and lets nothing come up while it is down.
    pub fn cut(&self, down: bool) {
        let mut plan = self.plan.lock().unwrap();
        plan.down = down;
        plan.cuts += 1;
        plan.open.drain(..).filter_map(|ends| ends.upgrade()).for_each(|ends| part(&ends));
    }

    /// Bytes carried so far, either way.
    pub fn carried(&self) -> [usize; 2] {
        self.plan.lock().unwrap().carried
    }

    pub fn cuts(&self) -> usize {
        self.plan.lock().unwrap().cuts
    }
}

fn part(ends: &(TcpStream, TcpStream)) {
    let _ = ends.0.shutdown(Shutdown::Both);
    let _ = ends.1.shutdown(Shutdown::Both);
}

/// Carries one way: what is read is due after the delay, and written then.
fn carry(ends: &Arc<(TcpStream, TcpStream)>, way: usize, plan: &Arc<Mutex<Plan>>) {
    let (from, to) = if way == THERE { (&ends.0, &ends.1) } else { (&ends.1, &ends.0) };
    let queue = Arc::<Mutex<VecDeque<(Instant, Vec<u8>)>>>::default();
    let reading = {
        let (queue, plan, ends) = (queue.clone(), plan.clone(), ends.clone());
        thread::spawn(move || {
            let mut from = if way == THERE { &ends.0 } else { &ends.1 };
            let mut piece = vec![0; 16 * 1024];
            while let Ok(count @ 1..) = from.read(&mut piece) {
                let due = Instant::now() + plan.lock().unwrap().delay;
                queue.lock().unwrap().push_back((due, piece[..count].to_vec()));
            }
        })
    };
    let mut to: &TcpStream = to;
    loop {
        let held = plan.lock().unwrap().held[way];
        let due = queue.lock().unwrap().front().map(|(due, _)| *due);
        if held || due.is_none_or(|due| due > Instant::now()) {
            if due.is_none() && reading.is_finished() {
                break;
            }
            thread::sleep(Duration::from_micros(200));
            continue;
        }
        let Some((_, bytes)) = queue.lock().unwrap().pop_front() else { continue };
        let (count, cut) = {
            let mut plan = plan.lock().unwrap();
            let left = plan.cut_after[way].filter(|&left| left < bytes.len());
            if left.is_some() {
                plan.cut_after[way] = None;
                plan.cuts += 1;
            } else if let Some(after) = &mut plan.cut_after[way] {
                *after -= bytes.len();
            }
            let count = left.unwrap_or(bytes.len());
            plan.carried[way] += count;
            (count, left.is_some())
        };
        if to.write_all(&bytes[..count]).is_err() || cut {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    part(ends);
}
