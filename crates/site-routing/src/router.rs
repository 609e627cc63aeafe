//! The router between sites: accepts requests, answers questions about its state, and holds all that it decides by.

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
mod local;
mod periodic;
mod placement;

/// Where one group's primary is believed to be, for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeView {
    /// The group.
    pub group: u64,
    /// The site that is believed to have its primary.
    pub home: Option<SiteId>,
    /// How many ready members of it this site has.
    pub local_members: usize,
}

/// What this gateway offers to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOffer {
    /// How many requests it takes at once, by class.
    pub credits: Vec<u32>,
    /// The groups that have members at this site, each with whether it has the primary.
    pub groups: Vec<(u64, bool)>,
}

/// Decides, for one gateway, at which site each request is served.
///
/// The ordinary path of a request: it is accepted, a site is chosen, it is handed to the local router or forwarded to a
/// gateway of that site, the answer teaches something about site and gateway, and the request is answered, placed again, or
/// given up. It waits while no site can take it.
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
    /// When the last stall of this process ended.
    last_stall_ended_at: Micros,
    /// What the caller will be told to do when the present call returns.
    actions: Actions,
}

impl SiteRouter {
    /// A router without links and groups. The same `seed` and calls give the same choices.
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

    /// Accepts a request of a client, or of another gateway.
    pub fn accept(&mut self, now: Micros, request: Request) -> (RequestHandle, Actions) {
        let class = *self.class_of(&request);
        let pending = PendingRequest::new(now, request, &class);
        let handle = self.pending.insert(pending);
        self.place(now, handle);
        (handle, self.take_actions())
    }

    /// The requester no longer waits for the request.
    pub fn abandon(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        self.cancel_if_forwarded(handle);
        self.close(handle);
        self.place_queued(now);
        self.take_actions()
    }

    /// Takes over the fleet's plans for draining sites; `names` are all sites', by their index.
    pub fn assign_sessions(&mut self, now: Micros, names: &[String], plans: Vec<Plan>) -> Actions {
        self.sessions = SessionAssignments::new(names, plans);
        self.place_queued(now);
        self.take_actions()
    }

    /// The process stalled until now. Requests that were in flight meanwhile say nothing about other gateways: neither how
    /// long they take nor that they lose requests.
    ///
    /// Without it a stall here would blacklist gateways at other sites. The cost: one that really loses requests at that
    /// moment is found out by those that are sent after it.
    pub fn stall_ended(&mut self, now: Micros) {
        self.last_stall_ended_at = now;
    }

    /// What this gateway still has in progress at each draining site: at its own, what the local router has and which groups
    /// have their primary there; at others, what was forwarded there. `outcomes` are those in the caller's
    /// [`OutcomeTable`](crate::OutcomeTable) and on their way from or to the disk.
    pub fn open_work(&self, outcomes: u64) -> OpenWorkBySite {
        let draining = self.sessions.draining_sites();
        let open = |site: SiteId, weight: u32| match site {
            LOCAL_SITE => self.open_work_here(weight, outcomes),
            site => self.open_work_at(site),
        };
        draining.map(|(site, name, weight)| (name.to_owned(), open(site, weight))).collect()
    }

    fn open_work_here(&self, weight: u32, outcomes: u64) -> OpenWork {
        let primaries = self.homes.groups().filter(|&group| self.homes.home(group) == Some(LOCAL_SITE));
        OpenWork {
            sessions: weight.into(),
            requests: self.pending.count_local() as u64,
            outcomes,
            primaries: primaries.count() as u64,
        }
    }

    fn open_work_at(&self, site: SiteId) -> OpenWork {
        let forwarded: usize =
            self.gateways.ids_at(site).map(|gateway| self.forwarded.open_at(gateway).len()).sum();
        OpenWork { requests: forwarded as u64, ..OpenWork::default() }
    }

    /// The request that was forwarded under this number, if it is not closed.
    pub fn forwarded_as(&self, number: ForwardNumber) -> Option<RequestHandle> {
        self.forwarded.get(number).map(|request| request.handle)
    }

    /// Whether any site is known to have the group.
    pub fn knows_group(&self, group: u64) -> bool {
        self.homes.knows(group)
    }

    /// One way to a gateway, with a margin, in microseconds.
    pub fn one_way_delay(&self, gateway: PeerGatewayId) -> Micros {
        self.gateways.get(gateway).map_or(INITIAL_ROUND_TRIP, |gateway| gateway.one_way_delay())
    }

    /// What is believed of a gateway, for people.
    pub fn gateway_view(&self, now: Micros, gateway: PeerGatewayId) -> PeerGatewayView {
        let in_flight = self.forwarded.open_at(gateway).len();
        self.gateways.get(gateway).map_or_else(PeerGatewayView::default, |known| known.view(now, in_flight))
    }

    /// Each known group with its believed home, in ascending order.
    pub fn home_sites(&self) -> Vec<HomeView> {
        let homes = &self.homes;
        let view =
            |group| HomeView { group, home: homes.home(group), local_members: homes.local_members(group) };
        homes.groups().map(view).collect()
    }

    /// An answer showed a group's primary at that site. Returns whether its home has changed.
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

    fn act(&mut self, handle: RequestHandle, action: Action) {
        self.actions.requests.push((handle, action));
    }

    fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_tick);
        std::mem::take(&mut self.actions)
    }
}
