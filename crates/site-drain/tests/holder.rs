//! The holder of the duty and drivers that keep to what it says, in virtual time.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    Heard, Holder, Keeps, Micros, Obeyed, Open, Order, Plan, Stage, Told, WHOLE, Word,
};

const S: Micros = 1_000_000;
const ACTS: Micros = 10 * S;
const SITES: [&str; 3] = ["a", "b", "c"];

fn word(number: u64, order: Order) -> Word {
    Word { site: "c".to_owned(), number, order, by_ms: 60_000 }
}

/// Six drivers, two at each site.
struct Fleet {
    now: Micros,
    holder: Holder,
    obeyed: Vec<Obeyed>,
    starts: Vec<u64>,
    term: u64,
    number: u64,
    words: Vec<Word>,
    /// Requests a second that one driver has of sessions of its site.
    load: f64,
    standing: Vec<(Plan, (u64, u64))>,
    open: Open,
}

impl Fleet {
    fn new(load: f64) -> Fleet {
        Fleet {
            now: 100 * S,
            holder: Holder::start(0, ACTS),
            obeyed: vec![Obeyed::default(); 6],
            starts: vec![1; 6],
            term: 1,
            number: 0,
            words: Vec::new(),
            load,
            standing: Vec::new(),
            open: Open::default(),
        }
    }

    fn told(&self, driver: usize) -> Told {
        let site = SITES[driver / 2];
        let plan = self.obeyed[driver].plan("c");
        let weight = plan.filter(|plan| plan.stage != Stage::Back).map_or(WHOLE, |plan| plan.weight);
        let leaves = self.load * f64::from(WHOLE - weight) / 1000.0;
        let served = if site == "c" { self.load - leaves } else { self.load + leaves / 2.0 };
        let count = |rate: f64| rate as u32;
        let bound = if site == "c" { served } else { self.load };
        let keeps = plan.map(|plan| {
            let open = if site == "c" {
                Open { sessions: plan.weight.into(), ..self.open }
            } else {
                Open::default()
            };
            let place = self.obeyed[driver].place("c").unwrap_or_default();
            let keeps =
                Keeps { place, number: plan.word.number, weight: plan.weight, stage: plan.stage, open };
            ("c".to_owned(), keeps)
        });
        Told {
            site: site.to_owned(),
            over_ms: 1000,
            ended: count(served),
            in_time: count(served),
            bound: count(bound),
            trips: BTreeMap::new(),
            keeps: keeps.into_iter().collect(),
            words: if driver == 0 { self.words.clone() } else { Vec::new() },
        }
    }

    /// A second in which these drivers are heard, and hear; what was decreed.
    fn second(&mut self, heard: &[usize]) -> Option<Plan> {
        self.now += S;
        let name = |driver: usize| format!("n{driver}");
        let told: BTreeMap<String, Heard> =
            heard.iter().map(|&at| (name(at), (self.starts[at], self.now, self.told(at)))).collect();
        let names: Vec<String> = heard.iter().copied().map(name).collect();
        let living: Vec<&str> = names.iter().map(String::as_str).collect();
        let plans = self.holder.decide(self.now, 0, &told, &living, &self.standing);
        let plan = plans.into_iter().next()?;
        self.number += 1;
        let place = (self.term, self.number);
        self.standing = vec![(plan.clone(), place)];
        for &at in heard {
            self.obeyed[at].hear(self.now, plan.clone(), place);
        }
        Some(plan)
    }

    fn until(&mut self, stage: Stage, most: usize, heard: &[usize]) -> usize {
        (0..most).find(|_| self.second(heard).is_some_and(|plan| plan.stage == stage)).unwrap_or(most)
    }
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[test]
fn a_site_goes_empties_and_is_retired_and_comes_back_by_the_operators_word() {
    let mut fleet = Fleet::new(100.0);
    assert_eq!(fleet.second(&ALL), None, "nobody has said anything");
    fleet.words = vec![word(1, Order::Goes)];
    assert!(fleet.until(Stage::Emptied, 40, &ALL) < 20);
    fleet.open = Open { groups: 1, ..Open::default() };
    assert_eq!(fleet.until(Stage::Retired, 20, &ALL), 20, "a primary is there");
    fleet.open = Open::default();
    assert!(fleet.until(Stage::Retired, 20, &ALL) < 5);
    // An older word is none, and a later one is.
    fleet.words = vec![word(1, Order::TakenBack)];
    assert_eq!(fleet.until(Stage::Back, 20, &ALL), 20);
    fleet.words = vec![word(2, Order::TakenBack)];
    assert!(fleet.until(Stage::Back, 20, &ALL) < 15);
    assert!(fleet.obeyed.iter().all(|of| of.acting(fleet.now, "c").is_empty()));
    fleet.words = vec![word(3, Order::Held)];
    assert_eq!(fleet.until(Stage::Emptied, 20, &ALL), 20);
    assert_eq!(fleet.second(&ALL).unwrap().waits.as_deref(), Some("the operator's word"));
}

#[test]
fn a_holder_that_knows_less_takes_nobody_back_and_a_driver_without_word_starts_nothing_there() {
    let mut fleet = Fleet::new(100.0);
    fleet.words = vec![word(1, Order::Goes)];
    (0..4).for_each(|_| drop(fleet.second(&ALL)));
    let earlier = fleet.standing.clone();
    (0..4).for_each(|_| drop(fleet.second(&ALL)));
    let weight = |fleet: &Fleet, at: usize| fleet.obeyed[at].plan("c").unwrap().weight;
    let before = weight(&fleet, 4);
    assert!(before < earlier[0].0.weight);
    // The next holder was cut off since: it begins with what it knows, and hears of all but two drivers.
    (fleet.standing, fleet.term, fleet.number) = (earlier, 2, 0);
    fleet.holder = Holder::start(fleet.now, ACTS);
    fleet.second(&[0, 1, 4]);
    assert_eq!((weight(&fleet, 4), weight(&fleet, 5)), (before, before));
    assert!(fleet.standing[0].0.weight <= before);
    // Driver 5 is never heard again, and was not taken for dead by this holder: it is waited for from the start of that.
    assert!(fleet.until(Stage::Emptied, 40, &[0, 1, 2, 3, 4]) < 30);
    let acting = |fleet: &Fleet, at: Micros| fleet.obeyed[5].acting(fleet.now + at, "c")[0].stage;
    assert_eq!(acting(&fleet, -8 * S), Stage::Moving);
    assert_eq!(acting(&fleet, 15 * S), Stage::Retired, "it starts nothing there any more");
    assert!(fleet.until(Stage::Retired, 40, &[0, 1, 2, 3, 4]) < 20);
    // Another start of driver 4 that knows nothing says nothing that counts.
    let mut fleet = Fleet::new(100.0);
    fleet.words = vec![word(1, Order::Goes)];
    assert!(fleet.until(Stage::Emptied, 40, &ALL) < 20);
    (fleet.obeyed[4], fleet.starts[4]) = (Obeyed::default(), 2);
    assert_ne!(fleet.second(&ALL).unwrap().stage, Stage::Retired);
}

#[test]
fn a_restart_goes_on_by_what_was_kept_and_what_is_written_is_read() {
    let mut fleet = Fleet::new(100.0);
    fleet.words = vec![word(1, Order::Goes)];
    fleet.until(Stage::Emptied, 40, &ALL);
    let kept: Vec<Plan> = fleet.obeyed[4].plans().cloned().collect();
    let again = Obeyed::start(fleet.now, kept.clone());
    assert_eq!(again.acting(fleet.now, "c")[0].weight, 0);
    assert!(kept[0].shares.values().all(|share| *share > 0) && kept[0].shares.len() == 2);
    assert_eq!(Plan::decode(&kept[0].encode()).unwrap(), kept[0]);
    let told = fleet.told(4);
    assert_eq!(Told::decode(&told.encode()).unwrap(), told);
    assert!(told.encode().len() < 900 && Plan::decode(b"{").is_err());
}

#[test]
fn the_nearest_site_takes_all_where_it_has_the_room_and_those_beyond_a_thousandth() {
    let told = |site: &str, rate: u32, words: Vec<Word>| {
        let trips = BTreeMap::from([("a".to_owned(), 10), ("b".to_owned(), 100)]);
        let of = Told {
            site: site.to_owned(),
            over_ms: 1000,
            ended: rate,
            in_time: rate,
            bound: rate,
            trips,
            ..Told::default()
        };
        Told { words, ..of }
    };
    for (rate, far) in [(800, 1), (100, 1000)] {
        let mut holder = Holder::start(0, ACTS);
        let mut second = |now: Micros, busy: u32, words: Vec<Word>| {
            let all = [
                ("n0", told("a", busy, words)),
                ("n1", told("b", 100, vec![])),
                ("n2", told("c", 100, vec![])),
            ];
            let all = all.map(|(name, told)| (name.to_owned(), (1, now, told)));
            holder.decide(now, 0, &all.into_iter().collect(), &["n0", "n1", "n2"], &[])
        };
        // The nearer one was once seen to bear that much.
        (0..5).for_each(|at| drop(second(at * S, rate, vec![])));
        (5..15).for_each(|at| drop(second(at * S, 100, vec![])));
        let plans = second(15 * S, 100, vec![word(1, Order::Goes)]);
        assert_eq!((plans[0].shares["a"], plans[0].shares["b"]), (1000, far), "{plans:?}");
    }
}
