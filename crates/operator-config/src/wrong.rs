use thiserror::Error;

/// What cannot be meant in an operator's file: the field by its path, what is the matter, and what is possible.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Wrong {
    #[error("{path}: {why}; `aldermill schema` prints the form of this file")]
    Form { path: String, why: String },
    #[error("{0}: a name of 1 to 64 bytes is needed")]
    Name(String),
    #[error("{path}: {name:?} stands there already, give each a name of its own")]
    Twice { path: String, name: String },
    #[error("{path}: {value} is not from {least} to {most}")]
    Range { path: String, value: u64, least: u64, most: u64 },
    #[error("{path}: needed, {why}")]
    Needed { path: String, why: &'static str },
    #[error("{0}: nobody can be there, give an address with a port")]
    Nowhere(String),
    #[error("{0}: this gateway itself, name the other site's address")]
    Itself(String),
    #[error("{path}: there is no site {site:?}, name this site or one of its peers")]
    NoSite { path: String, site: String },
    #[error("council.voters: {0} are named, name 3, 5 or 7 drivers")]
    Voters(usize),
}

impl Wrong {
    pub(crate) fn range(path: &str, value: u64, least: u64, most: u64) -> Result<(), Wrong> {
        let within = (least..=most).contains(&value);
        within.then_some(()).ok_or_else(|| Wrong::Range { path: path.to_owned(), value, least, most })
    }

    pub(crate) fn name(path: &str, name: &str) -> Result<(), Wrong> {
        (1..=64).contains(&name.len()).then_some(()).ok_or_else(|| Wrong::Name(path.to_owned()))
    }

    pub(crate) fn needed(path: &str, why: &'static str) -> Wrong {
        Wrong::Needed { path: path.to_owned(), why }
    }
}
