//! Planned changes of targets and instances break no flow, even when several happen at the same
//! time.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quetzal_testutils::{fleet, sheet};

use crate::scenario;

/// A planned change of a target or an instance, by its number.
#[derive(Clone, Copy, Debug)]
enum Change {
    Add(u32),
    Drain(u32),
    Leave(usize),
    Remove(u32),
    Return(u32),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (15u32..18).prop_map(Change::Add),
        (1u32..14).prop_map(Change::Drain),
        (0usize..5).prop_map(Change::Leave),
        (1u32..14).prop_map(Change::Remove),
        (1u32..14).prop_map(Change::Return),
    ]
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(9_617),
        ..Config::default()
    }
}

/// Applies a change to the services; returns whether the sheet changed.
fn apply(fleet: &mut fleet::Fleet, services: &mut [sheet::Service], change: Change) -> bool {
    let first = &mut services[0];
    match change {
        Change::Add(number) if !first.targets.contains(&number) => first.targets.push(number),
        Change::Drain(number) if !first.draining.contains(&number) => first.draining.push(number),
        Change::Leave(node) => {
            if fleet.is_running(node) {
                fleet.leave(node);
            }
            return false;
        }
        Change::Remove(number) if first.targets.len() > 8 => {
            first.targets.retain(|target| *target != number);
        }
        Change::Return(number) => first.draining.retain(|target| *target != number),
        _ => return false,
    }
    true
}

/// Restarts the instances that have left, as an orchestrator would.
fn replace_left_instances(fleet: &mut fleet::Fleet) {
    for node in 0..fleet.nodes.len() {
        if fleet.is_running(node) && fleet.nodes[node].control.has_left() {
            fleet.kill(node);
            fleet.restart(node);
        }
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// Planned changes in any order break no flow and give no flow a second target (P1, P2, P7).
    #[test]
    fn flows_keep_their_target_across_planned_changes(
        changes in prop::collection::vec((change(), 0u64..2_500), 1..7),
        share in prop_oneof![Just(0u16), Just(100), Just(1_000)],
        lost in 0.0f64..0.02,
        duplicated in 0.0f64..0.05,
        seed in any::<u64>(),
    ) {
        let mut services = scenario::services(share);
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        fleet.network.loss_rate = lost;
        fleet.network.duplicate_rate = duplicated;
        scenario::run_load(&mut fleet, Duration::from_secs(3));
        let mut revision = 1;
        for (change, wait) in changes {
            if apply(&mut fleet, &mut services, change) {
                revision += 1;
                fleet.publish(sheet::sheet(revision, &services));
            }
            scenario::run_load(&mut fleet, Duration::from_millis(wait));
            replace_left_instances(&mut fleet);
        }
        scenario::run_load(&mut fleet, Duration::from_secs(2));
        scenario::finish_flows(&mut fleet);
        prop_assert_eq!(
            scenario::count_broken(&fleet),
            0,
            "{}",
            scenario::broken_flow_histories(&fleet)
        );
        scenario::assert_one_target_each(&fleet);
    }
}

#[test]
fn an_instance_that_joins_while_buckets_settle_knows_their_former_homes() {
    let mut services = scenario::services(0);
    let mut fleet = scenario::start_fleet(fleet::Options::new(5), &services);
    scenario::run_load(&mut fleet, Duration::from_secs(3));
    fleet.leave(0);
    services[0].targets.push(15);
    services[0].targets.retain(|number| *number != 3);
    fleet.publish(sheet::sheet(2, &services));
    scenario::run_load(&mut fleet, Duration::from_secs(2));
    replace_left_instances(&mut fleet);
    scenario::run_load(&mut fleet, Duration::from_secs(6));
    assert!(fleet.nodes[0].control.is_settled());
    scenario::finish_flows(&mut fleet);
    assert_eq!(
        scenario::count_broken(&fleet),
        0,
        "{}",
        scenario::broken_flow_histories(&fleet)
    );
    scenario::assert_one_target_each(&fleet);
}

/// P5: a draining target gets no new flow later than 3 s after its drain is published, even if an
/// instance is killed at that moment.
#[test]
fn a_draining_target_gets_no_new_flow_after_three_seconds() {
    for seed in 0..5 {
        let mut services = scenario::services(200);
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        let drained = scenario::target_id(&services, 0, 6);
        scenario::run_load(&mut fleet, Duration::from_secs(4));
        services[0].draining = vec![6];
        fleet.publish(sheet::sheet(2, &services));
        if seed % 2 == 1 {
            fleet.kill(2);
        }
        scenario::run_load(&mut fleet, Duration::from_secs(3));
        let from = fleet.now;
        scenario::run_load(&mut fleet, Duration::from_secs(5));
        let late = fleet
            .placements
            .iter()
            .filter(|(at, target, _)| *at > from && *target == drained)
            .count();
        assert_eq!(late, 0, "seed {seed}");
        scenario::finish_flows(&mut fleet);
        assert_eq!(
            scenario::count_broken(&fleet),
            0,
            "{}",
            scenario::broken_flow_histories(&fleet)
        );
    }
}

/// P6: an older revision is never applied, whatever its source.
#[test]
fn an_older_revision_is_never_applied() {
    let mut services = scenario::services(100);
    let mut fleet = scenario::start_fleet(fleet::Options::new(6), &services);
    services[0].draining = vec![6];
    fleet.publish(sheet::sheet(3, &services));
    fleet.run(Duration::from_secs(5));
    fleet.publish(sheet::sheet(2, &services));
    fleet.run(Duration::from_secs(5));
    for node in &fleet.nodes {
        assert_eq!(node.control.revision(), 3);
    }
    fleet.platform_up = false;
    fleet.kill(1);
    fleet.restart(1);
    fleet.run(Duration::from_secs(5));
    assert_eq!(
        fleet.nodes[1].control.revision(),
        3,
        "the sheet comes from a peer"
    );
    assert!(fleet.nodes[1].control.is_ready());
}

/// A sheet is in force on every instance within 5 s, despite message loss between instances.
#[test]
fn a_sheet_is_in_force_everywhere_within_five_seconds() {
    let services = scenario::services(100);
    let mut fleet = scenario::start_fleet(fleet::Options::new(7), &services);
    fleet.network.loss_rate = 0.2;
    fleet.publish(sheet::sheet(2, &services));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.nodes.iter().all(|node| node.control.revision() == 2));
}

/// P7: a leaving instance hands over its entries before it stops.
#[test]
fn a_planned_stop_loses_no_entry() {
    let services = scenario::services(1_000);
    let mut fleet = scenario::start_fleet(fleet::Options::new(8), &services);
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    fleet.leave(2);
    scenario::run_load(&mut fleet, Duration::from_secs(2));
    assert!(fleet.nodes[2].control.has_left());
    let deviating: Vec<_> = fleet
        .flows
        .iter()
        .filter(|flow| fleet.nodes[2].shard.entry(flow.key).is_some())
        .collect();
    assert!(deviating.len() > 20, "the instance held entries");
    fleet.kill(2);
    scenario::run_load(&mut fleet, Duration::from_secs(3));
    scenario::finish_flows(&mut fleet);
    assert_eq!(
        scenario::count_broken(&fleet),
        0,
        "{}",
        scenario::broken_flow_histories(&fleet)
    );
}
