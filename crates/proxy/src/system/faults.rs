//! Failing system calls for tests; only in builds with debug assertions, never in released ones.
//!
//! `ALDERMILL_TEST_FAULTS` names a file that is read before each call. Each of its lines is a rule of four words: the call,
//! the error, the chance in percent and the most failures, as in `socket EMFILE 100 7`; the last may be `-` for no limit.
//! A line `seed 3` fixes the chance. While there is no such file, nothing fails. A test replaces the file by renaming
//! another; the rules start afresh when its text changes.

use std::cell::RefCell;
use std::io;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use uapi::c;

use super::Party;
use super::injection::SystemCall;

/// The environment variable that names the file.
const FILE_VARIABLE: &str = "ALDERMILL_TEST_FAULTS";

/// One line of the file.
struct FaultRule {
    call: SystemCall,
    /// The number of the error.
    error_number: i32,
    /// The chance that a call fails.
    percent: u32,
    /// Calls that may still fail; `None` for no limit.
    failures_left: Option<u32>,
}

/// The rules in force.
#[derive(Default)]
struct FaultRules {
    /// The file's text that they were read from.
    text: String,
    rules: Vec<FaultRule>,
    rng: Option<Pcg64Mcg>,
}

thread_local! {
    /// `None` without the environment variable.
    static FAULT_RULES: RefCell<Option<FaultRules>> =
        RefCell::new(std::env::var_os(FILE_VARIABLE).map(|_| FaultRules::default()));
}

/// The error that this call is to fail with, if any.
pub(super) fn error_to_inject(call: SystemCall) -> Option<io::Error> {
    FAULT_RULES.with_borrow_mut(|rules| rules.as_mut()?.error_to_inject(call))
}

impl FaultRules {
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

fn parse_rule(line: &str) -> FaultRule {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let &[call, error, percent, max_failures] = fields.as_slice() else {
        panic!("{FILE_VARIABLE}: not a rule: {line}")
    };
    FaultRule {
        call: parse_call(call).unwrap_or_else(|| panic!("{FILE_VARIABLE}: no such call: {line}")),
        error_number: parse_error(error),
        percent: percent.parse().unwrap_or_else(|_| panic!("{FILE_VARIABLE}: no chance: {line}")),
        failures_left: max_failures.parse().ok(),
    }
}

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
        _ => panic!("{FILE_VARIABLE}: no such error: {name}"),
    }
}
