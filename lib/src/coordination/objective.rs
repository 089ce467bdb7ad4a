//! Counting of good and bad events for the services' objectives.

use crate::coordination::{burn, control, load};
use crate::state::{key, time};

/// Time between samples of imbalance and of the sheet in force.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Open flows of a service below which its imbalance says nothing, for each target.
const MIN_FLOWS_PER_TARGET: u32 = 3;

impl control::Control {
    /// Takes what became of each service's flows, as one shard counts it.
    pub fn on_outcomes(&mut self, now: time::Instant, outcomes: &[load::Outcomes]) {
        for (index, outcome) in outcomes.iter().enumerate() {
            let Some(service) = self.ledger.services.get_mut(key::Service::from(index)) else {
                continue;
            };
            let asked = u64::from(outcome.started + outcome.refused);
            let broken = burn::Tally {
                bad: u64::from(outcome.lost),
                total: asked,
            };
            let refused = burn::Tally {
                bad: u64::from(outcome.refused),
                total: asked,
            };
            service.burn.add(now, burn::Kind::Broken, broken);
            service.burn.add(now, burn::Kind::Refused, refused);
        }
    }

    /// Samples what is not an event of its own.
    pub(crate) fn sample_objectives(&mut self, now: time::Instant) {
        if now < self.sample_due {
            return;
        }
        self.sample_due = now + SAMPLE_INTERVAL;
        let own = self.revision();
        let is_behind = self.membership.alive().any(|(_, peer)| peer.revision > own);
        for key in self.service_keys() {
            let ratio = self.imbalance(key);
            let Some(service) = self.ledger.services.get_mut(key) else {
                continue;
            };
            let sample = |is_bad: bool| burn::Tally {
                bad: u64::from(is_bad),
                total: 1,
            };
            service.burn.add(now, burn::Kind::Sheet, sample(is_behind));
            if let Some(ratio) = ratio {
                let is_bad = ratio > f64::from(service.item.objective.imbalance) / 1_000.0;
                service.burn.add(now, burn::Kind::Imbalance, sample(is_bad));
            }
        }
    }

    /// Open flows of the fullest fit target over the mean; none with too few flows to tell.
    fn imbalance(&self, service: key::Service) -> Option<f64> {
        let targets = &self.ledger.services.get(service)?.targets;
        let flows: Vec<u32> = targets
            .iter()
            .filter(|target| self.ledger.is_fit(**target))
            .map(|target| self.fleet_flows(*target))
            .collect();
        let sum: u32 = flows.iter().sum();
        let most = flows.iter().max().copied()?;
        let enough = sum >= MIN_FLOWS_PER_TARGET * flows.len() as u32;
        enough.then(|| f64::from(most) * flows.len() as f64 / f64::from(sum))
    }

    /// The burn report of this instance, which has counted for a time.
    pub fn burn_report(&self, counted: time::Duration) -> burn::Report {
        let services = self
            .ledger
            .services
            .iter()
            .filter(|(_, service)| service.present)
            .map(|(_, service)| burn::Service {
                measures: burn::KINDS
                    .map(|kind| service.burn.measure(kind, service.item.objective))
                    .to_vec(),
                name: service.item.name.clone(),
            })
            .collect();
        burn::Report {
            instances: vec![self.config.self_key.0],
            services,
            since_seconds: counted.as_secs(),
            unreachable: Vec::new(),
            zones: vec![self.config.zone.clone()],
        }
    }
}
