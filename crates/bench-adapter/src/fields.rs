//! The fields of one line of input.

use std::str::{FromStr, Split};

use aldermill_routing::{MemberStatus, Micros, Verdict};
use aldermill_settings::micros_from_millis;

use crate::error::MessageError;

/// What stands between two fields.
const SEPARATOR: char = '\t';
/// What stands in place of a field that is left out.
const ABSENT: &str = "-";

/// The fields of one line, read from left to right. Each method reads the next one; its parameter is the field's name, for
/// the error.
pub struct Fields<'a> {
    parts: Split<'a, char>,
}

impl<'a> Fields<'a> {
    /// The fields of that line, which has no line end.
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields { parts: line.split(SEPARATOR) }
    }

    /// The message's first word.
    pub fn message_name(&mut self) -> &'a str {
        self.parts.next().unwrap_or_default()
    }

    /// All that is left of the line.
    pub fn rest(&mut self) -> String {
        self.parts.by_ref().collect::<Vec<_>>().join("\t")
    }

    /// A text, or `None` where it is left out.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, MessageError> {
        match self.parts.next() {
            None => Err(MessageError::Missing(field)),
            Some(ABSENT) => Ok(None),
            Some(text) => Ok(Some(text)),
        }
    }

    /// Passes over a field that nothing follows from; it must be there all the same.
    pub fn skip(&mut self, field: &'static str) -> Result<(), MessageError> {
        self.optional_text(field).map(|_| ())
    }

    /// A text that must not be left out.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, MessageError> {
        self.optional_text(field)?.ok_or(MessageError::Missing(field))
    }

    /// A whole number, or `None` where it is left out.
    pub fn optional_integer(&mut self, field: &'static str) -> Result<Option<u64>, MessageError> {
        self.optional_number(field)
    }

    /// A whole number that must not be left out.
    pub fn integer(&mut self, field: &'static str) -> Result<u64, MessageError> {
        self.optional_number(field)?.ok_or(MessageError::Missing(field))
    }

    /// The number of the router that the message is for, or comes from.
    pub fn router_number(&mut self) -> Result<u32, MessageError> {
        const FIELD: &str = "who";
        self.optional_number(FIELD)?.ok_or(MessageError::Missing(FIELD))
    }

    /// A number; 0 where it is left out.
    pub fn number_or_zero(&mut self, field: &'static str) -> Result<f64, MessageError> {
        Ok(self.optional_number(field)?.unwrap_or(0.0))
    }

    /// A time in milliseconds, as whole microseconds, or `None` where it is left out.
    pub fn optional_time(&mut self, field: &'static str) -> Result<Option<Micros>, MessageError> {
        let millis: Option<f64> = self.optional_number(field)?;
        match millis {
            Some(millis) if !millis.is_finite() => Err(MessageError::InfiniteTime(field)),
            millis => Ok(millis.map(micros_from_millis)),
        }
    }

    /// A time in milliseconds that must not be left out, as whole microseconds.
    pub fn time(&mut self, field: &'static str) -> Result<Micros, MessageError> {
        self.optional_time(field)?.ok_or(MessageError::Missing(field))
    }

    /// A flag, 0 or 1.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, MessageError> {
        match self.text(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(MessageError::InvalidFlag { field, text: other.to_owned() }),
        }
    }

    /// Whether a listed member takes requests.
    pub fn standing(&mut self, field: &'static str) -> Result<MemberStatus, MessageError> {
        match self.text(field)? {
            "ready" => Ok(MemberStatus::Ready),
            "draining" => Ok(MemberStatus::Draining),
            "gone" => Ok(MemberStatus::Unlisted),
            other => Err(MessageError::UnknownCondition { field, text: other.to_owned() }),
        }
    }

    /// How an attempt or a health check ended.
    pub fn verdict(&mut self, field: &'static str) -> Result<Verdict, MessageError> {
        match self.integer(field)? {
            200 => Ok(Verdict::Served),
            204 => Ok(Verdict::NotPrimary),
            408 => Ok(Verdict::TimedOut),
            409 => Ok(Verdict::NotSent),
            429 => Ok(Verdict::Overloaded),
            444 => Ok(Verdict::Cancelled),
            502 => Ok(Verdict::Error),
            520 => Ok(Verdict::Reset),
            521 => Ok(Verdict::Unconnected),
            code => Err(MessageError::UnknownOutcome { field, code }),
        }
    }

    fn optional_number<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, MessageError> {
        let Some(text) = self.optional_text(field)? else { return Ok(None) };
        let number =
            text.parse().map_err(|_| MessageError::InvalidNumber { field, text: text.to_owned() })?;
        Ok(Some(number))
    }
}
