//! Processes that run out of descriptors, and such that are ended before they have gone.

use rustix::process::{Resource, Rlimit, Signal, getrlimit, prlimit};
use tokio::time::sleep;

use crate::drivers::Drivers;
use crate::faults::{Stage, millis};
use crate::history::Event;

impl Drivers {
    /// From now on it may have only so many descriptors more than it has open; `None` gives back what it had at first.
    /// Of what it may have, only the part that any process may set and take back is changed.
    pub(crate) fn limit_descriptors(&self, driver: usize, spare: Option<u64>) -> std::io::Result<()> {
        let Some(pid) = self.pid(driver) else { return Ok(()) };
        let most = getrlimit(Resource::Nofile);
        let current = match spare {
            None => most.current,
            Some(spare) => {
                let open = std::fs::read_dir(format!("/proc/{}/fd", pid.as_raw_nonzero()))?.count() as u64;
                Some(open + spare)
            }
        };
        prlimit(Some(pid), Resource::Nofile, Rlimit { current, maximum: most.maximum })?;
        Ok(())
    }
}

impl Stage {
    pub(crate) async fn starve(&self, struck: &[usize], spare: u64, for_ms: u64) {
        self.limit(struck, Some(spare));
        sleep(millis(for_ms)).await;
        self.limit(struck, None);
    }

    fn limit(&self, struck: &[usize], spare: Option<u64>) {
        for &driver in struck {
            // One that has ended meanwhile needs none.
            if let Err(error) = self.drivers.limit_descriptors(driver, spare) {
                eprintln!("descriptors of n{driver}: {error}");
            }
        }
    }

    /// Kills those that have not ended after so long, by their starts. What they leave unanswered is not excused.
    pub(crate) async fn kill_late(&self, struck: &[(usize, u64)], after_ms: u64) {
        sleep(millis(after_ms)).await;
        for &(driver, start) in struck {
            if self.drivers.starts(driver) == start && self.drivers.runs(driver) {
                self.world.note(Event::KilledLate { driver });
                let _ = self.drivers.send(driver, Signal::KILL);
            }
        }
    }
}
