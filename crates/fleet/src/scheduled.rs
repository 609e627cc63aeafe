//! What the machine kept from the drivers: time in which they were ready to run and had no processor.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::drivers::Drivers;
use crate::history::{At, Event};
use crate::world::World;

const LOOK: Duration = Duration::from_millis(50);
/// Less than this between two looks is ordinary.
const ORDINARY: At = 20_000;

/// Notes who waited for a processor: the judges allow for it. A process that is stopped, sleeps or runs does not wait.
pub async fn watch(world: Rc<World>, drivers: Rc<Drivers>) {
    // By driver, which start of it was looked at, and how long it had waited until then.
    let mut before = vec![(0, 0); drivers.len()];
    loop {
        for (driver, before) in before.iter_mut().enumerate() {
            let start = drivers.starts(driver);
            let waited = drivers.pid(driver).map_or(0, |pid| waited(pid.as_raw_nonzero().get()));
            let by = waited - before.1;
            if before.0 == start && by > ORDINARY {
                world.note(Event::Unscheduled { driver, by });
            }
            *before = (start, waited);
        }
        sleep(LOOK).await;
    }
}

/// How long the thread that waited most has waited since it began, in microseconds.
fn waited(pid: i32) -> At {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    threads.filter_map(|thread| of_thread(&thread.path())).max().unwrap_or(0)
}

fn of_thread(thread: &Path) -> Option<At> {
    let text = std::fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanoseconds: At = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(nanoseconds / 1000)
}
