//! How many requests others may have under way here, by request class.

use std::collections::HashMap;

use crate::{Micros, PeerGatewayId, RequestClass};

/// At first, and at least: with nothing nobody would notice that there is room again.
const START: f64 = 16.0;
const LEAST: f64 = 1.0;
/// After a rejection shrank a window, it is not shrunk again for so long: the rejections of one crowd are one
/// sign.
const REST: Micros = 100_000;

#[derive(Clone, Copy, Debug)]
struct Window {
    requests: f64,
    under_way: u32,
    shrunk: Micros,
}

/// The windows that this gateway offers to others. Protects the own site's clients from what other sites cannot
/// serve themselves. Should also cover floods of one request class: each has its own window, the best paid
/// shrinks least.
/// Harms a sudden shift of load to this site: windows grow by one a window's worth of requests.
#[derive(Debug)]
pub struct LinkCredit {
    windows: HashMap<PeerGatewayId, Vec<Window>>,
    /// What a rejection leaves of each request class's window.
    keeps: Vec<f64>,
    most: f64,
}

impl LinkCredit {
    pub fn start(classes: &[RequestClass], most: u32) -> LinkCredit {
        let best = classes.iter().map(|class| class.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        // Half for what pays nothing, nine tenths for the best paid.
        let keeps = classes.iter().map(|class| 0.5 + 0.4 * (class.priority_weight / best).clamp(0.0, 1.0));
        LinkCredit { windows: HashMap::new(), keeps: keeps.collect(), most: f64::from(most.max(1)) }
    }

    pub fn credits(&mut self, gateway: PeerGatewayId) -> Vec<u32> {
        self.of(gateway).iter().map(|window| window.requests.floor().max(LEAST) as u32).collect()
    }

    pub(crate) fn came(&mut self, gateway: PeerGatewayId, class: usize) {
        if let Some(window) = self.of(gateway).get_mut(class) {
            window.under_way += 1;
        }
    }

    /// A request of another site is over here; says whether what is offered has changed.
    pub(crate) fn over(&mut self, now: Micros, gateway: PeerGatewayId, class: usize, rejected: bool) -> bool {
        let (keep, most) = (self.keeps.get(class).copied().unwrap_or(0.5), self.most);
        let Some(window) = self.of(gateway).get_mut(class) else { return false };
        let before = window.requests.floor();
        let full = f64::from(window.under_way) >= window.requests - 1.0;
        window.under_way = window.under_way.saturating_sub(1);
        if rejected && now - window.shrunk >= REST {
            (window.requests, window.shrunk) = ((window.requests * keep).max(LEAST), now);
        } else if !rejected && full {
            window.requests = (window.requests + 1.0 / window.requests).min(most);
        }
        window.requests.floor() != before
    }

    pub(crate) fn forget(&mut self, gateway: PeerGatewayId) {
        self.windows.remove(&gateway);
    }

    fn of(&mut self, gateway: PeerGatewayId) -> &mut Vec<Window> {
        let start = Window { requests: START.min(self.most), under_way: 0, shrunk: Micros::MIN / 2 };
        self.windows.entry(gateway).or_insert_with(|| vec![start; self.keeps.len()])
    }
}
