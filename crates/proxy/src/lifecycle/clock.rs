//! The proxy's clocks.
//!
//! - [`Clock`] starts at the Unix time at which the process starts, and is steady from then on. The router's decisions
//!   are timed by it.
//! - [`UnstalledClock`] is the same clock without the time during which the process was stalled. Durations by which
//!   clients, members and peers are judged are measured with it, so that none of them is blamed for a pause of this
//!   process.
//! - [`unix_now`] reads the system's wall clock, which may step at any time. It is used for timestamps that other
//!   processes read, never to measure durations.

use std::cell::RefCell;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use aldermill_routing::Micros;
use aldermill_stall_detection::StallDetector;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A function that returns how long the machine has been suspended since some fixed instant, in microseconds.
pub type SuspensionClock = fn() -> Micros;

/// A function that returns the Unix time of a wall clock, which may step at any time, in microseconds.
pub type WallClock = fn() -> Micros;

/// The router's clock, which starts at the Unix time at which it is created and never steps. Times are in
/// microseconds.
///
/// Unix times that others report (positions, start times of members, the last write of a session) are compared on this
/// clock as reported, so that a step of this machine's wall clock does not change how two of them compare.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Reading of the wall clock at `start`.
    unix_start: Micros,
    wall: WallClock,
    suspension: Option<SuspensionCounter>,
}

/// Measures the time for which the machine was suspended since the clock started, which tokio's clock does not count.
#[derive(Clone, Copy)]
struct SuspensionCounter {
    clock: SuspensionClock,
    /// Reading of `clock` at the start.
    at_start: Micros,
}

impl Clock {
    /// Starts the clock. The wall clock is read once here, and later only by [`Clock::wall`]. With `suspension`, time
    /// during which the machine was suspended counts as passed. A tokio instant from before a suspension is then
    /// converted to a time as long before now as the machine has run since that instant.
    pub fn start(wall: WallClock, suspension: Option<SuspensionClock>) -> Clock {
        let suspension = suspension.map(|clock| SuspensionCounter { clock, at_start: clock() });
        Clock { start: Instant::now(), unix_start: wall(), wall, suspension }
    }

    /// Returns the current Unix time of the wall clock, including any steps. It is meant for timestamps that other
    /// processes read, never for measuring durations.
    pub fn wall(&self) -> Micros {
        (self.wall)()
    }

    /// Returns how long the machine was suspended since the start, or zero if suspensions are not counted.
    fn suspended_since_start(&self) -> Micros {
        let Some(SuspensionCounter { clock, at_start }) = self.suspension else { return 0 };
        (clock() - at_start).max(0)
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Returns the time of this clock at an instant of tokio's clock.
    pub fn at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start).as_micros() as Micros;
        self.unix_start + elapsed + self.suspended_since_start()
    }

    /// Returns the instant of tokio's clock at which this clock reads `at`, unless the machine is suspended before
    /// then.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at - self.unix_start - self.suspended_since_start())
    }
}

/// Converts microseconds to a duration. Negative values become zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// Returns the Unix time of the system's wall clock, which may step, in microseconds. The time is zero if the clock is
/// set to a date before 1970.
pub fn unix_now() -> Micros {
    let system = SystemTime::now().duration_since(UNIX_EPOCH);
    system.map_or(0, |since| since.as_micros() as Micros) + fault::wall_clock_step()
}

/// Fault injection for tests. Only builds with debug assertions contain it; release builds never read the environment
/// variable.
mod fault {
    use super::Micros;

    /// Returns the offset to add to the wall clock, in microseconds, from the file that the environment variable
    /// names. The offset is zero if there is no such number.
    #[cfg(debug_assertions)]
    pub fn wall_clock_step() -> Micros {
        let file = std::env::var_os("ALDERMILL_TEST_WALL_CLOCK_STEP");
        let text = file.and_then(|file| std::fs::read_to_string(file).ok());
        text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
    }

    /// Returns zero, as release builds inject no faults.
    #[cfg(not(debug_assertions))]
    pub fn wall_clock_step() -> Micros {
        0
    }
}

/// Returns how long the machine has been suspended since it booted, in microseconds. This is the difference between
/// the system's two steady clocks, of which only one counts suspensions.
pub fn suspended_time() -> Micros {
    // In this order of reading, a pause between the two makes the result too small, and never shows a suspension that
    // did not take place.
    let with_suspension = read_system_clock(uapi::c::CLOCK_BOOTTIME);
    with_suspension - read_system_clock(uapi::c::CLOCK_MONOTONIC)
}

/// Reads a clock of the system, in microseconds. Returns zero if the system has no such clock.
pub(super) fn read_system_clock(clock: uapi::c::clockid_t) -> Micros {
    let mut time = uapi::c::timespec { tv_sec: 0, tv_nsec: 0 };
    match uapi::clock_gettime(clock, &mut time) {
        Ok(()) => time.tv_sec * 1_000_000 + time.tv_nsec / 1_000,
        Err(_) => 0,
    }
}

/// Bounds on when bytes were received that were read only after a stall.
#[derive(Clone, Copy, Debug)]
pub struct ReceiptBounds {
    /// No byte was received before this instant.
    pub earliest: Instant,
    /// The last byte was received at this instant, as far as is known.
    pub latest: Instant,
}

/// A [`Clock`] without the time during which the process was stalled. Clones share the stalls that were detected.
#[derive(Clone)]
pub struct UnstalledClock {
    clock: Clock,
    detector: Rc<RefCell<StallDetector>>,
}

impl UnstalledClock {
    /// Starts the clock with no stalls recorded.
    pub fn start(clock: Clock) -> UnstalledClock {
        let detector = Rc::new(RefCell::new(StallDetector::new(clock.now())));
        UnstalledClock { clock, detector }
    }

    /// Records a stall that has just ended. Every method calls this first, so that whichever part of the program runs
    /// first after a stall does not count it against others.
    fn observe(&self) {
        self.detector.borrow_mut().observe(self.clock.now());
    }

    /// Returns the total stalled time so far, in microseconds.
    pub fn stalled_for(&self) -> Micros {
        self.observe();
        self.detector.borrow().total_stalled_time()
    }

    /// Returns the current time, less the total stalled time.
    pub fn now(&self) -> Micros {
        let stalled = self.stalled_for();
        self.clock.now() - stalled
    }

    /// Returns the time of this clock at a future instant, if the process does not stall before then.
    pub fn at(&self, instant: Instant) -> Micros {
        self.clock.at(instant) - self.stalled_for()
    }

    /// Returns the instant at which this clock reads `at`, if the process does not stall before then.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant(at + self.stalled_for())
    }

    /// Returns how much of the time since `then` the process was not stalled, in microseconds.
    pub fn unstalled_since(&self, then: Instant) -> Micros {
        self.observe();
        self.detector.borrow().unstalled_time(self.clock.at(then), self.clock.now())
    }

    /// Returns whether any stall ended after `then`.
    pub fn stalled_since(&self, then: Instant) -> bool {
        self.observe();
        self.detector.borrow().stalled_since(self.clock.at(then))
    }

    /// Returns bounds on when the bytes were received that were just read from a connection, or `None` if, as far as
    /// can be known, they were received just now. `last_read` is when the connection was read before, or `None` if it
    /// never was. The kernel is queried only after a stall.
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

/// Returns how long ago the kernel received the last byte of a connection, in microseconds, or `None` if the kernel
/// does not report it.
fn age_of_last_byte(stream: &TcpStream) -> Option<Micros> {
    /// Index of `tcpi_last_data_recv`, in milliseconds, in Linux's `struct tcp_info` as an array of 32-bit words.
    const LAST_DATA_RECEIVED: usize = 13;
    /// The kernel counts in ticks of up to 4 ms, so the byte may be older by one tick.
    const TICK: Micros = 4_000;
    let mut info = [0u32; LAST_DATA_RECEIVED + 1];
    let socket = stream.as_raw_fd();
    let length = uapi::getsockopt(socket, uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info).ok()?;
    let is_complete = length == std::mem::size_of_val(&info);
    is_complete.then(|| Micros::from(info[LAST_DATA_RECEIVED]) * 1000 + TICK)
}
