//! How many requests other gateways may have in flight here, by request class.

use std::collections::HashMap;

use crate::{Micros, NEVER, PeerGatewayId, RequestClass};

/// The window of a gateway that has just come, in requests.
const INITIAL_WINDOW: f64 = 16.0;
/// The smallest window, in requests: with none at all nobody would find out that there is capacity again.
const MIN_WINDOW: f64 = 1.0;
/// How long a window that was shrunk is not shrunk again, in microseconds: rejections that come together are one sign of
/// overload.
const SHRINK_INTERVAL: Micros = 100_000;
/// What a rejection leaves of the window of a class that is worth nothing.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// By how much more it leaves of the window of the class that is worth most; others lie between by their weight.
const SHRINK_FACTOR_RANGE: f64 = 0.4;

/// How many requests of one class one gateway may have in flight here.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Whole requests are offered; the fraction grows.
    size: f64,
    in_flight: u32,
    shrunk_at: Micros,
}

impl Window {
    /// Whether the gateway has used what it was offered: only then does it get a larger offer.
    fn is_full(&self) -> bool {
        f64::from(self.in_flight) >= self.size - 1.0
    }

    fn shrink(&mut self, now: Micros, factor: f64) {
        self.size = (self.size * factor).max(MIN_WINDOW);
        self.shrunk_at = now;
    }

    /// By one request for each window's worth of requests.
    fn grow(&mut self, max: f64) {
        self.size = (self.size + 1.0 / self.size).min(max);
    }
}

/// The credit that this gateway offers to others: a window for each gateway and request class, which a rejection shrinks and
/// success grows.
///
/// Without it a site that is overloaded passes its overload on, and this site's own clients suffer. A flood of one class
/// leaves the windows of others alone, and the class of the highest priority weight shrinks least. The cost: a sudden shift
/// of load to this site is taken on slowly, by one request more for each window's worth of requests.
#[derive(Debug)]
pub(crate) struct LinkCredit {
    windows: HashMap<PeerGatewayId, Vec<Window>>,
    /// What a rejection leaves of a window, by class.
    shrink_factors: Vec<f64>,
    max: f64,
}

impl LinkCredit {
    /// `max` is the largest window, in requests.
    pub(crate) fn new(classes: &[RequestClass], max: u32) -> LinkCredit {
        let weights = classes.iter().map(|class| class.priority_weight);
        let max_weight = weights.clone().fold(f64::MIN_POSITIVE, f64::max);
        let factor =
            |weight: f64| MIN_SHRINK_FACTOR + SHRINK_FACTOR_RANGE * (weight / max_weight).clamp(0.0, 1.0);
        LinkCredit {
            windows: HashMap::new(),
            shrink_factors: weights.map(factor).collect(),
            max: f64::from(max.max(1)),
        }
    }

    /// What is offered to a gateway, in requests by class.
    pub(crate) fn offered_to(&mut self, gateway: PeerGatewayId) -> Vec<u32> {
        let windows = self.windows_of(gateway).iter();
        windows.map(|window| window.size.floor().max(MIN_WINDOW) as u32).collect()
    }

    /// A request of a gateway was accepted.
    pub(crate) fn request_started(&mut self, gateway: PeerGatewayId, class: usize) {
        if let Some(window) = self.windows_of(gateway).get_mut(class) {
            window.in_flight += 1;
        }
    }

    /// A request of a gateway has ended. Returns whether the offer to that gateway has changed.
    pub(crate) fn request_ended(
        &mut self,
        now: Micros,
        gateway: PeerGatewayId,
        class: usize,
        rejected: bool,
    ) -> bool {
        let factor = self.shrink_factors.get(class).copied().unwrap_or(MIN_SHRINK_FACTOR);
        let max = self.max;
        let Some(window) = self.windows_of(gateway).get_mut(class) else { return false };
        let offered_before = window.size.floor();
        let was_full = window.is_full();
        window.in_flight = window.in_flight.saturating_sub(1);
        if rejected && now - window.shrunk_at >= SHRINK_INTERVAL {
            window.shrink(now, factor);
        } else if !rejected && was_full {
            window.grow(max);
        }
        window.size.floor() != offered_before
    }

    /// The gateway has restarted: it has nothing in flight here, and begins with the initial window.
    pub(crate) fn reset(&mut self, gateway: PeerGatewayId) {
        self.windows.remove(&gateway);
    }

    fn windows_of(&mut self, gateway: PeerGatewayId) -> &mut Vec<Window> {
        let initial = Window { size: INITIAL_WINDOW.min(self.max), in_flight: 0, shrunk_at: NEVER };
        self.windows.entry(gateway).or_insert_with(|| vec![initial; self.shrink_factors.len()])
    }
}
