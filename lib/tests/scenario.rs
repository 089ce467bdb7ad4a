//! Helpers for tests with several instances: a fleet under load, and checks of its flows.

use std::time::Duration;

use quetzal_lib::state::{key, packet};
use quetzal_testutils::{caller, fleet, sheet};

/// Interval between packets of a flow.
const PACKET_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between new flows.
const FLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Two services of 14 and 4 targets, with a flexible share in per mille.
pub fn services(share: u16) -> Vec<sheet::Service> {
    vec![
        sheet::Service::new("rounds-board", 14, share),
        sheet::Service::new("proof-vault", 4, share),
    ]
}

/// Starts a fleet and waits until it serves the first sheet.
pub fn start_fleet(options: fleet::Options, services: &[sheet::Service]) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(options);
    fleet.record_decisions = true;
    fleet.publish(sheet::sheet(1, services));
    fleet.run(Duration::from_secs(4));
    for node in &fleet.nodes {
        assert!(
            node.control.is_settled(),
            "instance not settled after its start"
        );
    }
    fleet
}

/// Starts flows and runs the fleet for `length`. Every fourth flow goes to the second service, and
/// every eighth lasts for 25 s instead of 3 s.
pub fn run_load(fleet: &mut fleet::Fleet, length: Duration) {
    let count = (length.as_millis() / FLOW_INTERVAL.as_millis()) as usize;
    for number in 0..count {
        let service = usize::from(number % 4 == 0);
        let life = if number % 8 == 0 {
            Duration::from_secs(25)
        } else {
            Duration::from_secs(3)
        };
        fleet.start_flow(service, packet::Protocol::Tcp, life, PACKET_INTERVAL);
        fleet.run(FLOW_INTERVAL);
    }
}

/// Runs the fleet until all flows have ended.
pub fn finish_flows(fleet: &mut fleet::Fleet) {
    fleet.run(Duration::from_secs(40));
}

/// Histories of the broken flows.
pub fn broken_flow_histories(fleet: &fleet::Fleet) -> String {
    let broken = |number: &usize| fleet.flows[*number].state == caller::State::Broken;
    let flows: Vec<usize> = (0..fleet.flows.len()).filter(broken).collect();
    flows.into_iter().map(|flow| fleet.history(flow)).collect()
}

/// Number of broken flows.
pub fn count_broken(fleet: &fleet::Fleet) -> usize {
    fleet.count_flows(|state| *state == caller::State::Broken)
}

/// Number of flows whose first packets got no answer.
pub fn count_unanswered(fleet: &fleet::Fleet) -> usize {
    fleet.count_flows(|state| *state == caller::State::GivenUp)
}

/// Asserts that all packets of a flow reached the same target.
pub fn assert_one_target_each(fleet: &fleet::Fleet) {
    for (number, flow) in fleet.flows.iter().enumerate() {
        assert!(flow.targets.len() <= 1, "{}", fleet.history(number));
    }
}

/// Asserts that no packet reached a target of another service.
pub fn assert_right_service(fleet: &fleet::Fleet, services: &[sheet::Service]) {
    let sheet = sheet::sheet(1, services);
    for flow in &fleet.flows {
        let allowed: Vec<key::Id> = sheet
            .targets
            .iter()
            .filter(|target| target.service.index() == flow.service)
            .map(|target| target.id(&sheet.services[flow.service]))
            .collect();
        assert!(flow.targets.iter().all(|target| allowed.contains(target)));
    }
}

/// Stable identifier of a target.
pub fn target_id(services: &[sheet::Service], service: usize, number: u32) -> key::Id {
    let sheet = sheet::sheet(1, services);
    let name = format!("{}-{number}", services[service].name);
    let target = sheet
        .targets
        .iter()
        .find(|target| target.name == name.as_str());
    target
        .expect("a target of the sheet")
        .id(&sheet.services[service])
}
