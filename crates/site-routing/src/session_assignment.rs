//! Assignment of sessions to sites while sites are draining.

use std::collections::BTreeMap;

use aldermill_site_drain::{OpenWork, Plan, SessionPlacement, Stage};

use crate::SiteId;

/// Work that this gateway still has in progress at each draining site, by the site's name.
pub type OpenWorkBySite = BTreeMap<String, OpenWork>;

/// Session placements that follow from the fleet's plans for draining sites. A site without a plan serves its sessions
/// as usual.
#[derive(Debug, Default)]
pub(crate) struct SessionAssignments {
    /// Names of all sites, by site index.
    site_names: Vec<String>,
    placements: BTreeMap<SiteId, SessionPlacement>,
}

impl SessionAssignments {
    /// Creates the placements for `plans`. `site_names` holds the names of all sites by site index. Plans for other
    /// sites do not concern this gateway and are ignored.
    pub(crate) fn new(site_names: &[String], plans: Vec<Plan>) -> SessionAssignments {
        let index = |name: &String| site_names.iter().position(|known| known == name);
        let placements = plans
            .into_iter()
            .filter_map(|plan| Some((index(&plan.command.site)?, SessionPlacement::new(plan))));
        SessionAssignments { site_names: site_names.to_vec(), placements: placements.collect() }
    }

    /// Returns the session placement of a draining site, or `None` if there is no plan for the site.
    pub(crate) fn placement(&self, site: SiteId) -> Option<&SessionPlacement> {
        self.placements.get(&site)
    }

    /// Returns the site that takes over a session from a draining site, among those that can be reached, or `None` if
    /// there is none.
    pub(crate) fn successor(
        &self,
        placement: &SessionPlacement,
        session: &str,
        reachable: impl Fn(SiteId) -> bool,
    ) -> Option<SiteId> {
        let index = |name: &str| self.site_names.iter().position(|known| known == name);
        let successor = placement.successor(session, |name| index(name).is_some_and(&reachable));
        successor.and_then(index)
    }

    /// Returns whether no session is assigned to the site any more; reads that another site can serve do not go there.
    pub(crate) fn is_emptied(&self, site: SiteId) -> bool {
        self.placements.get(&site).is_some_and(|placement| placement.plan.weight == 0)
    }

    /// Returns whether the site is completely drained; no new request goes there.
    pub(crate) fn is_drained(&self, site: SiteId) -> bool {
        self.placements.get(&site).is_some_and(|placement| placement.plan.stage == Stage::Drained)
    }

    /// Returns each draining site with its name and the share of its sessions that it still has, in thousandths.
    pub(crate) fn draining_sites(&self) -> impl Iterator<Item = (SiteId, &str, u32)> {
        let placements = self.placements.iter();
        placements
            .map(|(&site, placement)| (site, placement.plan.command.site.as_str(), placement.plan.weight))
    }
}
