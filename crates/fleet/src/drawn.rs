//! Plans by chance.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::{
    Agent, Bearing, Between, Fault, Folder, Keys, Known, Order, Plan, Strike, Wants, Way, What,
};

impl Plan {
    /// A plan by chance: one to four faults within some seconds.
    pub fn drawn(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x66_6c65_6574);
        let drivers = rng.random_range(4..=16);
        let seconds = 7.0;
        let faults = (0..rng.random_range(1..=4))
            .map(|_| Fault { at_ms: rng.random_range(1500..3500), what: draw_fault(&mut rng) });
        let mut faults: Vec<Fault> = faults.collect();
        let load = f64::from(rng.random_range(15..60)) / 100.0;
        let (keeps, fellows) = (rng.random_bool(0.5), rng.random_bool(0.3));
        // Drawn last, so that plans without a council stay what they were.
        let council = drivers >= 5 && rng.random_bool(0.4);
        let zones = if council { 3 } else { 1 };
        if council {
            let how = [
                Strike::Kill,
                Strike::Terminate,
                Strike::Stop,
                Strike::CutThere,
                Strike::CutBack,
                Strike::CutBoth,
            ][rng.random_range(0..6)];
            let duty = ["zones", "splits"][rng.random_range(0..2)].to_owned();
            let for_ms = rng.random_range(200..3000);
            faults.push(Fault {
                at_ms: rng.random_range(3600..5000),
                what: What::Holder { duty, how, for_ms },
            });
            let zone = rng.random_range(0..zones);
            let what = match rng.random_range(0..3) {
                0 => What::ZoneLost { zone, for_ms },
                1 => What::ZoneCut { zone, for_ms },
                _ => What::ZoneFar { zone, share: 0.5, ms: 100, for_ms },
            };
            faults.push(Fault { at_ms: rng.random_range(1500..5000), what });
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Plan {
            name: format!("drawn-{seed}"),
            about: "A plan by chance.".to_owned(),
            drivers,
            groups: 2,
            members: 3,
            bearing: Bearing::default(),
            load,
            seconds: if council { seconds + 4.0 } else { seconds },
            keeps,
            fellows: fellows || council,
            voters: if council { 3 } else { 0 },
            duties: ["zones", "splits"].map(str::to_owned).to_vec(),
            zones,
            skew: 0.0,
            sites: 1,
            keys: Keys::Sessions,
            descriptors: None,
            deadline_ms: None,
            faults,
            wants: Wants::default(),
        }
    }
}

/// A site that retires while one to three other things go wrong, of those that must leave it right.
impl Plan {
    pub fn drawn_retiring(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x72_6574_6972_6521);
        let (leaving, sites) = (rng.random_range(0..3), 3);
        let other = (leaving + rng.random_range(1..sites)) % sites;
        let retire = |order| What::Retire { site: leaving, order, by_s: 60 };
        let mut faults = vec![Fault { at_ms: 3_000, what: retire(Order::Goes) }];
        // The primary stands at the first site: it goes on only once that is elsewhere.
        if leaving == 0 {
            let moves = |group| What::MovePrimary { group, election_ms: 300 };
            faults
                .extend((0..2).map(|group| Fault { at_ms: 5_000 + 500 * group as u64, what: moves(group) }));
        }
        for _ in 0..rng.random_range(1..=3) {
            let (at_ms, for_ms) = (rng.random_range(3_200..16_000), rng.random_range(300..4_000));
            let duty = "retire".to_owned();
            let share = 0.12;
            let what = match rng.random_range(0..9) {
                0 | 1 => {
                    let all =
                        [Strike::Kill, Strike::Terminate, Strike::Stop, Strike::CutThere, Strike::CutBack];
                    What::Holder { duty, how: all[rng.random_range(0..all.len())], for_ms }
                }
                2 => What::Holder { duty, how: Strike::CutBoth, for_ms },
                3 => What::SiteDown { site: other, down_ms: for_ms },
                4 => What::SiteCut { site: if rng.random_bool(0.5) { other } else { leaving }, for_ms },
                5 => What::Kill { share, down_ms: for_ms / 2, folder: Folder::AsLeft, known: Known::AtStart },
                6 => What::Terminate { share, down_ms: for_ms / 2, kill_after_ms: None },
                7 => What::Stop { share, for_ms, times: 1, every_ms: 0 },
                _ => What::Cut { between: Between::DriversDrivers, share: 0.25, way: Way::Both, for_ms },
            };
            faults.push(Fault { at_ms, what });
        }
        match rng.random_range(0..8) {
            0 => faults.push(Fault { at_ms: 18_000, what: retire(Order::TakenBack) }),
            1 => {
                faults.push(Fault { at_ms: 6_000, what: retire(Order::Held) });
                faults.push(Fault { at_ms: 10_000, what: retire(Order::Hurried) });
            }
            _ => {}
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Plan {
            name: format!("drawn-retire-{seed}"),
            about: "A site that retires, and what goes wrong meanwhile, by chance.".to_owned(),
            drivers: rng.random_range(6..=9),
            members: 6,
            sites,
            zones: 1,
            load: f64::from(rng.random_range(10..30)) / 100.0,
            seconds: 44.0,
            keeps: true,
            fellows: true,
            voters: 3,
            duties: vec!["retire".to_owned()],
            faults,
            ..Plan::drawn(0)
        }
    }
}

fn draw_fault(rng: &mut Pcg64Mcg) -> What {
    let share = f64::from(rng.random_range(10..=95)) / 100.0;
    let for_ms = rng.random_range(10..3000);
    let way = [Way::There, Way::Back, Way::Both][rng.random_range(0..3)];
    let between =
        [Between::DriversMembers, Between::DriversLists, Between::DriversMembers][rng.random_range(0..3)];
    let folders =
        [Folder::AsLeft, Folder::Emptied, Folder::Torn, Folder::Foreign, Folder::Older, Folder::Newer];
    match rng.random_range(0..14) {
        0 | 1 => What::Stop { share, for_ms, times: 1, every_ms: 0 },
        2 => What::Stop { share, for_ms: for_ms / 4, times: 4, every_ms: 800 },
        3 | 4 => What::Kill {
            share,
            down_ms: for_ms / 4,
            folder: folders[rng.random_range(0..folders.len())],
            known: Known::AtStart,
        },
        5 => What::Terminate { share, down_ms: for_ms / 4, kill_after_ms: None },
        6 => What::Cut { between, share, way, for_ms: for_ms / 2 },
        7 => What::Hold { between, share, way, for_ms: for_ms / 2 },
        8 => What::Delay { between, share, ms: for_ms / 30, jitter_ms: for_ms / 30, for_ms },
        9 => What::CutAt { between, share, way, bytes: rng.random_range(1..5000) },
        10 => What::MovePrimary { group: rng.random_range(0..2), election_ms: for_ms / 3 },
        11 => What::KillMembers { share: share / 3.0, down_ms: for_ms / 2 },
        12 => What::MoveList { share },
        _ => {
            let how = [Agent::Silent, Agent::Older, Agent::Gone][rng.random_range(0..3)];
            What::List { how, for_ms }
        }
    }
}
