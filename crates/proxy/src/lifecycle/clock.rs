//! The proxy's clocks.
//!
//! - [`Clock`]: Unix time at the start of the process, and steady from then on. What the router decides is dated by it.
//! - [`UnstalledClock`]: the same, less the time in which the process was stalled. Spans in which others are measured are
//!   taken from it, so that nobody is blamed for a pause of this process.
//! - [`unix_now`]: the system's wall clock, which may step at any moment. Read for what other processes read, never for spans.

use std::cell::RefCell;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use aldermill_routing::Micros;
use aldermill_stall_detection::StallDetector;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Returns how long the machine has been suspended since some fixed instant.
pub type SuspensionClock = fn() -> Micros;

/// Returns the Unix time by the system's clock, which may step at any moment.
pub type WallClock = fn() -> Micros;

/// The router's clock: it starts at the Unix time of the start and never steps.
///
/// Unix times that others report (positions, starts of members, a session's last write) are compared on it as they were
/// reported, so that a step of this machine's wall clock changes nothing between two of them.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The wall clock at `start`.
    unix_start: Micros,
    wall: WallClock,
    suspension: Option<SuspensionCounter>,
}

/// Suspensions of the machine since the start, which tokio's clock does not count.
#[derive(Clone, Copy)]
struct SuspensionCounter {
    clock: SuspensionClock,
    /// What the clock showed at the start.
    at_start: Micros,
}

impl Clock {
    /// Starts the clock. The wall clock is read once here, and later only by [`Clock::wall`]. With `suspension`, time in which
    /// the machine was suspended counts as passed; an instant from before a suspension then lies as long before now as the
    /// machine has run since.
    pub fn start(wall: WallClock, suspension: Option<SuspensionClock>) -> Clock {
        let suspension = suspension.map(|clock| SuspensionCounter { clock, at_start: clock() });
        Clock { start: Instant::now(), unix_start: wall(), wall, suspension }
    }

    /// The wall clock as it is now, after any steps: for what other processes read, never for spans.
    pub fn wall(&self) -> Micros {
        (self.wall)()
    }

    /// How long the machine was suspended since the start, as far as that counts.
    fn suspended_since_start(&self) -> Micros {
        let Some(SuspensionCounter { clock, at_start }) = self.suspension else { return 0 };
        (clock() - at_start).max(0)
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// This clock's time at an instant of tokio's.
    pub fn at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start).as_micros() as Micros;
        self.unix_start + elapsed + self.suspended_since_start()
    }

    /// The instant of tokio's clock at which this one shows `at`, unless the machine is suspended before.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at - self.unix_start - self.suspended_since_start())
    }
}

/// A span in microseconds as a duration; one below zero is zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// The system's wall clock, which may step: Unix time, zero if it is set to before 1970.
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

    /// Nothing, in a release build.
    #[cfg(not(debug_assertions))]
    pub fn wall_clock_step() -> Micros {
        0
    }
}

/// How long the machine has been suspended since it was started: the difference of the system's two steady clocks, of which
/// one counts suspension.
pub fn suspended_time() -> Micros {
    // Read in this order, a pause in between makes a suspension shorter, and never shows one where there was none.
    let with_suspension = read_system_clock(uapi::c::CLOCK_BOOTTIME);
    with_suspension - read_system_clock(uapi::c::CLOCK_MONOTONIC)
}

/// A clock of the system, in microseconds; zero where it has no such clock.
pub(super) fn read_system_clock(clock: uapi::c::clockid_t) -> Micros {
    let mut time = uapi::c::timespec { tv_sec: 0, tv_nsec: 0 };
    match uapi::clock_gettime(clock, &mut time) {
        Ok(()) => time.tv_sec * 1_000_000 + time.tv_nsec / 1_000,
        Err(_) => 0,
    }
}

/// When bytes were received that were read only after a stall.
#[derive(Clone, Copy, Debug)]
pub struct ReceiptBounds {
    /// None of them was received before this instant.
    pub earliest: Instant,
    /// The last of them was received at this instant, as far as is known.
    pub latest: Instant,
}

/// [`Clock`], less the time in which the process was stalled. Clones share what is known of stalls.
#[derive(Clone)]
pub struct UnstalledClock {
    clock: Clock,
    detector: Rc<RefCell<StallDetector>>,
}

impl UnstalledClock {
    /// Starts with no stall.
    pub fn start(clock: Clock) -> UnstalledClock {
        let detector = Rc::new(RefCell::new(StallDetector::new(clock.now())));
        UnstalledClock { clock, detector }
    }

    /// Notices a stall that ended just now. Every method does so first: whichever part of the program runs first after a stall,
    /// it does not measure others in it.
    fn observe(&self) {
        self.detector.borrow_mut().observe(self.clock.now());
    }

    /// All time stalled until now, in microseconds.
    pub fn stalled_for(&self) -> Micros {
        self.observe();
        self.detector.borrow().total_stalled_time()
    }

    /// The time now, less all time stalled.
    pub fn now(&self) -> Micros {
        let stalled = self.stalled_for();
        self.clock.now() - stalled
    }

    /// This clock's time at an instant to come, if the process does not stall before.
    pub fn at(&self, instant: Instant) -> Micros {
        self.clock.at(instant) - self.stalled_for()
    }

    /// The instant at which this clock shows `at`, if the process does not stall before.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant(at + self.stalled_for())
    }

    /// How much of the time since then the process was not stalled, in microseconds.
    pub fn unstalled_since(&self, then: Instant) -> Micros {
        self.observe();
        self.detector.borrow().unstalled_time(self.clock.at(then), self.clock.now())
    }

    /// Whether a stall ended after that instant.
    pub fn stalled_since(&self, then: Instant) -> bool {
        self.observe();
        self.detector.borrow().stalled_since(self.clock.at(then))
    }

    /// When the bytes were received that were just read from this connection; `None` means just now, as far as anybody can
    /// tell. The connection was read before at `last_read`, `None` if never. The system is asked only after a stall.
    pub fn receipt_bounds(&self, stream: &TcpStream, last_read: Option<Instant>) -> Option<ReceiptBounds> {
        self.observe();
        let last_read = self.clock.at(last_read.unwrap_or(self.clock.start));
        let detector = self.detector.borrow();
        if !detector.stalled_since(last_read) {
            return None;
        }
        let bounds = detector.receipt_bounds(self.clock.now(), last_read, age_of_last_byte(stream))?;
        Some(ReceiptBounds {
            earliest: self.clock.instant(bounds.earliest),
            latest: self.clock.instant(bounds.latest),
        })
    }
}

/// How long ago the system received the last byte of a connection, in microseconds; `None` where it does not say.
fn age_of_last_byte(stream: &TcpStream) -> Option<Micros> {
    /// The index of `tcpi_last_data_recv`, in milliseconds, in Linux's `struct tcp_info` read as words of four bytes.
    const LAST_DATA_RECEIVED: usize = 13;
    /// The system counts in ticks of up to 4 ms, so the byte may be older by one.
    const TICK: Micros = 4_000;
    let mut info = [0u32; LAST_DATA_RECEIVED + 1];
    let socket = stream.as_raw_fd();
    let length = uapi::getsockopt(socket, uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info).ok()?;
    let is_complete = length == std::mem::size_of_val(&info);
    is_complete.then(|| Micros::from(info[LAST_DATA_RECEIVED]) * 1000 + TICK)
}
