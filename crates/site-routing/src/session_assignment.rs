//! Where sessions belong while a site retires.

use std::collections::BTreeMap;

use aldermill_site_drain::{Binding, Open, Plan, Stage};

use crate::SiteId;

/// What the fleet decided of sites that retire, by site; nothing of the others.
#[derive(Debug, Default)]
pub(crate) struct SessionAssignments {
    names: Vec<String>,
    plans: BTreeMap<SiteId, Binding>,
}

impl SessionAssignments {
    /// `names` are the sites', by their index. Plans on sites that are none of them are nothing to this gateway.
    pub(crate) fn of(names: &[String], plans: Vec<Plan>) -> SessionAssignments {
        let site = |name: &String| names.iter().position(|known| known == name);
        let plans = plans.into_iter().filter_map(|plan| Some((site(&plan.word.site)?, Binding::of(plan))));
        SessionAssignments { names: names.to_vec(), plans: plans.collect() }
    }

    pub(crate) fn plan(&self, site: SiteId) -> Option<&Binding> {
        self.plans.get(&site)
    }

    /// The site that a session of `from` was handed on to, of those that are reached.
    pub(crate) fn home(
        &self,
        from: &Binding,
        session: &str,
        reached: impl Fn(SiteId) -> bool,
    ) -> Option<SiteId> {
        let site = |name: &str| self.names.iter().position(|known| known == name);
        let home = from.home(session, |name| site(name).is_some_and(&reached));
        home.and_then(site)
    }

    /// No session is bound there: nothing that another site can answer goes there.
    pub(crate) fn is_emptied(&self, site: SiteId) -> bool {
        self.plans.get(&site).is_some_and(|of| of.plan.weight == 0)
    }

    /// Nothing new goes there.
    pub(crate) fn is_retired(&self, site: SiteId) -> bool {
        self.plans.get(&site).is_some_and(|of| of.plan.stage == Stage::Retired)
    }

    pub(crate) fn retiring(&self) -> impl Iterator<Item = (SiteId, &str, u32)> {
        self.plans.iter().map(|(&site, of)| (site, of.plan.word.site.as_str(), of.plan.weight))
    }
}

/// What this gateway has of each site that retires, by its name.
pub type OpenWork = BTreeMap<String, Open>;
