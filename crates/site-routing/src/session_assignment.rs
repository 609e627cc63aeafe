//! Which site serves a session while sites drain.

use std::collections::BTreeMap;

use aldermill_site_drain::{OpenWork, Plan, SessionPlacement, Stage};

use crate::SiteId;

/// What this gateway still has in progress at each draining site, by the site's name.
pub type OpenWorkBySite = BTreeMap<String, OpenWork>;

/// The fleet's plans for draining sites. A site without one serves its sessions as ever.
#[derive(Debug, Default)]
pub(crate) struct SessionAssignments {
    /// The sites' names, by their index.
    site_names: Vec<String>,
    placements: BTreeMap<SiteId, SessionPlacement>,
}

impl SessionAssignments {
    /// `names` are the sites', by their index. Plans for sites that are not among them do not concern this gateway.
    pub(crate) fn new(site_names: &[String], plans: Vec<Plan>) -> SessionAssignments {
        let index = |name: &String| site_names.iter().position(|known| known == name);
        let placements = plans
            .into_iter()
            .filter_map(|plan| Some((index(&plan.command.site)?, SessionPlacement::new(plan))));
        SessionAssignments { site_names: site_names.to_vec(), placements: placements.collect() }
    }

    /// The plan for a site that drains.
    pub(crate) fn placement(&self, site: SiteId) -> Option<&SessionPlacement> {
        self.placements.get(&site)
    }

    /// The site that took over a session from a draining site, among those that can be reached.
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

    /// Whether no session is assigned to the site any more: reads that another site can serve do not go there.
    pub(crate) fn is_emptied(&self, site: SiteId) -> bool {
        self.placements.get(&site).is_some_and(|placement| placement.plan.weight == 0)
    }

    /// Whether the site's drain is completed: nothing new goes there.
    pub(crate) fn is_drained(&self, site: SiteId) -> bool {
        self.placements.get(&site).is_some_and(|placement| placement.plan.stage == Stage::Drained)
    }

    /// Each draining site with its name and the part of its sessions that it still has, in thousandths.
    pub(crate) fn draining_sites(&self) -> impl Iterator<Item = (SiteId, &str, u32)> {
        let placements = self.placements.iter();
        placements
            .map(|(&site, placement)| (site, placement.plan.command.site.as_str(), placement.plan.weight))
    }
}
