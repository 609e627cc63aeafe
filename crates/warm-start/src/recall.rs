use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Beliefs, FORMAT, Identity, Micros, ONE, Paces, Primary, space};

/// How old a belief may be to be used. A primary that is none costs each driver one miss, so that a day old guess
/// still beats a walk; paces of another hour mislead.
const PRIMARY: Micros = 24 * 3_600_000_000;
const PACES: Micros = 600_000_000;
/// How far ahead of the clock what was kept may be: clocks of machines differ, and steps between two starts happen.
const AHEAD: Micros = 1_000_000;

/// What is believed after a restart, all of it old news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recalled {
    pub beliefs: Beliefs,
    /// How old the newest word on a primary is.
    pub age: Option<Micros>,
    /// Records that cannot be read, or are too old or too new to be used.
    pub left_out: usize,
}

/// Why nothing of a folder is believed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error("kept by another driver, {0}; name a folder of its own for each driver")]
    Foreign(String),
    #[error("records of form {0}, newer than this program's; run that version, or name another folder")]
    Newer(u32),
    #[error("it does not say whose it is; name a new folder, or one that this program wrote")]
    Unsigned,
}

/// Reads records back: `(space, key, value)`. No record at all is a new folder.
///
/// Protects members from walks and from work at those that are gone, and clients from the wait for the list. Harms,
/// where the world has moved meanwhile, one attempt a group: its primary is a guess until somebody answers.
pub fn recall<'a>(
    name: &str,
    now: Micros,
    records: impl Iterator<Item = (u32, &'a [u8], &'a [u8])>,
) -> Result<Recalled, Refused> {
    let records: Vec<_> = records.collect();
    if records.is_empty() {
        return Ok(Recalled::default());
    }
    let signed = records.iter().find(|(of, key, _)| *of == space::IDENTITY && *key == ONE);
    let Some(identity) = signed.and_then(|(_, _, value)| read::<Identity>(value)) else {
        return Err(Refused::Unsigned);
    };
    if identity.format > FORMAT {
        return Err(Refused::Newer(identity.format));
    }
    if identity.name != name {
        return Err(Refused::Foreign(identity.name));
    }
    let mut recalled = Recalled::default();
    let fresh = |at: Micros, most: Micros| at <= now + AHEAD && now.saturating_sub(at) <= most;
    for (of, key, value) in records {
        if !recalled.take(of, key, value, fresh) {
            recalled.left_out += 1;
        }
    }
    // Entries of a list of which nobody knows the revision are no list.
    if recalled.beliefs.revision.is_none() {
        recalled.left_out += recalled.beliefs.members.len();
        recalled.beliefs.members.clear();
    }
    if recalled.beliefs.members.is_empty() {
        recalled.beliefs.revision = None;
    }
    let newest = recalled.beliefs.primaries.values().map(|primary| primary.word).max();
    recalled.age = newest.map(|word| (now - word).max(0));
    Ok(recalled)
}

impl Recalled {
    /// Whether the record can be read and used.
    fn take(&mut self, of: u32, key: &[u8], value: &[u8], fresh: impl Fn(Micros, Micros) -> bool) -> bool {
        let text = std::str::from_utf8(key).ok();
        let group = || text.and_then(|text| text.parse::<u64>().ok());
        let beliefs = &mut self.beliefs;
        match of {
            space::IDENTITY
            | space::BOOK
            | space::PROMISES
            | space::GRANTED
            | space::DECREED
            | space::BOUND => true,
            space::LIST if key == ONE => {
                beliefs.revision = read(value);
                beliefs.revision.is_some()
            }
            space::LIST => {
                let entry = text.zip(String::from_utf8(value.to_vec()).ok());
                entry.map(|(id, entry)| beliefs.members.insert(id.to_owned(), entry)).is_some()
            }
            space::PRIMARIES => {
                let primary = read::<Primary>(value).filter(|primary| fresh(primary.word, PRIMARY));
                group()
                    .zip(primary)
                    .map(|(group, primary)| beliefs.primaries.insert(group, primary))
                    .is_some()
            }
            space::HOMES => {
                group().zip(read(value)).map(|(group, site)| beliefs.homes.insert(group, site)).is_some()
            }
            space::PACES => {
                let paces = read::<Paces>(value).filter(|paces| fresh(paces.at, PACES));
                paces.map(|paces| (beliefs.paces, beliefs.windows) = (paces.paces, paces.windows)).is_some()
            }
            _ => false,
        }
    }
}

fn read<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
