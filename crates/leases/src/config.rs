//! Configuration of the leases, and its validation.

use thiserror::Error;

use crate::{Micros, Term};

/// The shortest lease that may be configured, in microseconds.
const MIN_LEASE_DURATION: Micros = 500_000;

/// The operator's configuration, which is the same at all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// The names of the processes that grant leases and can hold them: 3, 5 or 7.
    pub voters: Vec<String>,
    /// The names of the leases.
    pub leases: Vec<String>,
    /// The duration for which a lease is granted, in microseconds.
    pub duration: Micros,
    /// The lowest term that may be granted, 0 for no bound. An operator raises it after terms were lost and
    /// the clocks were set back.
    pub least_term: Term,
}

/// The reason why a configuration cannot work.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The number of voters allows ties or is out of bounds.
    #[error("voters: {0} proxies are named; name 3, 5 or 7, so that votes cannot tie")]
    VoterCount(usize),
    /// A voter is named twice and would have two votes.
    #[error("voters: {0:?} is named twice; name each voter once")]
    DuplicateVoter(String),
    /// The lease would expire before slow voters have replied; the value is its duration in microseconds.
    #[error(
        "lease_ms: a lease of {0} us is too short; set at least 500 ms, or it expires before slow voters reply"
    )]
    TooShort(Micros),
}

impl LeaseConfig {
    /// Checks that the voters can grant leases with this configuration.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(ConfigError::VoterCount(self.voters.len()));
        }
        let is_duplicate = |(index, name): &(usize, &String)| self.voters[..*index].contains(name);
        if let Some((_, name)) = self.voters.iter().enumerate().find(is_duplicate) {
            return Err(ConfigError::DuplicateVoter(name.clone()));
        }
        if self.duration < MIN_LEASE_DURATION {
            return Err(ConfigError::TooShort(self.duration));
        }
        Ok(())
    }
}
