//! Configurations and simulations that the tests start from.

use aldermill_routing::*;

use crate::simulation::Simulation;

/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// Staleness bound of [`RECENT_READ`], in microseconds.
pub const STALENESS_BOUND: Micros = 300 * MS;
/// Request class of reads with a staleness bound.
pub const RECENT_READ: usize = 0;
/// Request class of reads that accept data of any age.
pub const ANY_AGE_READ: usize = 1;
/// Request class of writes that are not idempotent.
pub const WRITE: usize = 2;
/// Request class of writes that the members of a group deduplicate.
pub const DEDUPLICATED_WRITE: usize = 3;
/// Request class of reads that must see every write of their session.
pub const OWN_WRITES_READ: usize = 4;
/// Request class of reads that take long and accept data of any age.
pub const LONG_READ: usize = 5;

/// Returns the configuration of a router in a fleet of two, with the request classes above.
pub fn router_config() -> RouterConfig {
    let class = |effect, need, priority_weight, late_priority_weight| RequestClass {
        effect,
        need,
        objective: 500 * MS,
        timeout: 2_000 * MS,
        priority_weight,
        late_priority_weight,
    };
    let deduplicated = Effect::Deduplicated { scope: DeduplicationScope::Group, window: 2_000 * MS };
    RouterConfig {
        classes: vec![
            class(Effect::Idempotent, Need::Recent(STALENESS_BOUND), 1.0, 0.0),
            class(Effect::Idempotent, Need::Any, 2.0, 0.2),
            class(Effect::NonIdempotent, Need::Write, 6.0, 0.5),
            class(deduplicated, Need::Write, 3.0, 0.5),
            class(Effect::Idempotent, Need::OwnWrites, 1.0, 0.0),
            RequestClass {
                objective: 6_000 * MS,
                timeout: 12_000 * MS,
                ..class(Effect::Idempotent, Need::Any, 4.0, 0.0)
            },
        ],
        routers: 2,
        routers_sharing_warm_up: 2,
        client_retries_marked: true,
        zone: 0,
        zones: 1,
        max_attempts: 8,
        health_checks_allowed: true,
        max_retry_after: 1_000 * MS,
        listed_roles: ListedRoles::Absent,
        members_check_freshness: false,
        track_sessions: true,
        list_requires_subscription: true,
        unlisted_members_usable: false,
        slow_start_capacity: 0.2,
        slow_start_duration: 10_000 * MS,
        overload_factor: 2.5,
        overload_window: 1_000 * MS,
        cross_zone_cost: 0.0,
    }
}

/// Returns an endpoint list entry of a member in the default group and zone. `start_time` is `None` if the
/// member started long ago.
pub fn list_entry(member: MemberId, member_status: MemberStatus, start_time: Option<Micros>) -> ListedMember {
    ListedMember {
        member,
        name: format!("m{member}"),
        group: 7,
        zone: 0,
        status: member_status,
        started_at: start_time,
        listed_start: start_time.unwrap_or(0),
        size: 1.0,
        is_primary: false,
    }
}

/// Returns a simulation of four members that have all answered a health check.
pub fn checked_simulation(config: RouterConfig) -> Simulation {
    let mut simulation = Simulation::new(config, 4);
    simulation.answer_all_health_checks();
    simulation
}

/// Returns the member that the request has an attempt in flight at; `None` if it has none.
pub fn target(simulation: &Simulation, handle: RequestHandle) -> Option<MemberId> {
    simulation.in_flight().into_iter().find(|&(request, _)| request == handle).map(|(_, id)| id)
}

/// Returns the configuration of a router in a fleet of 150, with which the fleet counts as large. The
/// endpoint list needs no subscription.
pub fn large_fleet_config() -> RouterConfig {
    RouterConfig {
        routers: 150,
        routers_sharing_warm_up: 150,
        list_requires_subscription: false,
        ..router_config()
    }
}
