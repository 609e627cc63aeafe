//! The work of the duty `zones`: what this driver reports, what it decides while it holds the duty, and what is decreed for it.

use std::collections::BTreeMap;

use aldermill_directives::{About, Book, Ledger, Micros};
use aldermill_leases::Term;
use aldermill_zone_failover::frame::{self, Told};
use aldermill_zone_failover::{Evidence, Group, Lean, Level, Zone, Zones};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::duties::Holding;
use crate::messages::ObservationSummary;

pub const DUTY: &str = "zones";
/// Reports count for so long: a driver tells every second, in up to three parts.
const COUNTS: Micros = 4_000_000;

/// A group and a zone as a decree's subject.
fn subject(group: Group, zone: Zone) -> String {
    format!("{group}.{zone}")
}

fn read_subject(subject: &str) -> Option<(Group, Zone)> {
    let (group, zone) = subject.split_once('.')?;
    Some((group.parse().ok()?, zone.parse().ok()?))
}

/// All that stands now, as far as it can be read.
fn standing(book: &Book, now: Micros) -> Vec<(Group, Zone, Lean)> {
    let read = |(subject, body): (&str, &[u8])| {
        let (group, zone) = read_subject(subject)?;
        Some((group, zone, frame::read_decree(body).ok()?))
    };
    book.of_duty(now, DUTY).filter_map(read).collect()
}

pub struct ZonesWork {
    own: Zone,
    /// While it holds the duty under this term.
    holding: Holding<(Evidence, Zones)>,
    /// What was last obeyed.
    obeyed: Vec<(Group, Lean)>,
    log: Logger,
}

impl ZonesWork {
    pub fn start(own: Zone, log: Logger) -> ZonesWork {
        ZonesWork { own, holding: Holding::none(), obeyed: Vec::new(), log }
    }

    /// What is to be reported of what was seen, in parts.
    pub fn report(&self, seen: ObservationSummary) -> Vec<(About, Vec<u8>)> {
        let parts = seen.rows.chunks(frame::ROWS).enumerate().map(|(at, rows)| {
            let told = Told { zone: self.own, over: seen.over, rows: rows.to_vec() };
            (About::new(DUTY, &at.to_string()), frame::report(&told))
        });
        parts.collect()
    }

    /// Once a second: what is decreed, by subject, where this driver holds the duty.
    pub fn decide(
        &mut self,
        now: Micros,
        term: Option<Term>,
        ledger: &Ledger,
        book: &Book,
    ) -> Vec<(String, Vec<u8>)> {
        let begin = || {
            let mut zones = Zones::default();
            for (group, zone, lean) in standing(book, now) {
                zones.goes_on(now, group, zone, &lean);
            }
            (Evidence::default(), zones)
        };
        let Some((evidence, zones)) = self.holding.under(term, begin) else { return Vec::new() };
        let mut told: BTreeMap<String, Vec<Told>> = BTreeMap::new();
        for (driver, _, _, body) in ledger.told(now, COUNTS, DUTY) {
            if let Ok(one) = frame::read_report(body) {
                told.entry(driver.to_owned()).or_default().push(one);
            }
        }
        evidence.take(&told);
        let decreed = zones.decide(now, evidence);
        for (group, zone, lean) in decreed.iter().filter(|(.., lean)| lean.short) {
            info!(self.log, "zones: not enough room elsewhere"; "zone" => zone, "group" => group, "away" => lean.away);
        }
        let bodies = decreed.iter().map(|(group, zone, lean)| (subject(*group, *zone), frame::decree(lean)));
        bodies.collect()
    }

    /// What is decreed for this driver's own zone, where that has changed.
    pub fn obey(&mut self, now: Micros, book: &Book) -> Option<Vec<(Group, Lean)>> {
        let own =
            standing(book, now).into_iter().filter(|(_, zone, lean)| *zone == self.own && lean.away > 0);
        let leans: Vec<(Group, Lean)> = own.map(|(group, _, lean)| (group, lean)).collect();
        if leans == self.obeyed {
            return None;
        }
        for (group, lean) in &leans {
            info!(self.log, "zones: own zone"; "away" => lean.away, "level" => ?lean.level, "group" => group);
        }
        if leans.is_empty() {
            info!(self.log, "zones: own zone"; "level" => ?Level::Near);
        }
        self.obeyed = leans;
        Some(self.obeyed.clone())
    }

    /// What the holder of the duty makes of all reports.
    pub fn describe(&self) -> Value {
        let Some((evidence, zones)) = self.holding.get() else { return Value::Null };
        let views = evidence.views().iter().map(|(&(group, zone), view)| {
            json!({"group": group, "zone": zone, "finding": format!("{:?}", view.finding),
                "level": zones.level(group, zone).map(|level| format!("{level:?}")), "asked": view.asked,
                "sent": view.sent, "served": view.served, "bears": view.bears, "drivers": view.drivers})
        });
        json!({"views": views.collect::<Vec<_>>(), "ill": evidence.ill()})
    }
}
