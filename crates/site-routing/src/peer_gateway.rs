//! What is believed of one gateway at another site.

use std::collections::VecDeque;

use aldermill_statistics::{Histogram, RoundTripEstimate};

use crate::primary_search::SEARCH_HOLD;
use crate::{Micros, NEVER, RequestClass, SiteId};

/// The round trip that is assumed until one is measured, in microseconds.
pub(crate) const INITIAL_ROUND_TRIP: Micros = 50_000;
/// How long a gateway that failed is blacklisted, in microseconds.
const BLACKLIST_DURATION: Micros = 5_000_000;
/// So many failures blacklist a gateway; fewer may be one lost link.
const FAILURES_TO_BLACKLIST: usize = 5;
/// Failures older than this do not count, in microseconds.
const FAILURE_WINDOW: Micros = 10_000_000;
/// How many durations of a class are remembered before older ones lose weight.
const MAX_DURATION_SAMPLES: u32 = 128;
/// A class is assumed to take this part of its latency objective until durations are measured.
const ASSUMED_PART_OF_OBJECTIVE: Micros = 8;
/// How many measured durations the assumption weighs as much as.
const ASSUMED_SAMPLES: u32 = 4;
/// How many requests a gateway must have served before its durations are believed.
const MIN_SERVED: u32 = 16;
/// The shortest time that a request is taken to run at the other site, in microseconds, so that the division stays sound.
const MIN_SERVICE_TIME: Micros = 1_000;

/// What is believed of a gateway, for people.
#[derive(Clone, Debug, Default)]
pub struct PeerGatewayView {
    /// The mean round trip, in microseconds.
    pub round_trip: Micros,
    /// How many requests it takes at once, by class.
    pub credits: Vec<u32>,
    /// It announced that it drains.
    pub draining: bool,
    /// It failed of late and is avoided.
    pub blacklisted: bool,
    /// Requests in flight there.
    pub in_flight: usize,
}

/// A gateway at another site.
#[derive(Debug)]
pub(crate) struct PeerGateway {
    pub(crate) site: SiteId,
    links: usize,
    last_link_lost_at: Micros,
    round_trip: RoundTripEstimate,
    /// How many requests it takes at once, by class, as it announced.
    credits: Vec<u32>,
    draining: bool,
    blacklist: FailureBlacklist,
    /// From when a request was sent until its response came, by class.
    durations: Vec<Histogram>,
    served: u32,
}

impl PeerGateway {
    pub(crate) fn new(site: SiteId, classes: &[RequestClass]) -> PeerGateway {
        let assumed = |class: &RequestClass| {
            Histogram::from_estimate(class.objective / ASSUMED_PART_OF_OBJECTIVE, ASSUMED_SAMPLES)
        };
        PeerGateway {
            site,
            links: 0,
            last_link_lost_at: NEVER,
            round_trip: RoundTripEstimate::with_initial_mean(INITIAL_ROUND_TRIP),
            credits: vec![0; classes.len()],
            draining: false,
            blacklist: FailureBlacklist::default(),
            durations: classes.iter().map(assumed).collect(),
            served: 0,
        }
    }

    // ---- What is heard of it.

    pub(crate) fn set_links(&mut self, now: Micros, links: usize) {
        if self.links > 0 && links == 0 {
            self.last_link_lost_at = now;
        }
        self.links = links;
    }

    /// Its process has restarted: the new one has not announced that it drains.
    pub(crate) fn restarted(&mut self) {
        self.draining = false;
    }

    /// What it offered no longer holds, as no link leads there.
    pub(crate) fn withdraw_credits(&mut self) {
        self.credits.fill(0);
    }

    pub(crate) fn announced(&mut self, credits: Vec<u32>, draining: bool) {
        self.credits = credits;
        self.draining = draining;
    }

    pub(crate) fn record_round_trip(&mut self, round_trip: Micros) {
        self.round_trip.record(round_trip);
    }

    /// It served a request. `duration` is missing where this process stalled meanwhile, so that nothing was measured.
    pub(crate) fn record_served(&mut self, class: usize, duration: Option<Micros>) {
        if let Some(duration) = duration {
            self.durations[class].add(duration, MAX_DURATION_SAMPLES);
        }
        self.served = self.served.saturating_add(1);
        self.blacklist.forget_failures();
    }

    /// A request that it was sent was lost, or may have run and failed.
    pub(crate) fn record_failure(&mut self, now: Micros) {
        self.blacklist.record_failure(now);
    }

    // ---- What follows for requests.

    pub(crate) fn is_linked(&self) -> bool {
        self.links > 0
    }

    /// Whether it can be sent requests at all.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_linked() && !self.draining
    }

    pub(crate) fn is_blacklisted(&self, now: Micros) -> bool {
        self.blacklist.is_in_force(now)
    }

    /// Whether none of the three reasons to avoid it holds: no link, its announcement that it drains, recent failures.
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.accepts_requests() && !self.is_blacklisted(now)
    }

    /// Whether its last link was lost so recently that it is expected back.
    pub(crate) fn is_expected_back(&self, now: Micros) -> bool {
        !self.draining && now - self.last_link_lost_at < SEARCH_HOLD
    }

    pub(crate) fn round_trip(&self) -> Micros {
        self.round_trip.mean()
    }

    /// One way to it, with a margin, in microseconds.
    pub(crate) fn one_way_delay(&self) -> Micros {
        self.round_trip.one_way_delay()
    }

    /// How long a request of that class usually takes from here, in microseconds.
    pub(crate) fn expected_duration(&self, class: usize) -> Micros {
        self.median_duration(class).max(self.round_trip.mean())
    }

    /// How many requests of a class may be in flight from here, so that as many run there as it offers.
    ///
    /// On a long line most requests are on the way at any time. If each of them used up credit, throughput would be the
    /// credit per round trip, however little the other site has to do. The cost: what is on the way can arrive at once, and
    /// the other gateway then rejects what it cannot take, and offers less.
    pub(crate) fn concurrency_limit(&self, class: usize, max: u32) -> usize {
        let credit = self.credits.get(class).copied().unwrap_or(0);
        if self.served < MIN_SERVED || credit == 0 {
            return credit as usize;
        }
        let total = self.median_duration(class);
        let service_time = (total - self.round_trip.mean()).max(MIN_SERVICE_TIME);
        let stretch = (total.max(service_time) as f64 / service_time as f64).max(1.0);
        let stretched = (f64::from(credit) * stretch) as usize;
        stretched.min(max as usize).max(credit as usize)
    }

    pub(crate) fn view(&self, now: Micros, in_flight: usize) -> PeerGatewayView {
        PeerGatewayView {
            round_trip: self.round_trip.mean(),
            credits: self.credits.clone(),
            draining: self.draining,
            blacklisted: self.is_blacklisted(now),
            in_flight,
        }
    }

    fn median_duration(&self, class: usize) -> Micros {
        self.durations[class].quantile(0.5).unwrap_or(0)
    }
}

/// Avoids a gateway for a while that failed several times in a row.
///
/// Without it a gateway that loses requests, or whose links break all the time, would be sent more of them. The cost: one
/// whose link broke once under many requests is avoided as well, unless it is the only one of its site.
#[derive(Debug)]
struct FailureBlacklist {
    /// When the last failures happened, the oldest first.
    failures: VecDeque<Micros>,
    until: Micros,
}

impl Default for FailureBlacklist {
    fn default() -> FailureBlacklist {
        FailureBlacklist { failures: VecDeque::new(), until: NEVER }
    }
}

impl FailureBlacklist {
    fn record_failure(&mut self, now: Micros) {
        self.failures.push_back(now);
        self.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if self.failures.len() >= FAILURES_TO_BLACKLIST {
            self.until = now + BLACKLIST_DURATION;
            self.failures.clear();
        }
    }

    fn forget_failures(&mut self) {
        self.failures.clear();
    }

    fn is_in_force(&self, now: Micros) -> bool {
        now < self.until
    }
}
