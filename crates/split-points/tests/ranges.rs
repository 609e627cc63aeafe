//! Groups that their operators have cut into ranges.

use std::collections::BTreeMap;

use aldermill_split_points::{Micros, Picture, RangeAdvice, Ranges, Said, Sketch, State};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;
const KEYS: usize = 2_000;

fn name(key: usize) -> Vec<u8> {
    format!("k{key:06}").into_bytes()
}

struct World {
    now: Micros,
    sketches: Vec<Sketch>,
    rng: Pcg64Mcg,
    ranges: Ranges,
    hot: std::ops::Range<usize>,
    /// Accesses a second.
    rate: usize,
}

impl World {
    fn new(cuts: &[usize], hot: std::ops::Range<usize>) -> World {
        let cuts: Vec<Vec<u8>> = cuts.iter().copied().map(name).collect();
        World {
            now: 0,
            sketches: (0..20).map(|driver| Sketch::start(0, 7 + driver)).collect(),
            rng: Pcg64Mcg::seed_from_u64(3),
            ranges: Ranges::start(0, &cuts, |_| None),
            hot,
            rate: 400,
        }
    }

    fn pass(&mut self, seconds: i64, usual: f64) -> Vec<RangeAdvice> {
        let mut last = Vec::new();
        for _ in 0..seconds {
            self.now += S;
            for _ in 0..self.rate {
                let hot = self.rng.random_bool(0.7);
                let key = if hot {
                    self.rng.random_range(self.hot.clone())
                } else {
                    self.rng.random_range(0..KEYS)
                };
                let driver = self.rng.random_range(0..20);
                self.sketches[driver].access(self.now, &name(key), false, 10.0);
            }
            let told: BTreeMap<String, _> = (self.sketches.iter_mut().enumerate())
                .map(|(driver, sketch)| (format!("n{driver}"), sketch.summary(self.now, 60)))
                .collect();
            last = self.ranges.look(self.now, &Picture::of(&told), 20, usual);
        }
        last
    }
}

#[test]
fn of_several_ranges_the_large_one_is_cut_and_the_others_are_left_whole() {
    let mut world = World::new(&[1_000], 1_400..1_600);
    let said = world.pass(50, 1.0);
    assert_eq!(said.len(), 2);
    assert_eq!(said[0].advice.said, Said::Balanced, "{:?}", said[0].advice);
    assert!((said[1].share - 0.85).abs() < said[1].within + 0.02, "{}", said[1].share);
    let Said::Cut(cut) = &said[1].advice.said else { panic!("{:?}", said[1].advice) };
    assert_eq!(said[1].advice.state, State::Proposed);
    assert!((name(1_450)..name(1_550)).contains(&cut.at), "{}", String::from_utf8_lossy(&cut.at));
    // The operators cut there: what is known of the first range stays, and the two new ones begin anew.
    let at: usize = String::from_utf8_lossy(&cut.at[1..]).parse().unwrap();
    world.ranges.cut(world.now, &[name(1_000), name(at)], |_| None);
    let said = world.pass(50, 1.0);
    let shares: Vec<f64> = said.iter().map(|of| of.share).collect();
    assert!(shares.len() == 3 && shares[1] < 0.5 && shares[2] < 0.5, "{shares:?}");
    // One more halving of each helps, and no more than that is proposed.
    assert!(said.iter().all(|of| !of.merges));
    world.ranges.cut(world.now, &[name(400), name(1_000), name(1_450), name(at), name(1_550)], |_| None);
    let said = world.pass(50, 1.0);
    assert!(said.iter().filter(|of| of.advice.state == State::Proposed).count() <= 3, "{said:?}");
}

#[test]
fn neighbours_that_are_cold_are_merged_once_they_have_been_for_three_windows() {
    let mut world = World::new(&[1_000], 0..KEYS);
    let usual = 1e9;
    let cost = world.pass(5, usual).iter().map(|of| of.advice.cost).sum::<f64>();
    assert!(
        cost > 0.0 && world.pass(5, usual).iter().all(|of| !of.merges),
        "it has not held for long enough"
    );
    let said = world.pass(30, usual);
    assert_eq!(said.iter().map(|of| of.merges).collect::<Vec<_>>(), [false, true]);
    // Their load is what others have: at once it is no more said, and not while too few are heard.
    assert!(world.pass(20, cost).iter().all(|of| !of.merges));
    let cuts = world.ranges.len();
    world.ranges.cut(world.now, &[], |_| None);
    assert_eq!((cuts, world.ranges.len(), world.pass(1, usual).len()), (2, 1, 1));
}

#[test]
fn a_new_holder_goes_on_from_what_stands_for_each_range() {
    let cut = name(1_500);
    let stands = |from: &[u8]| (from == name(1_000)).then(|| cut.clone());
    let mut world = World::new(&[], 1_400..1_600);
    world.ranges = Ranges::start(0, &[name(1_000), Vec::new(), name(1_000)], stands);
    let said = world.pass(25, 1.0);
    assert_eq!(said.len(), 2, "a cut twice, or at no key, is none");
    assert_eq!((said[0].advice.state, said[1].advice.state), (State::Seen, State::Proposed));
    assert!(matches!(&said[1].advice.said, Said::Cut(of) if of.at == cut));
}
