//! Checks of single values, each with the field that its error is to name.

use aldermill_routing::Micros;

use crate::SettingsError;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Milliseconds as whole microseconds, rounded to the nearest. A span too long for the type becomes the
/// longest, and what is not a number becomes zero.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).round() as Micros
}

/// The value, if it is one of `allowed`.
pub(crate) fn one_of<'a>(
    field: &'static str,
    value: &'a str,
    allowed: &[&str],
) -> Result<&'a str, SettingsError> {
    if allowed.contains(&value) { Ok(value) } else { unknown(field, value) }
}

/// The number, if it is finite and not negative.
pub(crate) fn non_negative(field: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(SettingsError::NegativeNumber { field, value })
}

/// The span in whole microseconds, if `millis` is finite and not negative.
pub(crate) fn span(field: &'static str, millis: f64) -> Result<Micros, SettingsError> {
    non_negative(field, millis).map(micros_from_millis)
}

/// The error for a value that the field may not have.
pub(crate) fn unknown<T>(field: &'static str, value: &str) -> Result<T, SettingsError> {
    Err(SettingsError::UnknownValue { field, value: value.to_owned() })
}
