//! Credit offered to other gateways: how many requests of each class they may have in flight at this gateway.

use std::collections::HashMap;

use crate::{Micros, NEVER, PeerGatewayId, RequestClass};

/// Initial window of a gateway for each class, in requests.
const INITIAL_WINDOW: f64 = 16.0;
/// Smallest window, in requests. With a window of zero nobody would find out that capacity is available again.
const MIN_WINDOW: f64 = 1.0;
/// Minimum time between two reductions of a window, in microseconds. Rejections in quick succession count as one sign
/// of overload.
const SHRINK_INTERVAL: Micros = 100_000;
/// Factor by which a rejection multiplies the window of a class whose priority weight is zero.
const MIN_SHRINK_FACTOR: f64 = 0.5;
/// Amount added to [`MIN_SHRINK_FACTOR`] for the class with the highest priority weight; other classes get a part of it
/// in proportion to their weight.
const SHRINK_FACTOR_RANGE: f64 = 0.4;

/// Limit on the requests of one class that one gateway may have in flight here.
#[derive(Clone, Copy, Debug)]
struct Window {
    /// Size in requests. Only whole requests are offered; the fraction accumulates growth.
    size: f64,
    in_flight: u32,
    shrunk_at: Micros,
}

impl Window {
    /// Returns whether the gateway uses all of its window; only then does the window grow.
    fn is_full(&self) -> bool {
        f64::from(self.in_flight) >= self.size - 1.0
    }

    fn shrink(&mut self, now: Micros, factor: f64) {
        self.size = (self.size * factor).max(MIN_WINDOW);
        self.shrunk_at = now;
    }

    /// Grows the window by one request for each window's worth of requests.
    fn grow(&mut self, max: f64) {
        self.size = (self.size + 1.0 / self.size).min(max);
    }
}

/// Credit that this gateway offers to others: one window for each gateway and request class, which shrinks on a
/// rejection and grows on success.
///
/// Without this limit an overloaded site would pass its overload on, at the expense of this site's own clients. A flood
/// of one class does not affect the windows of other classes, and the window of the class with the highest priority
/// weight shrinks least. The drawback is that this site takes on a sudden shift of load only slowly, at one more
/// request for each window's worth of requests.
#[derive(Debug)]
pub(crate) struct LinkCredit {
    windows: HashMap<PeerGatewayId, Vec<Window>>,
    /// Factor by which a rejection multiplies a window, by class index.
    shrink_factors: Vec<f64>,
    max: f64,
}

impl LinkCredit {
    /// Creates the state without any gateway. `max` is the largest window, in requests; zero counts as one.
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

    /// Returns the credit offered to a gateway, in requests by class index.
    pub(crate) fn offered_to(&mut self, gateway: PeerGatewayId) -> Vec<u32> {
        let windows = self.windows_of(gateway).iter();
        windows.map(|window| window.size.floor().max(MIN_WINDOW) as u32).collect()
    }

    /// Records that a request of a gateway was accepted.
    pub(crate) fn request_started(&mut self, gateway: PeerGatewayId, class: usize) {
        if let Some(window) = self.windows_of(gateway).get_mut(class) {
            window.in_flight += 1;
        }
    }

    /// Records that a request of a gateway has ended. Returns whether the credit offered to that gateway has changed.
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

    /// Discards the windows of a gateway that has restarted: it has nothing in flight here, and starts with the initial
    /// window again.
    pub(crate) fn reset(&mut self, gateway: PeerGatewayId) {
        self.windows.remove(&gateway);
    }

    fn windows_of(&mut self, gateway: PeerGatewayId) -> &mut Vec<Window> {
        let initial = Window { size: INITIAL_WINDOW.min(self.max), in_flight: 0, shrunk_at: NEVER };
        self.windows.entry(gateway).or_insert_with(|| vec![initial; self.shrink_factors.len()])
    }
}
