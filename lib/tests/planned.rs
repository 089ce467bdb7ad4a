//! Planned changes: no flow breaks, whatever changes at the same moment.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quetzal_testutils::{fleet, sheet};

use crate::scenario;

/// A planned change.
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

/// Replaces the instances that have left, as the platform would.
fn replace_left(fleet: &mut fleet::Fleet) {
    for node in 0..fleet.nodes.len() {
        if fleet.is_running(node) && fleet.nodes[node].control.has_left() {
            fleet.kill(node);
            fleet.restart(node);
        }
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// P1, P2, P7.
    #[test]
    fn flows_keep_their_target_across_planned_changes(
        changes in prop::collection::vec((change(), 0u64..2_500), 1..7),
        share in prop_oneof![Just(0u16), Just(100), Just(1_000)],
        lost in 0.0f64..0.02,
        duplicated in 0.0f64..0.05,
        seed in any::<u64>(),
    ) {
        let mut services = scenario::services(share);
        let mut fleet = scenario::started(fleet::Options::new(seed), &services);
        fleet.network.lost = lost;
        fleet.network.duplicated = duplicated;
        scenario::load(&mut fleet, Duration::from_secs(3));
        let mut revision = 1;
        for (change, wait) in changes {
            if apply(&mut fleet, &mut services, change) {
                revision += 1;
                fleet.publish(sheet::sheet(revision, &services));
            }
            scenario::load(&mut fleet, Duration::from_millis(wait));
            replace_left(&mut fleet);
        }
        scenario::load(&mut fleet, Duration::from_secs(2));
        scenario::finish(&mut fleet);
        prop_assert_eq!(scenario::broken(&fleet), 0);
        scenario::assert_one_target_each(&fleet);
    }
}
