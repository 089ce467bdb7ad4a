//! Limits on connections, flow entries and held packets, and the refusal of flows without a fit
//! target.

use std::time::Duration;

use quetzal_lib::coordination::steering;
use quetzal_lib::state::{count, packet};
use quetzal_testutils::{caller, fleet, sheet};

use crate::scenario;

const FLOW_LIFETIME: Duration = Duration::from_secs(30);
const PACKET_INTERVAL: Duration = Duration::from_millis(400);

#[test]
fn a_connection_limit_refuses_only_new_flows_and_admits_flows_again() {
    let mut services = vec![sheet::Service::new("only", 4, 1_000)];
    services[0].connection_limit = Some(50);
    let mut fleet = scenario::start_fleet(fleet::Options::new(1), &services);
    fleet.run(Duration::from_secs(5));
    for _ in 0..200 {
        fleet.start_flow(
            0,
            packet::Protocol::Tcp,
            Duration::from_secs(6),
            PACKET_INTERVAL,
        );
        fleet.run(Duration::from_millis(20));
    }
    let refused = fleet.count_flows(|state| *state == caller::State::Refused);
    let open = fleet.count_flows(|state| matches!(state, caller::State::Open(_)));
    assert!(refused > 50, "{refused} refused");
    // Loads are reported once a second, so owners may exceed the limit by the flows that start in
    // the meantime.
    assert!(open <= 50 + 50, "{open} open");
    assert!(fleet.false_refusals.is_empty());
    fleet.run(Duration::from_secs(20));
    let flow = fleet.start_flow(0, packet::Protocol::Tcp, FLOW_LIFETIME, PACKET_INTERVAL);
    fleet.run(Duration::from_secs(3));
    assert!(
        matches!(fleet.flows[flow].state, caller::State::Open(_)),
        "no flow admitted below the connection limit"
    );
}

#[test]
fn at_the_entry_limit_no_deviating_entry_is_evicted() {
    let services = vec![sheet::Service::new("only", 4, 1_000)];
    let mut options = fleet::Options::new(2);
    options.limits = steering::Limits {
        entries: 60,
        ..steering::Limits::default()
    };
    let mut fleet = scenario::start_fleet(options, &services);
    for _ in 0..400 {
        fleet.start_flow(0, packet::Protocol::Tcp, FLOW_LIFETIME, PACKET_INTERVAL);
        fleet.run(Duration::from_millis(10));
    }
    scenario::finish_flows(&mut fleet);
    assert!(
        fleet.counter(count::Counter::EntryEvicted) > 0,
        "the entry limit was not reached"
    );
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| node.shard.entry_count() <= 60)
    );
    assert_eq!(
        scenario::count_broken(&fleet),
        0,
        "{}",
        scenario::broken_flow_histories(&fleet)
    );
}

#[test]
fn held_packets_are_bounded() {
    let services = vec![sheet::Service::new("only", 4, 1_000)];
    let mut options = fleet::Options::new(3);
    options.limits = steering::Limits {
        held: 5,
        ..steering::Limits::default()
    };
    let mut fleet = scenario::start_fleet(options, &services);
    fleet.network.partitions = vec![0, 1, 2, 3, 4];
    for _ in 0..200 {
        fleet.start_flow(0, packet::Protocol::Tcp, FLOW_LIFETIME, PACKET_INTERVAL);
        fleet.run(Duration::from_millis(5));
        assert!(fleet.nodes.iter().all(|node| node.shard.held_count() <= 5));
    }
    assert!(
        fleet.counter(count::Counter::DropHoldFull) > 0,
        "the limit on held packets was not reached"
    );
}

#[test]
fn without_a_fit_target_first_packets_are_refused() {
    let mut services = vec![sheet::Service::new("only", 3, 1_000)];
    let mut fleet = scenario::start_fleet(fleet::Options::new(4), &services);
    services[0].draining = vec![1, 2, 3];
    fleet.publish(sheet::sheet(2, &services));
    fleet.run(Duration::from_secs(8));
    let flow = fleet.start_flow(0, packet::Protocol::Tcp, FLOW_LIFETIME, PACKET_INTERVAL);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.flows[flow].state, caller::State::Refused);
}
