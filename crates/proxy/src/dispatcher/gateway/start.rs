//! Construction of the gateway part from the settings and the operator's configuration file.

use std::collections::HashMap;
use std::rc::Rc;

use aldermill_routing::{DeduplicationScope, Effect as RouterEffect, Micros, Need as RouterNeed};
use aldermill_settings::Settings;
use aldermill_site_link::Identity;
use aldermill_site_routing::{
    AnnouncementTimes, Effect, Need, OutcomeTable, RequestClass, SiteRouter, SiteRouterConfig,
};
use tokio::sync::mpsc;

use super::{EndedRequestCounts, GatewayPart, QUERY_GRACE};
use crate::dispatcher::outcome_log::OutcomeLog;
use crate::messages::ClientRequestId;
use crate::persistence::DataDirectory;

/// Base of the request IDs of remote requests. They are all greater than this number, which keeps them apart
/// from the IDs of requests that clients send directly.
const REMOTE_REQUEST_ID_BASE: ClientRequestId = 1 << 63;
/// Maximum number of write confirmations that wait for the dispatcher. It is greater than the number of writes
/// that may wait for the disk, as a confirmation that does not fit is lost.
const CONFIRMATION_QUEUE_CAPACITY: usize = 2048;

/// Parameters of a new gateway part.
pub struct GatewaySetup {
    /// Site, instance and incarnation of this gateway.
    pub identity: Identity,
    /// Names of the other sites.
    pub peers: Vec<String>,
    /// Groups, each with the name of the site that is assumed to have its primary.
    pub homes: Vec<(u64, String)>,
    /// Maximum number of links that a request is forwarded over, from its origin to the site that serves it.
    pub max_hops: usize,
    /// Maximum number of requests of one class that another gateway may have in flight at this one.
    pub max_credit: u32,
    /// Field of a statement's comment that names the session; `None` if sessions are not named.
    pub session_field: Option<String>,
    /// Maximum number of outcomes that are kept in memory for one sender.
    pub max_outcomes_per_sender: usize,
    /// Data directory for outcomes that survive a restart; `None` if outcomes are kept in memory only.
    pub directory: Option<Rc<DataDirectory>>,
}

impl GatewayPart {
    /// Creates a gateway part without links. `seed` determines the site router's random choices, and `now` is in
    /// microseconds on the router's clock.
    pub fn new(setup: GatewaySetup, settings: &Settings, seed: u64, now: Micros) -> GatewayPart {
        let config = site_router_config(&setup, settings);
        let GatewaySetup {
            identity, peers, homes, session_field, max_outcomes_per_sender, directory, ..
        } = setup;
        let (confirmation_sender, write_confirmations) = mpsc::channel(CONFIRMATION_QUEUE_CAPACITY);
        let outcome_log = directory
            .map(|directory| OutcomeLog::open(directory, identity.incarnation, now, confirmation_sender));
        let site_names: Vec<String> = std::iter::once(identity.site.clone()).chain(peers).collect();
        let mut site_router = SiteRouter::new(config, seed, now);
        for (group, site) in homes {
            if let Some(site) = site_names.iter().position(|name| *name == site) {
                site_router.assume_home(group, site);
            }
        }
        GatewayPart {
            identity,
            site_names,
            class_names: settings.class_names(),
            site_router,
            announcement_times: AnnouncementTimes::default(),
            outcomes: OutcomeTable::new(max_outcomes_per_sender, QUERY_GRACE),
            peer_gateways: Vec::new(),
            links: HashMap::new(),
            pending_requests: HashMap::new(),
            remote_requests: HashMap::new(),
            sent_requests: HashMap::new(),
            write_confirmations: outcome_log.is_some().then_some(write_confirmations),
            outcome_log,
            waiting_requests: HashMap::new(),
            waiting_responses: HashMap::new(),
            last_remote_request_id: REMOTE_REQUEST_ID_BASE,
            session_field,
            ended_counts: EndedRequestCounts { since: now, ..EndedRequestCounts::default() },
            draining: false,
            wake_at: now,
            next_announcement_at: now,
        }
    }
}

/// Converts the settings to the configuration of the site router.
fn site_router_config(setup: &GatewaySetup, settings: &Settings) -> SiteRouterConfig {
    SiteRouterConfig {
        classes: settings.router_config.classes.iter().map(convert_class).collect(),
        sites: 1 + setup.peers.len(),
        max_hops: setup.max_hops,
        max_credit: setup.max_credit,
        max_retry_after: settings.router_config.max_retry_after,
        duplicate_attempts_allowed: settings.duplicate_attempts_allowed,
    }
}

fn convert_class(class: &aldermill_routing::RequestClass) -> RequestClass {
    RequestClass {
        effect: convert_effect(class.effect),
        need: convert_need(class.need),
        objective: class.objective,
        priority_weight: class.priority_weight,
        late_priority_weight: class.late_priority_weight,
    }
}

fn convert_effect(effect: RouterEffect) -> Effect {
    match effect {
        RouterEffect::Idempotent => Effect::Idempotent,
        RouterEffect::Deduplicated { scope, window } => {
            Effect::Deduplicated { window, within_site: scope == DeduplicationScope::Zone }
        }
        RouterEffect::NonIdempotent => Effect::NonIdempotent,
    }
}

fn convert_need(need: RouterNeed) -> Need {
    match need {
        RouterNeed::Write | RouterNeed::Latest | RouterNeed::OwnWrites => Need::Primary,
        RouterNeed::Recent(bound) => Need::Recent(bound),
        RouterNeed::Any => Need::Any,
    }
}
