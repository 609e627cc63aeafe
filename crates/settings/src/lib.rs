//! Decodes the settings that every driver is told at its start, in the drill and on sockets alike, into the
//! router's terms and the few figures that the programs around it need.

#![allow(
    clippy::too_many_lines,
    reason = "long functions are split when this package is reworked for readers (docs/ROADMAP.md)"
)]
#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

use std::collections::HashMap;
use std::fmt;

use aldermill_routing::{
    Effect, ListedRoles, MemberReport, Micros, Need, RequestClass, Role, RouterConfig, Scope,
};
use serde::Deserialize;

/// What cannot be read: the field, and why.
#[derive(Debug)]
pub struct Trouble {
    field: String,
    why: String,
}

impl Trouble {
    pub fn new(field: &str, why: &str) -> Trouble {
        Trouble { field: field.to_owned(), why: why.to_owned() }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.why)
    }
}

pub fn micros(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    effect: String,
    dedup_scope: String,
    window_ms: f64,
    target_ms: f64,
    deadline_ms: f64,
    worth: f64,
    late_worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    behind: String,
    max_age_ms: Vec<f64>,
    needs_by_class: Vec<String>,
    position_zero_ms: f64,
    role_listed: String,
    tokens: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: u32,
    max_retry_after_ms: f64,
    retry_after: bool,
    probes: bool,
    conn_idle_ms: f64,
    connect_timeout_ms: f64,
    max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold_from: f64,
    warm_within_ms: f64,
    overload_factor: f64,
    fall_ms: f64,
    #[serde(default = "usual_grace")]
    drain_grace_ms: f64,
    #[serde(default)]
    only_draining_binds: bool,
}

fn usual_grace() -> f64 {
    500.0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Clients {
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Deductions {
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Message {
    azs: Vec<String>,
    my_zone: String,
    balancers: usize,
    categories: Vec<Category>,
    family_info: Family,
    clients: Clients,
    limits: Limits,
    rules: Rules,
    registry_mode: String,
    weights: String,
    deductions: Deductions,
    #[serde(default)]
    tenants: Vec<Tenant>,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
}

/// What a program around the router needs of the settings, beside the router's own terms.
pub struct Decoded {
    pub terms: RouterConfig,
    /// A member closes a connection that was idle for so long.
    pub idle: Micros,
    pub connect_timeout: Micros,
    /// Nothing new goes to a member for longer than that after its drain was told, or could have been.
    pub drain_grace: Micros,
    /// Requests that one driver may hold.
    pub max_open: usize,
    classes: HashMap<String, usize>,
    zones: Vec<String>,
    /// Where the drill's clock stands when positions are zero.
    pub zero: Micros,
    sizes_listed: bool,
    tenants: Vec<String>,
}

/// One of the words that the field may hold.
fn known<'a>(field: &str, value: &'a str, words: &[&str]) -> Result<&'a str, Trouble> {
    if words.contains(&value) { Ok(value) } else { bad(field, value) }
}

/// A figure that can be meant: nothing here is below zero.
fn figure(field: &str, value: f64) -> Result<f64, Trouble> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(Trouble::new(field, &format!("{value} is no figure from zero on")))
}

fn time(field: &str, millis: f64) -> Result<Micros, Trouble> {
    figure(field, millis).map(micros)
}

fn bad<T>(field: &str, value: &str) -> Result<T, Trouble> {
    Err(Trouble::new(field, &format!("unknown value {value:?}")))
}

impl Decoded {
    pub fn parse(text: &str) -> Result<Decoded, Trouble> {
        let message: Message =
            serde_json::from_str(text).map_err(|error| Trouble::new("settings", &error.to_string()))?;
        let family = &message.family_info;
        let weights = known("weights", &message.weights, &["off", "nominal", "rough", "live"])?;
        known("registryMode", &message.registry_mode, &["automatic", "subscribe"])?;
        known("familyInfo.behind", &family.behind, &["off", "reject", "hold"])?;
        known("familyInfo.tokens", &family.tokens, &["client", "router"])?;
        for &age in &family.max_age_ms {
            figure("familyInfo.maxAgeMs", age)?;
        }
        if message.balancers == 0 {
            return Err(Trouble::new("balancers", "0 is too few"));
        }
        let mut classes = Vec::new();
        for (index, category) in message.categories.iter().enumerate() {
            let window = time("windowMs", category.window_ms)?;
            known("dedupScope", &category.dedup_scope, &["all", "zone", "cell"])?;
            let effect = match (category.effect.as_str(), category.dedup_scope.as_str()) {
                ("pure", _) => Effect::Idempotent,
                ("side_effect", _) => Effect::NonIdempotent,
                ("token", "all") => Effect::Deduplicated { scope: Scope::All, window },
                ("token", "zone") => Effect::Deduplicated { scope: Scope::Zone, window },
                ("token", _) => Effect::Deduplicated { scope: Scope::Group, window },
                (other, _) => return bad("effect", other),
            };
            let need = match family.needs_by_class.get(index).map_or("loose", String::as_str) {
                "update" => Need::Write,
                "latest" => Need::Latest,
                "own_writes" => Need::OwnWrites,
                "recent" => Need::Recent(micros(family.max_age_ms.get(index).copied().unwrap_or(0.0))),
                "loose" => Need::Loose,
                other => return bad("needsByClass", other),
            };
            classes.push(RequestClass {
                effect,
                need,
                objective: time("targetMs", category.target_ms)?,
                timeout: time("deadlineMs", category.deadline_ms)?,
                priority_weight: figure("worth", category.worth)?,
                late_priority_weight: figure("lateWorth", category.late_worth)?,
            });
        }
        let listed_roles = match family.role_listed.as_str() {
            "delayed" => ListedRoles::Late,
            "initial" => ListedRoles::AtStart,
            "off" => ListedRoles::Never,
            other => return bad("roleListed", other),
        };
        let (limits, rules) = (&message.limits, &message.rules);
        let zone = |name: &str| message.azs.iter().position(|zone| zone == name);
        let terms = RouterConfig {
            classes,
            drivers: message.balancers,
            routers_sharing_warm_up: message.balancers,
            client_retries_marked: message.clients.marks_retry,
            zone: zone(&message.my_zone).unwrap_or(message.azs.len()),
            zones: message.azs.len(),
            max_attempts: limits.max_attempts,
            health_checks_allowed: limits.probes,
            max_retry_after: match time("limits.maxRetryAfterMs", limits.max_retry_after_ms)? {
                longest if limits.retry_after => longest,
                _ => 0,
            },
            listed_roles,
            members_check: family.behind != "off",
            remember_sessions: family.tokens == "router",
            list_on_request: message.registry_mode == "subscribe",
            only_draining_binds: rules.only_draining_binds,
            cold_from: figure("rules.coldFrom", rules.cold_from)?,
            warm_within: time("rules.warmWithinMs", rules.warm_within_ms)?,
            overload_factor: figure("rules.overloadFactor", rules.overload_factor)?,
            overload_window: time("rules.fallMs", rules.fall_ms)?,
            crossing_price: figure("deductions.crossZone", message.deductions.cross_zone)?,
        };
        let names = message.categories.into_iter().map(|category| category.name);
        Ok(Decoded {
            terms,
            idle: time("limits.connIdleMs", limits.conn_idle_ms)?,
            connect_timeout: time("limits.connectTimeoutMs", limits.connect_timeout_ms)?,
            drain_grace: time("rules.drainGraceMs", rules.drain_grace_ms)?,
            max_open: limits.max_open,
            classes: names.enumerate().map(|(index, name)| (name, index)).collect(),
            sizes_listed: matches!(weights, "nominal" | "rough"),
            tenants: message.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zero: micros(message.family_info.position_zero_ms),
            zones: message.azs,
        })
    }

    pub fn class(&self, name: &str) -> Result<usize, Trouble> {
        self.classes.get(name).copied().map_or_else(|| bad("service", name), Ok)
    }

    /// Whether a request's account is one that the settings name.
    pub fn account(&self, name: &str) -> Result<(), Trouble> {
        if self.tenants.is_empty() && name == "0" || self.tenants.iter().any(|tenant| tenant == name) {
            return Ok(());
        }
        bad("account", name)
    }

    /// The zones' names, in the order of the terms.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The request classes' names, in the order of the terms.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.terms.classes.len()];
        for (name, &index) in &self.classes {
            names[index].clone_from(name);
        }
        names
    }

    /// The names of those request classes that pay most.
    pub fn best_paid(&self) -> Vec<String> {
        let priority_weight = |index: usize| self.terms.classes[index].priority_weight;
        let most = (0..self.terms.classes.len()).map(priority_weight).fold(f64::NEG_INFINITY, f64::max);
        let best = self.classes.iter().filter(|&(_, &index)| priority_weight(index) >= most);
        best.map(|(name, _)| name.clone()).collect()
    }

    /// A member's size, where the list's numbers are sizes at all.
    pub fn size(&self, hint: f64) -> f64 {
        if self.sizes_listed && hint > 0.0 { hint } else { 1.0 }
    }

    pub fn zone(&self, name: &str) -> usize {
        self.zones.iter().position(|zone| zone == name).unwrap_or(self.zones.len() + 1)
    }

    /// What a load report says, its position being counted in seconds from `zero`.
    pub fn report<'a>(
        pairs: impl Iterator<Item = (&'a str, &'a str)>,
        zero: Micros,
    ) -> Result<MemberReport, Trouble> {
        let mut report = MemberReport::default();
        for (name, value) in pairs.filter(|(name, _)| matches!(*name, "x0" | "x1")) {
            let value: f64 = value
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite())
                .ok_or_else(|| Trouble::new("load", &format!("bad number {name}:{value:?}")))?;
            if name == "x0" {
                report.position = Some(zero.saturating_add((value * 1e6).floor() as Micros));
            } else {
                report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica });
            }
        }
        Ok(report)
    }
}
