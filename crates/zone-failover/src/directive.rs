//! What the lease holder directs: how much of a zone's reads goes to which other zones.
//!
//! Bytes of a directive's body, big-endian: 1 of the level, 2 of the thousandths that go elsewhere, 1 that says whether
//! capacity is short, then for each other zone 1 of the zone and 2 of its thousandths of what goes elsewhere.

use bytes::{Buf, BufMut};

use crate::report::{get_zone, put_zone};
use crate::{ALL_TRAFFIC, DecodeError, Group, GroupZone, Zone};

/// How far a zone's traffic has failed over (docs/zones.md, "Levels").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverLevel {
    /// All reads stay with what each proxy chooses; usually its own zone.
    Local,
    /// The zone does not serve all in time: a part spills over to other zones.
    Spillover,
    /// Nobody answers there: traffic has failed over.
    FailedOver,
    /// The zone answers again, and takes its traffic back in steps.
    FailingBack,
}

impl FailoverLevel {
    /// The word in the status JSON, which programs of the users read. It never changes.
    pub fn status_value(self) -> &'static str {
        match self {
            FailoverLevel::Local => "Near",
            FailoverLevel::Spillover => "Leaning",
            FailoverLevel::FailedOver => "Left",
            FailoverLevel::FailingBack => "Coming",
        }
    }

    fn to_byte(self) -> u8 {
        match self {
            FailoverLevel::Local => 0,
            FailoverLevel::Spillover => 1,
            FailoverLevel::FailedOver => 2,
            FailoverLevel::FailingBack => 3,
        }
    }

    fn from_byte(byte: u8) -> Result<FailoverLevel, DecodeError> {
        match byte {
            0 => Ok(FailoverLevel::Local),
            1 => Ok(FailoverLevel::Spillover),
            2 => Ok(FailoverLevel::FailedOver),
            3 => Ok(FailoverLevel::FailingBack),
            unknown => Err(DecodeError::UnknownLevel(unknown)),
        }
    }
}

/// Where a part of the shifted reads goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone that takes it.
    pub zone: Zone,
    /// Its part of what is shifted, in thousandths.
    pub share: u16,
}

/// What the proxies of one zone do with their reads of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficShift {
    /// The level that the shift follows from.
    pub level: FailoverLevel,
    /// How much goes to other zones, in thousandths of what could stay.
    pub shifted_share: u16,
    /// How that is divided among other zones.
    pub targets: Vec<ZoneShare>,
    /// The other zones were not measured to bear all that should go there, so that less is shifted.
    pub insufficient_capacity: bool,
}

/// A shift, and for whom it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDirective {
    /// The group whose reads are shifted.
    pub group: Group,
    /// The zone whose proxies shift them.
    pub zone: Zone,
    /// What they do.
    pub shift: TrafficShift,
}

impl ZoneDirective {
    /// What the directive is about.
    pub fn key(&self) -> GroupZone {
        GroupZone { group: self.group, zone: self.zone }
    }
}

impl TrafficShift {
    /// No reads are shifted.
    pub(crate) fn none() -> TrafficShift {
        TrafficShift {
            level: FailoverLevel::Local,
            shifted_share: 0,
            targets: Vec::new(),
            insufficient_capacity: false,
        }
    }

    /// The body of a directive.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.put_u8(self.level.to_byte());
        bytes.put_u16(self.shifted_share);
        bytes.put_u8(u8::from(self.insufficient_capacity));
        for part in &self.targets {
            put_zone(&mut bytes, part.zone);
            bytes.put_u16(part.share);
        }
        bytes
    }

    /// Reads the body of a directive; fails on an unknown level, a share above the whole, or an end within a field.
    pub fn decode(mut bytes: &[u8]) -> Result<TrafficShift, DecodeError> {
        let level = FailoverLevel::from_byte(bytes.try_get_u8().map_err(|_| DecodeError::Truncated)?)?;
        let shifted_share = get_share(&mut bytes)?;
        let insufficient_capacity = bytes.try_get_u8().map_err(|_| DecodeError::Truncated)? != 0;
        let mut targets = Vec::new();
        while !bytes.is_empty() {
            let zone = get_zone(&mut bytes)?;
            let share = get_share(&mut bytes)?;
            targets.push(ZoneShare { zone, share });
        }
        Ok(TrafficShift { level, shifted_share, targets, insufficient_capacity })
    }
}

fn get_share(bytes: &mut &[u8]) -> Result<u16, DecodeError> {
    match bytes.try_get_u16().map_err(|_| DecodeError::Truncated)? {
        share if share <= ALL_TRAFFIC => Ok(share),
        share => Err(DecodeError::ShareTooLarge(share)),
    }
}
