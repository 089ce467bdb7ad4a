//! Sends heartbeats, and fetches newer sheets that peers' heartbeats report.

use crate::coordination::{control, message};
use crate::state::{key, time};

/// Shortest interval between heartbeats, so that one of them carries several changes.
const MIN_HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Largest backoff between fetches of a sheet.
const FETCH_BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

impl control::Control {
    /// Sends heartbeats that are due; a change makes them due at once.
    pub fn send_heartbeats(&mut self, now: time::Instant) {
        if now < self.heartbeat_due || now.since(self.heartbeat_sent) < MIN_HEARTBEAT_INTERVAL {
            return;
        }
        self.heartbeat_sent = now;
        self.heartbeat_due = now + self.config.membership.heartbeat_interval;
        let reports = if now >= self.report_due {
            self.report_due = now + self.config.report_interval;
            self.make_reports()
        } else {
            Vec::new()
        };
        let peers: Vec<key::Instance> = self.membership.peers.keys().copied().collect();
        let base = self.make_heartbeat(now, reports);
        for peer in peers {
            let mut heartbeat = base.clone();
            heartbeat.details = self.details_for(peer);
            self.outputs
                .push(control::Output::Heartbeat(peer, heartbeat));
        }
    }

    fn make_heartbeat(
        &self,
        now: time::Instant,
        reports: Vec<message::Report>,
    ) -> message::Heartbeat {
        message::Heartbeat {
            details: None,
            echoes: self.membership.echoes(),
            incarnation: self.membership.incarnation,
            phase: self.membership.phase,
            prospective: self.membership.prospective_owner_mask(),
            ranked: self.membership.owner_mask(),
            reports,
            revision: self.revision(),
            sent: now.as_millis() as u32,
            synced: self.is_synced(),
            version: self.version,
        }
    }

    /// Whether the owners have all entries that this instance holds. While an instance joins, the
    /// replicas that it will need must be in place too.
    fn is_synced(&self) -> bool {
        let joining = self.membership.prospective_owner_mask() & !self.membership.owner_mask() != 0;
        self.owners_synced() && (!joining || self.replicas_synced())
    }

    /// The details for a peer, none if it is unknown or has applied their current version.
    fn details_for(&self, peer: key::Instance) -> Option<message::Details> {
        let known = self.membership.peers.get(&peer);
        if known.is_none_or(|peer| peer.alive && peer.acknowledged_version >= self.version) {
            return None;
        }
        let announcements = self
            .inventory
            .services
            .iter()
            .filter(|(_, service)| service.in_sheet)
            .map(|(_, service)| message::Announcement {
                direct: service.buckets.direct_buckets(self.config.self_key),
                service: service.buckets.service,
            })
            .collect();
        Some(message::Details {
            announcements,
            history: self.history_for(peer),
            revision: self.revision(),
            shards: self.config.shards,
            traffic_port: self.config.traffic_port,
            zone: self.membership.zone,
        })
    }

    /// Reports of open flows, first packets and probe results of the current sheet's targets.
    fn make_reports(&mut self) -> Vec<message::Report> {
        let targets: Vec<key::Target> = self
            .inventory
            .services
            .iter()
            .flat_map(|(_, service)| service.targets.iter().copied())
            .collect();
        let mut reports = Vec::new();
        for key in targets {
            let Some(id) = self.inventory.targets.get(key).map(|target| target.id) else {
                continue;
            };
            let flows = self.own_flows(key);
            let probe = self.health.own_result(key);
            let attempts = self.unreported_attempts.remove(&key).unwrap_or_default();
            reports.push(message::Report {
                flows,
                probe,
                repeats: attempts.retransmitted,
                starts: attempts.initial,
                target: id,
            });
        }
        reports
    }

    /// Open flows to a target, as counted by the shards of this instance.
    pub fn own_flows(&self, target: key::Target) -> i32 {
        self.shard_counts
            .iter()
            .filter_map(|counts| counts.get(&target))
            .map(|count| count.flows)
            .sum()
    }

    /// Open flows to a target, as last reported by all instances.
    pub fn fleet_flows(&self, target: key::Target) -> u32 {
        let peers = self
            .peer_flows
            .values()
            .filter_map(|flows| flows.get(&target))
            .sum::<i32>();
        (self.own_flows(target) + peers).max(0) as u32
    }

    /// Fetches the sheet from a peer that has a newer one, with exponential backoff and jitter.
    pub(crate) fn request_sheet(&mut self, now: time::Instant) {
        if now < self.fetch.not_before {
            return;
        }
        let own = self.revision();
        let newer: Vec<key::Instance> = self
            .membership
            .alive()
            .filter(|(_, peer)| peer.revision > own)
            .map(|(key, _)| key)
            .collect();
        if newer.is_empty() {
            return;
        }
        let peer = newer[self.random.below(newer.len())];
        let jitter = 0.5 + self.random.unit() / 2.0;
        self.fetch.not_before = now + self.fetch.backoff.mul_f64(jitter);
        self.fetch.backoff = (self.fetch.backoff * 2).min(FETCH_BACKOFF_MAX);
        self.outputs.push(control::Output::Fetch(peer));
    }
}
