//! What an instance counts for the objectives of its services.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use crate::coordination::burn;
use crate::coordination::cookie::report;
use crate::state::{fleet, key, snapshot, time};

/// The counts of one instance.
#[derive(Debug)]
pub struct Objectives {
    histories: BTreeMap<key::Service, burn::History>,
    sample_due: time::Instant,
    started: time::Instant,
}

impl Objectives {
    /// No counts yet, for an instance that starts at `now`.
    pub fn new(now: time::Instant) -> Self {
        Self {
            histories: BTreeMap::new(),
            sample_due: now,
            started: now,
        }
    }

    /// Adds the outcomes that a traffic thread reports.
    pub fn add_outcomes(&mut self, now: time::Instant, report: &report::Report) {
        for (index, outcomes) in report.outcomes.iter().enumerate() {
            let history = self.histories.entry(key::Service::from(index)).or_default();
            history.add_outcomes(now, outcomes);
        }
    }

    /// Whether the next sample is due.
    pub fn is_sample_due(&self, now: time::Instant) -> bool {
        now >= self.sample_due
    }

    /// Samples the lag of the configuration and the imbalance of load, since no single event shows
    /// them.
    pub fn sample(
        &mut self,
        now: time::Instant,
        is_behind: bool,
        own: &HashMap<key::Target, snapshot::Load>,
        snapshot: &snapshot::Snapshot,
    ) {
        self.sample_due = now + burn::SAMPLE_INTERVAL;
        for (index, pool) in snapshot.pools.iter().enumerate() {
            let flows = |key: &key::Target| {
                own.get(key).map_or(0, |load| load.flows) + snapshot.remote(*key).load.flows
            };
            let flows: Vec<u32> = pool.targets.iter().map(flows).collect();
            let history = self.histories.entry(key::Service::from(index)).or_default();
            let objective = fleet::Objective::default();
            history.add_samples(now, objective, is_behind, burn::imbalance(&flows));
        }
    }

    /// The burn report against the default objectives, for an instance with a name and a zone.
    pub fn report<'a>(
        &self,
        now: time::Instant,
        name: &CompactString,
        zone: &CompactString,
        service_name: impl Fn(key::Service) -> Option<&'a CompactString>,
    ) -> burn::Report {
        let objective = fleet::Objective::default();
        let service = |(key, history): (&key::Service, &burn::History)| {
            Some(burn::Service {
                measures: burn::KINDS
                    .map(|kind| history.measure(kind, objective))
                    .to_vec(),
                name: service_name(*key)?.clone(),
            })
        };
        burn::Report {
            instances: vec![name.clone()],
            services: self.histories.iter().filter_map(service).collect(),
            since_seconds: now.since(self.started).as_secs(),
            unreachable: Vec::new(),
            zones: vec![zone.clone()],
        }
    }
}
