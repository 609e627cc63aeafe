//! The form of a report and of a decree's body, big-endian.
//!
//! Report: 1 byte of the driver's zone, 4 of milliseconds, then for each row 8 bytes of the group, 1 of the zone, 4 each of
//! attempts, in time, refused, errors, silent, and milliseconds taken. Decree: 1 byte of the level, 2 of
//! thousandths that go elsewhere, 1 that says whether room was short, then for each other zone 1 byte of the
//! zone and 2 of thousandths of what goes elsewhere.

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{FailoverLevel, Micros, OutcomeCounts, Row, TrafficShift, Zone};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("a report or decree ends before it is whole")]
    Short,
    #[error("a level {0}, which this version does not know")]
    Level(u8),
    #[error("{0} thousandths, which is more than all")]
    Share(u16),
}

/// Rows in one report; more go into another.
pub const ROWS: usize = 26;

/// What one driver tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// Where the driver is.
    pub zone: Zone,
    pub over: Micros,
    pub rows: Vec<Row>,
}

pub fn encode_report(told: &ZoneReport) -> Vec<u8> {
    let mut to = Vec::with_capacity(5 + told.rows.len() * 33);
    to.put_u8(told.zone.min(255) as u8);
    to.put_u32((told.over / 1000).clamp(0, 1 << 30) as u32);
    for Row { group, zone, seen } in told.rows.iter().take(ROWS) {
        to.put_u64(*group);
        to.put_u8((*zone).min(255) as u8);
        let OutcomeCounts { attempts, in_time, refused, errors, silent, took_ms } = *seen;
        [attempts, in_time, refused, errors, silent, took_ms].into_iter().for_each(|count| to.put_u32(count));
    }
    to
}

pub fn decode_report(mut from: &[u8]) -> Result<ZoneReport, Malformed> {
    let short = |_| Malformed::Short;
    let zone = Zone::from(from.try_get_u8().map_err(short)?);
    let over = Micros::from(from.try_get_u32().map_err(short)?) * 1000;
    let mut rows = Vec::new();
    while !from.is_empty() {
        let group = from.try_get_u64().map_err(short)?;
        let zone = Zone::from(from.try_get_u8().map_err(short)?);
        let mut counts = [0; 6];
        for count in &mut counts {
            *count = from.try_get_u32().map_err(short)?;
        }
        let [attempts, in_time, refused, errors, silent, took_ms] = counts;
        rows.push(Row {
            group,
            zone,
            seen: OutcomeCounts { attempts, in_time, refused, errors, silent, took_ms },
        });
    }
    Ok(ZoneReport { zone, over, rows })
}

pub fn encode_directive(lean: &TrafficShift) -> Vec<u8> {
    let mut to = Vec::new();
    to.put_u8(match lean.level {
        FailoverLevel::Near => 0,
        FailoverLevel::Leaning => 1,
        FailoverLevel::Left => 2,
        FailoverLevel::Coming => 3,
    });
    to.put_u16(lean.away);
    to.put_u8(u8::from(lean.short));
    for &(zone, share) in &lean.to {
        to.put_u8(zone.min(255) as u8);
        to.put_u16(share);
    }
    to
}

pub fn decode_directive(mut from: &[u8]) -> Result<TrafficShift, Malformed> {
    let short = |_| Malformed::Short;
    let share = |from: &mut &[u8]| match from.try_get_u16().map_err(short)? {
        share @ 0..=1000 => Ok(share),
        share => Err(Malformed::Share(share)),
    };
    let level = match from.try_get_u8().map_err(short)? {
        0 => FailoverLevel::Near,
        1 => FailoverLevel::Leaning,
        2 => FailoverLevel::Left,
        3 => FailoverLevel::Coming,
        level => return Err(Malformed::Level(level)),
    };
    let away = share(&mut from)?;
    let is_short = from.try_get_u8().map_err(short)? != 0;
    let mut to = Vec::new();
    while !from.is_empty() {
        let zone = Zone::from(from.try_get_u8().map_err(short)?);
        to.push((zone, share(&mut from)?));
    }
    Ok(TrafficShift { level, away, short: is_short, to })
}
