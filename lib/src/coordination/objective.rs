//! Counting of good and bad events for the services' objectives, and the report on them.

use crate::coordination::{burn, control, load};
use crate::state::{key, time};

impl control::Control {
    /// Adds the outcomes of each service's flows, as counted by one shard, by service key.
    pub fn on_outcomes(&mut self, now: time::Instant, outcomes: &[load::Outcomes]) {
        for (index, outcome) in outcomes.iter().enumerate() {
            let Some(service) = self.inventory.services.get_mut(key::Service::from(index)) else {
                continue;
            };
            service.burn.add_outcomes(now, outcome);
        }
    }

    /// Samples the objectives that are not counted by flow, once every sample interval.
    pub(crate) fn sample_objectives(&mut self, now: time::Instant) {
        if now < self.sample_due {
            return;
        }
        self.sample_due = now + burn::SAMPLE_INTERVAL;
        let own = self.revision();
        let is_sheet_stale = self.membership.alive().any(|(_, peer)| peer.revision > own);
        for key in self.service_keys() {
            let ratio = self.imbalance(key);
            let Some(service) = self.inventory.services.get_mut(key) else {
                continue;
            };
            let objective = service.spec.objective;
            service
                .burn
                .add_samples(now, objective, is_sheet_stale, ratio);
        }
    }

    /// Open flows of the most loaded fit target divided by the mean of all fit targets; none if
    /// there are too few flows.
    fn imbalance(&self, service: key::Service) -> Option<f64> {
        let targets = &self.inventory.services.get(service)?.targets;
        let flows: Vec<u32> = targets
            .iter()
            .filter(|target| self.inventory.is_fit(**target))
            .map(|target| self.fleet_flows(*target))
            .collect();
        burn::imbalance(&flows)
    }

    /// The burn report of this instance; `counted` is the time for which it has counted events.
    pub fn burn_report(&self, counted: time::Duration) -> burn::Report {
        let services = self
            .inventory
            .services
            .iter()
            .filter(|(_, service)| service.in_sheet)
            .map(|(_, service)| burn::Service {
                measures: burn::KINDS
                    .map(|kind| service.burn.measure(kind, service.spec.objective))
                    .to_vec(),
                name: service.spec.name.clone(),
            })
            .collect();
        burn::Report {
            instances: vec![self.config.self_key.0.to_string().into()],
            services,
            since_seconds: counted.as_secs(),
            unreachable: Vec::new(),
            zones: vec![self.config.zone.clone()],
        }
    }
}
