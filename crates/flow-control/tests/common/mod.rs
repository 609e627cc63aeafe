//! Limits and requests that the controller tests and the random runs share.

use std::net::{IpAddr, Ipv4Addr};

use aldermill_flow_control::{
    FlowLimits, Micros, MinimumRate, PeerId, PressureThresholds, Priority, ReservationOwner,
    ReservationRequest,
};

pub const SECOND: Micros = 1_000_000;
pub const KIB: u64 = 1024;
pub const TO_CLIENT: MinimumRate =
    MinimumRate { bytes_per_second: 8 * KIB, start_allowance: 2 * SECOND, pause_allowance: 4 * SECOND };

pub fn limits() -> FlowLimits {
    let member = MinimumRate {
        bytes_per_second: 32 * KIB,
        start_allowance: 3 * SECOND / 10,
        pause_allowance: 3 * SECOND / 10,
    };
    FlowLimits {
        budget: 1024 * KIB,
        per_connection: 256 * KIB,
        per_address: None,
        priority_reserve: 128 * KIB,
        pressure: PressureThresholds { enter: 768 * KIB, leave: 512 * KIB },
        to_client: TO_CLIENT,
        from_client: MinimumRate {
            bytes_per_second: KIB,
            start_allowance: 2 * SECOND,
            pause_allowance: 4 * SECOND,
        },
        from_member: member,
        to_member: member,
        reservation_timeout: 60 * SECOND,
        max_slow_time: 6 * SECOND,
        linger_timeout: 5 * SECOND,
        shutdown_grace: 5 * SECOND,
    }
}

pub fn address(last_octet: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last_octet).into()
}

pub fn request(peer: PeerId, bytes: u64, deadline: Micros) -> ReservationRequest {
    ReservationRequest { owner: ReservationOwner { peer, priority: Priority::Normal }, bytes, deadline }
}

pub fn with_highest_priority(request: ReservationRequest) -> ReservationRequest {
    let owner = ReservationOwner { priority: Priority::Highest, ..request.owner };
    ReservationRequest { owner, ..request }
}
