//! How drivers that start together keep apart.

use rand::Rng;

use crate::Micros;

/// The part of the window that is each driver's.
const SLOT: Micros = 30_000;
/// Of the grace after a drain, the part that may pass before the list is asked for.
const SHARE_OF_GRACE: f64 = 0.7;

/// How long a driver waits before what all drivers do once at their start, such as asking for the list. The window
/// grows with their number, and a lone one does not wait.
///
/// What the list holds counts as told from the start on, asked for or not: the window ends within the grace that
/// members' drains leave.
///
/// Protects what all of them ask from being asked by all at once. Names that end in a number are spread evenly, each
/// within a slot of its own by chance, since places by chance alone leave some tenth of a second with a crowd. Harms
/// a driver whose list is old by the wait.
pub fn start_delay(name: &str, drivers: usize, grace: Micros, rng: &mut impl Rng) -> Micros {
    let window = (SLOT * (drivers as Micros - 1)).min((grace as f64 * SHARE_OF_GRACE) as Micros);
    if window <= 0 {
        return 0;
    }
    let digits = name.trim_end_matches(|last: char| last.is_ascii_digit()).len();
    let place = match name[digits..].parse::<u32>() {
        // Steps of the golden ratio leave no gap and no crowd, whichever numbers are there.
        Ok(number) => (f64::from(number) * 0.618_033_988_749_895).fract(),
        Err(_) => rng.random(),
    };
    let within = rng.random::<f64>() / drivers as f64;
    (((place + within) * window as f64) as Micros).min(window)
}

/// The wait before something that failed is tried again: half of it is by chance, so that those that failed together
/// do not come together.
pub fn retry_delay(wait: Micros, rng: &mut impl Rng) -> Micros {
    wait / 2 + (rng.random::<f64>() * wait as f64 / 2.0) as Micros
}
