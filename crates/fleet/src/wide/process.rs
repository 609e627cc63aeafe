//! One process of the program, and what the system says that it uses.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use aldermill_stand_ins::free_port;
use serde_json::{Value, json};

use super::Day;
use crate::terms;

const WARM_MS: u64 = 2000;

pub struct Process {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    /// Highest so far, as sampled.
    pub descriptors: usize,
    pub memory_mb: f64,
    /// So far.
    pub cpu_s: f64,
}

impl Process {
    pub fn start(
        program: &Path,
        day: &Day,
        at: usize,
        discovery: SocketAddr,
        known: Value,
    ) -> std::io::Result<Process> {
        let address = free_port();
        let name = format!("aldermill-wide-{}-{}", std::process::id(), address.to_string().replace(':', "-"));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut settings = terms::settings(day.processes, WARM_MS, 1, 0);
        settings["limits"]["connIdleMs"] = json!(day.idle.as_millis() as u64);
        settings["limits"]["probes"] = json!(day.probes);
        let config = json!({"name": format!("n{at}"), "listen": address.to_string(),
            "discovery": discovery.to_string(), "seed": format!("{:016x}", day.seed * 1000 + at as u64),
            "limits": {"cores": 1.0, "memory_mb": day.memory_mb, "sockets": day.sockets}, "known": known,
            "settings": settings});
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string())?;
        let log = File::create(folder.join("log"))?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(path).env_clear();
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Process { child, address, folder, descriptors: 0, memory_mb: 0.0, cpu_s: 0.0 })
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Takes a look at what it uses now.
    pub fn sample(&mut self) {
        let own = PathBuf::from(format!("/proc/{}", self.child.id()));
        let open = std::fs::read_dir(own.join("fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
        let status = std::fs::read_to_string(own.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
        self.memory_mb = self.memory_mb.max(peak.unwrap_or(0.0) / 1024.0);
        self.cpu_s = self.cpu_s.max(cpu_seconds(&own));
    }
}

/// Of all threads that run.
fn cpu_seconds(process: &Path) -> f64 {
    let threads = std::fs::read_dir(process.join("task")).into_iter().flatten().flatten();
    let nanoseconds = threads.filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanoseconds.sum::<f64>() / 1e9
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
