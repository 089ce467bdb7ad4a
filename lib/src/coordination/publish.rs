//! Building the view for the shards, and the choice of probes and platform watches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::coordination::{bucket, control, ledger};
use crate::state::{key, packet, time, view};

/// Instances that probe each target.
const PROBERS: usize = 2;
/// Instances of each zone that watch the platform.
const WATCHERS: usize = 2;

impl control::Control {
    /// Gives the shards a new view.
    pub(crate) fn publish(&mut self) {
        self.generation += 1;
        let view = Arc::new(view::View {
            addresses: self.view_addresses(),
            generation: self.generation,
            instances: self.view_instances(),
            lease: self.lease.clone(),
            minority: self.minority,
            names: self.ledger.names.clone(),
            other_owners: (self.ranked & !view::mask(self.config.self_key)).count_ones(),
            revision: self.revision(),
            self_key: self.config.self_key,
            services: self.view_services(),
            targets: self.view_targets(),
            topology: self.applied_topology,
        });
        self.outputs.push(control::Output::Publish(view));
    }

    fn view_addresses(&self) -> HashMap<view::Address, key::Service> {
        self.ledger
            .services
            .iter()
            .filter(|(_, service)| service.present)
            .map(|(key, service)| {
                let item = &service.item;
                let address = view::Address {
                    ip: item.address,
                    port: item.port,
                    protocol: item.protocol,
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
        self.ledger
            .targets
            .iter()
            .filter_map(|(key, _)| {
                self.ledger
                    .view_target(key, loads.get(&key).copied().unwrap_or(0))
            })
            .collect()
    }

    fn view_services(&self) -> Vec<view::Service> {
        self.ledger
            .services
            .iter()
            .map(|(_, service)| self.view_service(service))
            .collect()
    }

    fn view_service(&self, service: &ledger::Service) -> view::Service {
        let horizon = match service.item.protocol {
            packet::Protocol::Tcp => bucket::REFUSAL_HORIZON,
            packet::Protocol::Udp => service.item.idle_timeout,
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
            connection_limit: service.item.connection_limit.unwrap_or(u32::MAX),
            idle_timeout: service.item.idle_timeout,
            name: service.item.name.clone(),
            targets: service.targets.clone(),
        }
    }

    fn view_bucket(
        &self,
        service: key::Name,
        number: key::Bucket,
        bucket: &bucket::Bucket,
        horizon: time::Duration,
    ) -> view::Bucket {
        let self_key = self.config.self_key;
        let owner = bucket.owner.unwrap_or(self_key);
        let place_at = match bucket.stage {
            bucket::Stage::Placing { place_at } => place_at,
            _ => time::Instant::FAR,
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
            complete: !bucket.blind && self.ticked_at >= bucket.incomplete_until,
            copies: bucket.copies,
            fallback: bucket.fallback,
            home: bucket.home,
            known_at: bucket.tracked_at + horizon,
            mode,
            owner,
            place_at,
            settling: bucket.settle_until.is_some(),
        }
    }

    /// Whether the owner's last word for this revision is that the bucket is direct.
    fn is_declared_direct(
        &self,
        service: key::Name,
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

    /// Takes up the probes that fall to this instance by rank.
    pub(crate) fn choose_probes(&mut self) {
        let self_key = self.config.self_key;
        let members: Vec<key::Instance> = self.membership.alive().map(|(key, _)| key).collect();
        let probed: Vec<(key::Target, SocketAddr)> = self
            .ledger
            .services
            .iter()
            .flat_map(|(_, service)| &service.targets)
            .filter_map(|key| Some((*key, self.ledger.targets.get(*key)?)))
            .filter(|(_, target)| {
                ledger::is_chosen(target.name, self_key, members.iter().copied(), PROBERS)
            })
            .filter_map(|(key, target)| Some((key, target.item.health?)))
            .collect();
        if probed == self.probed {
            return;
        }
        for (target, _) in &self.probed {
            if !probed.iter().any(|(key, _)| key == target) {
                self.health.stop_probing(*target);
            }
        }
        self.probed = probed;
        self.outputs
            .push(control::Output::Probe(self.probed.clone()));
    }

    /// Takes up or gives up the watch of the platform.
    pub(crate) fn choose_watch(&mut self) {
        let zone = ledger::name_of(&self.config.zone);
        let same_zone = self
            .membership
            .alive()
            .filter(|(_, peer)| peer.zone == zone.0);
        let watching = ledger::is_chosen(
            zone,
            self.config.self_key,
            same_zone.map(|(key, _)| key),
            WATCHERS,
        );
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(control::Output::Watch(watching));
        }
    }
}
