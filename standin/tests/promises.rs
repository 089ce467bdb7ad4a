//! Checks of the soak test: which observations break a promise, and which are excused by faults.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use quetzal_standin::soak::network::{self, Promise};

const TARGET: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 100), 8_080);
const INSTANCE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), 8_172);
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 150), 4_000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A time at which the effects of all faults are over.
fn long_ago() -> Instant {
    Instant::now() - Duration::from_secs(60)
}

/// A network without faults: one instance, and one target with an open flow.
fn fault_free_network() -> network::Network {
    let target = network::Target {
        address: TARGET,
        excused_until: long_ago(),
        draining_since: None,
        id: 7,
        incarnation: 1,
        service: "board",
        up: true,
        zone: 0,
    };
    let route = network::Route {
        address: ROUTE,
        allowed_services: HashSet::from(["board"]),
        changed_at: long_ago(),
        service: "board",
    };
    let network = network::Network::new(vec![target], vec![route], 1);
    let mut state = network.state();
    state.instances_excused_until[0] = long_ago();
    state.store_excused_until = long_ago();
    state.on_open(CALLER, 0);
    drop(state);
    network
}

fn breaches(network: &network::Network) -> Vec<Promise> {
    let (_, breaches) = network.state().findings();
    breaches.into_iter().map(|breach| breach.promise).collect()
}

#[test]
fn a_reset_of_a_living_targets_flow_is_a_breach() {
    let network = fault_free_network();
    network.state().on_reset(CALLER, INSTANCE, 0);
    assert_eq!(breaches(&network), [Promise::FlowKept]);
}

#[test]
fn resets_by_the_target_itself_or_after_faults_are_excused() {
    let by_target = fault_free_network();
    by_target.state().on_reset(CALLER, TARGET, 0);
    let restarted_target = fault_free_network();
    restarted_target.state().targets[0].incarnation += 1;
    restarted_target.state().on_reset(CALLER, INSTANCE, 0);
    let excused_instance = fault_free_network();
    excused_instance.state().excuse_instance(0, Duration::ZERO);
    excused_instance.state().on_reset(CALLER, INSTANCE, 0);
    let excused_target = fault_free_network();
    excused_target.state().excuse_target(0, Duration::ZERO);
    excused_target.state().on_reset(CALLER, INSTANCE, 0);
    for network in [
        by_target,
        restarted_target,
        excused_instance,
        excused_target,
    ] {
        assert_eq!(breaches(&network), []);
    }
}

#[test]
fn an_answer_of_another_target_and_a_second_run_are_breaches() {
    let network = fault_free_network();
    network.state().on_response(CALLER, 8);
    network.state().on_request(1, 0);
    network.state().on_request(1, 0);
    assert_eq!(breaches(&network), [Promise::FlowKept, Promise::OnceOnly]);
}

#[test]
fn new_flows_to_the_wrong_place_are_breaches() {
    let network = fault_free_network();
    network.state().on_first_packet(0, ROUTE, 0);
    assert_eq!(breaches(&network), []);
    network.state().targets[0].draining_since = Some(long_ago());
    network.state().on_first_packet(0, ROUTE, 0);
    network.state().targets[0].draining_since = None;
    network.state().routes[0].service = "archive";
    network.state().on_first_packet(0, ROUTE, 0);
    network.state().targets[0].service = "vault";
    network.state().on_first_packet(0, ROUTE, 0);
    let expected = [
        Promise::DrainKept,
        Promise::ConfigInForce,
        Promise::RightService,
        Promise::ConfigInForce,
    ];
    assert_eq!(breaches(&network), expected);
}
