//! What a response says of its member: role, position, age.

use aldermill_routing::{MemberReport, Micros, Role};
use aldermill_settings::parse_load_report;
use aldermill_wire::Exchange;

/// The role that the primary reports.
const PRIMARY_ROLE: &str = "writer";
/// The role that a replica reports.
const REPLICA_ROLE: &str = "reader";
/// Members report positions in milliseconds.
const MICROS_PER_MILLI: Micros = 1000;

/// Whether a response says that its member is a replica.
pub(super) fn is_replica_report(exchange: &Exchange) -> bool {
    exchange.role.as_deref() == Some(REPLICA_ROLE)
}

/// What a response says of its member; what cannot be parsed says nothing. `usage` is its load report, and `age` how long
/// ago it came, in microseconds.
///
/// Of a response that was cut short only the role of a replica is believed. If that is wrong it costs one answer; if it
/// is missed, reads may be stale.
pub(super) fn member_report(exchange: &Exchange, usage: Option<&str>, age: Micros) -> MemberReport {
    if !exchange.is_over() {
        let role = is_replica_report(exchange).then_some(Role::Replica);
        return MemberReport { role, age, ..MemberReport::default() };
    }
    let fields = usage.into_iter().flat_map(|usage| usage.split(','));
    let fields = fields.filter_map(|field| field.trim().split_once('='));
    let mut report = parse_load_report(fields, 0).unwrap_or_default();
    report.age = age;
    report.role = reported_role(exchange).or(report.role);
    report.position = report.position.max(reported_position(exchange));
    report
}

fn reported_role(exchange: &Exchange) -> Option<Role> {
    match exchange.role.as_deref() {
        Some(PRIMARY_ROLE) => Some(Role::Primary),
        Some(REPLICA_ROLE) => Some(Role::Replica),
        _ => None,
    }
}

/// The position beside the value, in microseconds.
fn reported_position(exchange: &Exchange) -> Option<Micros> {
    let millis: Micros = exchange.position.as_ref()?.parse().ok()?;
    Some(millis.saturating_mul(MICROS_PER_MILLI))
}
