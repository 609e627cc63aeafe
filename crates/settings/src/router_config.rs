//! The sections' words and numbers as the router's configuration.

use aldermill_routing::{DeduplicationScope, Effect, ListedRoles, Micros, Need, RequestClass, RouterConfig};

use crate::SettingsError;
use crate::sections::{
    Category as RequestClassSection, Family as ReplicationSection, Limits as LimitsSection,
    Message as Document,
};
use crate::values::{micros_from_millis, non_negative, one_of, span, unknown};

/// Refuses words that are only compared later, and a fleet without routers.
pub(crate) fn validate(document: &Document) -> Result<(), SettingsError> {
    one_of("weights", &document.listed_weights, &["off", "nominal", "rough", "live"])?;
    one_of("registryMode", &document.discovery_mode, &["automatic", "subscribe"])?;
    let replication = &document.replication;
    one_of("familyInfo.behind", &replication.stale_read_handling, &["off", "reject", "hold"])?;
    one_of("familyInfo.tokens", &replication.session_positions, &["client", "router"])?;
    for &age in &replication.max_age_ms {
        non_negative("familyInfo.maxAgeMs", age)?;
    }
    if document.routers == 0 {
        return Err(SettingsError::NoRouters);
    }
    Ok(())
}

/// The router's configuration. The document has passed [`validate`].
pub(crate) fn router_config(document: &Document) -> Result<RouterConfig, SettingsError> {
    let limits = &document.limits;
    let rules = &document.member_rules;
    Ok(RouterConfig {
        classes: request_classes(document)?,
        // Evaluated in this order: the first field that cannot be used is the one that the error names.
        listed_roles: listed_roles(&document.replication.listed_roles)?,
        routers: document.routers,
        routers_sharing_warm_up: document.routers,
        client_retries_marked: document.clients.mark_retries,
        zone: local_zone(document),
        zones: document.zones.len(),
        max_attempts: limits.max_attempts,
        health_checks_allowed: limits.health_checks_allowed,
        max_retry_after: max_retry_after(limits)?,
        members_check_freshness: document.replication.stale_read_handling != "off",
        track_sessions: document.replication.session_positions == "router",
        list_requires_subscription: document.discovery_mode == "subscribe",
        unlisted_members_usable: rules.only_draining_binds,
        slow_start_capacity: non_negative("rules.coldFrom", rules.slow_start_capacity)?,
        slow_start_duration: span("rules.warmWithinMs", rules.slow_start_ms)?,
        overload_factor: non_negative("rules.overloadFactor", rules.overload_factor)?,
        overload_window: span("rules.fallMs", rules.overload_window_ms)?,
        cross_zone_cost: non_negative("deductions.crossZone", document.costs.cross_zone)?,
    })
}

fn request_classes(document: &Document) -> Result<Vec<RequestClass>, SettingsError> {
    let sections = document.request_classes.iter().enumerate();
    sections.map(|(index, section)| request_class(index, section, &document.replication)).collect()
}

fn request_class(
    index: usize,
    section: &RequestClassSection,
    replication: &ReplicationSection,
) -> Result<RequestClass, SettingsError> {
    Ok(RequestClass {
        effect: effect(section)?,
        need: need(index, replication)?,
        objective: span("targetMs", section.objective_ms)?,
        timeout: span("deadlineMs", section.timeout_ms)?,
        priority_weight: non_negative("worth", section.priority_weight)?,
        late_priority_weight: non_negative("lateWorth", section.late_priority_weight)?,
    })
}

/// What a repeat of the class's requests does. The window and the scope are checked for each class, also where its
/// effect makes no use of them.
fn effect(section: &RequestClassSection) -> Result<Effect, SettingsError> {
    let window = span("windowMs", section.deduplication_window_ms)?;
    let scope = match section.deduplication_scope.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Group,
        other => return unknown("dedupScope", other),
    };
    match section.effect.as_str() {
        "pure" => Ok(Effect::Idempotent),
        "token" => Ok(Effect::Deduplicated { scope, window }),
        "side_effect" => Ok(Effect::NonIdempotent),
        other => unknown("effect", other),
    }
}

/// How new the data for the class with that index must be; a class beyond the list's end takes data of any age.
fn need(index: usize, replication: &ReplicationSection) -> Result<Need, SettingsError> {
    let Some(freshness) = replication.needs_by_class.get(index) else { return Ok(Need::Any) };
    match freshness.as_str() {
        "update" => Ok(Need::Write),
        "latest" => Ok(Need::Latest),
        "own_writes" => Ok(Need::OwnWrites),
        "recent" => {
            let max_age_ms = replication.max_age_ms.get(index).copied().unwrap_or(0.0);
            Ok(Need::Recent(micros_from_millis(max_age_ms)))
        }
        "loose" => Ok(Need::Any),
        other => unknown("needsByClass", other),
    }
}

fn listed_roles(accuracy: &str) -> Result<ListedRoles, SettingsError> {
    match accuracy {
        "delayed" => Ok(ListedRoles::Delayed),
        "initial" => Ok(ListedRoles::Initial),
        "off" => Ok(ListedRoles::Absent),
        other => unknown("roleListed", other),
    }
}

/// The index of this router's zone; one beyond the last where the list of zones does not name it.
fn local_zone(document: &Document) -> usize {
    let position = document.zones.iter().position(|zone| *zone == document.local_zone);
    position.unwrap_or(document.zones.len())
}

/// Zero where rejections may carry no retry-after.
fn max_retry_after(limits: &LimitsSection) -> Result<Micros, SettingsError> {
    let longest = span("limits.maxRetryAfterMs", limits.max_retry_after_ms)?;
    Ok(if limits.retry_after_allowed { longest } else { 0 })
}
