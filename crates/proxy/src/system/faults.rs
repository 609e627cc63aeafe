//! Fault injection for system calls. Compiled only into builds with debug assertions, never into release
//! builds.
//!
//! The environment variable `ALDERMILL_TEST_FAULTS` names a file that is read before each call. Each line of
//! the file is a rule of four fields: the call, the error, the probability of a failure in percent, and the
//! maximum number of failures, as in `socket EMFILE 100 7`. The last field is `-` if there is no maximum. A
//! line `seed 3` sets the seed of the random number generator, which is 0 without such a line. While the file
//! does not exist, no call fails. A test replaces the file atomically by a rename. Whenever the text of the
//! file has changed, the counts of failures and the random number generator start anew.

use std::cell::RefCell;
use std::io;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uapi::c;

use super::Party;
use super::injection::SystemCall;

/// Environment variable that contains the path of the file with the rules.
const FILE_VARIABLE: &str = "ALDERMILL_TEST_FAULTS";

/// A rule from one line of the file.
struct FaultRule {
    /// The system call that fails.
    call: SystemCall,
    /// The `errno` of the failure.
    error_number: i32,
    /// Probability that a call fails, in percent.
    percent: u32,
    /// Number of calls that may still fail; `None` if there is no maximum.
    failures_left: Option<u32>,
}

/// The rules in force, with the state of the random number generator.
#[derive(Default)]
struct FaultRules {
    /// Text of the file from which the rules were read.
    text: String,
    rules: Vec<FaultRule>,
    rng: Option<Pcg64Mcg>,
}

thread_local! {
    /// The rules of this thread; `None` if the environment variable is not set.
    static FAULT_RULES: RefCell<Option<FaultRules>> =
        RefCell::new(std::env::var_os(FILE_VARIABLE).map(|_| FaultRules::default()));
}

/// Returns the error with which this call must fail, or `None` if it must not fail.
pub(super) fn error_to_inject(call: SystemCall) -> Option<io::Error> {
    FAULT_RULES.with_borrow_mut(|rules| rules.as_mut()?.error_to_inject(call))
}

impl FaultRules {
    /// Rereads the file and returns the error with which this call must fail, if any. The first matching rule
    /// that draws a failure applies.
    fn error_to_inject(&mut self, call: SystemCall) -> Option<io::Error> {
        let text = std::env::var_os(FILE_VARIABLE).and_then(|path| std::fs::read_to_string(path).ok());
        self.reload_if_changed(text.unwrap_or_default());
        let rng = self.rng.get_or_insert_with(|| Pcg64Mcg::seed_from_u64(0));
        for rule in self.rules.iter_mut().filter(|rule| rule.call == call && rule.failures_left != Some(0)) {
            if rng.random_range(0..100) < rule.percent {
                rule.failures_left = rule.failures_left.map(|left| left - 1);
                return Some(io::Error::from_raw_os_error(rule.error_number));
            }
        }
        None
    }

    /// Parses the rules and restarts the random number generator if the text of the file has changed.
    fn reload_if_changed(&mut self, text: String) {
        if text == self.text {
            return;
        }
        let seed = text.lines().find_map(|line| line.strip_prefix("seed ")?.trim().parse().ok());
        self.rng = Some(Pcg64Mcg::seed_from_u64(seed.unwrap_or(0)));
        self.rules = text.lines().filter(|line| !line.starts_with("seed ")).map(parse_rule).collect();
        self.text = text;
    }
}

/// Parses a line of the file. Panics if it is not a valid rule.
fn parse_rule(line: &str) -> FaultRule {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let &[call, error, percent, max_failures] = fields.as_slice() else {
        panic!("{FILE_VARIABLE}: rule without exactly four fields: {line}")
    };
    FaultRule {
        call: parse_call(call).unwrap_or_else(|| panic!("{FILE_VARIABLE}: unknown system call: {line}")),
        error_number: parse_error(error),
        percent: percent.parse().unwrap_or_else(|_| panic!("{FILE_VARIABLE}: invalid percentage: {line}")),
        failures_left: max_failures.parse().ok(),
    }
}

/// Returns the system call with this name in the file, or `None` if there is none.
fn parse_call(name: &str) -> Option<SystemCall> {
    Some(match name {
        "socket" => SystemCall::Socket,
        "connect" => SystemCall::Connect,
        "accept" => SystemCall::Accept,
        "accept_local" => SystemCall::AcceptLocal,
        "receive" => SystemCall::Receive,
        "peek" => SystemCall::Peek,
        "read:client" => SystemCall::Read(Party::Client),
        "read:member" => SystemCall::Read(Party::Member),
        "read:discovery" => SystemCall::Read(Party::Discovery),
        "write:client" => SystemCall::Write(Party::Client),
        "write:member" => SystemCall::Write(Party::Member),
        "write:discovery" => SystemCall::Write(Party::Discovery),
        _ => return None,
    })
}

/// Returns the `errno` with this name. Panics if tests cannot inject it.
fn parse_error(name: &str) -> i32 {
    match name {
        "ECONNABORTED" => c::ECONNABORTED,
        "ECONNRESET" => c::ECONNRESET,
        "EHOSTUNREACH" => c::EHOSTUNREACH,
        "EMFILE" => c::EMFILE,
        "ENFILE" => c::ENFILE,
        "ENOBUFS" => c::ENOBUFS,
        "ENETUNREACH" => c::ENETUNREACH,
        "EADDRNOTAVAIL" => c::EADDRNOTAVAIL,
        "EPIPE" => c::EPIPE,
        "EINTR" => c::EINTR,
        "ETIMEDOUT" => c::ETIMEDOUT,
        _ => panic!("{FILE_VARIABLE}: unknown error: {name}"),
    }
}
