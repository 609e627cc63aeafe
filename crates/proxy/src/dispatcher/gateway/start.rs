//! How the gateway part begins: from the settings and the operator's file.

use std::collections::HashMap;
use std::rc::Rc;

use aldermill_routing::{DeduplicationScope, Effect as RouterEffect, Micros, Need as RouterNeed};
use aldermill_settings::Settings;
use aldermill_site_link::Identity;
use aldermill_site_routing::{Effect, Need, OutcomeTable, RequestClass, SiteRouter, SiteRouterConfig};
use tokio::sync::mpsc;

use super::{EndedCounts, GatewayPart, QUERY_GRACE};
use crate::dispatcher::outcome_log::OutcomeLog;
use crate::messages::ClientRequestId;
use crate::persistence::DataDirectory;

/// Remote requests get client ids of their own, from here on.
const FIRST_REMOTE_ID: ClientRequestId = 1 << 63;
/// How many confirmations may wait for the dispatcher: as many as records may wait for the disk, and more.
const MAX_CONFIRMATIONS: usize = 2048;

/// What the gateway part needs to start.
pub struct GatewaySetup {
    /// Who this gateway is.
    pub own: Identity,
    /// The names of the other sites.
    pub peers: Vec<String>,
    /// Groups, each with the site that is assumed to have its primary.
    pub homes: Vec<(u64, String)>,
    /// How many links a request may be forwarded over.
    pub max_hops: usize,
    /// How many requests of one class another gateway may have in flight here, at most.
    pub max_credit: u32,
    /// The comment's field that names a session.
    pub session_field: Option<String>,
    /// How many outcomes are kept for one sender.
    pub max_outcomes_per_sender: usize,
    /// Where outcomes are kept over a restart, if anywhere.
    pub directory: Option<Rc<DataDirectory>>,
}

impl GatewayPart {
    /// A gateway without links. `now` is on the router's clock.
    pub fn new(setup: GatewaySetup, decoded: &Settings, seed: u64, now: Micros) -> GatewayPart {
        let config = site_router_config(&setup, decoded);
        let GatewaySetup { own, peers, homes, session_field, max_outcomes_per_sender, directory, .. } = setup;
        let (confirmations, written) = mpsc::channel(MAX_CONFIRMATIONS);
        let outcome_log =
            directory.map(|directory| OutcomeLog::open(directory, own.incarnation, now, confirmations));
        let names: Vec<String> = std::iter::once(own.site.clone()).chain(peers).collect();
        let mut site_router = SiteRouter::new(config, seed, now);
        for (group, site) in homes {
            if let Some(site) = names.iter().position(|name| *name == site) {
                site_router.assume_home(group, site);
            }
        }
        GatewayPart {
            own,
            names,
            classes: decoded.class_names(),
            site_router,
            outcomes: OutcomeTable::new(max_outcomes_per_sender, QUERY_GRACE),
            peer_gateways: Vec::new(),
            links: HashMap::new(),
            forwarded: HashMap::new(),
            remote_requests: HashMap::new(),
            sent: HashMap::new(),
            written: outcome_log.is_some().then_some(written),
            outcome_log,
            arriving: HashMap::new(),
            departing: HashMap::new(),
            next_remote_id: FIRST_REMOTE_ID,
            session_field,
            ended: EndedCounts { since: now, ..EndedCounts::default() },
            draining: false,
            wake_at: now,
            announce_at: now,
        }
    }
}

/// The settings in the site router's form.
fn site_router_config(setup: &GatewaySetup, decoded: &Settings) -> SiteRouterConfig {
    SiteRouterConfig {
        classes: decoded.router_config.classes.iter().map(site_class).collect(),
        sites: 1 + setup.peers.len(),
        max_hops: setup.max_hops,
        max_credit: setup.max_credit,
        max_retry_after: decoded.router_config.max_retry_after,
    }
}

fn site_class(class: &aldermill_routing::RequestClass) -> RequestClass {
    RequestClass {
        effect: site_effect(class.effect),
        need: site_need(class.need),
        objective: class.objective,
        priority_weight: class.priority_weight,
        late_priority_weight: class.late_priority_weight,
    }
}

fn site_effect(effect: RouterEffect) -> Effect {
    match effect {
        RouterEffect::Idempotent => Effect::Idempotent,
        RouterEffect::Deduplicated { scope, window } => {
            Effect::Deduplicated { window, within_site: scope == DeduplicationScope::Zone }
        }
        RouterEffect::NonIdempotent => Effect::NonIdempotent,
    }
}

fn site_need(need: RouterNeed) -> Need {
    match need {
        RouterNeed::Write | RouterNeed::Latest | RouterNeed::OwnWrites => Need::Primary,
        RouterNeed::Recent(bound) => Need::Recent(bound),
        RouterNeed::Any => Need::Any,
    }
}
