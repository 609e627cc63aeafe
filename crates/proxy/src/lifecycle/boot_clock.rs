//! The clock of the machine's current boot. All processes of one boot read the same clock, and it cannot be set.

use std::fs;

use aldermill_routing::Micros;
use aldermill_site_routing::{BootId, BootInstant};

use super::clock::read_system_clock;

/// File in which the kernel provides the identifier of the current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The clock of the current boot.
#[derive(Clone, Copy)]
pub struct BootClock {
    boot: BootId,
}

impl BootClock {
    /// Opens the clock. Returns `None` if the kernel provides no identifier of the boot, as two processes then cannot
    /// know whether they read the same clock.
    pub fn open() -> Option<BootClock> {
        let text = fs::read_to_string(BOOT_ID_FILE).ok()?;
        let id = u128::from_str_radix(&text.trim().replace('-', ""), 16).ok()?;
        (id != 0).then_some(BootClock { boot: BootId(id.to_be_bytes()) })
    }

    /// Returns the current instant.
    pub fn now(&self) -> BootInstant {
        self.at(read_system_clock(uapi::c::CLOCK_BOOTTIME))
    }

    /// Returns the instant at which the clock reads `at`, in microseconds.
    pub fn at(&self, at: Micros) -> BootInstant {
        BootInstant { boot: self.boot, at }
    }
}
