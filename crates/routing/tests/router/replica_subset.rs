//! Endpoint lists with so many members that a router uses only a subset of them.

use std::collections::BTreeSet;

use aldermill_routing::{ListedMember, MemberId, MemberStatus, Request, RouterConfig, Verdict};

use crate::simulation::{
    ANY_AGE_READ, MS, RECENT_READ, Simulation, large_fleet_config, list_entry, router_config, target,
};

/// Submits `read_count` reads to the router, ten per second, and returns the members that served them.
fn serve_reads(simulation: &mut Simulation, read_count: usize) -> BTreeSet<MemberId> {
    let mut used_members = BTreeSet::new();
    for _ in 0..read_count {
        simulation.advance(100 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        if let Some(id) = target(simulation, read) {
            used_members.insert(id);
            simulation.end_attempt(read, Verdict::Served);
        }
    }
    used_members
}

/// Returns a simulation of `members` and of a router that belongs to a fleet of `router_count`, and that
/// has learned from 60 reads how few requests it gets.
fn settled_simulation(members: usize, router_count: usize, seed: u64) -> Simulation {
    let config =
        RouterConfig { routers: router_count, routers_sharing_warm_up: router_count, ..large_fleet_config() };
    let mut simulation = Simulation::with_seed(config, members, seed);
    serve_reads(&mut simulation, 60);
    simulation
}

#[test]
fn a_router_uses_few_of_very_many_members() {
    let mut simulation = settled_simulation(320, 1, 4);
    let used_members = serve_reads(&mut simulation, 300);
    assert!(
        (7..=15).contains(&used_members.len()),
        "{} members used for ten requests a second",
        used_members.len()
    );
}

#[test]
fn a_router_uses_all_members_if_it_can_keep_connections_to_them() {
    let mut simulation = settled_simulation(100, 1, 4);
    let used_members = serve_reads(&mut simulation, 600);
    assert!(used_members.len() > 90, "{} of 100 members used", used_members.len());
}

#[test]
fn all_routers_together_spread_evenly_over_the_members() {
    let mut routers_by_member = vec![0; 320];
    for seed in 0..120 {
        let mut simulation = settled_simulation(320, 1, seed);
        serve_reads(&mut simulation, 60).into_iter().for_each(|id| routers_by_member[id] += 1);
    }
    let mean = routers_by_member.iter().sum::<usize>() as f64 / 320.0;
    let variance =
        routers_by_member.iter().map(|&routers| (routers as f64 - mean).powi(2)).sum::<f64>() / 320.0;
    // If the routers chose their members purely at random, the variance would equal the mean.
    assert!(variance < mean * 1.5, "variance {variance}, mean {mean}");
    assert!(routers_by_member.iter().filter(|&&routers| routers == 0).count() < 20);
}

#[test]
fn draining_members_are_replaced_and_the_others_kept() {
    let mut simulation = settled_simulation(320, 1, 4);
    let before = serve_reads(&mut simulation, 200);
    let draining: Vec<MemberId> = before.iter().copied().take(5).collect();
    draining.iter().for_each(|&id| simulation.update_list_entry(id, MemberStatus::Draining, None));
    let after = serve_reads(&mut simulation, 200);
    assert!(draining.iter().all(|id| !after.contains(id)));
    let kept = before.intersection(&after).count();
    assert!(kept + 7 >= before.len(), "{kept} of {} members kept", before.len());
    assert!(after.len() + 3 >= before.len(), "{} members used, {} before", after.len(), before.len());
}

#[test]
fn reads_beyond_the_capacity_of_the_subset_go_to_other_members() {
    let mut simulation = settled_simulation(320, 1, 4);
    let reads: Vec<_> = (0..400).map(|_| simulation.submit(ANY_AGE_READ, 1_000 * MS)).collect();
    let used_members: BTreeSet<MemberId> =
        reads.iter().filter_map(|&read| target(&simulation, read)).collect();
    assert_eq!(
        reads.iter().filter(|&&read| target(&simulation, read).is_some()).count(),
        400,
        "no read waits"
    );
    assert!(used_members.len() > 20, "{} members used for 400 reads at once", used_members.len());
}

#[test]
fn unused_members_are_not_health_checked() {
    let mut simulation = Simulation::with_seed(RouterConfig { routers: 1, ..router_config() }, 320, 4);
    let mut checked_members = Vec::new();
    for _ in 0..100 {
        simulation.advance(100 * MS);
        let read = simulation.submit(RECENT_READ, 1_000 * MS);
        let newly_checked = std::mem::take(&mut simulation.health_checks);
        for &id in &newly_checked {
            simulation.positions[id] = simulation.now;
            simulation.end_health_check(id, true);
        }
        checked_members.extend(newly_checked);
        if target(&simulation, read).is_some() {
            simulation.end_attempt(read, Verdict::Served);
        }
    }
    assert!(checked_members.len() <= 150, "{} health checks for 100 reads", checked_members.len());
    let distinct_members: BTreeSet<MemberId> = checked_members.into_iter().collect();
    assert!(distinct_members.len() < 120, "{} different members health checked", distinct_members.len());
}

#[test]
fn connections_opened_by_a_search_are_closed_and_those_of_used_members_kept() {
    let mut simulation = settled_simulation(320, 1, 4);
    simulation.idle_closed.clear();
    let used_members = serve_reads(&mut simulation, 100);
    assert!(
        simulation.idle_closed.is_empty(),
        "idle connections closed after reads: {:?}",
        simulation.idle_closed
    );
    let unused_member = (0..320)
        .find(|id| !used_members.contains(id) && *id != simulation.primary)
        .expect("a replica is unused");
    simulation.end_health_check(unused_member, true);
    let used_member = *used_members.iter().find(|id| **id != simulation.primary).expect("a replica is used");
    simulation.end_health_check(used_member, true);
    assert_eq!(simulation.idle_closed, [unused_member]);
}

#[test]
fn a_newly_started_router_uses_few_members() {
    let mut simulation = Simulation::with_seed(
        RouterConfig { routers: 1, routers_sharing_warm_up: 1, ..large_fleet_config() },
        320,
        4,
    );
    let used_members = serve_reads(&mut simulation, 300);
    assert!(used_members.len() <= 40, "{} members used", used_members.len());
}

/// Number of members in each group of [`reads_by_member`].
const GROUP_SIZE: usize = 80;
/// Number of groups of [`reads_by_member`].
const GROUP_COUNT: usize = 24;

/// Returns the number of reads that each member of large groups got from one of thirty routers, which gets
/// 45 reads per second. The first 300 reads are not counted, as the router learns from them how many
/// requests it gets; the next 300 are.
fn reads_by_member(seed: u64) -> Vec<usize> {
    let config = RouterConfig { routers: 30, routers_sharing_warm_up: 30, ..large_fleet_config() };
    let mut simulation = Simulation::with_seed(config, GROUP_SIZE, seed);
    simulation.grow_to(GROUP_SIZE * GROUP_COUNT);
    for id in GROUP_SIZE..GROUP_SIZE * GROUP_COUNT {
        let group = 100 + (id / GROUP_SIZE) as u64;
        simulation.apply_list_entry(ListedMember { group, ..list_entry(id, MemberStatus::Ready, None) });
    }
    let mut reads = vec![0; GROUP_SIZE * GROUP_COUNT];
    for read_index in 0..600 {
        simulation.advance(22 * MS);
        let group = if read_index % GROUP_COUNT == 0 { 7 } else { 100 + (read_index % GROUP_COUNT) as u64 };
        let ttl = 1_000 * MS;
        let read =
            simulation.submit_request(Request { class: ANY_AGE_READ, group, ttl, ..Request::default() });
        let id = target(&simulation, read).expect("the read is attempted at once");
        reads[id] += usize::from(read_index >= 300);
        simulation.end_attempt(read, Verdict::Served);
    }
    reads
}

#[test]
fn thirty_routers_share_groups_of_eighty_and_each_uses_two_replicas_per_group() {
    let mut total_by_member = vec![0; GROUP_SIZE * GROUP_COUNT];
    for seed in 0..30 {
        let reads = reads_by_member(seed);
        let used_count = reads.iter().filter(|&&reads| reads > 0).count();
        assert!(used_count <= 2 * GROUP_COUNT, "{used_count} members used by router {seed}");
        total_by_member.iter_mut().zip(reads).for_each(|(total, reads)| *total += reads);
    }
    let mean = total_by_member.iter().sum::<usize>() as f64 / total_by_member.len() as f64;
    let max_reads = *total_by_member.iter().max().expect("there are members");
    let unused_share =
        total_by_member.iter().filter(|&&reads| reads == 0).count() as f64 / total_by_member.len() as f64;
    // Thirty routers with two replicas per group make sixty draws among its eighty members. Random draws
    // leave out a fraction of 0.47 of these, and draw one of all 1,920 members five or six times.
    assert!(max_reads as f64 <= 8.0 * mean, "{max_reads} reads at one member, mean {mean}");
    assert!(unused_share <= 0.5, "a fraction of {unused_share} of the members is not used");
}
