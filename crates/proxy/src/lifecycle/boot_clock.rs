//! The clock of the machine's present boot: all processes of the boot read the same, and nobody can set it.

use std::fs;

use aldermill_routing::Micros;
use aldermill_site_routing::{BootId, BootInstant};

use super::clock::read_system_clock;

/// Where the system names its present boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The clock of the present boot.
#[derive(Clone, Copy)]
pub struct BootClock {
    boot: BootId,
}

impl BootClock {
    /// `None` where the system does not name its boot, so that two processes can't know that they read the same clock.
    pub fn open() -> Option<BootClock> {
        let text = fs::read_to_string(BOOT_ID_FILE).ok()?;
        let id = u128::from_str_radix(&text.trim().replace('-', ""), 16).ok()?;
        (id != 0).then_some(BootClock { boot: BootId(id.to_be_bytes()) })
    }

    /// The time now.
    pub fn now(&self) -> BootInstant {
        self.at(read_system_clock(uapi::c::CLOCK_BOOTTIME))
    }

    /// The instant at which this clock shows `at`, in microseconds.
    pub fn at(&self, at: Micros) -> BootInstant {
        BootInstant { boot: self.boot, at }
    }
}
