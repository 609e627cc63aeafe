//! The settings that all drivers of a run are given, and what the models need to know of them.

use serde_json::json;

pub struct RequestClass {
    pub name: &'static str,
    pub effect: &'static str,
    pub need: &'static str,
    /// How old the data may be, in milliseconds; 0 is any age.
    pub bound_ms: i64,
    pub objective_ms: i64,
    pub timeout_ms: i64,
    pub priority_weight: f64,
    pub late_priority_weight: f64,
    /// Of the requests, and what one keeps a worker busy.
    pub share: f64,
    pub work_ms: f64,
}

pub const MINE: usize = 4;

const fn class(
    name: &'static str,
    effect: &'static str,
    need: &'static str,
    priority_weight: f64,
) -> RequestClass {
    let (objective_ms, timeout_ms, late_priority_weight) = (400, 1500, 0.5);
    let (bound_ms, share, work_ms) = (0, 0.25, 16.0);
    RequestClass {
        name,
        effect,
        need,
        bound_ms,
        objective_ms,
        timeout_ms,
        priority_weight,
        late_priority_weight,
        share,
        work_ms,
    }
}

pub const CLASSES: [RequestClass; 5] = [
    RequestClass { bound_ms: 1000, share: 0.4, ..class("look", "pure", "recent", 2.0) },
    RequestClass { share: 0.2, work_ms: 10.0, ..class("status", "pure", "loose", 1.0) },
    RequestClass { work_ms: 24.0, ..class("order", "side_effect", "update", 6.0) },
    RequestClass { share: 0.1, work_ms: 24.0, ..class("pay", "token", "update", 4.0) },
    RequestClass { share: 0.05, ..class("mine", "pure", "own_writes", 2.0) },
];

pub const RECEIPT_MS: i64 = 2000;
pub const COLD_FROM: f64 = 0.2;
pub const OVERLOAD_FACTOR: f64 = 2.5;
pub const FALL_MS: i64 = 1000;
pub const MAX_ATTEMPTS: usize = 4;

pub fn is_write(class: usize) -> bool {
    CLASSES[class].need == "update"
}

pub fn zone(at: usize) -> String {
    format!("z{at}")
}

/// What crossing between zones takes off, where there are several.
const CROSSING: f64 = 0.04;

pub fn settings(drivers: usize, warm_ms: u64, zones: usize, own: usize) -> serde_json::Value {
    let categories: Vec<_> = CLASSES
        .iter()
        .map(|class| {
            json!({"name": class.name, "effect": class.effect, "dedupScope": "cell",
                "windowMs": if class.effect == "token" { RECEIPT_MS } else { 0 },
                "targetMs": class.objective_ms, "deadlineMs": class.timeout_ms, "worth": class.priority_weight,
                "lateWorth": class.late_priority_weight})
        })
        .collect();
    let needs: Vec<_> = CLASSES.iter().map(|class| class.need).collect();
    let ages: Vec<_> = CLASSES.iter().map(|class| class.bound_ms).collect();
    let azs: Vec<String> = (0..zones).map(zone).collect();
    let crossing = if zones > 1 { CROSSING } else { 0.0 };
    json!({"azs": azs, "myZone": zone(own), "balancers": drivers, "registryMode": "automatic", "weights": "off",
        "categories": categories, "clients": {"marksRetry": true}, "deductions": {"crossZone": crossing},
        "familyInfo": {"behind": "off", "maxAgeMs": ages, "needsByClass": needs, "positionZeroMs": 0,
            "roleListed": "off", "tokens": "client"},
        "limits": {"maxAttempts": MAX_ATTEMPTS, "maxRetryAfterMs": 500, "retryAfter": true, "probes": true,
            "connIdleMs": 30000, "connectTimeoutMs": 1000, "maxOpen": 1000},
        "rules": {"coldFrom": COLD_FROM, "warmWithinMs": warm_ms, "overloadFactor": OVERLOAD_FACTOR,
            "fallMs": FALL_MS, "drainGraceMs": 500}})
}

/// How many requests a second all members bear: writes go to the primary alone, reads to the replicas.
pub fn bears(groups: usize, members: usize, workers: usize) -> f64 {
    let work = |writes: bool| -> f64 {
        let of = CLASSES.iter().filter(|class| (class.need == "update") == writes);
        of.map(|class| class.share * class.work_ms / 1000.0).sum()
    };
    let replicas = members.saturating_sub(1).max(1) as f64;
    let (primary, replica) = (workers as f64 / work(true), workers as f64 * replicas / work(false));
    groups as f64 * primary.min(replica)
}
