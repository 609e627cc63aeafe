//! The site router: accepts requests, reports its state, and holds everything that its decisions depend on.

use aldermill_site_drain::{OpenWork, Plan};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::forwarded_requests::ForwardedRequests;
use crate::home_sites::HomeSites;
use crate::link_credit::LinkCredit;
use crate::peer_gateway::INITIAL_ROUND_TRIP;
use crate::peer_gateways::PeerGateways;
use crate::pending_requests::{PendingRequest, PendingRequests, WaitQueue};
use crate::primary_search::PrimarySearch;
use crate::session_assignment::SessionAssignments;
use crate::{
    Action, Actions, ForwardNumber, LOCAL_SITE, Micros, NEVER, OpenWorkBySite, PeerGatewayId,
    PeerGatewayView, Request, RequestClass, RequestHandle, SiteId, SiteRouterConfig,
};

mod completion;
mod link_events;
mod local_events;
mod periodic;
mod placement;

/// The believed home site of one group, for status output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeView {
    /// The group.
    pub group: u64,
    /// The site that is believed to have the group's primary; `None` if unknown.
    pub home: Option<SiteId>,
    /// The number of ready members of the group at the local site.
    pub local_members: usize,
}

/// The capacity that this gateway offers to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOffer {
    /// The number of requests that the other gateway may have in flight here, by class.
    pub credits: Vec<u32>,
    /// The groups that have members at the local site, each with whether the site has its primary.
    pub groups: Vec<(u64, bool)>,
}

/// Decides, for one gateway, at which site each request is served.
///
/// A request is accepted and a site is chosen for it; it is handed to the local router or forwarded to a
/// gateway of that site. The answer updates what is known about the site and the gateway, and the request is
/// then answered, placed again or rejected. While no site can take it, the request waits in a queue.
#[derive(Debug)]
pub struct SiteRouter {
    config: SiteRouterConfig,
    rng: Pcg64Mcg,
    gateways: PeerGateways,
    homes: HomeSites,
    search: PrimarySearch,
    sessions: SessionAssignments,
    pending: PendingRequests,
    queue: WaitQueue,
    forwarded: ForwardedRequests,
    link_credit: LinkCredit,
    next_tick: Micros,
    /// When the last stall of this process ended; [`NEVER`] before the first one.
    last_stall_ended_at: Micros,
    /// The actions collected for the caller during the current call.
    actions: Actions,
}

impl SiteRouter {
    /// Creates a router without links and groups. The same `seed` and the same calls lead to the same
    /// choices.
    pub fn new(config: SiteRouterConfig, seed: u64, now: Micros) -> SiteRouter {
        SiteRouter {
            rng: Pcg64Mcg::seed_from_u64(seed),
            gateways: PeerGateways::default(),
            homes: HomeSites::default(),
            search: PrimarySearch::default(),
            sessions: SessionAssignments::default(),
            pending: PendingRequests::default(),
            queue: WaitQueue::default(),
            forwarded: ForwardedRequests::default(),
            link_credit: LinkCredit::new(&config.classes, config.max_credit),
            next_tick: now,
            last_stall_ended_at: NEVER,
            actions: Actions::default(),
            config,
        }
    }

    /// Accepts a request of a client or of another gateway, and places it.
    pub fn accept(&mut self, now: Micros, request: Request) -> (RequestHandle, Actions) {
        let class = *self.class_of(&request);
        let pending = PendingRequest::new(now, request, &class);
        let handle = self.pending.insert(pending);
        self.place(now, handle);
        (handle, self.take_actions())
    }

    /// Drops a request whose requester no longer waits for it. A gateway that it was forwarded to is told to
    /// cancel it.
    pub fn abandon(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        self.cancel_if_forwarded(handle);
        self.close(handle);
        self.place_queued(now);
        self.take_actions()
    }

    /// Replaces the plans for draining sites by the fleet's current ones. `site_names` holds the name of
    /// every site, by its index.
    pub fn assign_sessions(&mut self, now: Micros, site_names: &[String], plans: Vec<Plan>) -> Actions {
        self.sessions = SessionAssignments::new(site_names, plans);
        self.place_queued(now);
        self.take_actions()
    }

    /// Records that a stall of this process ended at `now`. Requests that were in flight during the stall are
    /// not used to judge other gateways: neither their durations nor their loss count.
    ///
    /// Otherwise a stall of this process would blacklist gateways at other sites. The cost: a gateway that
    /// does lose requests at that moment is detected only by requests that are sent later.
    pub fn stall_ended(&mut self, now: Micros) {
        self.last_stall_ended_at = now;
    }

    /// Returns the work that this gateway still has in progress at each draining site. For the local site
    /// this is the part of its sessions that it still has, the requests at the local router, the groups that
    /// have their primary there, and `outcomes`; for another site, the requests that were forwarded there.
    ///
    /// `outcomes` is the number of outcomes in the caller's [`OutcomeTable`](crate::OutcomeTable) or in
    /// transit from or to the disk.
    pub fn open_work(&self, outcomes: u64) -> OpenWorkBySite {
        let draining = self.sessions.draining_sites();
        let open = |site: SiteId, weight: u32| match site {
            LOCAL_SITE => self.local_open_work(weight, outcomes),
            site => self.remote_open_work(site),
        };
        draining.map(|(site, name, weight)| (name.to_owned(), open(site, weight))).collect()
    }

    fn local_open_work(&self, weight: u32, outcomes: u64) -> OpenWork {
        let primaries = self.homes.groups().filter(|&group| self.homes.home(group) == Some(LOCAL_SITE));
        OpenWork {
            sessions: weight.into(),
            requests: self.pending.count_local() as u64,
            outcomes,
            primaries: primaries.count() as u64,
        }
    }

    fn remote_open_work(&self, site: SiteId) -> OpenWork {
        let forwarded: usize =
            self.gateways.ids_at(site).map(|gateway| self.forwarded.open_at(gateway).len()).sum();
        OpenWork { requests: forwarded as u64, ..OpenWork::default() }
    }

    /// Returns the handle of the request that was forwarded under `number`; `None` once the number is closed.
    pub fn handle_by_forward_number(&self, number: ForwardNumber) -> Option<RequestHandle> {
        self.forwarded.get(number).map(|request| request.handle)
    }

    /// Whether the group is known from the endpoint list, an answer, an announcement or the configuration.
    pub fn knows_group(&self, group: u64) -> bool {
        self.homes.knows(group)
    }

    /// Returns the one-way delay to a gateway, with a margin, in microseconds; the assumed initial round trip
    /// if it has not greeted yet.
    pub fn one_way_delay(&self, gateway: PeerGatewayId) -> Micros {
        self.gateways.get(gateway).map_or(INITIAL_ROUND_TRIP, |gateway| gateway.one_way_delay())
    }

    /// Returns what is known about a gateway, for status output and reports; the default value if it has not
    /// greeted yet.
    pub fn gateway_view(&self, now: Micros, gateway: PeerGatewayId) -> PeerGatewayView {
        let in_flight = self.forwarded.open_at(gateway).len();
        self.gateways.get(gateway).map_or_else(PeerGatewayView::default, |known| known.view(now, in_flight))
    }

    /// Returns the believed home of each known group, in ascending order of group numbers.
    pub fn home_sites(&self) -> Vec<HomeView> {
        let homes = &self.homes;
        let view =
            |group| HomeView { group, home: homes.home(group), local_members: homes.local_members(group) };
        homes.groups().map(view).collect()
    }

    /// Sets a group's home to the site where an answer showed its primary. Returns whether the home has
    /// changed.
    fn confirm_home(&mut self, now: Micros, group: u64, site: SiteId) -> bool {
        let moved = self.homes.confirm(now, group, site);
        if moved {
            self.search.end_backoff(now, group);
        }
        moved
    }

    fn class_of(&self, request: &Request) -> &RequestClass {
        &self.config.classes[request.class]
    }

    fn push_action(&mut self, handle: RequestHandle, action: Action) {
        self.actions.requests.push((handle, action));
    }

    fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_tick);
        std::mem::take(&mut self.actions)
    }
}
