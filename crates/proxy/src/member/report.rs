//! What a response reports about its member: role, position and age.

use aldermill_routing::{MemberReport, Micros, Role};
use aldermill_settings::parse_load_report;
use aldermill_wire::Exchange;

/// Role that the primary reports.
const PRIMARY_ROLE: &str = "writer";
/// Role that a replica reports.
const REPLICA_ROLE: &str = "reader";
/// Microseconds in a millisecond, the unit of the position that accompanies a value.
const MICROS_PER_MILLI: Micros = 1000;

/// Returns whether the member reported in this response that it is a replica.
pub(super) fn is_replica_report(exchange: &Exchange) -> bool {
    exchange.role.as_deref() == Some(REPLICA_ROLE)
}

/// Returns what a response reports about its member, ignoring what cannot be parsed. `usage` is the load
/// report in the response, and `age` the time since the response arrived, in microseconds.
///
/// Of an incomplete response, only the role of a replica is used. If that role is wrong, it costs one
/// response; if it were ignored although right, reads might be stale.
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

/// Returns the position that accompanies the value, in microseconds.
fn reported_position(exchange: &Exchange) -> Option<Micros> {
    let millis: Micros = exchange.position.as_ref()?.parse().ok()?;
    Some(millis.saturating_mul(MICROS_PER_MILLI))
}
