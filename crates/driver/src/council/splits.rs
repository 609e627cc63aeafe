//! The work of the duty `splits`: summaries of keys are reported, and the holder says where a group's range is best cut.

use std::collections::BTreeMap;

use aldermill_decrees::{About, Book, Ledger, Micros};
use aldermill_duties::Term;
use aldermill_splits::{Advice, Advisor, Group, Picture, Said, State, Summary, frame};
use serde_json::{Value, json};
use slog::{Logger, info};

use crate::words::Seen;

pub const DUTY: &str = "splits";
/// Reports count for so long: a driver tells of one group after the other.
const COUNTS: Micros = 60_000_000;

pub struct SplitsWork {
    /// Where the operators have cut.
    cuts: BTreeMap<u64, String>,
    /// While it holds the duty under this term.
    holding: Option<(Term, BTreeMap<Group, Advisor>)>,
    /// What was last said of each group, and which drivers were set aside.
    said: BTreeMap<Group, (State, String)>,
    aside: Vec<String>,
    log: Logger,
}

fn hex(key: &[u8]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// What is said of a group, as it stands in the decree and on the status socket. Keys are in hexadecimal, and as text.
fn body(advice: &Advice) -> Value {
    let state = match advice.state {
        State::Seen => "seen",
        State::Proposed => "proposed",
        State::Taken => "taken",
        State::Withdrawn => "withdrawn",
    };
    let text = |key: &[u8]| String::from_utf8_lossy(key).into_owned();
    let rounded = |share: f64| (share * 1000.0).round() / 1000.0;
    let why = match &advice.said {
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
    body
}

/// What stands of a group by an earlier holder's word.
fn standing(book: &Book, now: Micros) -> BTreeMap<Group, Vec<u8>> {
    let read = |(subject, body): (&str, &[u8])| {
        let body: Value = serde_json::from_slice(body).ok()?;
        let proposed = body["state"] == "proposed";
        Some((subject.parse().ok()?, from_hex(body["at"].as_str().filter(|_| proposed)?)?))
    };
    book.of_duty(now, DUTY).filter_map(read).collect()
}

impl SplitsWork {
    pub fn start(cuts: BTreeMap<u64, String>, log: Logger) -> SplitsWork {
        SplitsWork { cuts, holding: None, said: BTreeMap::new(), aside: Vec::new(), log }
    }

    /// The operators have cut elsewhere: it is looked at anew from there.
    pub fn reread(&mut self, cuts: &BTreeMap<u64, String>) {
        if self.cuts != *cuts {
            self.cuts.clone_from(cuts);
            let advisors = self.holding.iter_mut().flat_map(|(_, advisors)| advisors);
            advisors.for_each(|(group, advisor)| {
                if let Some(cut) = cuts.get(group) {
                    advisor.taken(cut.clone().into_bytes());
                }
            });
        }
    }

    pub fn report(&self, seen: &Seen) -> Vec<(About, Vec<u8>)> {
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
        let Some(term) = term else {
            self.holding = None;
            return Vec::new();
        };
        if self.holding.as_ref().is_none_or(|holding| holding.0 != term) {
            let standing = standing(book, now).into_iter();
            let advisors = standing.map(|(group, at)| (group, Advisor::start(now, Some(at)))).collect();
            self.holding = Some((term, advisors));
        }
        let Some((_, advisors)) = &mut self.holding else { return Vec::new() };
        let mut told: BTreeMap<Group, BTreeMap<String, Summary>> = BTreeMap::new();
        for (driver, group, _, body) in ledger.told(now, COUNTS, DUTY) {
            if let (Ok(group), Ok(summary)) = (group.parse(), frame::decode(body)) {
                told.entry(group).or_default().insert(driver.to_owned(), summary);
            }
        }
        let mut bodies = Vec::new();
        self.aside.clear();
        for (group, told) in told {
            let advisor = advisors.entry(group).or_insert_with(|| {
                let mut advisor = Advisor::start(now, None);
                if let Some(cut) = self.cuts.get(&group) {
                    advisor.taken(cut.clone().into_bytes());
                }
                advisor
            });
            let picture = Picture::of(&told);
            self.aside.extend(picture.aside.iter().cloned());
            let advice = advisor.look(now, picture, living);
            let body = body(&advice);
            let what = body["at_text"].as_str().or(body["why"].as_str()).unwrap_or_default().to_owned();
            let said = (advice.state, what);
            if self.said.get(&group) != Some(&said) {
                info!(self.log, "splits"; "says" => body.to_string(), "group" => group);
                self.said.insert(group, said);
            }
            bodies.push((group.to_string(), body.to_string().into_bytes()));
        }
        bodies
    }

    /// Drivers whose figures were set aside.
    pub fn aside(&self) -> &[String] {
        &self.aside
    }
}
