//! The processes of the program: started, signalled, and gone when this is, however it goes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use aldermill_stand_ins::free_port;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::discovery::Discovery;
use crate::history::Event;
use crate::plan::{Folder, Known};
use crate::terms;
use crate::world::World;

struct Driver {
    child: RefCell<Option<Child>>,
    address: SocketAddr,
    discovery: Cell<SocketAddr>,
    /// As it was last written.
    config: RefCell<Value>,
    /// How often it was started.
    starts: Cell<u64>,
    /// SIGTERM was sent, or it was killed.
    leaving: Cell<bool>,
    fellows: RefCell<Option<Introduced>>,
    gateway: RefCell<Option<Gateway>>,
    /// What its operator says of sites that retire.
    retire: RefCell<BTreeMap<usize, Value>>,
}

/// Where a driver hears others, and where it finds each of them.
pub struct Introduced {
    pub own: SocketAddr,
    pub others: Vec<(usize, SocketAddr)>,
}

/// Where a gateway listens for links, and where it finds those of other sites.
pub struct Gateway {
    pub listen: SocketAddr,
    pub others: BTreeMap<usize, Vec<SocketAddr>>,
}

pub fn site(at: usize) -> String {
    format!("s{at}")
}

pub struct Drivers {
    world: Rc<World>,
    discovery: Rc<Discovery>,
    all: Vec<Driver>,
    /// The program, and what stands before its own arguments.
    program: Vec<OsString>,
    pub folder: PathBuf,
    keep_logs: bool,
}

impl Drivers {
    /// Nothing is started yet. Files and logs go to the folder, which is removed at the end unless it is to be kept.
    pub fn new(
        world: &Rc<World>,
        discovery: &Rc<Discovery>,
        agents: Vec<SocketAddr>,
        logs: Option<&Path>,
        program: &[OsString],
    ) -> std::io::Result<Drivers> {
        let folder = logs.map_or_else(
            || {
                let at = free_port();
                let name =
                    format!("aldermill-fleet-{}-{}", std::process::id(), at.to_string().replace(':', "-"));
                std::env::temp_dir().join(name)
            },
            Path::to_owned,
        );
        std::fs::create_dir_all(&folder)?;
        let all = agents.into_iter().map(|discovery| Driver {
            child: RefCell::default(),
            address: free_port(),
            discovery: Cell::new(discovery),
            config: RefCell::default(),
            starts: Cell::default(),
            leaving: Cell::default(),
            fellows: RefCell::default(),
            gateway: RefCell::default(),
            retire: RefCell::default(),
        });
        let (world, discovery) = (world.clone(), discovery.clone());
        let (all, program) = (all.collect(), program.to_vec());
        Ok(Drivers { world, discovery, all, program, folder, keep_logs: logs.is_some() })
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn address(&self, driver: usize) -> SocketAddr {
        self.all[driver].address
    }

    pub fn state(&self, driver: usize) -> PathBuf {
        self.folder.join(format!("n{driver}-state"))
    }

    /// Where it says what it knows of the others.
    pub fn status(&self, driver: usize) -> PathBuf {
        self.folder.join(format!("n{driver}-status"))
    }

    /// From its next start it knows of the others.
    pub fn knows(&self, driver: usize, introduced: Introduced) {
        *self.all[driver].fellows.borrow_mut() = Some(introduced);
    }

    /// From its next start it is a gateway.
    pub fn links(&self, driver: usize, gateway: Gateway) {
        *self.all[driver].gateway.borrow_mut() = Some(gateway);
    }

    /// Its operator says this of a site, and it is told to read its file anew.
    pub fn retires(&self, driver: usize, of: usize, word: Value) -> std::io::Result<()> {
        self.all[driver].retire.borrow_mut().insert(of, word);
        self.write_operator(driver)?;
        self.signal(driver, Signal::HUP);
        Ok(())
    }

    fn write_operator(&self, driver: usize) -> std::io::Result<()> {
        let plan = &self.world.plan;
        let Driver { fellows, gateway, retire, .. } = &self.all[driver];
        let mut operator =
            if plan.keeps { json!({"warm": {"folder": self.state(driver)}}) } else { json!({}) };
        if let Some(Introduced { own, others }) = &*fellows.borrow() {
            let peer = |(other, address): &(usize, SocketAddr)| json!({"name": format!("n{other}"), "address": address});
            operator["fellows"] = json!({"fleet": "rig", "listen": own, "networks": ["127.0.0.0/8"],
                "peers": others.iter().map(peer).collect::<Vec<_>>(), "status": self.status(driver)});
            if plan.voters > 0 {
                let voters: Vec<String> = (0..plan.voters).map(|at| format!("n{at}")).collect();
                let retire: Vec<Value> = retire.borrow().values().cloned().collect();
                operator["council"] =
                    json!({"voters": voters, "duties": plan.duties, "lease_ms": 1500, "retire": retire});
            }
        }
        if let Some(Gateway { listen, others }) = &*gateway.borrow() {
            let peer = |(at, addresses): (&usize, &Vec<SocketAddr>)| json!({"site": site(*at), "addresses": addresses, "networks": ["127.0.0.0/8"], "links": 1});
            operator["gateway"] = json!({"site": site(self.world.site_of_driver(driver)), "listen": listen,
                "peers": others.iter().map(peer).collect::<Vec<_>>(), "session": "s"});
        }
        std::fs::write(self.folder.join(format!("n{driver}-operator.json")), operator.to_string())
    }

    pub(crate) fn pid(&self, driver: usize) -> Option<Pid> {
        let child = self.all[driver].child.borrow();
        child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    pub fn start(&self, driver: usize, known: Known) -> std::io::Result<()> {
        let Driver { child, address, discovery, starts, leaving, config: last, .. } = &self.all[driver];
        let path = |kind: &str| self.folder.join(format!("n{driver}-{kind}"));
        let known = match known {
            Known::AtStart => self.discovery.at_start(driver),
            Known::Nothing => Value::Null,
        };
        let plan = &self.world.plan;
        let config = json!({"name": format!("n{driver}"), "listen": address.to_string(),
            "discovery": discovery.get().to_string(), "seed": format!("{:016x}", self.world.rng.borrow_mut().random::<u64>()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
            "settings": terms::settings(plan.drivers.div_ceil(plan.sites), plan.bearing.warm_ms, plan.zones, self.world.zone_of_driver(driver))});
        let config = with_deadline(config, plan.deadline_ms);
        std::fs::write(path("config.json"), config.to_string())?;
        *last.borrow_mut() = config;
        self.write_operator(driver)?;
        let log = File::options().create(true).append(true).open(path("log"))?;
        let mut command = self.command();
        command.arg("serve").arg("--config").arg(path("config.json"));
        command.arg("--operator").arg(path("operator.json"));
        command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        leaving.set(false);
        starts.set(starts.get() + 1);
        *child.borrow_mut() = Some(command.spawn()?);
        self.world.note(Event::Started { driver });
        Ok(())
    }

    /// The program, to be given its own arguments.
    fn command(&self) -> Command {
        let Some(descriptors) = self.world.plan.descriptors else {
            let mut command = Command::new(&self.program[0]);
            command.args(&self.program[1..]);
            return command;
        };
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n $0; exec \"$@\"", &descriptors.to_string()]).args(&self.program);
        command
    }

    /// A signal to one that runs; whether there was one.
    pub fn signal(&self, driver: usize, signal: Signal) -> bool {
        let leaving = &self.all[driver].leaving;
        let noted = match signal {
            Signal::STOP => Some(Event::Stood { driver }),
            Signal::CONT => Some(Event::WentOn { driver }),
            Signal::KILL => Some(Event::Killed { driver }),
            _ => None,
        };
        leaving.set(leaving.get() || matches!(signal, Signal::KILL | Signal::TERM));
        let Some(pid) = self.pid(driver) else { return false };
        // Noted on the side that excuses no more than it must.
        if signal == Signal::CONT {
            let sent = kill_process(pid, signal).is_ok();
            noted.into_iter().for_each(|event| self.world.note(event));
            return sent;
        }
        noted.into_iter().for_each(|event| self.world.note(event));
        kill_process(pid, signal).is_ok()
    }

    /// A signal that is not noted: what it does excuses nothing.
    pub(crate) fn send(&self, driver: usize, signal: Signal) -> bool {
        self.pid(driver).is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    pub(crate) fn runs(&self, driver: usize) -> bool {
        let mut child = self.all[driver].child.borrow_mut();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Its list is there from now on, and it is told to read its configuration anew.
    pub fn moves(&self, driver: usize, discovery: SocketAddr) -> std::io::Result<()> {
        let Driver { discovery: place, config, .. } = &self.all[driver];
        place.set(discovery);
        config.borrow_mut()["discovery"] = json!(discovery.to_string());
        std::fs::write(self.folder.join(format!("n{driver}-config.json")), config.borrow().to_string())?;
        if self.signal(driver, Signal::HUP) {
            self.world.note(Event::Moved { driver });
        }
        Ok(())
    }

    pub fn starts(&self, driver: usize) -> u64 {
        self.all[driver].starts.get()
    }

    /// Waits until this start of it has ended. Another fault may have started it anew meanwhile.
    pub async fn ended(&self, driver: usize, start: u64) {
        while self.starts(driver) == start {
            {
                let mut child = self.all[driver].child.borrow_mut();
                let Some(running) = child.as_mut() else { return };
                if let Ok(Some(status)) = running.try_wait() {
                    *child = None;
                    return self.world.note(Event::Ended { driver, well: status.success() });
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Those that ended though nobody told them to.
    pub fn crashed(&self) -> Vec<usize> {
        let ended = |driver: &usize| {
            let Driver { child, leaving, .. } = &self.all[*driver];
            let over =
                child.borrow_mut().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            over && !leaving.get()
        };
        (0..self.all.len()).filter(ended).collect()
    }

    pub fn keep_first_state(&self) {
        for driver in 0..self.all.len() {
            let _ = copy(&self.state(driver), &self.folder.join(format!("n{driver}-first")));
        }
    }

    /// What a driver that is down finds when it starts again.
    pub fn change_folder(&self, driver: usize, folder: Folder) -> std::io::Result<()> {
        let state = self.state(driver);
        if !state.exists() {
            return Ok(());
        }
        let newest = || {
            let files = std::fs::read_dir(&state).into_iter().flatten().flatten().map(|entry| entry.path());
            files.filter(|path| path.extension().is_some_and(|end| end == "log")).max()
        };
        match folder {
            Folder::AsLeft => Ok(()),
            Folder::Emptied => std::fs::remove_dir_all(&state),
            Folder::Torn => newest().map_or(Ok(()), |path| {
                let file = File::options().write(true).open(path)?;
                let length = file.metadata()?.len();
                file.set_len(length - length.min(17))
            }),
            Folder::Foreign => copy(&self.state((driver + 1) % self.all.len()), &state),
            Folder::Older => copy(&self.folder.join(format!("n{driver}-first")), &state),
            Folder::Newer => newest().map_or(Ok(()), |path| {
                let mut bytes = std::fs::read(&path)?;
                // The head of a segment, whose last four bytes are the checksum of those before.
                if let Some(head) = bytes.get_mut(..28) {
                    head[8] = 99;
                    let sum = crc32c::crc32c(&head[..24]);
                    head[24..].copy_from_slice(&sum.to_le_bytes());
                }
                std::fs::write(path, bytes)
            }),
        }
    }
}

/// The configuration, where its categories have that deadline; what is aimed at is within it.
fn with_deadline(mut config: Value, deadline_ms: Option<i64>) -> Value {
    if let Some(deadline) = deadline_ms {
        for category in config["settings"]["categories"].as_array_mut().into_iter().flatten() {
            category["deadlineMs"] = json!(deadline);
            let aim = category["targetMs"].as_i64().unwrap_or(deadline);
            category["targetMs"] = json!(aim.min(deadline));
        }
    }
    config
}

/// Puts a copy of one folder in the place of another.
fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    if !from.exists() {
        return Ok(());
    }
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)?.flatten() {
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

impl Drop for Drivers {
    /// No process is left behind, also when a test panics.
    fn drop(&mut self) {
        for driver in &self.all {
            if let Some(child) = driver.child.borrow_mut().as_mut() {
                let _ = (child.kill(), child.wait());
            }
        }
        if !self.keep_logs {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
