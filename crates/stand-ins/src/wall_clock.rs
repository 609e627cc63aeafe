//! A wall clock that a test steps while the program runs.

use std::path::PathBuf;

use crate::file;

/// The variable by which builds with debug assertions find the step.
pub const WALL_CLOCK_STEP: &str = "ALDERMILL_TEST_WALL_CLOCK_STEP";

/// By how much a process's wall clock is off; the file is removed when this is dropped.
pub struct SteppedClock(pub PathBuf);

impl SteppedClock {
    pub fn start(micros: i64) -> SteppedClock {
        SteppedClock(file("wall-clock", &micros.to_string()))
    }

    /// It is off by so many microseconds from now on.
    pub fn step(&self, micros: i64) {
        let draft = self.0.with_extension("draft");
        std::fs::write(&draft, micros.to_string()).and_then(|()| std::fs::rename(&draft, &self.0)).unwrap();
    }
}

impl Drop for SteppedClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
