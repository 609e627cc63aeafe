//! The work of the duty `splits`: summaries of keys are reported, and the holder says where a group's range is best cut.

use std::collections::BTreeMap;

use aldermill_directives::{About, Book, Ledger, Micros};
use aldermill_leases::Term;
use aldermill_split_points::{Group, Picture, RangeAdvice, Ranges, Said, State, Summary, frame};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::duties::Holding;
use crate::messages::ObservationSummary;

pub const DUTY: &str = "splits";
/// Reports count for so long: a driver tells of one group after the other.
const COUNTS: Micros = 60_000_000;

pub struct SplitsWork {
    /// Where the operators have cut.
    cuts: BTreeMap<u64, Vec<String>>,
    /// While it holds the duty under this term.
    holding: Holding<BTreeMap<Group, Ranges>>,
    /// What was last said of each range, and which drivers were set aside.
    said: BTreeMap<String, (State, String)>,
    aside: Vec<String>,
    log: Logger,
}

fn cuts_of(cuts: &BTreeMap<u64, Vec<String>>, group: Group) -> Vec<Vec<u8>> {
    cuts.get(&group).into_iter().flatten().map(|cut| cut.clone().into_bytes()).collect()
}

fn hex(key: &[u8]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// A range as a decree's subject: the group, and the range's first key where it is not the group's first.
fn subject(group: Group, from: &[u8]) -> String {
    if from.is_empty() { group.to_string() } else { format!("{group}+{}", hex(from)) }
}

/// What is said of a range, as it stands in the decree and on the status socket. Keys are in hexadecimal, and as text.
fn body(of: &RangeAdvice, alone: bool) -> Value {
    let advice = &of.advice;
    let state = match advice.state {
        State::Seen => "seen",
        State::Proposed => "proposed",
        State::Withdrawn => "withdrawn",
    };
    let text = |key: &[u8]| String::from_utf8_lossy(key).into_owned();
    let rounded = |share: f64| (share * 1000.0).round() / 1000.0;
    let why = match &advice.said {
        _ if of.merges => json!({"why": "it and the range before it are cold, give both to one"}),
        Said::Balanced => json!({"why": "none too large among its group's ranges"}),
        Said::Unknown => json!({"why": "too little was seen"}),
        Said::Uncovered { heard, living } => {
            json!({"why": "too few drivers are heard", "heard": heard, "living": living})
        }
        Said::Even => json!({"why": "cost follows the number of keys, any cut by their number is as good"}),
        Said::HotKey { key, share } => {
            json!({"why": "one key has most of it, a cut does not help", "key": text(key), "share": rounded(*share)})
        }
        Said::Front { from } => {
            json!({"why": "load is at ever new keys, give those from here on to a new range", "from": text(from)})
        }
        Said::Waits => json!({"why": "it has not held for long enough"}),
        Said::Cut(cut) => json!({"at": hex(&cut.at), "at_text": text(&cut.at), "left": rounded(cut.left),
            "within": rounded(cut.within), "writes": cut.writes.map(rounded)}),
    };
    let mut body = json!({"state": state, "drivers": advice.drivers, "cost_ms": advice.cost.round()});
    if let (Value::Object(body), Value::Object(why)) = (&mut body, why) {
        body.extend(why);
    }
    if !alone {
        (body["from"], body["from_text"]) = (json!(hex(&of.from)), json!(text(&of.from)));
        (body["share"], body["share_within"]) = (json!(rounded(of.share)), json!(rounded(of.within)));
    }
    body
}

/// The cut proposed for a range by an earlier holder's word.
fn standing(book: &Book, now: Micros, subject: &str) -> Option<Vec<u8>> {
    let body: Value = serde_json::from_slice(book.in_force(now, &About::new(DUTY, subject))?).ok()?;
    let proposed = body["state"] == "proposed";
    from_hex(body["at"].as_str().filter(|_| proposed)?)
}

impl SplitsWork {
    pub fn start(cuts: BTreeMap<u64, Vec<String>>, log: Logger) -> SplitsWork {
        SplitsWork { cuts, holding: Holding::none(), said: BTreeMap::new(), aside: Vec::new(), log }
    }

    /// The operators have cut elsewhere: ranges that are as they were keep what is known of them.
    pub fn reread(&mut self, now: Micros, cuts: &BTreeMap<u64, Vec<String>>) {
        self.cuts.clone_from(cuts);
        for (group, ranges) in self.holding.get_mut().into_iter().flatten() {
            ranges.cut(now, &cuts_of(cuts, *group), |_| None);
        }
    }

    pub fn report(&self, seen: &ObservationSummary) -> Vec<(About, Vec<u8>)> {
        let about = |group: &u64| About::new(DUTY, &group.to_string());
        seen.keys.iter().map(|(group, summary)| (about(group), summary.clone())).collect()
    }

    /// Once a second: what is decreed, by subject, where this driver holds the duty; `living` are all drivers.
    pub fn decide(
        &mut self,
        now: Micros,
        term: Option<Term>,
        ledger: &Ledger,
        book: &Book,
        living: usize,
    ) -> Vec<(String, Vec<u8>)> {
        let Some(groups) = self.holding.under(term, BTreeMap::new) else { return Vec::new() };
        let mut told: BTreeMap<Group, BTreeMap<String, Summary>> = BTreeMap::new();
        for (driver, group, _, body) in ledger.told(now, COUNTS, DUTY) {
            if let (Ok(group), Ok(summary)) = (group.parse(), frame::decode(body)) {
                told.entry(group).or_default().insert(driver.to_owned(), summary);
            }
        }
        let pictures: BTreeMap<Group, Picture> =
            told.into_iter().map(|(group, told)| (group, Picture::of(&told))).collect();
        for group in pictures.keys() {
            groups.entry(*group).or_insert_with(|| {
                let stands = |from: &[u8]| standing(book, now, &subject(*group, from));
                Ranges::start(now, &cuts_of(&self.cuts, *group), stands)
            });
        }
        let ranges: usize = groups.values().map(Ranges::len).sum();
        let usual = pictures.values().map(Picture::cost).sum::<f64>() / ranges.max(1) as f64;
        let mut bodies = Vec::new();
        self.aside.clear();
        for (group, picture) in pictures {
            let Some(ranges) = groups.get_mut(&group) else { continue };
            self.aside.extend(picture.aside.iter().cloned());
            let all = ranges.look(now, &picture, living, usual);
            for of in &all {
                let (subject, body) = (subject(group, &of.from), body(of, all.len() == 1));
                let what = body["at_text"].as_str().or(body["why"].as_str()).unwrap_or_default().to_owned();
                let said = (of.advice.state, what);
                if self.said.get(&subject) != Some(&said) {
                    info!(self.log, "splits"; "says" => body.to_string(), "range" => &subject);
                    self.said.insert(subject.clone(), said);
                }
                bodies.push((subject, body.to_string().into_bytes()));
            }
        }
        bodies
    }

    /// Drivers whose figures were set aside.
    pub fn aside(&self) -> &[String] {
        &self.aside
    }
}
