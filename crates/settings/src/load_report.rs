//! What a member says of itself in a load report.

use aldermill_routing::{MemberReport, Micros, Role};

use crate::SettingsError;

/// The report's field for the position up to which the member has applied commits, in seconds.
const POSITION_FIELD: &str = "x0";
/// The report's field for the role: 0 for a replica, 1 for the primary.
const ROLE_FIELD: &str = "x1";
/// A role from this value on is the primary's.
const PRIMARY_FROM: f64 = 0.5;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Reads a load report from its pairs of name and value, the position being counted from `position_origin`. Fields
/// that routing has no use for are passed over.
///
/// # Errors
///
/// [`SettingsError::LoadReport`] if the position or the role is no finite number.
pub fn parse_load_report<'a>(
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
    position_origin: Micros,
) -> Result<MemberReport, SettingsError> {
    let mut report = MemberReport::default();
    for (name, text) in pairs {
        match name {
            POSITION_FIELD => {
                let since_origin = (finite(name, text)? * MICROS_PER_SECOND).floor() as Micros;
                report.position = Some(position_origin.saturating_add(since_origin));
            }
            ROLE_FIELD => {
                let is_primary = finite(name, text)? >= PRIMARY_FROM;
                report.role = Some(if is_primary { Role::Primary } else { Role::Replica });
            }
            _ => {}
        }
    }
    Ok(report)
}

fn finite(name: &str, text: &str) -> Result<f64, SettingsError> {
    let number: Option<f64> = text.parse().ok();
    number
        .filter(|number| number.is_finite())
        .ok_or_else(|| SettingsError::LoadReport { name: name.to_owned(), value: text.to_owned() })
}
