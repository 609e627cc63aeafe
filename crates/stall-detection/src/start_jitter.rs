//! Random delays that keep processes from doing the same work at the same time, at their start or
//! after an operation that failed for all of them at once.

use rand::Rng;

use crate::Micros;

/// How much each process adds to the window over which starts are spread, in microseconds (30 ms).
const WINDOW_PER_PROCESS: Micros = 30_000;

/// Upper limit of the window as a fraction of the drain grace period: every process has requested
/// the endpoint list by then.
const GRACE_FRACTION: f64 = 0.7;

/// The fractional part of the golden ratio. Its multiples modulo one are spread over an interval
/// without gaps or clusters, whichever of them are chosen.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns how long a process waits before the work that all processes do once at their start, such
/// as requesting the endpoint list. The result and `drain_grace` are in microseconds.
///
/// The window grows with the number of processes, so a single process does not wait. It ends within
/// `drain_grace`, because the endpoint list counts as known from the start of the process, whether
/// or not it has been requested, and a draining member stays up for that long.
///
/// Processes whose names end in a number are spread evenly, each at a random offset within a slot
/// of its own. With random delays alone, some interval of 100 ms would be crowded.
///
/// Without this delay, a fleet that restarts all at once would overload discovery. The trade-off is
/// that a process's endpoint list may be older by the delay.
pub fn start_delay(name: &str, process_count: usize, drain_grace: Micros, rng: &mut impl Rng) -> Micros {
    let max_window = (drain_grace as f64 * GRACE_FRACTION) as Micros;
    let window = (WINDOW_PER_PROCESS * (process_count as Micros - 1)).min(max_window);
    if window <= 0 {
        return 0;
    }
    let position = match trailing_number(name) {
        Some(number) => (f64::from(number) * GOLDEN_RATIO_FRACTION).fract(),
        None => rng.random(),
    };
    let offset_in_slot = rng.random::<f64>() / process_count as f64;
    (((position + offset_in_slot) * window as f64) as Micros).min(window)
}

/// Returns how long to wait before a retry, in microseconds: half of `backoff` plus a random part
/// of the other half, so that processes whose calls failed together do not retry together.
pub fn retry_delay(backoff: Micros, rng: &mut impl Rng) -> Micros {
    backoff / 2 + (rng.random::<f64>() * backoff as f64 / 2.0) as Micros
}

/// Returns the number at the end of a name, or `None` if there is none or it does not fit a `u32`.
fn trailing_number(name: &str) -> Option<u32> {
    let prefix = name.trim_end_matches(|character: char| character.is_ascii_digit());
    name[prefix.len()..].parse().ok()
}
