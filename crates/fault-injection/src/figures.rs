//! What a run came to in numbers, and what its plan wants of them.

use std::collections::HashMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::history::{At, Event, How};
use crate::judge::Broken;
use crate::plan::Plan;
use crate::terms::CLASSES;

const BIN: At = 100_000;
/// Before that the fleet is warming up.
const FIRST: At = 1_000_000;

/// Bounds beside the five rules, which always hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Wants {
    /// Attempts, and new connections, in any 100 ms after the first fault, as a multiple of the ordinary.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
    /// Lists asked for in any 100 ms after the first fault, as a share of the drivers restarted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_share: Option<f64>,
    /// Time from the first restart to full service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub full_service_ms: Option<u64>,
    /// Share of all requests that come within their latency objective.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served: Option<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub requests: usize,
    /// Of all requests, and of those before the first fault.
    pub within_objective: f64,
    pub within_objective_before: f64,
    /// Of those that came in the 10 s after the first fault, and the worst second of them.
    pub within_objective_after: f64,
    pub worst_second: f64,
    /// Of attempts, where there are several zones.
    pub crossing: f64,
    pub rejected: usize,
    pub failed: usize,
    pub never_answered: usize,
    pub health_checks_a_request: f64,
    pub past_limit: usize,
    pub past_limit_writes: usize,
    /// In 100 ms: ordinary, and the most after the first fault was over.
    pub attempts: f64,
    pub most_attempts: usize,
    pub connections: f64,
    pub most_connections: usize,
    pub most_lists: usize,
    pub restarted: usize,
    /// Of the time from when a duty was first held, how much it was held, and the longest time that it was not.
    pub held: Option<f64>,
    pub longest_unheld_ms: At,
    /// From each strike at a duty's holder until another was seen to hold it; -1 is never.
    pub handed_over_ms: Vec<At>,
    /// From an operator's word that a site retires until it was said to be empty, and retired.
    pub emptied_ms: Option<At>,
    pub retired_ms: Option<At>,
    /// From the first restart until the share within the latency objective was back for good; -1 is never.
    pub full_service_ms: Option<At>,
}

/// One 100 ms of the run, for tables and pictures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Bin {
    pub asked: usize,
    /// Requests first asked here, and those of them served within their latency objective.
    pub requests: usize,
    pub in_time: usize,
    pub attempts: usize,
    pub connections: usize,
    pub health_checks: usize,
    pub lists: usize,
}

pub fn bins(events: &[(At, Event)]) -> Vec<Bin> {
    let last = events.last().map_or(0, |(at, _)| *at);
    let mut bins = vec![Bin::default(); (last / BIN + 1) as usize];
    for (at, event) in events {
        let bin = &mut bins[(*at / BIN) as usize];
        match event {
            Event::Asked { .. } => bin.asked += 1,
            Event::Reached { .. } => bin.attempts += 1,
            Event::Connected { .. } => bin.connections += 1,
            Event::HealthChecked { .. } => bin.health_checks += 1,
            Event::Listed { .. } => bin.lists += 1,
            _ => {}
        }
    }
    for (first, in_time) in requests(events) {
        let bin = &mut bins[(first / BIN) as usize];
        (bin.requests, bin.in_time) = (bin.requests + 1, bin.in_time + usize::from(in_time));
    }
    bins
}

/// Each request with all its tries: when it was first asked, and whether it was served within its latency
/// objective.
fn requests(events: &[(At, Event)]) -> Vec<(At, bool)> {
    let mut served: HashMap<u64, At> = HashMap::new();
    for (at, event) in events {
        if let Event::Answered { id, how: How::Served, .. } = event {
            served.insert(*id, *at);
        }
    }
    // Clients come one by one: no two requests have the same beginning.
    let mut requests: HashMap<(At, usize, usize), bool> = HashMap::new();
    for (_, event) in events {
        if let Event::Asked { id, class, group, first, .. } = *event {
            let objective = first + CLASSES[class].objective_ms * 1000;
            let in_time = served.get(&id).is_some_and(|&at| at <= objective);
            *requests.entry((first, class, group)).or_default() |= in_time;
        }
    }
    let mut requests: Vec<(At, bool)> =
        requests.into_iter().map(|((first, ..), in_time)| (first, in_time)).collect();
    requests.sort_unstable();
    requests
}

pub fn measure(figures: &mut Figures, plan: &Plan, events: &[(At, Event)]) {
    let bins = bins(events);
    let first_client = events.iter().find(|(_, event)| matches!(event, Event::Asked { .. }));
    let start = first_client.map_or(0, |(at, _)| *at);
    let fault = events.iter().find(|(_, event)| matches!(event, Event::Fault { .. })).map(|(at, _)| *at);
    let calm_until = fault.unwrap_or(At::MAX);
    let end = start + (plan.seconds * 1e6) as At;
    let number = |from: At, to: At, of: fn(&Bin) -> usize| {
        let range = (from / BIN + 1) as usize..(to.min(end) / BIN) as usize;
        bins.get(range).unwrap_or_default().iter().map(of).collect::<Vec<usize>>()
    };
    let mean = |of: fn(&Bin) -> usize| {
        let counts = number(start + FIRST, calm_until, of);
        counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64
    };
    let most = |of| fault.map_or(0, |from| number(from, end, of).into_iter().max().unwrap_or(0));
    (figures.attempts, figures.most_attempts) = (mean(|bin| bin.attempts), most(|bin| bin.attempts));
    (figures.connections, figures.most_connections) =
        (mean(|bin| bin.connections), most(|bin| bin.connections));
    figures.most_lists = most(|bin| bin.lists);

    let requests = requests(events);
    let share = |from: At, to: At| {
        let of: Vec<bool> =
            requests.iter().filter(|(at, _)| (from..to).contains(at)).map(|&(_, in_time)| in_time).collect();
        of.iter().filter(|&&in_time| in_time).count() as f64 / of.len().max(1) as f64
    };
    figures.requests = requests.len();
    figures.within_objective = share(start + FIRST, end);
    figures.within_objective_before = share(start + FIRST, calm_until.min(end));
    if let Some(fault) = fault {
        figures.within_objective_after = share(fault, fault + 100 * BIN);
        let seconds = (0..10).map(|second| share(fault + second * 10 * BIN, fault + (second + 1) * 10 * BIN));
        figures.worst_second = seconds.fold(1.0, f64::min);
    }
    let (mut crossed, mut attempts) = (0, 0);
    for (_, event) in events {
        if let Event::Reached { driver, member, .. } = event {
            attempts += 1;
            crossed += usize::from(driver % plan.zones != member % plan.members % plan.zones);
        }
    }
    figures.crossing = crossed as f64 / f64::from(attempts.max(1));
    let health_checks =
        events.iter().filter(|(_, event)| matches!(event, Event::HealthChecked { .. })).count();
    figures.health_checks_a_request = health_checks as f64 / requests.len().max(1) as f64;
    for (_, event) in events {
        match event {
            Event::Answered { how: How::Rejected, .. } => figures.rejected += 1,
            Event::Answered { how: How::Failed, .. } => figures.failed += 1,
            Event::Answered { how: How::Nothing | How::Lost, .. } => figures.never_answered += 1,
            _ => {}
        }
    }
    let restarts: Vec<At> = events
        .iter()
        .filter(|(at, event)| *at > start && matches!(event, Event::Started { .. }))
        .map(|(at, _)| *at)
        .collect();
    figures.restarted = restarts.len();
    figures.full_service_ms = restarts.first().map(|&first| {
        // From the end backwards: the last second, in steps of a tenth, whose share is not back. At high load single
        // tenths vary by more than what is asked for.
        let window = 10 * BIN;
        let before = figures.within_objective_before;
        let counted = requests.iter().filter(|(at, _)| (first..first + window).contains(at)).count().max(1);
        // Three standard deviations of as many requests are chance.
        let wanted = 0.98 * before - 3.0 * (before * (1.0 - before) / counted as f64).sqrt();
        let mut from = end - window;
        while from > first && share(from, from + window) >= wanted {
            from -= BIN;
        }
        if from >= end - window { -1 } else { ((from + BIN - first) / 1000).max(0) }
    });
}

/// Counts vary by chance: four times the square root of the mean are no burst.
fn bearable(mean: f64, times: f64) -> f64 {
    (times * mean).max(mean + 4.0 * mean.sqrt())
}

pub fn wants(broken: &mut Vec<Broken>, plan: &Plan, figures: &Figures) {
    let mut found = |what: String| broken.push(Broken { rule: 8, at_ms: 0, what });
    let wants = &plan.wants;
    if let Some(times) = wants.burst
        && figures.most_attempts as f64 > bearable(figures.attempts, times)
    {
        found(format!("{} attempts in 100 ms, ordinary are {:.1}", figures.most_attempts, figures.attempts));
    }
    if let Some(share) = wants.list_share
        && figures.most_lists as f64 > (share * figures.restarted as f64).max(1.0)
    {
        found(format!("{} lists asked for in 100 ms by {} restarted", figures.most_lists, figures.restarted));
    }
    if let Some(wanted) = wants.full_service_ms {
        match figures.full_service_ms {
            Some(took) if (0..=wanted as At).contains(&took) => {}
            took => found(format!("full service after {took:?} ms, {wanted} are wanted")),
        }
    }
    if let Some(wanted) = wants.served
        && figures.within_objective < wanted
    {
        found(format!("{:.3} within the latency objective, {wanted} are wanted", figures.within_objective));
    }
}
