//! The dispatcher's part in what is kept over a restart: what is believed now, and what an earlier start
//! believed.

use std::collections::BTreeMap;

use aldermill_routing::{Learnt, Micros, Standing};
use aldermill_warm_start::{Beliefs, Pace, Primary};
use tokio::sync::watch;

use super::Dispatcher;
use crate::catalog::Catalog;

/// How often what is believed is told to the keeper.
const EVERY: Micros = 1_000_000;

/// What an earlier start believed, until the first list tells who is who; and who keeps what is believed now.
pub struct WarmState {
    pub recalled: Beliefs,
    pub keeping: Option<watch::Sender<Option<Beliefs>>>,
}

/// The list as it was told last, for the keeper.
#[derive(Default)]
pub(super) struct ListedEntries {
    revision: Option<u64>,
    entries: BTreeMap<String, String>,
    next: Micros,
}

impl Dispatcher {
    /// A list came; the first one says who the members are of whom something is recalled.
    pub(super) fn use_warm_state(&mut self, catalog: &Catalog) {
        if self.warm_state.keeping.is_some() {
            if catalog.complete {
                self.listed.entries.clear();
            }
            for entry in &catalog.members {
                match serde_json::to_string(entry) {
                    Ok(line) if entry.standing() != Standing::Gone => {
                        self.listed.entries.insert(entry.id.clone(), line);
                    }
                    _ => drop(self.listed.entries.remove(&entry.id)),
                }
            }
            self.listed.revision = Some(catalog.revision);
        }
        let recalled = std::mem::take(&mut self.warm_state.recalled);
        if recalled != Beliefs::default() {
            let learnt = self.learnt_before(&recalled);
            self.router.recall(&learnt);
        }
    }

    fn learnt_before(&self, recalled: &Beliefs) -> Learnt {
        let id = |name: &String| self.member_ids.get(name).copied();
        let primary = |primary: &Primary| Some((id(&primary.member)?, primary.word));
        let names = self.decoded.names();
        let took = |name: &String| recalled.paces.get(name).map_or((0, 0), |pace| (pace.usual, pace.slow));
        Learnt {
            primaries: recalled.primaries.values().filter_map(primary).collect(),
            took: names.iter().map(took).collect(),
            windows: recalled.windows.iter().filter_map(|(name, &power)| Some((id(name)?, power))).collect(),
        }
    }

    /// Tells the keeper what is believed, now and then.
    pub(super) fn keep_warm_state(&mut self) {
        let now = self.context.clock.now();
        if self.warm_state.keeping.is_none() || now < self.listed.next {
            return;
        }
        self.listed.next = now + EVERY;
        let learnt = self.router.learnt();
        let names: BTreeMap<usize, &String> = self.member_ids.iter().map(|(name, &id)| (id, name)).collect();
        let name = |id: usize| names.get(&id).map(|&name| name.clone());
        let group = |id: usize| self.members.get(id).and_then(Option::as_ref).map(|entry| entry.group);
        let primary = |&(id, word): &(usize, Micros)| Some((group(id)?, Primary { member: name(id)?, word }));
        let took = self.decoded.names().into_iter().zip(&learnt.took).filter(|(_, took)| took.0 > 0);
        let homes = self.gateway_part.as_ref().map(|gateway_part| gateway_part.homes()).unwrap_or_default();
        let beliefs = Beliefs {
            revision: self.listed.revision,
            members: self.listed.entries.clone(),
            primaries: learnt.primaries.iter().filter_map(primary).collect(),
            homes,
            paces: took.map(|(name, &(usual, slow))| (name, Pace { usual, slow })).collect(),
            windows: learnt.windows.iter().filter_map(|&(id, power)| Some((name(id)?, power))).collect(),
        };
        if let Some(keeping) = &self.warm_state.keeping {
            keeping.send_replace(Some(beliefs));
        }
    }
}
