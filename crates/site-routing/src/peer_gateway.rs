//! State of one gateway at another site: links, round trip, credits, latency and recent failures.

use std::collections::VecDeque;

use aldermill_statistics::{Histogram, RoundTripEstimate};

use crate::primary_search::SEARCH_BACKOFF;
use crate::{Micros, NEVER, RequestClass, SiteId};

/// Round trip assumed until one is measured, in microseconds.
pub(crate) const INITIAL_ROUND_TRIP: Micros = 50_000;
/// How long a failing gateway stays blacklisted, in microseconds.
const BLACKLIST_DURATION: Micros = 5_000_000;
/// Number of failures within [`FAILURE_WINDOW`] that blacklist a gateway; fewer may be due to a single lost link.
const BLACKLIST_FAILURE_THRESHOLD: usize = 5;
/// Age in microseconds beyond which a failure no longer counts.
const FAILURE_WINDOW: Micros = 10_000_000;
/// Number of recorded durations per class at which older ones start to lose weight.
const MAX_DURATION_SAMPLES: u32 = 128;
/// Until durations are measured, requests of a class are assumed to take its latency objective divided by this.
const ASSUMED_OBJECTIVE_DIVISOR: Micros = 8;
/// Weight of the assumed duration, in measured durations.
const ASSUMED_SAMPLES: u32 = 4;
/// Number of requests that a gateway must have served before its measured durations affect its concurrency limit.
const MIN_SERVED: u32 = 16;
/// Lower bound of the estimated service time at the other site, in microseconds. Keeps the divisor in
/// [`PeerGateway::concurrency_limit`] positive.
const MIN_SERVICE_TIME: Micros = 1_000;

/// State of a peer gateway for status output.
#[derive(Clone, Debug, Default)]
pub struct PeerGatewayView {
    /// Mean round trip, in microseconds.
    pub round_trip: Micros,
    /// Number of concurrent requests that the gateway accepts, by class index.
    pub credits: Vec<u32>,
    /// Whether the gateway announced that it is draining.
    pub draining: bool,
    /// Whether the gateway is avoided because of recent failures.
    pub blacklisted: bool,
    /// Number of requests forwarded to the gateway whose outcome is not known yet.
    pub in_flight: usize,
}

/// A gateway at another site.
#[derive(Debug)]
pub(crate) struct PeerGateway {
    pub(crate) site: SiteId,
    link_count: usize,
    last_link_lost_at: Micros,
    round_trip: RoundTripEstimate,
    /// Announced number of concurrent requests, by class index; all zero while there is no link.
    credits: Vec<u32>,
    draining: bool,
    /// Whether the gateway announced that it takes into account how old the first attempt of a request is.
    reads_attempt_ages: bool,
    blacklist: FailureBlacklist,
    /// Time from sending a request until its response arrived, by class index.
    durations: Vec<Histogram>,
    served: u32,
}

impl PeerGateway {
    pub(crate) fn new(site: SiteId, classes: &[RequestClass]) -> PeerGateway {
        let assumed = |class: &RequestClass| {
            Histogram::from_estimate(class.objective / ASSUMED_OBJECTIVE_DIVISOR, ASSUMED_SAMPLES)
        };
        PeerGateway {
            site,
            link_count: 0,
            last_link_lost_at: NEVER,
            round_trip: RoundTripEstimate::with_initial_mean(INITIAL_ROUND_TRIP),
            credits: vec![0; classes.len()],
            draining: false,
            reads_attempt_ages: false,
            blacklist: FailureBlacklist::default(),
            durations: classes.iter().map(assumed).collect(),
            served: 0,
        }
    }

    // ---- Updates from links, announcements and answers.

    pub(crate) fn set_link_count(&mut self, now: Micros, link_count: usize) {
        if self.link_count > 0 && link_count == 0 {
            self.last_link_lost_at = now;
        }
        self.link_count = link_count;
    }

    /// Handles a restart of the gateway's process: the new process has not announced anything yet, and may be of
    /// another version.
    pub(crate) fn process_restarted(&mut self) {
        self.draining = false;
        self.reads_attempt_ages = false;
    }

    pub(crate) fn set_reads_attempt_ages(&mut self, reads_attempt_ages: bool) {
        self.reads_attempt_ages = reads_attempt_ages;
    }

    /// Sets all credits to zero, because no link to the gateway is left.
    pub(crate) fn clear_credits(&mut self) {
        self.credits.fill(0);
    }

    pub(crate) fn apply_announcement(&mut self, credits: Vec<u32>, draining: bool) {
        self.credits = credits;
        self.draining = draining;
    }

    pub(crate) fn record_round_trip(&mut self, round_trip: Micros) {
        self.round_trip.record(round_trip);
    }

    /// Records that the gateway served a request. `duration` is in microseconds, and `None` if this process stalled in
    /// the meantime, so that nothing was measured.
    pub(crate) fn record_served(&mut self, class: usize, duration: Option<Micros>) {
        if let Some(duration) = duration {
            self.durations[class].add(duration, MAX_DURATION_SAMPLES);
        }
        self.served = self.served.saturating_add(1);
        self.blacklist.forget_failures();
    }

    /// Records that a request forwarded to the gateway was lost, or failed and may have run.
    pub(crate) fn record_failure(&mut self, now: Micros) {
        self.blacklist.record_failure(now);
    }

    // ---- Properties that routing decisions depend on.

    pub(crate) fn is_linked(&self) -> bool {
        self.link_count > 0
    }

    /// Returns whether requests can be forwarded to the gateway at all: it is linked and not draining.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_linked() && !self.draining
    }

    /// Returns whether the gateway can be sent a request that may have run and must not run again after a while.
    pub(crate) fn reads_attempt_ages(&self) -> bool {
        self.reads_attempt_ages
    }

    pub(crate) fn is_blacklisted(&self, now: Micros) -> bool {
        self.blacklist.is_active(now)
    }

    /// Returns whether the gateway is linked, not draining and not blacklisted.
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.accepts_requests() && !self.is_blacklisted(now)
    }

    /// Returns whether the gateway's last link was lost so recently that the gateway is expected to reconnect.
    pub(crate) fn is_expected_back(&self, now: Micros) -> bool {
        !self.draining && now - self.last_link_lost_at < SEARCH_BACKOFF
    }

    pub(crate) fn round_trip(&self) -> Micros {
        self.round_trip.mean()
    }

    /// Estimated one-way delay to the gateway in microseconds, with a safety margin.
    pub(crate) fn one_way_delay(&self) -> Micros {
        self.round_trip.one_way_delay()
    }

    /// Typical time in microseconds from sending a request of the class until its response arrives.
    pub(crate) fn expected_duration(&self, class: usize) -> Micros {
        self.median_duration(class).max(self.round_trip.mean())
    }

    /// Returns how many requests of a class this gateway may have in flight at the peer, so that the peer executes as
    /// many at once as its credit allows.
    ///
    /// The credit is scaled by the ratio of total latency to service time. On a high-latency link most requests are in
    /// transit at any time; if each of them used up credit, throughput would be limited to the credit per round trip,
    /// however idle the other site is. The drawback is that requests in transit can arrive all at once; the peer then
    /// rejects those beyond its capacity and offers less credit. The credit is not scaled before [`MIN_SERVED`]
    /// requests were served. `max` limits only the scaling: the result is never below the credit.
    pub(crate) fn concurrency_limit(&self, class: usize, max: u32) -> usize {
        let credit = self.credits.get(class).copied().unwrap_or(0);
        if self.served < MIN_SERVED || credit == 0 {
            return credit as usize;
        }
        let total = self.median_duration(class);
        let service_time = (total - self.round_trip.mean()).max(MIN_SERVICE_TIME);
        let latency_ratio = (total.max(service_time) as f64 / service_time as f64).max(1.0);
        let scaled_credit = (f64::from(credit) * latency_ratio) as usize;
        scaled_credit.min(max as usize).max(credit as usize)
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

/// Temporarily blacklists a gateway after several failures without a served request in between.
///
/// Otherwise requests would still be forwarded to a gateway that loses them or whose links keep breaking. The drawback
/// is that a gateway whose link broke once with many requests in flight is avoided as well, unless it is the only one
/// at its site.
#[derive(Debug)]
struct FailureBlacklist {
    /// Times of recent failures, oldest first.
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
        if self.failures.len() >= BLACKLIST_FAILURE_THRESHOLD {
            self.until = now + BLACKLIST_DURATION;
            self.failures.clear();
        }
    }

    fn forget_failures(&mut self) {
        self.failures.clear();
    }

    fn is_active(&self, now: Micros) -> bool {
        now < self.until
    }
}
