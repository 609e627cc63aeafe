//! Directives of the lease holder, which say how many of a zone's reads go to which other zones.
//!
//! The body of a directive is big-endian:
//!
//! | Bytes | Field |
//! |---|---|
//! | 1 | level, 0 to 3 |
//! | 2 | share of the reads that is shifted to other zones, in thousandths |
//! | 1 | nonzero if the other zones have insufficient capacity |
//!
//! It ends with one entry for each target zone:
//!
//! | Bytes | Field |
//! |---|---|
//! | 1 | zone |
//! | 2 | share of the shifted reads that goes to this zone, in thousandths |

use bytes::{Buf, BufMut};

use crate::report::{get_zone, put_zone};
use crate::{ALL_TRAFFIC, DecodeError, Group, GroupZone, Zone};

/// The state of failover of one group in one zone (`docs/zones.md`, "Levels").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverLevel {
    /// Reads go where each proxy's own routing sends them, which is usually its own zone.
    Local,
    /// The zone does not serve all reads in time, and a share of them spills over to other zones.
    Spillover,
    /// The zone is unreachable, and traffic has failed over to other zones.
    FailedOver,
    /// The zone answers again, and its traffic returns in steps.
    FailingBack,
}

impl FailoverLevel {
    /// Returns the value in the status JSON. Users' programs read it, so it must never change.
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

/// The share of the shifted reads that goes to one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone that receives the reads.
    pub zone: Zone,
    /// The share of the shifted reads that goes to this zone, in thousandths.
    pub share: u16,
}

/// How the proxies of one zone distribute their reads of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficShift {
    /// The failover level that the shift results from.
    pub level: FailoverLevel,
    /// The share that goes to other zones, in thousandths of the reads that could stay in the zone.
    pub shifted_share: u16,
    /// The zones that the shifted reads are divided among.
    pub targets: Vec<ZoneShare>,
    /// Whether less is shifted than intended because the measured capacity of the other zones does not suffice.
    pub insufficient_capacity: bool,
}

/// A traffic shift together with the group and the zone that it applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDirective {
    /// The group whose reads are shifted.
    pub group: Group,
    /// The zone whose proxies shift their reads.
    pub zone: Zone,
    /// The shift that the proxies apply.
    pub shift: TrafficShift,
}

impl ZoneDirective {
    /// Returns the group and the zone that the directive applies to.
    pub fn key(&self) -> GroupZone {
        GroupZone { group: self.group, zone: self.zone }
    }
}

impl TrafficShift {
    /// Returns a shift that leaves all reads where they are.
    pub(crate) fn none() -> TrafficShift {
        TrafficShift {
            level: FailoverLevel::Local,
            shifted_share: 0,
            targets: Vec::new(),
            insufficient_capacity: false,
        }
    }

    /// Encodes the shift as the body of a directive.
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

    /// Decodes the body of a directive.
    ///
    /// Fails on an unknown level, a share above [`ALL_TRAFFIC`], or a body that ends within a field.
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
