//! Why an operator's file is refused.

use thiserror::Error;

/// The longest name of a fleet, site, proxy or session field, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why an operator's file is refused: the field by its path, what is wrong, and what is possible instead.
///
/// A path has the keys that the schema shows, also where the file has an older key for the same field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The text is not JSON of the file's form: a syntax error, a type mismatch, or an unknown or repeated key.
    #[error("{path}: {reason}; `aldermill schema` prints the form of this file")]
    Format {
        /// Where the reader stopped; keys as the file has them.
        path: String,
        /// The reader's message, with line and column.
        reason: String,
    },
    /// A name is empty, or longer than 64 bytes.
    #[error("{0}: a name of 1 to 64 bytes is needed")]
    NameLength(String),
    /// A name that must be unique stands there twice.
    #[error("{path}: {name:?} stands there already, give each a name of its own")]
    Duplicate {
        /// The second of the two.
        path: String,
        /// The name that both have.
        name: String,
    },
    /// A number is outside its range; both ends are allowed.
    #[error("{path}: {value} is not from {least} to {most}")]
    OutOfRange {
        /// The field.
        path: String,
        /// What the file says.
        value: u64,
        /// The least possible value.
        least: u64,
        /// The greatest possible value.
        most: u64,
    },
    /// A field that others depend on is left out or empty.
    #[error("{path}: needed, {reason}")]
    Missing {
        /// The field.
        path: String,
        /// What to write there, or what needs it.
        reason: &'static str,
    },
    /// A peer's address has no host or no port.
    #[error("{0}: nobody can be there, give an address with a port")]
    UnusableAddress(String),
    /// A gateway's peer is the gateway itself.
    #[error("{0}: this gateway itself, name the other site's address")]
    OwnAddress(String),
    /// A group's home is none of the sites.
    #[error("{path}: there is no site {site:?}, name this site or one of its peers")]
    UnknownSite {
        /// The field.
        path: String,
        /// The name that no site has.
        site: String,
    },
    /// So many voters can't form a majority that one failure leaves intact, or are too many.
    #[error("coordination.voters: {0} are named, name 3, 5 or 7 proxies")]
    VoterCount(usize),
}

impl OperatorError {
    pub(crate) fn check_range(path: &str, value: u64, least: u64, most: u64) -> Result<(), OperatorError> {
        if (least..=most).contains(&value) {
            return Ok(());
        }
        Err(OperatorError::OutOfRange { path: path.to_owned(), value, least, most })
    }

    pub(crate) fn check_name(path: &str, name: &str) -> Result<(), OperatorError> {
        if (1..=MAX_NAME_BYTES).contains(&name.len()) {
            return Ok(());
        }
        Err(OperatorError::NameLength(path.to_owned()))
    }

    pub(crate) fn missing(path: &str, reason: &'static str) -> OperatorError {
        OperatorError::Missing { path: path.to_owned(), reason }
    }
}
