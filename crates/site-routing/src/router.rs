//! Every decision on sites.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_site_drain::{Open, Plan};
use aldermill_statistics::{Histogram, Trip};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::forwarded_requests::{Conclusion, ForwardState, ForwardedRequests};
use crate::home_sites::HomeSites;
use crate::link_credit::LinkCredit;
use crate::session_assignment::{OpenWork, SessionAssignments};
use crate::{
    Action, Actions, Effect, LOCAL_SITE, LocalResult, Micros, Need, Outcome, PeerAnswer, PeerGatewayId,
    Request, RequestClass, SiteId, SiteRouterConfig,
};

mod completion;
mod link_events;
mod placement;

const MS: Micros = 1_000;
const BEAT: Micros = 20 * MS;
/// Of a write after a round of 'not here', as the router holds one after a round of misses.
const HOLD: Micros = 500 * MS;
const BLACKLISTED_FOR: Micros = 5_000 * MS;
const FAILURES: usize = 5;
const FAILURE_WINDOW: Micros = 10_000 * MS;
/// An unsettled crossing is asked about again after so long without an answer.
const ASK_AGAIN: Micros = 500 * MS;
/// Until a link's round trip is measured.
const TRIP: Micros = 50 * MS;
const KEEP: u32 = 128;
/// Served requests after which a gateway's times are believed.
const ENOUGH: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHandle(u64);

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    deadline: Micros,
    objective_at: Micros,
    /// With the own site's module.
    here: bool,
    /// Misses that it met here in this round.
    misses: usize,
    /// Crossed under this number, and not settled.
    out: Option<u64>,
    /// SiteRouter that answered 'not here' in this round.
    tried: Vec<SiteId>,
    /// When it may first have run, and at which site.
    may_have_run: Option<(Micros, SiteId)>,
    crossed: u32,
}

/// Another gateway.
#[derive(Debug)]
struct PeerGateway {
    site: SiteId,
    links: usize,
    /// When its last link went.
    lost: Micros,
    trip: Trip,
    credits: Vec<u32>,
    draining: bool,
    blacklisted_until: Micros,
    failures: VecDeque<Micros>,
    took: Vec<Histogram>,
    /// Requests that it served, as far as they tell more than the first guess.
    served: u32,
}

impl PeerGateway {
    /// How many requests may be out so that those under way there are as many as it offers: on a long line
    /// most of them are on the way at any time. Protects throughput over long lines from windows meant for
    /// work. Harms the other side with a burst when what was on the way comes at once; what it cannot take it
    /// rejects, and offers less.
    fn may_be_out(&self, class: usize, most: u32) -> usize {
        let credit = self.credits.get(class).copied().unwrap_or(0);
        let total = self.took[class].quantile(0.5).unwrap_or(0);
        if self.served < ENOUGH || credit == 0 {
            return credit as usize;
        }
        let there = (total - self.trip.mean()).max(MS);
        let stretch = (total.max(there) as f64 / there as f64).max(1.0);
        ((f64::from(credit) * stretch) as usize).min(most as usize).max(credit as usize)
    }
}

/// What is believed of a gateway, for people.
#[derive(Clone, Debug, Default)]
pub struct PeerGatewayView {
    pub round_trip: Micros,
    pub credits: Vec<u32>,
    pub draining: bool,
    pub blacklisted: bool,
    /// Requests under way there.
    pub in_flight: usize,
}

/// The decisions of one gateway on which site a request goes to.
#[derive(Debug)]
pub struct SiteRouter {
    terms: SiteRouterConfig,
    rng: Pcg64Mcg,
    gateways: BTreeMap<PeerGatewayId, PeerGateway>,
    homes: HomeSites,
    bound: SessionAssignments,
    pending_requests: HashMap<RequestHandle, PendingRequest>,
    next: u64,
    crossings: ForwardedRequests<RequestHandle>,
    link_credit: LinkCredit,
    /// Requests that wait, in the order in which they came.
    held: Vec<RequestHandle>,
    next_beat: Micros,
    /// When the last standstill of this process ended.
    woke: Micros,
    actions: Actions,
}

impl SiteRouter {
    pub fn start(terms: SiteRouterConfig, seed: u64, now: Micros) -> SiteRouter {
        SiteRouter {
            rng: Pcg64Mcg::seed_from_u64(seed),
            gateways: BTreeMap::new(),
            homes: HomeSites::default(),
            bound: SessionAssignments::default(),
            pending_requests: HashMap::new(),
            next: 0,
            crossings: ForwardedRequests::default(),
            link_credit: LinkCredit::start(&terms.classes, terms.max_credit),
            held: Vec::new(),
            next_beat: now,
            woke: Micros::MIN / 2,
            actions: Actions::default(),
            terms,
        }
    }

    /// A request of a client, or one that came over a link.
    pub fn accept(&mut self, now: Micros, request: Request) -> (RequestHandle, Actions) {
        let handle = RequestHandle(self.next);
        self.next += 1;
        let (deadline, objective_at) = (now + request.timeout, now + self.class(&request).objective);
        let pending = PendingRequest {
            request,
            deadline,
            objective_at,
            here: false,
            misses: 0,
            out: None,
            tried: Vec::new(),
            may_have_run: None,
            crossed: 0,
        };
        self.pending_requests.insert(handle, pending);
        self.place(now, handle);
        (handle, self.take_actions())
    }

    /// An attempt of it here was answered 'miss': that member is not the primary.
    pub fn local_not_primary(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        self.here_missed(now, handle);
        self.take_actions()
    }

    /// An attempt of it here, that began at that time, may have run.
    pub fn local_may_have_run(&mut self, handle: RequestHandle, began: Micros) {
        if let Some(pending) = self.pending_requests.get_mut(&handle).filter(|pending| pending.here) {
            pending.may_have_run.get_or_insert((began, LOCAL_SITE));
        }
    }

    /// The own site's module is done with it.
    pub fn local_finished(&mut self, now: Micros, handle: RequestHandle, result: LocalResult) -> Actions {
        self.here_ended(now, handle, result);
        self.take_actions()
    }

    /// Nobody waits for it any more.
    pub fn abandon(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        if let Some(pending) = self.pending_requests.get(&handle)
            && let Some(number) = pending.out
            && let Some(sent) = self.crossings.get(number)
        {
            self.actions.requests.push((handle, Action::Cancel { gateway: sent.gateway, number }));
        }
        self.close(handle);
        self.pump_all(now);
        self.take_actions()
    }

    /// What the fleet decided of sites that retire; `names` are all sites', by their index.
    pub fn assign_sessions(&mut self, now: Micros, names: &[String], plans: Vec<Plan>) -> Actions {
        self.bound = SessionAssignments::of(names, plans);
        self.pump_all(now);
        self.take_actions()
    }

    /// What is under way at each site that retires, as far as this gateway has part in it: what its own module has of it and
    /// which groups have their primary there, or what crossed to there. `fates` are those open in the receiver's book.
    pub fn open_work(&self, fates: u64) -> OpenWork {
        let here = self.pending_requests.values().filter(|pending| pending.here).count() as u64;
        let groups =
            self.homes.known().filter(|&group| self.homes.home(group) == Some(LOCAL_SITE)).count() as u64;
        let open = |site: SiteId, weight: u32| {
            if site == LOCAL_SITE {
                return Open { sessions: weight.into(), requests: here, fates, groups };
            }
            let gateways = self.gateways.iter().filter(|(_, gateway)| gateway.site == site);
            let out: usize = gateways.map(|(&id, _)| self.crossings.open_at(id).len()).sum();
            Open { requests: out as u64, ..Open::default() }
        };
        self.bound.retiring().map(|(site, name, weight)| (name.to_owned(), open(site, weight))).collect()
    }

    pub fn is_open(&self, handle: RequestHandle) -> bool {
        self.pending_requests.contains_key(&handle)
    }

    /// The request that crossed under this number, if it is not closed.
    pub fn forwarded_as(&self, number: u64) -> Option<RequestHandle> {
        self.crossings.get(number).map(|sent| sent.handle)
    }

    pub fn knows_group(&self, group: u64) -> bool {
        self.homes.known().any(|known| known == group)
    }

    /// One way to a gateway, with a margin.
    pub fn one_way_delay(&self, id: PeerGatewayId) -> Micros {
        self.gateways.get(&id).map_or(TRIP, |gateway| gateway.trip.one_way())
    }

    pub fn gateway_view(&self, now: Micros, id: PeerGatewayId) -> PeerGatewayView {
        let Some(gateway) = self.gateways.get(&id) else { return PeerGatewayView::default() };
        PeerGatewayView {
            round_trip: gateway.trip.mean(),
            credits: gateway.credits.clone(),
            draining: gateway.draining,
            blacklisted: now < gateway.blacklisted_until,
            in_flight: self.crossings.open_at(id).len(),
        }
    }

    /// This process stood still until now. What was out meanwhile says nothing of other gateways: neither how long
    /// they take nor that they lose requests.
    ///
    /// Protects gateways from a blacklist for what fell into a standstill here. Harms requests by a gateway
    /// that loses them at that moment: it is found out by those sent after it.
    pub fn stalled_until(&mut self, now: Micros) {
        self.woke = now;
    }

    /// Each group, where its primary is believed to be, and how many members it has here.
    pub fn home_sites(&self) -> Vec<(u64, Option<SiteId>, usize)> {
        let homes = &self.homes;
        homes.known().map(|group| (group, homes.home(group), homes.here(group))).collect()
    }
}
