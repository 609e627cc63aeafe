//! The measurement of wide fleets: its bounds bite, and a short day counts what it is to count.

use std::time::Duration;

use aldermill_fleet::wide::{Answers, Day, Measured, Shape, compare, excess, measure};

fn usual() -> Measured {
    let answers = Answers { asked: 1000, served: 980, rejected: 20, failed: 0 };
    Measured {
        cpu_s: 0.6,
        memory_mb: 10.0,
        descriptors: 35.0,
        connections: 16.0,
        list_kb: 15.0,
        writes: answers,
        reads: answers,
        ..Measured::default()
    }
}

#[test]
fn each_figure_has_a_bound_that_bites() {
    let small = usual();
    assert!(excess(&compare(&small, &small, 320)).is_empty());
    let served = |served| Answers { asked: 1000, served, rejected: 0, failed: 1000 - served };
    // Just within, and just beyond, for 320 members.
    let within = Measured {
        cpu_s: 0.868,
        memory_mb: 24.2,
        descriptors: 110.0,
        connections: 80.0,
        list_kb: 253.0,
        writes: served(834),
        reads: served(834),
        ..usual()
    };
    assert!(excess(&compare(&small, &within, 320)).is_empty());
    let beyond: [(&str, Measured); 7] = [
        ("CPU s", Measured { cpu_s: 0.871, ..within.clone() }),
        ("peak memory, MB", Measured { memory_mb: 24.4, ..within.clone() }),
        ("descriptors, peak", Measured { descriptors: 111.0, ..within.clone() }),
        ("connections made", Measured { connections: 81.0, ..within.clone() }),
        ("list, KB", Measured { list_kb: 255.0, ..within.clone() }),
        ("writes served", Measured { writes: served(832), ..within.clone() }),
        ("reads served", Measured { reads: served(832), ..within.clone() }),
    ];
    for (what, measured) in beyond {
        assert_eq!(excess(&compare(&small, &measured, 320)), [what]);
    }
}

#[test]
fn both_shapes_have_so_many_times_the_members() {
    let day = Day::default();
    let (large, many) = (day.wide(Shape::LargeGroups, 16), day.wide(Shape::ManyGroups, 16));
    assert_eq!((large.members, large.groups), (320, 4));
    assert_eq!((many.members, many.groups), (320, 64));
}

#[test]
fn a_short_day_of_two_processes_counts_all_that_it_compares() {
    let day = Day { processes: 2, members: 8, groups: 2, length: Duration::from_secs(2), ..Day::default() };
    let measured = measure(&day).unwrap();
    let asked = measured.writes.asked + measured.reads.asked;
    assert!(asked > 100, "{measured:?}");
    assert!(measured.writes.served > 0 && measured.reads.share_served() > 0.5, "{measured:?}");
    assert!(measured.cpu_s > 0.0 && measured.memory_mb > 1.0 && measured.descriptors > 5.0, "{measured:?}");
    assert!(measured.connections >= 1.0 && measured.list_kb > 0.3, "{measured:?}");
    assert_eq!(measured.primaries, 2.0);
    assert_eq!(measured.found_at_start.len(), 4);
    assert!(measured.found_at_start.iter().all(Option::is_some), "{measured:?}");
}
