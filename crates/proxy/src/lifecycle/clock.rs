//! The program's clocks: the router's, which never steps; unstalled time; and the system's wall clock, which may step.

use std::cell::RefCell;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use aldermill_routing::Micros;
use aldermill_stall_detection::StallDetector;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Says how long the machine was suspended, since whenever.
pub type Suspension = fn() -> Micros;

/// Says the Unix time in microseconds by the system's clock, which may be stepped at any moment.
pub type WallClock = fn() -> Micros;

/// The router's clock: it starts at the Unix time of the start and never steps. What others tell as Unix time (positions,
/// starts of members, a session's last write) stands on it as it was told: two such times are compared without any clock
/// of this process, whatever the wall clock does in between. Where it is told of suspensions it counts
/// them; an instant from before one is then taken for as long before now as the machine has run since.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    at_start: Micros,
    wall: WallClock,
    /// Who says so, and what was said at the start.
    suspension: Option<(Suspension, Micros)>,
}

impl Clock {
    /// The wall clock is read once, and later only where [`Clock::wall`] is asked.
    pub fn start(wall: WallClock, suspension: Option<Suspension>) -> Clock {
        let suspension = suspension.map(|told| (told, told()));
        Clock { start: Instant::now(), at_start: wall(), wall, suspension }
    }

    /// The wall clock as it is now, after whatever steps: for what other processes read, never for spans of time.
    pub fn wall(&self) -> Micros {
        (self.wall)()
    }

    fn suspended(&self) -> Micros {
        self.suspension.map_or(0, |(told, before)| (told() - before).max(0))
    }

    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Micros {
        let ran = instant.saturating_duration_since(self.start).as_micros() as Micros;
        self.at_start + ran + self.suspended()
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at - self.at_start - self.suspended())
    }
}

pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// The system's clock, which may step.
pub fn unix_now() -> Micros {
    let system = SystemTime::now().duration_since(UNIX_EPOCH);
    system.map_or(0, |since| since.as_micros() as Micros) + fault::wall_clock_step()
}

/// Faults for tests: only builds with debug assertions have them, release builds never read the variable.
mod fault {
    use super::Micros;

    /// By how much the wall clock is off, in microseconds: the text of the file that the variable names.
    #[cfg(debug_assertions)]
    pub fn wall_clock_step() -> Micros {
        let file = std::env::var_os("ALDERMILL_TEST_WALL_CLOCK_STEP");
        let text = file.and_then(|file| std::fs::read_to_string(file).ok());
        text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
    }

    #[cfg(not(debug_assertions))]
    pub fn wall_clock_step() -> Micros {
        0
    }
}

/// The machine's suspensions, by the system's two clocks, of which one counts them.
pub fn suspended() -> Micros {
    let read = |clock| {
        let mut time = uapi::c::timespec { tv_sec: 0, tv_nsec: 0 };
        let told =
            uapi::clock_gettime(clock, &mut time).map(|()| time.tv_sec * 1_000_000 + time.tv_nsec / 1_000);
        told.unwrap_or(0)
    };
    // In this order a pause between the two makes a suspension shorter, never one where there was none.
    let counting = read(uapi::c::CLOCK_BOOTTIME);
    counting - read(uapi::c::CLOCK_MONOTONIC)
}

/// When bytes that were read only now were received.
#[derive(Clone, Copy, Debug)]
pub struct ReceiptBounds {
    /// No byte was received before.
    pub earliest: Instant,
    /// The last byte was received then.
    pub latest: Instant,
}

/// The time that this process has lived: the router's clock, but for the standstills of the process. What is
/// measured of others is measured in it.
#[derive(Clone)]
pub struct UnstalledClock {
    clock: Clock,
    detector: Rc<RefCell<StallDetector>>,
}

impl UnstalledClock {
    pub fn start(clock: Clock) -> UnstalledClock {
        let detector = Rc::new(RefCell::new(StallDetector::new(clock.now())));
        UnstalledClock { clock, detector }
    }

    /// All time spent standing until now. To be asked at the beginning of whatever rests on time.
    pub fn stalled_for(&self) -> Micros {
        let mut detector = self.detector.borrow_mut();
        detector.observe(self.clock.now());
        detector.stalled_for()
    }

    pub fn now(&self) -> Micros {
        let stalled = self.stalled_for();
        self.clock.now() - stalled
    }

    /// A moment to come, as far as nothing comes between.
    pub fn at(&self, instant: Instant) -> Micros {
        self.clock.at(instant) - self.stalled_for()
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant(at + self.stalled_for())
    }

    /// How much of the time since then was lived.
    pub fn unstalled_since(&self, then: Instant) -> Micros {
        self.stalled_for();
        self.detector.borrow().unstalled_time(self.clock.at(then), self.clock.now())
    }

    pub fn stalled_since(&self, then: Instant) -> bool {
        self.stalled_for();
        self.detector.borrow().stalled_since(self.clock.at(then))
    }

    /// Between when and when what was just read of this connection came, where it may have waited for this process.
    /// The connection was last read at `last`; `None` is the first time.
    pub fn receipt_bounds(&self, stream: &TcpStream, last: Option<Instant>) -> Option<ReceiptBounds> {
        self.stalled_for();
        let (detector, last) = (self.detector.borrow(), self.clock.at(last.unwrap_or(self.clock.start)));
        if !detector.stalled_since(last) {
            return None;
        }
        let bounds = detector.receipt_bounds(self.clock.now(), last, last_data(stream))?;
        Some(ReceiptBounds {
            earliest: self.clock.instant(bounds.earliest),
            latest: self.clock.instant(bounds.latest),
        })
    }
}

/// How long ago the system took in the last bytes of a connection, where it says so.
fn last_data(stream: &TcpStream) -> Option<Micros> {
    /// Where `tcpi_last_data_recv`, in milliseconds, stands in Linux's `struct tcp_info`, by words of four bytes.
    const AT: usize = 13;
    /// The system counts in its own ticks.
    const TICK: Micros = 4_000;
    let mut info = [0u32; AT + 1];
    let (level, name) = (uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO);
    let length = uapi::getsockopt(stream.as_raw_fd(), level, name, &mut info).ok()?;
    (length == std::mem::size_of_val(&info)).then(|| Micros::from(info[AT]) * 1000 + TICK)
}
