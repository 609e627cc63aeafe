//! What cases start from.

use aldermill_routing::*;

use crate::world::World;

pub const MS: Micros = 1_000;
pub const BOUND: Micros = 300 * MS;
/// Request classes by number.
pub const READ: usize = 0;
pub const LOOSE: usize = 1;
pub const WRITE: usize = 2;
pub const RECEIPTED: usize = 3;
pub const OWN: usize = 4;
pub const REPORT: usize = 5;

pub fn terms() -> RouterConfig {
    let class = |effect, need, priority_weight, late_priority_weight| RequestClass {
        effect,
        need,
        objective: 500 * MS,
        timeout: 2_000 * MS,
        priority_weight,
        late_priority_weight,
    };
    let receipted = Effect::Deduplicated { scope: DeduplicationScope::Group, window: 2_000 * MS };
    RouterConfig {
        classes: vec![
            class(Effect::Idempotent, Need::Recent(BOUND), 1.0, 0.0),
            class(Effect::Idempotent, Need::Any, 2.0, 0.2),
            class(Effect::NonIdempotent, Need::Write, 6.0, 0.5),
            class(receipted, Need::Write, 3.0, 0.5),
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

pub fn line(member: MemberId, standing: MemberStatus, since: Option<Micros>) -> ListedMember {
    ListedMember {
        member,
        name: format!("m{member}"),
        group: 7,
        zone: 0,
        status: standing,
        started_at: since,
        size: 1.0,
        is_primary: false,
    }
}

pub fn heard(terms: RouterConfig) -> World {
    let mut world = World::new(terms, 4);
    world.hear_all();
    world
}

pub fn target(world: &World, handle: RequestHandle) -> Option<MemberId> {
    world.out().into_iter().find(|&(out, _)| out == handle).map(|(_, id)| id)
}

pub fn many() -> RouterConfig {
    RouterConfig { routers: 150, routers_sharing_warm_up: 150, list_requires_subscription: false, ..terms() }
}
