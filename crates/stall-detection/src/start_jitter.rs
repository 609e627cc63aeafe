//! Jitter: what all processes do at their start, and what failed for all of them at once, is not done by all at once.

use rand::Rng;

use crate::Micros;

/// The part of the window that each process adds: 30 ms.
const WINDOW_PER_PROCESS: Micros = 30_000;

/// Of the grace that members' drains leave, the fraction within which every process has asked for the endpoint list.
const GRACE_FRACTION: f64 = 0.7;

/// The golden ratio's fraction. Its multiples, modulo one, fill an interval without gaps or crowds, whichever of them are
/// taken.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// How long a process waits before what all processes do once at their start, such as asking for the endpoint list.
///
/// The window grows with the number of processes, and a single one does not wait. It ends within `drain_grace`: an endpoint
/// list counts as known from the start on, asked for or not, and a member that drains stays up for that grace.
///
/// Names that end in a number are spread evenly, each by chance within a slot of its own: by chance alone some tenth of a
/// second would be crowded. Without the wait, a fleet that restarts together would overload discovery. The cost: a process's
/// list may be older by the wait.
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

/// How long to wait before a retry, given the backoff: half of it by chance, so that processes whose calls failed together do
/// not retry together.
pub fn retry_delay(backoff: Micros, rng: &mut impl Rng) -> Micros {
    backoff / 2 + (rng.random::<f64>() * backoff as f64 / 2.0) as Micros
}

/// The number that a name ends in; `None` where it ends in none, or in one that is out of range.
fn trailing_number(name: &str) -> Option<u32> {
    let prefix = name.trim_end_matches(|character: char| character.is_ascii_digit());
    name[prefix.len()..].parse().ok()
}
