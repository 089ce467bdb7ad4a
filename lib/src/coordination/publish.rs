//! Builds the view for the shards, and selects the targets to probe and the platform's watchers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::coordination::{bucket, control, inventory};
use crate::state::{key, packet, time, view};

/// Number of instances that probe each target.
const PROBERS_PER_TARGET: usize = 2;
/// Number of instances in each zone that watch the platform.
const WATCHERS_PER_ZONE: usize = 2;

impl control::Control {
    /// Publishes a new view to the shards.
    pub(crate) fn publish(&mut self) {
        self.generation += 1;
        let view = Arc::new(view::View {
            addresses: self.view_addresses(),
            generation: self.generation,
            instances: self.view_instances(),
            lease: self.lease.clone(),
            minority: self.minority,
            targets_by_id: self.inventory.targets_by_id.clone(),
            other_owners: (self.owner_mask & !view::instance_bit(self.config.self_key))
                .count_ones(),
            revision: self.revision(),
            self_key: self.config.self_key,
            services: self.view_services(),
            targets: self.view_targets(),
            topology: self.applied_topology,
        });
        self.outputs.push(control::Output::Publish(view));
    }

    fn view_addresses(&self) -> HashMap<view::Address, key::Service> {
        self.inventory
            .services
            .iter()
            .filter(|(_, service)| service.in_sheet)
            .map(|(key, service)| {
                let spec = &service.spec;
                let address = view::Address {
                    ip: spec.address,
                    port: spec.port,
                    protocol: spec.protocol,
                };
                (address, key)
            })
            .collect()
    }

    fn view_instances(&self) -> Vec<Option<view::Instance>> {
        let mut instances = vec![None; view::MAX_INSTANCES];
        for (key, peer) in &self.membership.peers {
            let Some(control) = self.config.peers.get(key) else {
                continue;
            };
            if peer.shards > 0 {
                instances[key.index()] = Some(view::Instance {
                    address: SocketAddr::new(control.ip(), peer.traffic_port),
                    shards: peer.shards,
                });
            }
        }
        instances
    }

    fn view_targets(&self) -> Vec<view::Target> {
        let mut loads: HashMap<key::Target, i64> = HashMap::new();
        for flows in self.peer_flows.values() {
            for (target, flows) in flows {
                *loads.entry(*target).or_default() += i64::from(*flows);
            }
        }
        self.inventory
            .targets
            .iter()
            .filter_map(|(key, _)| {
                self.inventory
                    .view_target(key, loads.get(&key).copied().unwrap_or(0))
            })
            .collect()
    }

    fn view_services(&self) -> Vec<view::Service> {
        self.inventory
            .services
            .iter()
            .map(|(_, service)| self.view_service(service))
            .collect()
    }

    fn view_service(&self, service: &inventory::Service) -> view::Service {
        let horizon = match service.spec.protocol {
            packet::Protocol::Tcp => bucket::REFUSAL_DELAY,
            packet::Protocol::Udp => service.spec.idle_timeout,
        };
        let buckets = service
            .buckets
            .buckets
            .iter()
            .enumerate()
            .map(|(index, bucket)| {
                self.view_bucket(
                    service.buckets.service,
                    key::Bucket::from(index),
                    bucket,
                    horizon,
                )
            })
            .collect();
        view::Service {
            buckets,
            connection_limit: service.spec.connection_limit.unwrap_or(u32::MAX),
            idle_timeout: service.spec.idle_timeout,
            name: service.spec.name.clone(),
            targets: service.targets.clone(),
        }
    }

    fn view_bucket(
        &self,
        service: key::Id,
        number: key::Bucket,
        bucket: &bucket::Bucket,
        horizon: time::Duration,
    ) -> view::Bucket {
        let self_key = self.config.self_key;
        let owner = bucket.owner.unwrap_or(self_key);
        let place_at = match bucket.stage {
            bucket::Stage::Placing { place_at } => place_at,
            _ => time::Instant::NEVER,
        };
        let mode = if bucket.owner == Some(self_key) {
            match bucket.stage {
                bucket::Stage::Direct => view::Mode::Direct,
                _ => view::Mode::Own,
            }
        } else if self.is_declared_direct(service, number, owner) {
            view::Mode::Direct
        } else {
            view::Mode::Relay
        };
        view::Bucket {
            entries_complete: !bucket.may_be_stale && self.last_tick >= bucket.incomplete_until,
            required_replicas: bucket.required_replicas,
            fallback: bucket.fallback,
            home: bucket.home,
            entries_known_at: bucket.tracked_since + horizon,
            mode,
            owner,
            place_at,
            settling: bucket.settle_until.is_some(),
        }
    }

    /// Whether the owner's last announcement for this revision declares the bucket direct.
    fn is_declared_direct(
        &self,
        service: key::Id,
        number: key::Bucket,
        owner: key::Instance,
    ) -> bool {
        self.membership.peers.get(&owner).is_some_and(|peer| {
            peer.direct_revision == self.revision()
                && peer
                    .direct
                    .get(&service)
                    .is_some_and(|direct| direct.get(number))
        })
    }

    /// Selects the targets that this instance probes according to its rank.
    pub(crate) fn assign_probes(&mut self) {
        let self_key = self.config.self_key;
        let members: Vec<key::Instance> = self.membership.alive().map(|(key, _)| key).collect();
        let probe_targets: Vec<(key::Target, SocketAddr)> = self
            .inventory
            .services
            .iter()
            .flat_map(|(_, service)| &service.targets)
            .filter_map(|key| Some((*key, self.inventory.targets.get(*key)?)))
            .filter(|(_, target)| {
                inventory::is_top_ranked(
                    target.id,
                    self_key,
                    members.iter().copied(),
                    PROBERS_PER_TARGET,
                )
            })
            .filter_map(|(key, target)| Some((key, target.spec.health?)))
            .collect();
        if probe_targets == self.probe_targets {
            return;
        }
        for (target, _) in &self.probe_targets {
            if !probe_targets.iter().any(|(key, _)| key == target) {
                self.health.stop_probing(*target);
            }
        }
        self.probe_targets = probe_targets;
        self.outputs
            .push(control::Output::Probe(self.probe_targets.clone()));
    }

    /// Starts or stops watching the platform, according to the rank within the zone.
    pub(crate) fn assign_watch(&mut self) {
        let zone = inventory::stable_id(&self.config.zone);
        let same_zone = self
            .membership
            .alive()
            .filter(|(_, peer)| peer.zone == zone.0);
        let watching = inventory::is_top_ranked(
            zone,
            self.config.self_key,
            same_zone.map(|(key, _)| key),
            WATCHERS_PER_ZONE,
        );
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(control::Output::Watch(watching));
        }
    }
}
