use std::fmt::{self, Write as _};
use std::io::Write;
use std::str::{FromStr, Split};

use aldermill_routing::{Micros, Standing, Verdict};
use aldermill_settings::micros_from_millis;

use crate::error::MessageError;

/// The tab-separated parts of one line, taken from left to right.
pub struct Fields<'a> {
    parts: Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields { parts: line.split('\t') }
    }

    pub fn verb(&mut self) -> &'a str {
        self.parts.next().unwrap_or_default()
    }

    pub fn rest(&mut self) -> String {
        self.parts.by_ref().collect::<Vec<_>>().join("\t")
    }

    pub fn optional(&mut self, field: &str) -> Result<Option<&'a str>, MessageError> {
        match self.parts.next() {
            None => Err(MessageError::new(field, "missing")),
            Some("-") => Ok(None),
            Some(text) => Ok(Some(text)),
        }
    }

    pub fn skip(&mut self, field: &str) -> Result<(), MessageError> {
        self.optional(field).map(|_| ())
    }

    pub fn text(&mut self, field: &str) -> Result<&'a str, MessageError> {
        self.optional(field)?.ok_or_else(|| MessageError::new(field, "missing"))
    }

    fn parsed<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, MessageError> {
        let Some(text) = self.optional(field)? else { return Ok(None) };
        text.parse().map(Some).map_err(|_| MessageError::new(field, &format!("bad number {text:?}")))
    }

    pub fn optional_integer(&mut self, field: &str) -> Result<Option<u64>, MessageError> {
        self.parsed(field)
    }

    pub fn integer(&mut self, field: &str) -> Result<u64, MessageError> {
        self.parsed(field)?.ok_or_else(|| MessageError::new(field, "missing"))
    }

    pub fn instance(&mut self) -> Result<u32, MessageError> {
        self.parsed("who")?.ok_or_else(|| MessageError::new("who", "missing"))
    }

    pub fn number(&mut self, field: &str) -> Result<f64, MessageError> {
        Ok(self.parsed(field)?.unwrap_or(0.0))
    }

    pub fn optional_time(&mut self, field: &str) -> Result<Option<Micros>, MessageError> {
        let millis: Option<f64> = self.parsed(field)?;
        match millis {
            Some(millis) if !millis.is_finite() => Err(MessageError::new(field, "not a finite time")),
            millis => Ok(millis.map(micros_from_millis)),
        }
    }

    pub fn time(&mut self, field: &str) -> Result<Micros, MessageError> {
        self.optional_time(field)?.ok_or_else(|| MessageError::new(field, "missing"))
    }

    pub fn flag(&mut self, field: &str) -> Result<bool, MessageError> {
        match self.text(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(MessageError::new(field, &format!("neither 0 nor 1: {other:?}"))),
        }
    }

    pub fn standing(&mut self, field: &str) -> Result<Standing, MessageError> {
        match self.text(field)? {
            "ready" => Ok(Standing::Ready),
            "draining" => Ok(Standing::Draining),
            "gone" => Ok(Standing::Gone),
            other => Err(MessageError::new(field, &format!("unknown condition {other:?}"))),
        }
    }

    pub fn verdict(&mut self, field: &str) -> Result<Verdict, MessageError> {
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
            other => Err(MessageError::new(field, &format!("unknown outcome {other}"))),
        }
    }
}

fn millis(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}

/// The reply to one batch, line by line.
#[derive(Default)]
pub struct Reply {
    text: String,
}

impl Reply {
    fn add(&mut self, line: fmt::Arguments) {
        // Writing to a String cannot fail.
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }

    pub fn call_out(&mut self, who: u32, ticket: u64, member: &str, timeout: Micros) {
        self.add(format_args!("CALL_OUT\t{who}\t{ticket}\t{member}\t{}", millis(timeout)));
    }

    pub fn turn_away(&mut self, who: u32, ticket: u64, retry_after: Micros) {
        self.add(format_args!("TURN_AWAY\t{who}\t{ticket}\t{}", millis(retry_after)));
    }

    pub fn error(&mut self, who: u32, ticket: u64) {
        self.add(format_args!("ERROR\t{who}\t{ticket}"));
    }

    pub fn poll(&mut self, who: u32, member: &str) {
        self.add(format_args!("POLL\t{who}\t{member}"));
    }

    pub fn shut_idle(&mut self, who: u32, member: &str) {
        self.add(format_args!("SHUT_IDLE\t{who}\t{member}"));
    }

    pub fn stream_changes(&mut self, who: u32) {
        self.add(format_args!("STREAM_CHANGES\t{who}\t1"));
    }

    pub fn defer(&mut self, who: u32, delay: Micros, name: u64) {
        self.add(format_args!("DEFER\t{who}\t{}\t{name}", millis(delay)));
    }

    pub fn finish(&mut self, out: &mut impl Write) -> std::io::Result<()> {
        self.text.push_str("FINISHED\n");
        out.write_all(self.text.as_bytes())?;
        self.text.clear();
        out.flush()
    }
}
