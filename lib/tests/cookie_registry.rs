//! Merging of registry data, discovery of peers through seeds, and which instances watch the
//! platform.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use quetzal_lib::coordination::cookie::{controller, heartbeat, registry};
use quetzal_lib::state::{catalog, key, random, snapshot, time};

fn at(millis: u64) -> time::Instant {
    time::Instant::from_millis(3_600_000 + millis)
}

fn details(state: catalog::State) -> catalog::Target {
    catalog::Target {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        started_unix_ms: 0,
        cold_ms: 0,
        state,
        service: "board".into(),
        slots: 2,
        zone: "here".into(),
    }
}

fn entry(id: u64, revision: u64, presence: catalog::Presence) -> catalog::Registration {
    catalog::Registration {
        id: key::Id(id),
        presence,
        revision,
    }
}

fn present(id: u64, revision: u64) -> catalog::Registration {
    entry(
        id,
        revision,
        catalog::Presence::Present(details(catalog::State::Active)),
    )
}

fn config(version: u64) -> catalog::Config {
    catalog::Config {
        idle_timeout_ms: 15_000,
        routes: Vec::new(),
        services: Vec::new(),
        version,
    }
}

fn full_delta(as_of: u64, version: u64, entries: Vec<catalog::Registration>) -> catalog::Delta {
    catalog::Delta {
        as_of,
        config: Some(config(version)),
        entries,
        since: 0,
        full: true,
    }
}

fn partial_delta(since: u64, as_of: u64, entries: Vec<catalog::Registration>) -> catalog::Delta {
    catalog::Delta {
        as_of,
        config: None,
        entries,
        since,
        full: false,
    }
}

fn status(registry: &registry::Registry, id: u64) -> Option<registry::Status> {
    let key = registry.find(key::Id(id))?;
    registry.targets.get(key).map(|record| record.status)
}

fn loaded_registry() -> registry::Registry {
    let mut registry = registry::Registry::default();
    let delta = full_delta(5, 3, vec![present(1, 4), present(2, 5)]);
    registry.apply(at(0), &delta, at(0));
    registry
}

#[test]
fn a_lower_version_or_revision_never_replaces_a_higher_one() {
    let mut registry = loaded_registry();
    registry.apply(at(10), &full_delta(2, 2, vec![]), at(10));
    assert_eq!((registry.version(), registry.as_of), (3, 5));
    assert_eq!(status(&registry, 1), Some(registry::Status::Present));
    let old = entry(1, 3, catalog::Presence::Removed);
    registry.apply(at(20), &partial_delta(5, 6, vec![old]), at(20));
    assert_eq!(status(&registry, 1), Some(registry::Status::Present));
}

#[test]
fn a_full_delta_removes_unlisted_targets() {
    let mut registry = loaded_registry();
    registry.apply(at(500), &full_delta(9, 3, vec![present(1, 4)]), at(500));
    assert_eq!(status(&registry, 2), Some(registry::Status::Removed));
}

#[test]
fn a_registration_that_vanished_in_an_outage_has_a_grace_period() {
    let mut registry = loaded_registry();
    registry.apply(at(8_000), &full_delta(9, 3, vec![present(1, 4)]), at(8_000));
    assert_eq!(status(&registry, 2), Some(registry::Status::Lapsed));
    registry.tick(at(9_900));
    assert_eq!(status(&registry, 2), Some(registry::Status::Lapsed));
    registry.tick(at(10_300));
    assert_eq!(status(&registry, 2), Some(registry::Status::Removed));
    registry.apply(
        at(10_400),
        &partial_delta(9, 11, vec![present(2, 11)]),
        at(10_400),
    );
    assert_eq!(status(&registry, 2), Some(registry::Status::Present));
}

#[test]
fn a_draining_target_that_vanished_in_an_outage_is_gone() {
    let mut registry = loaded_registry();
    let leaving = catalog::Presence::Present(details(catalog::State::Draining));
    registry.apply(
        at(100),
        &partial_delta(5, 6, vec![entry(2, 6, leaving)]),
        at(100),
    );
    registry.apply(at(8_000), &full_delta(9, 3, vec![present(1, 4)]), at(8_000));
    assert_eq!(status(&registry, 2), Some(registry::Status::Removed));
}

#[test]
fn a_removed_target_is_kept_for_the_life_of_its_flows() {
    let mut registry = loaded_registry();
    let removed = entry(2, 6, catalog::Presence::Removed);
    registry.apply(at(100), &partial_delta(5, 6, vec![removed]), at(100));
    registry.tick(at(60_000));
    assert!(status(&registry, 2).is_some());
    registry.tick(at(76_000));
    assert_eq!(status(&registry, 2), None);
    // An instance that still knows the target needs a full delta.
    assert!(registry.delta_since(5).full);
    assert!(!registry.delta_since(6).full);
}

#[test]
fn an_unreadable_entry_takes_the_target_out_of_use() {
    let mut registry = loaded_registry();
    let broken = entry(2, 6, catalog::Presence::Unreadable);
    registry.apply(at(100), &partial_delta(5, 6, vec![broken]), at(100));
    assert_eq!(status(&registry, 2), Some(registry::Status::Unreadable));
    assert_eq!(status(&registry, 1), Some(registry::Status::Present));
    let unknown = entry(3, 7, catalog::Presence::Unreadable);
    registry.apply(at(200), &partial_delta(6, 7, vec![unknown]), at(200));
    assert_eq!(status(&registry, 3), None);
}

#[test]
fn deltas_carry_only_what_the_requester_lacks() {
    let mut registry = loaded_registry();
    registry.apply(at(100), &partial_delta(5, 8, vec![present(3, 8)]), at(100));
    let delta = registry.delta_since(5);
    assert_eq!(delta.config, None);
    assert_eq!(delta.entries.len(), 1);
    assert_eq!(registry.delta_since(0).entries.len(), 3);
    assert_eq!(registry.delta_since(0).config, Some(config(3)));
}

#[test]
fn cookies_of_many_targets_differ() {
    let mut seen = std::collections::HashSet::new();
    let ids = (0..40_000u64).map(|number| key::Id(number * 0x9e37_79b9));
    let distinct = ids.filter(|id| seen.insert(registry::cookie(*id))).count();
    // By the birthday bound, 40,000 of 2^32 values have fewer than one collision on average.
    assert!(distinct >= 39_995, "{distinct}");
    assert!(!seen.contains(&snapshot::Cookie::NONE));
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7720))
}

/// Instances whose heartbeats and fetches arrive without delay.
struct Fleet {
    instances: Vec<controller::Controller>,
    now: u64,
}

impl Fleet {
    fn new(count: u8) -> Self {
        let seeds = vec![address(0), address(1), address(99)];
        let instances = (0..count)
            .map(|number| {
                let config = controller::Config {
                    address: address(number),
                    incarnation: u64::from(number) + 1,
                    name: format!("instance-{number}").into(),
                    zone: if number % 2 == 0 { "here" } else { "there" }.into(),
                };
                let random = random::Source::new(u64::from(number));
                controller::Controller::new(config, &seeds, 1, random, at(0))
            })
            .collect();
        Self { instances, now: 0 }
    }

    /// Advances the time. `platform` gives the revision with which the platform answers an
    /// instance, none if it does not answer.
    fn run(&mut self, millis: u64, platform: impl Fn(usize) -> Option<u64>) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 50;
            for index in 0..self.instances.len() {
                self.instances[index].tick(at(self.now));
                if let Some(as_of) = platform(index).filter(|_| self.instances[index].watching) {
                    let delta = full_delta(as_of, as_of, vec![present(1, as_of)]);
                    let origin = controller::Origin::Platform;
                    let age = time::Duration::ZERO;
                    self.instances[index].on_delta(at(self.now), &delta, age, origin);
                }
                self.deliver(index);
            }
        }
    }

    fn deliver(&mut self, from: usize) {
        let outputs: Vec<controller::Output> = self.instances[from].outputs().collect();
        for output in outputs {
            match output {
                controller::Output::Heartbeat(to, heartbeat) => self.send(from, &to, &heartbeat),
                controller::Output::Fetch(peer, since) => {
                    let peer = self.index(peer).expect("a peer");
                    let (delta, age_ms) = self.instances[peer].delta_since(at(self.now), since);
                    let origin = controller::Origin::Peer(address(peer as u8));
                    let age = time::Duration::from_millis(u64::from(age_ms));
                    self.instances[from].on_delta(at(self.now), &delta, age, origin);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], heartbeat: &heartbeat::Heartbeat) {
        for address_to in to {
            if let Some(index) = self.index(*address_to) {
                let now = at(self.now);
                self.instances[index].on_heartbeat(now, address(from as u8), heartbeat.clone());
            }
        }
    }

    fn index(&self, address: SocketAddr) -> Option<usize> {
        let position = |controller: &controller::Controller| controller.config.address == address;
        self.instances.iter().position(position)
    }

    fn watchers(&self) -> usize {
        self.instances
            .iter()
            .filter(|controller| controller.watching)
            .count()
    }
}

#[test]
fn instances_find_each_other_through_seeds_of_which_one_is_down() {
    let mut fleet = Fleet::new(8);
    fleet.run(3_000, |_| Some(4));
    for controller in &fleet.instances {
        assert_eq!(controller.peers.alive(at(fleet.now)).count(), 7);
        assert!(controller.is_ready());
    }
}

#[test]
fn only_two_instances_watch_the_platform() {
    let mut fleet = Fleet::new(20);
    fleet.run(5_000, |_| Some(4));
    assert_eq!(fleet.watchers(), 2);
    fleet.run(1_000, |_| Some(9));
    assert!(
        fleet
            .instances
            .iter()
            .all(|controller| controller.registry.as_of == 9)
    );
}

#[test]
fn other_instances_watch_when_the_platform_refuses_the_watchers() {
    let mut fleet = Fleet::new(6);
    fleet.run(4_000, |_| Some(4));
    let refused: Vec<bool> = fleet
        .instances
        .iter()
        .map(|controller| controller.watching)
        .collect();
    fleet.run(3_000, |index| (!refused[index]).then_some(9));
    // A change must be in force within three seconds.
    assert!(
        fleet
            .instances
            .iter()
            .all(|controller| controller.registry.as_of == 9)
    );
}

#[test]
fn an_instance_that_starts_while_the_platform_is_down_fetches_from_a_peer() {
    let mut fleet = Fleet::new(3);
    fleet.run(2_000, |_| Some(4));
    let seeds = vec![address(0)];
    let config = controller::Config {
        address: address(3),
        incarnation: 77,
        name: "late".into(),
        zone: "here".into(),
    };
    let late =
        controller::Controller::new(config, &seeds, 1, random::Source::new(5), at(fleet.now));
    fleet.instances.push(late);
    fleet.run(1_000, |_| None);
    assert!(fleet.instances[3].is_ready());
}

#[test]
fn a_stopping_watcher_hands_over_at_once() {
    let mut fleet = Fleet::new(4);
    fleet.run(4_000, |_| Some(4));
    let first = fleet
        .instances
        .iter()
        .position(|controller| controller.watching);
    let first = first.expect("a watcher");
    let now = at(fleet.now);
    fleet.instances[first].leave(now);
    fleet.deliver(first);
    fleet.run(500, |_| Some(4));
    assert!(!fleet.instances[first].watching && !fleet.instances[first].is_ready());
    assert_eq!(fleet.watchers(), 2);
}

/// Registrations that lapse together, in an outage too short to be detected, must not leave their
/// service without targets.
#[test]
fn a_service_whose_registrations_vanish_at_once_stays_in_use_for_a_while() {
    let mut fleet = Fleet::new(1);
    fleet.run(1_000, |_| Some(4));
    let removed = entry(1, 6, catalog::Presence::Removed);
    let delta = partial_delta(4, 6, vec![removed]);
    let now = at(fleet.now);
    let origin = controller::Origin::Platform;
    fleet.instances[0].on_delta(now, &delta, time::Duration::ZERO, origin);
    let in_use =
        |controller: &controller::Controller| controller.snapshot.services.iter().flatten().count();
    assert_eq!(in_use(&fleet.instances[0]), 1);
    fleet.run(3_000, |_| None);
    assert_eq!(in_use(&fleet.instances[0]), 0);
}
