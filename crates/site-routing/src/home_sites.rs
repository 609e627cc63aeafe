//! Where each group's primary is believed to be.

use std::collections::{BTreeMap, BTreeSet};

use crate::{LOCAL_SITE, Micros, SiteId};

/// A site's own account of its groups is a guess, believed where no answer was heard for so long.
const STALE: Micros = 1_000_000;

#[derive(Debug)]
struct Group {
    home: Option<SiteId>,
    /// When the newest word on it was heard.
    word: Micros,
    /// Members here, as listed.
    here: usize,
    /// Other sites that have members.
    members_at: BTreeSet<SiteId>,
    /// Writes are not walked before then.
    walk_after: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct HomeSites {
    groups: BTreeMap<u64, Group>,
}

impl HomeSites {
    fn group(&mut self, name: u64) -> &mut Group {
        self.groups.entry(name).or_insert_with(|| Group {
            home: None,
            word: Micros::MIN / 2,
            here: 0,
            members_at: BTreeSet::new(),
            walk_after: Micros::MIN / 2,
        })
    }

    pub(crate) fn known(&self) -> impl Iterator<Item = u64> {
        self.groups.keys().copied()
    }

    pub(crate) fn home(&self, name: u64) -> Option<SiteId> {
        self.groups.get(&name)?.home
    }

    pub(crate) fn here(&self, name: u64) -> usize {
        self.groups.get(&name).map_or(0, |group| group.here)
    }

    pub(crate) fn is_at(&self, name: u64, site: SiteId) -> bool {
        self.groups.get(&name).is_some_and(|group| match site {
            LOCAL_SITE => group.here > 0,
            site => group.members_at.contains(&site),
        })
    }

    pub(crate) fn walk_after(&self, name: u64) -> Micros {
        self.groups.get(&name).map_or(Micros::MIN / 2, |group| group.walk_after)
    }

    pub(crate) fn hold_walks(&mut self, name: u64, until: Micros) {
        self.group(name).walk_after = until;
    }

    /// The groups that have members here, and how many.
    pub(crate) fn listed(&mut self, groups: &[(u64, usize)]) {
        self.groups.values_mut().for_each(|group| group.here = 0);
        for &(name, members) in groups {
            self.group(name).here = members;
        }
    }

    /// A first guess, that any answer and any site's own account corrects.
    pub(crate) fn guess(&mut self, name: u64, site: SiteId) {
        let group = self.group(name);
        group.home = Some(site);
        if site != LOCAL_SITE {
            group.members_at.insert(site);
        }
    }

    /// An answer showed the primary at that site. Says whether that is news.
    pub(crate) fn answered(&mut self, now: Micros, name: u64, site: SiteId) -> bool {
        let group = self.group(name);
        group.word = now;
        let news = group.home.replace(site) != Some(site);
        if news {
            group.walk_after = now;
        }
        news
    }

    /// An answer showed that it is not at that site; where it is instead is only a hint.
    pub(crate) fn missed(&mut self, now: Micros, name: u64, site: SiteId, hint: Option<SiteId>) {
        let group = self.group(name);
        if group.home == Some(site) || group.home.is_none() {
            group.home = hint.filter(|&hint| hint != site);
            group.word = now;
        }
    }

    /// Another site's own account: which groups have members there, and which of them the primary. Says whether any
    /// belief changed.
    pub(crate) fn told(&mut self, now: Micros, site: SiteId, groups: &[(u64, bool)]) -> bool {
        for group in self.groups.values_mut() {
            group.members_at.remove(&site);
        }
        let mut news = false;
        for &(name, primary) in groups {
            let group = self.group(name);
            group.members_at.insert(site);
            let guess = group.home.is_none() || now - group.word > STALE;
            if primary && guess && group.home != Some(site) {
                (group.home, group.walk_after, news) = (Some(site), now, true);
            }
        }
        news
    }
}
