//! Endpoint lists, which come line by line and are referred to by their number.

use std::collections::HashMap;

use aldermill_routing::{MemberStatus, Micros};

use crate::error::MessageError;
use crate::fields::Fields;

/// The most lines for which memory is reserved before they have come.
const MAX_RESERVED_LINES: usize = 4096;
/// A member is listed as primary from this value of `primary` on.
const PRIMARY_FROM: f64 = 1.0;

/// One line of an endpoint list (`ITEM`).
pub struct Endpoint {
    /// The list says that it is its group's primary (`primary`).
    pub primary: bool,
    /// Its number in the list, a size or a load, or nothing of use (`powerHint`).
    pub weight: f64,
    /// Whether it takes requests (`condition`).
    pub standing: MemberStatus,
    /// Its name (`member`).
    pub name: String,
    /// The name of its group (`cluster`).
    pub group: u64,
    /// The name of its zone (`hall`).
    pub zone: String,
    /// When it last started, on the bench's clock; `None` is long ago (`onlineSinceMs`).
    pub started_at: Option<Micros>,
}

impl Endpoint {
    fn parse(fields: &mut Fields) -> Result<Endpoint, MessageError> {
        let endpoint = Endpoint {
            primary: fields.number_or_zero("primary")? >= PRIMARY_FROM,
            weight: fields.number_or_zero("powerHint")?,
            standing: fields.standing("condition")?,
            name: fields.text("member")?.to_owned(),
            group: fields.integer("cluster")?,
            zone: fields.text("hall")?.to_owned(),
            started_at: fields.optional_time("onlineSinceMs")?.filter(|&started_at| started_at > 0),
        };
        fields.skip("shape")?;
        Ok(endpoint)
    }
}

/// A list that is not whole yet.
#[derive(Clone, Copy)]
struct OpenList {
    number: u64,
    /// How many of its lines are still to come; at least 1.
    remaining: usize,
}

/// All lists that were sent, and the one that is coming in.
#[derive(Default)]
pub struct EndpointLists {
    by_number: HashMap<u64, Vec<Endpoint>>,
    open: Option<OpenList>,
}

impl EndpointLists {
    /// A list is not whole yet: the next line must be one of its lines.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Begins a list (`SHEET`), in place of an earlier one with the same number.
    pub fn begin(&mut self, fields: &mut Fields) -> Result<(), MessageError> {
        let number = fields.integer("page")?;
        let lines = fields.integer("lines")? as usize;
        self.by_number.insert(number, Vec::with_capacity(lines.min(MAX_RESERVED_LINES)));
        self.open = (lines > 0).then_some(OpenList { number, remaining: lines });
        Ok(())
    }

    /// Adds a line to the list that is not whole yet.
    pub fn add_line(&mut self, fields: &mut Fields) -> Result<(), MessageError> {
        let Some(open) = self.open else { return Ok(()) };
        let endpoints = self.by_number.entry(open.number).or_default();
        endpoints.push(Endpoint::parse(fields)?);
        let remaining = open.remaining - 1;
        self.open = (remaining > 0).then_some(OpenList { remaining, ..open });
        Ok(())
    }

    /// The list with that number, as an update names it.
    pub fn get(&self, number: Option<&str>) -> Result<&[Endpoint], MessageError> {
        let number: Option<u64> = number.and_then(|number| number.parse().ok());
        let endpoints = number.and_then(|number| self.by_number.get(&number));
        endpoints.map(Vec::as_slice).ok_or(MessageError::UnknownList)
    }
}
