//! Failures in any order: killed and paused instances, network partitions, lost messages, silent
//! targets and an unreachable platform.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quetzal_lib::coordination::message;
use quetzal_lib::state::{packet, time};
use quetzal_testutils::{caller, fleet, sheet};

use crate::scenario;

#[test]
fn killing_an_instance_breaks_no_flow_with_a_replica() {
    let services = scenario::services(100);
    let mut fleet = scenario::start_fleet(fleet::Options::new(3), &services);
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    fleet.kill(1);
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    fleet.restart(1);
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    scenario::finish_flows(&mut fleet);
    assert_eq!(scenario::count_broken(&fleet), 0);
    assert_eq!(scenario::count_unanswered(&fleet), 0);
    scenario::assert_one_target_each(&fleet);
    scenario::assert_right_service(&fleet, &services);
}

#[test]
fn an_instance_dying_while_a_target_drains_breaks_no_flow() {
    for seed in 0..6 {
        let mut services = scenario::services(100);
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        scenario::run_load(&mut fleet, Duration::from_secs(5));
        services[0].draining = vec![2];
        services[0].targets.push(15);
        fleet.publish(sheet::sheet(2, &services));
        scenario::run_load(&mut fleet, Duration::from_millis(100 + seed * 300));
        fleet.kill(seed as usize % 5);
        scenario::run_load(&mut fleet, Duration::from_secs(4));
        services[0].draining = vec![2, 5];
        fleet.publish(sheet::sheet(3, &services));
        scenario::run_load(&mut fleet, Duration::from_secs(4));
        scenario::finish_flows(&mut fleet);
        let total = fleet.flows.len();
        let broken = scenario::count_broken(&fleet);
        assert!(
            broken * 1_000 < total,
            "seed {seed}: {broken} of {total} flows broken"
        );
    }
}

#[test]
fn a_paused_instance_acts_on_nothing_older_than_its_lease() {
    for (seed, millis) in [(1, 400), (2, 900), (3, 1_200), (4, 2_000), (5, 6_000)] {
        let mut services = scenario::services(200);
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        scenario::run_load(&mut fleet, Duration::from_secs(4));
        fleet.pause(2, Duration::from_millis(millis));
        services[0].draining = vec![1, 3];
        fleet.publish(sheet::sheet(2, &services));
        scenario::run_load(&mut fleet, Duration::from_secs(8));
        scenario::finish_flows(&mut fleet);
        assert_eq!(
            scenario::count_broken(&fleet),
            0,
            "pause of {millis} ms: {}",
            scenario::broken_flow_histories(&fleet)
        );
        scenario::assert_one_target_each(&fleet);
    }
}

#[test]
fn a_partitioned_instance_breaks_few_flows_and_settles_again() {
    for seed in 0..4 {
        let services = scenario::services(100);
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        scenario::run_load(&mut fleet, Duration::from_secs(5));
        fleet.network.partitions[3] = 1;
        scenario::run_load(&mut fleet, Duration::from_secs(5));
        fleet.network.partitions[3] = 0;
        scenario::run_load(&mut fleet, Duration::from_secs(5));
        for node in &fleet.nodes {
            assert!(node.control.is_settled(), "not settled after healing");
        }
        scenario::finish_flows(&mut fleet);
        let (total, broken) = (fleet.flows.len(), scenario::count_broken(&fleet));
        println!("seed {seed}: {broken} of {total} flows broken by a network partition");
        for (number, flow) in fleet.flows.iter().enumerate() {
            assert!(flow.later_targets.len() <= 1, "{}", fleet.history(number));
        }
    }
}

/// A failure, or another event that may coincide with one.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Partition(usize),
    Heal,
    Kill(usize),
    SilentTarget(u32),
    Pause(usize, u64),
    Platform(bool),
    Restart(usize),
    Drain(u32),
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        (0usize..5).prop_map(Failure::Partition),
        Just(Failure::Heal),
        (0usize..5).prop_map(Failure::Kill),
        (1u32..14).prop_map(Failure::SilentTarget),
        (0usize..5, 100u64..5_000).prop_map(|(node, millis)| Failure::Pause(node, millis)),
        any::<bool>().prop_map(Failure::Platform),
        (0usize..5).prop_map(Failure::Restart),
        (1u32..14).prop_map(Failure::Drain),
    ]
}

fn inject(
    fleet: &mut fleet::Fleet,
    services: &mut [sheet::Service],
    revision: &mut u64,
    failure: Failure,
) {
    match failure {
        Failure::Partition(node) => fleet.network.partitions[node] = 1,
        Failure::Heal => fleet.network.partitions.fill(0),
        Failure::Kill(node) => fleet.kill(node),
        Failure::SilentTarget(number) => {
            let name = scenario::target_id(services, 0, number);
            fleet.dead_targets.push(name);
        }
        Failure::Pause(node, millis) => fleet.pause(node, Duration::from_millis(millis)),
        Failure::Platform(up) => fleet.platform_up = up,
        Failure::Restart(node) => {
            fleet.kill(node);
            fleet.restart(node);
        }
        Failure::Drain(number) => {
            *revision += 1;
            services[0].draining = vec![number];
            fleet.publish(sheet::sheet(*revision, services));
        }
    }
}

/// Records the start and end of each network partition. A partition counts as ended
/// `AGREEMENT_TIME` after the network has healed, because the instances need that time to agree
/// again.
fn track_partition(fleet: &fleet::Fleet, partitions: &mut Vec<(time::Instant, time::Instant)>) {
    const AGREEMENT_TIME: Duration = Duration::from_secs(3);
    let is_partitioned = fleet.network.partitions.contains(&1);
    let is_open = partitions
        .last()
        .is_some_and(|(_, to)| *to == time::Instant::NEVER);
    if is_partitioned && !is_open {
        partitions.push((fleet.now, time::Instant::NEVER));
    } else if !is_partitioned
        && is_open
        && let Some((_, to)) = partitions.last_mut()
    {
        *to = fleet.now + AGREEMENT_TIME;
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4_242),
        ..Config::default()
    })]

    /// P2, P3, P4 and P6 under any failures: packets reach only targets of their service, a flow
    /// placed outside network partitions gets no second target, no forwarded flow is refused, and
    /// the revision of an instance decreases only with a restart.
    #[test]
    fn failures_never_misdirect_repeat_or_revert(
        failures in prop::collection::vec((failure(), 0u64..2_500), 1..8),
        share in prop_oneof![Just(0u16), Just(100), Just(1_000)],
        limit in prop_oneof![Just(None), Just(Some(60u32))],
        lost in 0.0f64..0.05,
        seed in any::<u64>(),
    ) {
        run_case(&Case { failures, limit, lost, seed, share })?;
    }
}

/// A sequence of failures, each followed by a wait in milliseconds, and the conditions of the run.
struct Case {
    failures: Vec<(Failure, u64)>,
    limit: Option<u32>,
    lost: f64,
    seed: u64,
    share: u16,
}

fn run_case(case: &Case) -> Result<(), TestCaseError> {
    let mut services = scenario::services(case.share);
    services[0].connection_limit = case.limit;
    let mut fleet = scenario::start_fleet(fleet::Options::new(case.seed), &services);
    fleet.network.loss_rate = case.lost;
    scenario::run_load(&mut fleet, Duration::from_secs(3));
    let mut partitions: Vec<(time::Instant, time::Instant)> = Vec::new();
    let mut revision = 1;
    let mut seen = vec![0; fleet.nodes.len()];
    for (failure, wait) in case.failures.iter().copied() {
        inject(&mut fleet, &mut services, &mut revision, failure);
        track_partition(&fleet, &mut partitions);
        scenario::run_load(&mut fleet, Duration::from_millis(wait));
        for (node, seen) in seen.iter_mut().enumerate() {
            let now = fleet.nodes[node].control.revision();
            let restarted = matches!(failure, Failure::Restart(number) if number == node);
            prop_assert!(
                now >= *seen || restarted,
                "revision went back from {} to {now}",
                seen
            );
            *seen = now;
        }
    }
    scenario::finish_flows(&mut fleet);
    scenario::assert_right_service(&fleet, &services);
    prop_assert!(
        fleet.false_refusals.is_empty(),
        "flows were refused after a packet of them was forwarded"
    );
    for (number, flow) in fleet.flows.iter().enumerate() {
        // During a network partition neither side knows the flows that the other side places, and
        // the fabric may deliver packets of a flow to both. A target from which the caller has
        // received no answer resets what reaches it, so a request still runs at most once.
        let placed_during_partition = flow.placed_at.is_some_and(|at| {
            partitions
                .iter()
                .any(|(from, to)| (*from..=*to).contains(&at))
        });
        prop_assert!(
            placed_during_partition || flow.targets.len() <= 1,
            "{}",
            fleet.history(number)
        );
    }
    Ok(())
}

/// First case: a deputy kept a placement that the owner had withdrawn; found with another seed.
/// Second case: a joining instance became owner of buckets whose entries had been lost. It is
/// modelled on the trace of that fault; it is not the case that was found and was not seen failing.
#[test]
fn regression_cases_hold() {
    let cases = [
        Case {
            failures: vec![(Failure::Pause(1, 2_771), 1_560), (Failure::Kill(2), 2_080)],
            limit: None,
            lost: 0.040_996_326_388_839_38,
            seed: 9_528_512_013_927_700_093,
            share: 1_000,
        },
        Case {
            failures: vec![(Failure::Restart(3), 200), (Failure::Partition(0), 900)],
            limit: None,
            lost: 0.0,
            seed: 0,
            share: 1_000,
        },
    ];
    for case in &cases {
        run_case(case).expect("no property is violated");
    }
}

#[test]
fn a_silent_target_is_ejected_despite_healthy_probes() {
    let services = scenario::services(100);
    let mut fleet = scenario::start_fleet(fleet::Options::new(8), &services);
    let silent = scenario::target_id(&services, 0, 4);
    fleet.dead_targets.push(silent);
    scenario::run_load(&mut fleet, Duration::from_secs(12));
    let from = fleet.now;
    scenario::run_load(&mut fleet, Duration::from_secs(4));
    let late = fleet.placements.iter().filter(|(at, _, _)| *at > from);
    let (to_silent, all) = late.fold((0, 0), |(silent_count, all), (_, target, _)| {
        (silent_count + usize::from(*target == silent), all + 1)
    });
    assert!(
        to_silent * 50 < all,
        "{to_silent} of {all} new flows to a silent target"
    );
}

#[test]
fn a_failing_target_gets_no_new_flows_and_returns_slowly() {
    let services = scenario::services(100);
    let mut fleet = scenario::start_fleet(fleet::Options::new(9), &services);
    let target = scenario::target_id(&services, 0, 4);
    let health = sheet::sheet(1, &services).targets[3]
        .health
        .expect("a health endpoint");
    fleet.probe_results.insert(health, message::Probe::Failed);
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    let from = fleet.now;
    scenario::run_load(&mut fleet, Duration::from_secs(3));
    let placed = |from, fleet: &fleet::Fleet| {
        fleet
            .placements
            .iter()
            .filter(|(at, name, _)| *at > from && *name == target)
            .count()
    };
    assert_eq!(placed(from, &fleet), 0);
    fleet.probe_results.clear();
    scenario::run_load(&mut fleet, Duration::from_secs(20));
    let from = fleet.now;
    scenario::run_load(&mut fleet, Duration::from_secs(5));
    assert!(
        placed(from, &fleet) > 0,
        "a recovered target gets flows again"
    );
}

#[test]
fn udp_flows_keep_their_target_while_targets_drain() {
    let mut services = scenario::services(100);
    services[0].protocol = packet::Protocol::Udp;
    let mut fleet = scenario::start_fleet(fleet::Options::new(10), &services);
    let gap = Duration::from_millis(200);
    for number in 0..600 {
        let life = Duration::from_secs(2 + number % 12);
        fleet.start_flow(0, packet::Protocol::Udp, life, gap);
        fleet.run(Duration::from_millis(20));
        if number == 200 {
            services[0].draining = vec![1, 2];
            fleet.publish(sheet::sheet(2, &services));
        }
    }
    scenario::finish_flows(&mut fleet);
    assert_eq!(scenario::count_broken(&fleet), 0);
    scenario::assert_one_target_each(&fleet);
    let unanswered = fleet.count_flows(|state| matches!(state, caller::State::GivenUp));
    assert_eq!(unanswered, 0);
}

/// A restarted process may receive heartbeats of its peers before they receive its first one.
#[test]
fn a_restarted_instance_serves_again_whoever_is_heard_first() {
    let services = scenario::services(1_000);
    for seed in 0..12 {
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        fleet.kill(0);
        fleet.run(Duration::from_millis(2_000 + seed * 37));
        fleet.restart_with_delayed_ticks(0);
        fleet.run(Duration::from_secs(6));
        assert!(fleet.nodes[0].control.is_ready(), "seed {seed}");
    }
}

/// Guards against a flow with two targets: the owner is paused while it holds a first packet for an
/// unacknowledged replica, and another instance places the flow meanwhile.
#[test]
fn an_unconfirmed_placement_gives_way_to_a_confirmed_one() {
    let services = scenario::services(1_000);
    for seed in 0..10 {
        let mut fleet = scenario::start_fleet(fleet::Options::new(seed), &services);
        // Acknowledgements of replicas get lost, so owners hold first packets.
        fleet.network.loss_rate = 0.7;
        scenario::run_load(&mut fleet, Duration::from_millis(400));
        fleet.pause(2, Duration::from_secs(4));
        fleet.network.loss_rate = 0.0;
        scenario::run_load(&mut fleet, Duration::from_secs(6));
        scenario::finish_flows(&mut fleet);
        assert_eq!(
            scenario::count_broken(&fleet),
            0,
            "{}",
            scenario::broken_flow_histories(&fleet)
        );
        scenario::assert_one_target_each(&fleet);
    }
}
