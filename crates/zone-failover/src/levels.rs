use std::collections::{BTreeMap, VecDeque};

use crate::{Evidence, Group, Micros, Zone, ZoneVerdict, ZoneView};

/// At most so many changes of level of one zone of a group, in that time.
const CHANGES: usize = 2;
const MINUTE: Micros = 60_000_000;
/// For how long a finding has to stand before it moves anything: a loss is plain at once, a crowd is not, and what came
/// back has to show that it stays.
const LOST: Micros = 1_000_000;
const CROWDED: Micros = 3_000_000;
const BACK: Micros = 2_000_000;
/// Thousandths by which traffic moves at a time, and how long each step waits for what was served to confirm it.
const STEP: u16 = 100;
const STEP_BACK: u16 = 200;
const CONFIRM: Micros = 2_000_000;
const CONFIRM_BACK: Micros = 1_000_000;
/// What goes elsewhere of a zone that was left. Whoever draws it finds nobody there and goes elsewhere by itself; when it is
/// back its cold members are spared by the rule on them, and others are crowded: holding back more than this only adds to it.
const LEAVES: u16 = 500;
/// The most that a crowded zone sends elsewhere.
const LEANS: u16 = 500;
/// Beyond what a zone was seen to bear it is tried by so much; of that a part is kept for a further failure.
const TRIES: f64 = 1.1;
const KEEPS: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverLevel {
    Near,
    /// Near does not serve all in time: a part goes elsewhere.
    Leaning,
    /// Nobody is there.
    Left,
    /// It is there again, and takes its traffic back in steps.
    Coming,
}

/// What is decreed for one zone of a group: of what its drivers could send near, so many thousandths go elsewhere, and of
/// those so many to each zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficShift {
    pub level: FailoverLevel,
    pub away: u16,
    pub to: Vec<(Zone, u16)>,
    /// The others were not measured to bear all that should go there.
    pub short: bool,
}

#[derive(Clone, Debug)]
struct State {
    level: FailoverLevel,
    away: u16,
    /// What stands of late, since when.
    finding: ZoneVerdict,
    since: Micros,
    stepped: Micros,
    changes: VecDeque<Micros>,
}

/// The levels of all groups and zones, at the holder of the duty.
#[derive(Clone, Debug, Default)]
pub struct FailoverPlanner {
    of: BTreeMap<(Group, Zone), State>,
}

impl FailoverPlanner {
    /// A new holder goes on from what stands.
    pub fn resume(&mut self, now: Micros, group: Group, zone: Zone, lean: &TrafficShift) {
        let (level, away) = (lean.level, lean.away);
        let mut state = State::start(now);
        (state.level, state.away) = (level, away);
        // As if it had just changed: an earlier holder's changes are not known.
        state.changes.push_back(now);
        self.of.insert((group, zone), state);
    }

    /// The rate at which a zone's traffic would go elsewhere, and what others can take of it.
    fn room(views: &BTreeMap<(Group, Zone), ZoneView>, group: Group, zone: Zone) -> f64 {
        let Some(view) = views.get(&(group, zone)) else { return 0.0 };
        let takes = matches!(view.finding, ZoneVerdict::Well | ZoneVerdict::Between);
        if takes { (view.bears * TRIES - view.sent).max(0.0) * KEEPS } else { 0.0 }
    }

    /// Once a second: what is decreed from now on, for each zone that is not simply near or has just become so.
    pub fn decide(&mut self, now: Micros, evidence: &Evidence) -> Vec<(Group, Zone, TrafficShift)> {
        let views = evidence.views();
        for (&(group, zone), view) in views {
            let state = self.of.entry((group, zone)).or_insert_with(|| State::start(now));
            state.see(now, view.finding);
            state.step(now);
        }
        // A zone that is not heard of any more stays where it is; its decree runs out where nobody renews it.
        let groups: Vec<Group> = self.of.keys().map(|&(group, _)| group).collect();
        let mut decreed = Vec::new();
        let mut last = None;
        for group in groups {
            if last.replace(group) != Some(group) {
                decreed.extend(self.share_out(now, group, views));
            }
        }
        decreed
    }

    /// Traffic that leaves goes where room was measured; nobody sends to a zone that sends away itself.
    fn share_out(
        &mut self,
        now: Micros,
        group: Group,
        views: &BTreeMap<(Group, Zone), ZoneView>,
    ) -> Vec<(Group, Zone, TrafficShift)> {
        let zones: Vec<Zone> = self.of.keys().filter(|key| key.0 == group).map(|key| key.1).collect();
        let near =
            |zones: &FailoverPlanner, zone: Zone| zones.of[&(group, zone)].level == FailoverLevel::Near;
        let takers: Vec<Zone> = zones.iter().copied().filter(|&zone| near(self, zone)).collect();
        let mut room: BTreeMap<Zone, f64> =
            takers.iter().map(|&zone| (zone, FailoverPlanner::room(views, group, zone))).collect();
        // What already goes there by earlier decrees is part of what is sent there, and is given back first.
        let rate = |zone: Zone| views.get(&(group, zone)).map_or(0.0, |view| view.asked);
        let mut decreed = Vec::new();
        for &zone in &zones {
            let state = &self.of[&(group, zone)];
            let (level, wanted) = (state.level, state.away);
            if level == FailoverLevel::Near {
                let news = state.changes.back().is_some_and(|&at| now - at <= 3_000_000);
                if news {
                    decreed.push((
                        group,
                        zone,
                        TrafficShift { level, away: 0, to: Vec::new(), short: false },
                    ));
                }
                continue;
            }
            let wants = rate(zone) * f64::from(wanted) / 1000.0;
            let all: f64 = room.values().sum();
            let goes = wants.min(all);
            let away = if rate(zone) > 0.0 { (goes / rate(zone) * 1000.0) as u16 } else { 0 };
            let share = |part: f64| if all > 0.0 { (part / all * 1000.0) as u16 } else { 0 };
            let to = room.iter().filter(|(_, part)| **part > 0.0).map(|(&zone, &part)| (zone, share(part)));
            let to: Vec<(Zone, u16)> = to.collect();
            if all > 0.0 {
                room.values_mut().for_each(|part| *part -= *part / all * goes);
            }
            let short = goes + 0.5 < wants;
            let away = if to.is_empty() { 0 } else { away.min(wanted) };
            decreed.push((group, zone, TrafficShift { level, away, to, short }));
        }
        decreed
    }

    pub fn level(&self, group: Group, zone: Zone) -> Option<FailoverLevel> {
        self.of.get(&(group, zone)).map(|state| state.level)
    }
}

impl State {
    fn start(now: Micros) -> State {
        let (level, finding) = (FailoverLevel::Near, ZoneVerdict::Unknown);
        State { level, away: 0, finding, since: now, stepped: now, changes: VecDeque::new() }
    }

    /// Too little to say is no news: nobody asks where nobody is.
    fn see(&mut self, now: Micros, finding: ZoneVerdict) {
        if finding != self.finding && finding != ZoneVerdict::Unknown {
            (self.finding, self.since) = (finding, now);
        }
    }

    /// Another level, unless it changed too often of late.
    ///
    /// Protects members and clients from traffic that follows a zone which goes and comes. Harms a zone that is lost again
    /// within the minute: its drivers then go by what each sees alone.
    fn becomes(&mut self, now: Micros, level: FailoverLevel, away: u16) {
        self.changes.retain(|&at| now - at < MINUTE);
        if self.changes.len() < CHANGES {
            self.changes.push_back(now);
            (self.level, self.away, self.stepped) = (level, away, now);
        }
    }

    /// One look at the table of docs/zones.md.
    fn step(&mut self, now: Micros) {
        let stands = now - self.since;
        let back = self.level == FailoverLevel::Coming;
        let confirmed = now - self.stepped >= if back { CONFIRM_BACK } else { CONFIRM };
        match (self.level, self.finding) {
            (FailoverLevel::Near | FailoverLevel::Leaning | FailoverLevel::Coming, ZoneVerdict::Lost)
                if stands >= LOST =>
            {
                self.becomes(now, FailoverLevel::Left, LEAVES);
            }
            (FailoverLevel::Near, ZoneVerdict::Crowded) if stands >= CROWDED => {
                self.becomes(now, FailoverLevel::Leaning, STEP)
            }
            (FailoverLevel::Leaning, ZoneVerdict::Crowded) if confirmed => {
                (self.away, self.stepped) = ((self.away + STEP).min(LEANS), now);
            }
            (FailoverLevel::Leaning, ZoneVerdict::Well) if confirmed && stands >= CONFIRM => {
                self.returns(now, STEP)
            }
            (
                FailoverLevel::Left,
                ZoneVerdict::Well | ZoneVerdict::Between | ZoneVerdict::Crowded | ZoneVerdict::Some,
            ) if stands >= BACK => {
                self.becomes(now, FailoverLevel::Coming, LEAVES - STEP_BACK);
            }
            (FailoverLevel::Coming, ZoneVerdict::Well | ZoneVerdict::Between) if confirmed => {
                self.returns(now, STEP_BACK)
            }
            // What came back is not served: a step less.
            (FailoverLevel::Coming, ZoneVerdict::Crowded) if confirmed => {
                (self.away, self.stepped) = ((self.away + STEP).min(LEAVES), now);
            }
            _ => {}
        }
    }

    fn returns(&mut self, now: Micros, step: u16) {
        if self.away > step {
            (self.away, self.stepped) = (self.away - step, now);
        } else {
            // All of it is back; where the level may not change yet it stays at nothing.
            (self.away, self.stepped) = (0, now);
            self.becomes(now, FailoverLevel::Near, 0);
        }
    }
}
