//! The dispatcher's part in the state that is kept over a restart: what is believed now, and what an earlier start
//! believed.

use std::collections::BTreeMap;

use aldermill_routing::{Learnt, Micros, Standing};
use aldermill_warm_start::{Beliefs, Pace, Primary};
use tokio::sync::watch;

use super::{Dispatcher, GatewayPart};
use crate::discovery::endpoint_list::EndpointList;

/// How often what is believed is handed to the keeper.
const KEEP_EVERY: Micros = 1_000_000;

/// What is kept over a restart.
pub struct WarmState {
    /// What an earlier start believed, until the first list tells who is who.
    pub recalled: Beliefs,
    /// Who keeps what is believed now.
    pub keeping: Option<watch::Sender<Option<Beliefs>>>,
}

/// The endpoint list as it was told last, for the keeper.
#[derive(Default)]
pub(super) struct ListedEntries {
    revision: Option<u64>,
    /// Each entry as JSON, by the member's name.
    entries: BTreeMap<String, String>,
    /// When the beliefs are next handed to the keeper, on the router's clock.
    keep_at: Micros,
}

impl ListedEntries {
    fn update(&mut self, catalog: &EndpointList) {
        if catalog.complete {
            self.entries.clear();
        }
        for entry in &catalog.members {
            match serde_json::to_string(entry) {
                Ok(text) if entry.standing() != Standing::Gone => {
                    self.entries.insert(entry.id.clone(), text);
                }
                _ => {
                    self.entries.remove(&entry.id);
                }
            }
        }
        self.revision = Some(catalog.revision);
    }
}

impl Dispatcher {
    /// A list came; the first one says who the members are of whom something is recalled.
    pub(super) fn use_warm_state(&mut self, catalog: &EndpointList) {
        if self.warm_state.keeping.is_some() {
            self.listed.update(catalog);
        }
        let recalled = std::mem::take(&mut self.warm_state.recalled);
        if recalled != Beliefs::default() {
            let learnt = self.learnt_before(&recalled);
            self.router.recall(&learnt);
        }
    }

    /// What an earlier start believed, of the members that are listed now.
    fn learnt_before(&self, recalled: &Beliefs) -> Learnt {
        let id = |name: &String| self.member_ids.get(name).copied();
        let primary = |primary: &Primary| Some((id(&primary.member)?, primary.word));
        let pace = |name: &String| recalled.paces.get(name).map_or((0, 0), |pace| (pace.usual, pace.slow));
        let windows = recalled.windows.iter();
        Learnt {
            primaries: recalled.primaries.values().filter_map(primary).collect(),
            took: self.decoded.names().iter().map(pace).collect(),
            windows: windows.filter_map(|(name, &power)| Some((id(name)?, power))).collect(),
        }
    }

    /// Hands the keeper what is believed, once a second.
    pub(super) fn keep_warm_state(&mut self) {
        let now = self.context.clock.now();
        let Some(keeping) = &self.warm_state.keeping else { return };
        if now < self.listed.keep_at {
            return;
        }
        self.listed.keep_at = now + KEEP_EVERY;
        keeping.send_replace(Some(self.beliefs()));
    }

    fn beliefs(&self) -> Beliefs {
        let learnt = self.router.learnt();
        let names: BTreeMap<usize, &String> = self.member_ids.iter().map(|(name, &id)| (id, name)).collect();
        let name = |id: usize| names.get(&id).map(|&name| name.clone());
        let group = |id: usize| self.members.get(id).and_then(Option::as_ref).map(|entry| entry.group);
        let primary = |&(id, word): &(usize, Micros)| Some((group(id)?, Primary { member: name(id)?, word }));
        let paces = self.decoded.names().into_iter().zip(&learnt.took).filter(|(_, took)| took.0 > 0);
        let homes = self.gateway_part.as_ref().map(GatewayPart::homes);
        Beliefs {
            revision: self.listed.revision,
            members: self.listed.entries.clone(),
            primaries: learnt.primaries.iter().filter_map(primary).collect(),
            homes: homes.unwrap_or_default(),
            paces: paces.map(|(name, &(usual, slow))| (name, Pace { usual, slow })).collect(),
            windows: learnt.windows.iter().filter_map(|&(id, power)| Some((name(id)?, power))).collect(),
        }
    }
}
