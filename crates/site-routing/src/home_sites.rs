//! Home site cache: the site believed to have each group's primary, and the sites that have members of the group.

use std::collections::{BTreeMap, BTreeSet};

use crate::{LOCAL_SITE, Micros, NEVER, SiteId};

/// How long an answer outweighs announcements, in microseconds. Answers come from the members themselves and are more
/// recent; an announcement may have been made before the primary moved.
const ANSWER_TRUST_DURATION: Micros = 1_000_000;

#[derive(Debug)]
struct Group {
    home: Option<SiteId>,
    /// When an answer last confirmed the home or ruled it out; [`NEVER`] if none did.
    last_answer_at: Micros,
    /// Number of ready members in the local endpoint list.
    local_members: usize,
    /// Other sites known to have members.
    remote_sites: BTreeSet<SiteId>,
}

impl Default for Group {
    fn default() -> Group {
        Group { home: None, last_answer_at: NEVER, local_members: 0, remote_sites: BTreeSet::new() }
    }
}

/// The last known home site of each group.
///
/// Sources in descending precedence: answers to requests, announcements of other sites, the operator's configuration.
#[derive(Debug, Default)]
pub(crate) struct HomeSites {
    groups: BTreeMap<u64, Group>,
}

impl HomeSites {
    /// Returns all known groups in ascending order.
    pub(crate) fn groups(&self) -> impl Iterator<Item = u64> {
        self.groups.keys().copied()
    }

    /// Returns whether the cache has an entry for the group.
    pub(crate) fn knows(&self, group: u64) -> bool {
        self.groups.contains_key(&group)
    }

    /// Returns the site believed to have the group's primary, or `None` if it is not known.
    pub(crate) fn home(&self, group: u64) -> Option<SiteId> {
        self.groups.get(&group)?.home
    }

    /// Returns the number of ready members of the group at this site.
    pub(crate) fn local_members(&self, group: u64) -> usize {
        self.groups.get(&group).map_or(0, |group| group.local_members)
    }

    /// Returns whether the site has members of the group.
    pub(crate) fn has_members(&self, group: u64, site: SiteId) -> bool {
        self.groups.get(&group).is_some_and(|group| match site {
            LOCAL_SITE => group.local_members > 0,
            site => group.remote_sites.contains(&site),
        })
    }

    /// Applies the local endpoint list: each group with its number of ready members. Groups not listed have none.
    pub(crate) fn set_local_members(&mut self, listed: &[(u64, usize)]) {
        for group in self.groups.values_mut() {
            group.local_members = 0;
        }
        for &(group, members) in listed {
            self.entry(group).local_members = members;
        }
    }

    /// Sets the configured home of a group, which holds until an answer or an announcement replaces it.
    pub(crate) fn assume(&mut self, group: u64, site: SiteId) {
        let group = self.entry(group);
        group.home = Some(site);
        if site != LOCAL_SITE {
            group.remote_sites.insert(site);
        }
    }

    /// Records that an answer showed the primary at the site. Returns whether the home has changed.
    pub(crate) fn confirm(&mut self, now: Micros, group: u64, site: SiteId) -> bool {
        let group = self.entry(group);
        group.last_answer_at = now;
        group.home.replace(site) != Some(site)
    }

    /// Records that an answer showed the primary not to be at the site; `hint` is where it may be instead. A home
    /// believed to be at a different site stays.
    pub(crate) fn rule_out(&mut self, now: Micros, group: u64, site: SiteId, hint: Option<SiteId>) {
        let group = self.entry(group);
        if group.home == Some(site) || group.home.is_none() {
            group.home = hint.filter(|&hint| hint != site);
            group.last_answer_at = now;
        }
    }

    /// Applies an announcement of another site, which lists all groups that the site has members of, each with whether
    /// it has the primary. Returns the groups whose home has changed.
    pub(crate) fn apply_announcement(
        &mut self,
        now: Micros,
        site: SiteId,
        announced: &[(u64, bool)],
    ) -> Vec<u64> {
        for group in self.groups.values_mut() {
            group.remote_sites.remove(&site);
        }
        let mut moved = Vec::new();
        for &(name, has_primary) in announced {
            let group = self.entry(name);
            group.remote_sites.insert(site);
            let replaceable = group.home.is_none() || now - group.last_answer_at > ANSWER_TRUST_DURATION;
            if has_primary && replaceable && group.home != Some(site) {
                group.home = Some(site);
                moved.push(name);
            }
        }
        moved
    }

    fn entry(&mut self, group: u64) -> &mut Group {
        self.groups.entry(group).or_default()
    }
}
