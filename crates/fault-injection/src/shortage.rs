//! What the machine does to processes: few descriptors, a folder that takes nothing, a wall clock that steps, and an end
//! before they have gone.

use std::ffi::OsStr;
use std::fs::File;
use std::path::PathBuf;
use std::process::{ChildStderr, Command, Stdio};

use aldermill_test_support::WALL_CLOCK_STEP;
use rustix::process::{Resource, Rlimit, Signal, getrlimit, prlimit};
use tokio::time::sleep;

use crate::drivers::Drivers;
use crate::faults::{Stage, millis};
use crate::history::Event;

/// A log that this process writes for another one.
pub(crate) struct Logging(File);

impl Logging {
    /// Until the other one has ended.
    pub(crate) fn copy(mut self, mut from: ChildStderr) {
        std::thread::spawn(move || {
            if let Err(error) = std::io::copy(&mut from, &mut self.0) {
                eprintln!("log: {error}");
            }
        });
    }
}

impl Drivers {
    /// The program under what the plan does to it from its start, to be given its own arguments.
    pub(crate) fn command(&self, driver: usize) -> Command {
        let plan = &self.world.plan;
        let mut limits = String::new();
        if let Some(descriptors) = plan.descriptors {
            limits += &format!("ulimit -n {descriptors}; ");
        }
        if plan.fails_folders() {
            // Ignored signals stay so over exec: a file that may not grow is an error then, as on a full disk.
            limits += "trap '' XFSZ; ";
        }
        let mut command = Command::new(if limits.is_empty() { &self.program[0] } else { OsStr::new("sh") });
        if limits.is_empty() {
            command.args(&self.program[1..]);
        } else {
            command.args(["-c", &(limits + "exec \"$@\""), "sh"]).args(&self.program);
        }
        command.env_clear();
        if plan.steps_clocks() {
            command.env(WALL_CLOCK_STEP, self.wall_clock(driver));
        }
        command
    }

    /// Where the process says what it logs: a file of its own could not grow either while its files may not.
    pub(crate) fn log(&self, driver: usize) -> std::io::Result<(Stdio, Option<Logging>)> {
        let file = self.folder.join(format!("n{driver}-log"));
        let file = File::options().create(true).append(true).open(file)?;
        if !self.world.plan.fails_folders() {
            return Ok((file.into(), None));
        }
        Ok((Stdio::piped(), Some(Logging(file))))
    }

    /// Where it finds by how much its wall clock is off.
    fn wall_clock(&self, driver: usize) -> PathBuf {
        self.folder.join(format!("n{driver}-wall-clock"))
    }

    /// The file is put in place whole: the process reads it at any moment.
    fn step_clock(&self, driver: usize, by_ms: i64) -> std::io::Result<()> {
        let (file, draft) =
            (self.wall_clock(driver), self.folder.join(format!("n{driver}-wall-clock.draft")));
        std::fs::write(&draft, (by_ms * 1_000).to_string())?;
        std::fs::rename(draft, file)
    }

    /// From now on no file of it may grow, or they may again.
    fn limit_files(&self, driver: usize, failing: bool) -> std::io::Result<()> {
        let Some(pid) = self.pid(driver) else { return Ok(()) };
        let most = getrlimit(Resource::Fsize);
        let current = if failing { Some(0) } else { most.current };
        prlimit(Some(pid), Resource::Fsize, Rlimit { current, maximum: most.maximum })?;
        Ok(())
    }

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
    pub(crate) fn step_clocks(&self, struck: &[usize], by_ms: i64) {
        for &driver in struck {
            if let Err(error) = self.drivers.step_clock(driver, by_ms) {
                eprintln!("wall clock of n{driver}: {error}");
            }
        }
    }

    pub(crate) async fn fail_voter_folder(&self, for_ms: u64) {
        let plan = &self.world.plan;
        let holders: Vec<usize> = plan.duties.iter().filter_map(|duty| self.holder(duty)).collect();
        let Some(voter) = (0..plan.voters).find(|voter| !holders.contains(voter)) else { return };
        let text = format!("the folder of n{voter} fails");
        self.world.note(Event::Fault { text });
        self.limit_files(voter, true);
        sleep(millis(for_ms)).await;
        self.limit_files(voter, false);
    }

    fn limit_files(&self, driver: usize, failing: bool) {
        if let Err(error) = self.drivers.limit_files(driver, failing) {
            eprintln!("files of n{driver}: {error}");
        }
    }

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
