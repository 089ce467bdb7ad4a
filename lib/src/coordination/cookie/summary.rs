//! What an instance tells others of its traffic: loads, and which targets do not answer.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::coordination::cookie::{heartbeat, pace, peers, registry, report};
use crate::state::{key, snapshot, time};

/// Largest number of target loads in a heartbeat.
const MAX_LOADS: usize = 32;
/// Largest number of services whose mean loads a heartbeat carries for a zone.
const MAX_MEANS: usize = 8;
/// Largest number of targets about which a heartbeat asks.
const MAX_SUSPECTS: usize = 16;
/// Largest number of targets whose checks an instance asks for at a time.
const MAX_STALLED: usize = 64;
/// Age up to which progress of a target is an answer to the question whether it is alive.
const PROGRESS_ANSWER_AGE: time::Duration = time::Duration::from_millis(1_000);

/// State from which the summary is made.
pub struct Summary<'a> {
    /// Current time.
    pub now: time::Instant,
    /// The other instances.
    pub peers: &'a peers::Peers,
    /// The targets.
    pub registry: &'a registry::Registry,
    /// The last report of each traffic thread.
    pub reports: &'a [report::Report],
    /// The last published snapshot.
    pub snapshot: &'a snapshot::Snapshot,
}

/// The loads that traffic threads count, by target.
pub fn own_loads(reports: &[report::Report]) -> HashMap<key::Target, snapshot::Load> {
    let mut loads: HashMap<key::Target, snapshot::Load> = HashMap::new();
    for load in reports.iter().flat_map(|report| &report.loads) {
        let sum = loads.entry(load.target).or_default();
        *sum = *sum + load.count;
    }
    loads
}

impl Summary<'_> {
    /// Cookies of targets whose flows stall and that may have to be given up.
    pub fn suspects(&self) -> Vec<u32> {
        let avoided = self.reports.iter().flat_map(|report| &report.avoided);
        let stalled = avoided.filter(|found| {
            found.evidence.stalls > 0
                && self.now.since(found.evidence.last_stall) < PROGRESS_ANSWER_AGE
        });
        stalled
            .filter_map(|found| self.snapshot.target(found.target))
            .map(|target| target.cookie.0)
            .take(MAX_SUSPECTS)
            .collect()
    }

    /// Cookies of targets whose open flows stall.
    pub fn stalled(&self) -> Vec<u32> {
        let avoided = self.reports.iter().flat_map(|report| &report.avoided);
        let stalled = avoided.filter(|found| found.evidence.is_stalled(self.now));
        let targets = stalled.filter_map(|found| self.snapshot.target(found.target));
        let mut cookies: Vec<u32> = targets.map(|target| target.cookie.0).collect();
        cookies.sort();
        cookies.dedup();
        cookies.truncate(MAX_STALLED);
        cookies
    }

    /// Names of the zones of targets.
    pub fn zones_of(&self, cookies: &[u32]) -> Vec<CompactString> {
        let mut zones: Vec<CompactString> = cookies
            .iter()
            .filter_map(|cookie| self.snapshot.cookies.get(&snapshot::Cookie(*cookie)))
            .filter_map(|key| self.snapshot.target(*key))
            .filter_map(|target| self.snapshot.zones.get(target.zone.index()))
            .cloned()
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Mean loads of the targets in the own zone, for the services with most load. `label` returns
    /// the label of a service.
    pub fn means(&self, label: impl Fn(key::Service) -> Option<u32>) -> Vec<heartbeat::Mean> {
        let own = own_loads(self.reports);
        let mean = |(index, pool): (usize, &snapshot::Pool)| {
            let mut load = snapshot::Load::default();
            let mut slots = 0;
            for key in &pool.targets[..pool.local] {
                load = load + self.snapshot.remote(*key).load;
                load = load + own.get(key).copied().unwrap_or_default();
                let target = self.snapshot.target(*key);
                slots += target.map_or(0, |target| u32::from(target.slots));
            }
            let per_slot = |number: u32| number.saturating_mul(1_000) / slots.max(1);
            let label = label(key::Service::from(index))?;
            (load.held > 0).then_some(heartbeat::Mean {
                flows: per_slot(load.flows),
                held: per_slot(load.held),
                service: label,
                waiting: per_slot(load.waiting),
            })
        };
        let pools = self.snapshot.pools.iter().enumerate();
        let mut means: Vec<heartbeat::Mean> = pools.filter_map(mean).collect();
        means.sort_by_key(|mean| std::cmp::Reverse((mean.waiting, mean.flows)));
        means.truncate(MAX_MEANS);
        means
    }

    /// The loads that this instance reports: those of targets with waiting flows and with recent
    /// progress first, and then those of which a time is known.
    pub fn loads(&self) -> Vec<heartbeat::Load> {
        let mut loads: HashMap<key::Target, (report::Load, pace::Mean)> = HashMap::new();
        for load in self.reports.iter().flat_map(|report| &report.loads) {
            let (sum, pace) = loads.entry(load.target).or_insert((
                report::Load {
                    count: snapshot::Load::default(),
                    ..*load
                },
                pace::Mean::default(),
            ));
            sum.count = sum.count + load.count;
            sum.last_progress = load.last_progress.max(sum.last_progress);
            load.measured.iter().for_each(|found| pace.add(*found));
        }
        let saturate = |number: u32| number.min(u32::from(u16::MAX)) as u16;
        let mut loads: Vec<heartbeat::Load> = loads
            .into_values()
            .filter_map(|(load, pace)| {
                let measured = pace.value().unwrap_or_default();
                let record = self.registry.targets.get(load.target)?;
                let progress_ms = time::millis(self.now.since(load.last_progress));
                Some(heartbeat::Load {
                    cookie: record.cookie.0,
                    flows: saturate(load.count.flows),
                    held: saturate(load.count.held),
                    progress_ms: saturate(progress_ms),
                    measured: measured.weight.min(u32::from(u8::MAX)) as u8,
                    response_tenths: saturate(measured.response_us.div_ceil(100)),
                    waiting: saturate(load.count.waiting),
                })
            })
            .collect();
        loads.sort_by_key(|load| {
            let waiting = std::cmp::Reverse(load.waiting);
            (waiting, load.progress_ms, load.cookie)
        });
        loads.truncate(MAX_LOADS);
        loads
    }

    /// Recent progress of targets that do not answer another instance.
    pub fn progress(&self, suspects: &[u32]) -> Vec<heartbeat::Progress> {
        let known = suspects.iter().take(MAX_SUSPECTS).filter_map(|cookie| {
            let key = self.snapshot.cookies.get(&snapshot::Cookie(*cookie))?;
            let reports = self.reports.iter().flat_map(|report| &report.loads);
            let own = reports
                .filter(|load| load.target == *key)
                .map(|load| load.last_progress);
            let latest = own.chain(self.peers.progress(*cookie)).max()?;
            let age = self.now.since(latest);
            (age < PROGRESS_ANSWER_AGE).then_some(heartbeat::Progress {
                cookie: *cookie,
                progress_ms: age.as_millis() as u16,
            })
        });
        known.collect()
    }
}
