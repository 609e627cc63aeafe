//! The program under test, as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use crate::{Discovery, Faults, Member, SteppedClock, WALL_CLOCK_STEP, list, until};

pub const TERMS: &str = r#"{"azs":["here"],"myZone":"here","balancers":1,"registryMode":"automatic","weights":"off",
 "categories":[
  {"name":"look","effect":"pure","dedupScope":"all","windowMs":0,"targetMs":1000,"deadlineMs":20000,"worth":1,"lateWorth":0.5},
  {"name":"order","effect":"side_effect","dedupScope":"all","windowMs":0,"targetMs":1000,"deadlineMs":20000,"worth":3,"lateWorth":0.5}],
 "clients":{"marksRetry":true},"deductions":{"crossZone":0},
 "familyInfo":{"behind":"off","maxAgeMs":[0,0],"needsByClass":["loose","update"],"positionZeroMs":0,"roleListed":"off","tokens":"client"},
 "limits":{"maxAttempts":4,"maxRetryAfterMs":500,"retryAfter":true,"probes":true,"connIdleMs":30000,"connectTimeoutMs":2000,"maxOpen":1000},
 "rules":{"coldFrom":0.2,"warmWithinMs":1000,"overloadFactor":2,"fallMs":1000}}"#;

/// The program under test; killed when dropped.
pub struct Driver {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    pub config: PathBuf,
    pub operator: Option<PathBuf>,
}

/// The program: named by ALDERMILL, else the one built beside what runs now.
pub fn program() -> PathBuf {
    let built = || {
        let own = std::env::current_exe().expect("the path of what runs now");
        // Programs stand in the build's folder itself, tests and examples one below.
        let found =
            own.ancestors().skip(1).take(2).map(|folder| folder.join("aldermill")).find(|it| it.exists());
        found.expect("the program is built")
    };
    std::env::var_os("ALDERMILL").map_or_else(built, PathBuf::from)
}

/// A file of this process for the program to read.
pub fn file(kind: &str, text: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("{kind}-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::SeqCst));
    let path = std::env::temp_dir().join(format!("aldermill-{name}"));
    std::fs::write(&path, text).unwrap();
    path
}

pub fn aldermill(arguments: &[&str], config: &str) -> (Command, PathBuf) {
    let path = file("config", config);
    let mut command = Command::new(program());
    command.args(arguments).env_clear().env("GW_CONFIG", &path);
    (command, path)
}

pub fn config(discovery: SocketAddr, sockets: usize, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{TERMS}}}"#
    )
}

/// The configuration of a site at which only draining binds: a member that is gone may still be sent requests.
pub fn config_where_only_draining_binds(discovery: SocketAddr, sockets: usize, known: &str) -> String {
    config(discovery, sockets, known).replace(r#""rules":{"#, r#""rules":{"onlyDrainingBinds":true,"#)
}

impl Driver {
    pub fn start(discovery: &Discovery, sockets: usize, known: &str) -> Driver {
        Driver::of(&config(discovery.start(), sockets, known))
    }

    pub fn of(config: &str) -> Driver {
        Driver::at("127.0.0.1:0".parse().unwrap(), config)
    }

    pub fn at(listen: SocketAddr, config: &str) -> Driver {
        Driver::with(listen, config, None)
    }

    /// With an operator's own file.
    pub fn with(listen: SocketAddr, config: &str, operator: Option<&str>) -> Driver {
        let (command, path) = aldermill(&["serve"], config);
        Driver::spawn(command, listen, path, operator)
    }

    /// Under a wall clock that the test steps.
    pub fn under(clock: &SteppedClock, config: &str) -> Driver {
        let (mut command, path) = aldermill(&["serve"], config);
        command.env(WALL_CLOCK_STEP, &clock.0);
        Driver::spawn(command, "127.0.0.1:0".parse().unwrap(), path, None)
    }

    /// Whose system calls fail as that says; only a build with debug assertions heeds it.
    pub fn failing(faults: &Faults, config: &str, operator: Option<&str>) -> Driver {
        let (mut command, path) = aldermill(&["serve"], config);
        command.env("ALDERMILL_TEST_FAULTS", faults.path());
        Driver::spawn(command, "127.0.0.1:0".parse().unwrap(), path, operator)
    }

    /// On a disk that takes no more than so many blocks (of 512 or 1024 bytes) in any one file.
    pub fn on_full_disk(blocks: u32, config: &str, operator: &str) -> Driver {
        let path = file("config", config);
        let mut command = Command::new("sh");
        // Ignored signals stay so over exec: what is too much is an error, as with a full disk.
        command.args(["-c", "trap '' XFSZ; ulimit -f $0; exec \"$@\"", &blocks.to_string()]);
        command.arg(program()).arg("serve").env_clear().env("GW_CONFIG", &path);
        Driver::spawn(command, "127.0.0.1:0".parse().unwrap(), path, Some(operator))
    }

    /// Which the system allows only so many open files.
    pub fn with_descriptors(descriptors: u32, config: &str) -> Driver {
        let (command, path) = Driver::limited(descriptors, "serve", config);
        Driver::spawn(command, "127.0.0.1:0".parse().unwrap(), path, None)
    }

    /// The program under that limit, not yet run, and its configuration's file.
    pub fn limited(descriptors: u32, verb: &str, config: &str) -> (Command, PathBuf) {
        let path = file("config", config);
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n $0; exec \"$@\"", &descriptors.to_string()]);
        command.arg(program()).arg(verb).env_clear().env("GW_CONFIG", &path);
        (command, path)
    }

    fn spawn(mut command: Command, listen: SocketAddr, path: PathBuf, operator: Option<&str>) -> Driver {
        command.env("GW_LISTEN", listen.to_string()).stderr(Stdio::piped());
        let operator = operator.map(|text| file("operator", text));
        if let Some(operator) = &operator {
            command.env("ALDERMILL_OPERATOR", operator);
        }
        let mut child = command.spawn().unwrap();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        let mut address = None;
        until("the line that it serves", || {
            let log = log.lock().unwrap();
            let serving = log.iter().find_map(|line| line.split_once("listen: ").map(|(_, rest)| rest));
            address = serving.map(|rest| rest.split(',').next().unwrap().trim().parse().unwrap());
            address.is_some()
        });
        Driver { child, address: address.unwrap(), log, config: path, operator }
    }

    /// With these members in service, as known at the start and as discovery says.
    pub fn before(members: &[(&str, &Member)]) -> Driver {
        let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
        let discovery = Discovery::default();
        discovery.say(list(1, true, &members));
        Driver::start(&discovery, 256, &list(1, true, &members))
    }

    /// With so little memory, in MiB, in front of this member.
    pub fn with_memory(memory_mb: u64, sockets: usize, member: &Member) -> Driver {
        let known = list(1, true, &[("a", member, "in_service")]);
        let discovery = Discovery::default();
        discovery.say(known.clone());
        let config = config(discovery.start(), sockets, &known);
        Driver::of(&config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}")))
    }

    /// Prints what the program has logged, as evidence beside a test that fails.
    fn print_log(&self) {
        for line in self.log.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            eprintln!("log of process {}: {line}", self.child.id());
        }
    }

    pub fn logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// A figure of its memory, in KiB, by its name in the system's status file.
    pub fn memory(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// CPU seconds that it has used.
    pub fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let behind = stat.rsplit(')').next().unwrap_or("");
        let field = |at: usize| behind.split_whitespace().nth(at).and_then(|word| word.parse::<f64>().ok());
        (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / 100.0
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_log();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if let Some(operator) = &self.operator {
            let _ = std::fs::remove_file(operator);
        }
    }
}
