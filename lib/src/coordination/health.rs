//! Health of targets, from probes and from passive evidence.
//!
//! Health endpoints can lag or report a wrong state, so the traffic counts as evidence too:
//! retransmitted first packets show that a target does not answer, whatever its endpoint reports.
//! A few instances probe each target and share the results. Ejection takes several failures, and a
//! return takes several successes. Whatever the evidence, at most `max_ejected_percent` of a
//! service's targets are ejected. A target that returns or starts cold gets its load gradually.

use std::collections::BTreeMap;

use crate::coordination::message;
use crate::state::{key, time, view};

/// Thresholds of the health decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Interval between one instance's probes of a target.
    pub interval: time::Duration,
    /// Consecutive failed probes that eject a target.
    pub failure_threshold: u32,
    /// Consecutive successful probes that return an ejected target.
    pub success_threshold: u32,
    /// Retransmitted first packets that eject a target if they also reach `retransmitted_share`.
    pub ejection_retransmissions: f64,
    /// Smallest ratio of retransmitted to initial first packets that ejects a target.
    pub retransmitted_share: f64,
    /// Half-life of the counts of first packets.
    pub half_life: time::Duration,
    /// Duration of the first ejection for retransmissions; doubles with each ejection during the
    /// slow start after the previous one.
    pub base_ejection_duration: time::Duration,
    /// Longest duration of an ejection for retransmissions.
    pub max_ejection_duration: time::Duration,
    /// Largest share of a service's targets that may be ejected, in percent.
    pub max_ejected_percent: usize,
    /// Time in which a returning or cold target reaches its full weight.
    pub slow_start: time::Duration,
    /// Age after which a peer's probe result no longer counts.
    pub max_report_age: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: time::Duration::from_millis(500),
            failure_threshold: 3,
            success_threshold: 2,
            ejection_retransmissions: 2.5,
            retransmitted_share: 0.05,
            half_life: time::Duration::from_secs(3),
            base_ejection_duration: time::Duration::from_secs(5),
            max_ejection_duration: time::Duration::from_secs(80),
            max_ejected_percent: 50,
            slow_start: time::Duration::from_secs(10),
            max_report_age: time::Duration::from_secs(5),
        }
    }
}

/// Weight of a target at full capacity, in percent.
pub const FULL_WEIGHT_PERCENT: u32 = 100;
/// Smallest weight of a target that takes new flows, in percent.
const MIN_WEIGHT_PERCENT: u32 = 10;
/// Weight of a target that sheds load, in percent.
const SHEDDING_WEIGHT_PERCENT: u32 = 10;

/// Result of the health evaluation of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Share of its capacity to use; `FULL_WEIGHT_PERCENT` is all of it.
    pub weight_percent: u32,
    /// Whether it takes new flows.
    pub fitness: view::Fitness,
}

/// Counts of first packets to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    /// First packets of new flows.
    pub initial: u16,
    /// First packets that were sent again because no answer came.
    pub retransmitted: u16,
}

impl Attempts {
    /// Adds other counts; saturates.
    pub fn add(&mut self, more: Self) {
        self.initial = self.initial.saturating_add(more.initial);
        self.retransmitted = self.retransmitted.saturating_add(more.retransmitted);
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: time::Instant,
    probe: message::Probe,
}

/// Health evidence on one target.
#[derive(Clone, Debug)]
struct Record {
    consecutive_failures: u32,
    ejected_at: Option<time::Instant>,
    consecutive_successes: u32,
    own_probe: Option<message::Probe>,
    ejection_duration: time::Duration,
    ejected_until: time::Instant,
    retransmitted: f64,
    reports: BTreeMap<key::Instance, Report>,
    slow_start_at: Option<time::Instant>,
    attempts: f64,
    attempts_at: time::Instant,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            ejected_at: None,
            consecutive_successes: 0,
            own_probe: None,
            ejection_duration: time::Duration::ZERO,
            ejected_until: time::Instant(0),
            retransmitted: 0.0,
            reports: BTreeMap::new(),
            slow_start_at: None,
            attempts: 0.0,
            attempts_at: time::Instant(0),
        }
    }
}

/// Health evidence on all targets.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Thresholds.
    pub config: Config,
    records: BTreeMap<key::Target, Record>,
}

impl Health {
    /// Creates a state without evidence.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: BTreeMap::new(),
        }
    }

    /// Records the result of a probe by this instance.
    pub fn record_probe(&mut self, target: key::Target, probe: message::Probe) {
        let config = self.config;
        let record = self.records.entry(target).or_default();
        if probe == message::Probe::Failed {
            record.consecutive_failures += 1;
            record.consecutive_successes = 0;
        } else {
            record.consecutive_successes += 1;
            record.consecutive_failures = 0;
        }
        let was_failed = record.own_probe == Some(message::Probe::Failed);
        let failed = record.consecutive_failures >= config.failure_threshold
            || (was_failed && record.consecutive_successes < config.success_threshold);
        record.own_probe = if failed {
            Some(message::Probe::Failed)
        } else if probe == message::Probe::Failed {
            // Fewer failures than the threshold do not change the result.
            record.own_probe
        } else {
            Some(probe)
        };
    }

    /// The result of this instance's probes, if it probes the target.
    pub fn own_result(&self, target: key::Target) -> Option<message::Probe> {
        self.records.get(&target)?.own_probe
    }

    /// Discards this instance's result, for a target that other instances probe from now on.
    pub fn stop_probing(&mut self, target: key::Target) {
        if let Some(record) = self.records.get_mut(&target) {
            record.own_probe = None;
            record.consecutive_failures = 0;
            record.consecutive_successes = 0;
        }
    }

    /// Records the probe result of a peer.
    pub fn record_peer_probe(
        &mut self,
        now: time::Instant,
        from: key::Instance,
        target: key::Target,
        probe: message::Probe,
    ) {
        let record = self.records.entry(target).or_default();
        record.reports.insert(from, Report { at: now, probe });
    }

    /// Records first packets counted here or by a peer. Ejects a target if many of them are
    /// retransmissions: it does not answer, whatever its endpoint reports.
    pub fn record_attempts(&mut self, now: time::Instant, target: key::Target, attempts: Attempts) {
        let config = self.config;
        let record = self.records.entry(target).or_default();
        let age = now.since(record.attempts_at).as_secs_f64();
        let kept = 0.5f64.powf(age / config.half_life.as_secs_f64());
        record.attempts_at = now;
        record.attempts = record.attempts * kept + f64::from(attempts.initial);
        record.retransmitted = record.retransmitted * kept + f64::from(attempts.retransmitted);
        // In the slow start after an ejection, one retransmission is enough for the next ejection.
        let on_probation = !record.ejection_duration.is_zero()
            && record
                .slow_start_at
                .is_some_and(|at| now.since(at) < config.slow_start);
        let needed = if on_probation {
            1.0
        } else {
            config.ejection_retransmissions
        };
        let enough = record.retransmitted >= needed
            && record.retransmitted >= config.retransmitted_share * record.attempts;
        if attempts.retransmitted > 0 && enough && now >= record.ejected_until {
            let doubled = (record.ejection_duration * 2).min(config.max_ejection_duration);
            record.ejection_duration = if on_probation {
                doubled
            } else {
                config.base_ejection_duration
            };
            record.ejected_until = now + record.ejection_duration;
            record.retransmitted = 0.0;
        }
    }

    /// Evaluates the targets of one service and returns the results in the same order. If more
    /// targets failed than may be ejected, those that failed last stay in use.
    pub fn evaluate(&mut self, now: time::Instant, targets: &[key::Target]) -> Vec<Status> {
        let limit = targets.len() * self.config.max_ejected_percent / 100;
        let mut failed: Vec<(time::Instant, usize)> = Vec::new();
        let mut statuses = Vec::with_capacity(targets.len());
        for (index, target) in targets.iter().enumerate() {
            let status = self.evaluate_target(now, *target);
            if status.fitness == view::Fitness::Failed {
                let since = self
                    .records
                    .get(target)
                    .and_then(|record| record.ejected_at);
                failed.push((since.unwrap_or(now), index));
            }
            statuses.push(status);
        }
        failed.sort_unstable();
        for (_, index) in failed.into_iter().skip(limit) {
            statuses[index] = Status {
                weight_percent: FULL_WEIGHT_PERCENT,
                fitness: view::Fitness::Fit,
            };
        }
        statuses
    }

    fn evaluate_target(&mut self, now: time::Instant, target: key::Target) -> Status {
        let config = self.config;
        let Some(record) = self.records.get_mut(&target) else {
            return Status {
                weight_percent: FULL_WEIGHT_PERCENT,
                fitness: view::Fitness::Fit,
            };
        };
        let probe = combined_probe(config, now, record);
        if probe == Some(message::Probe::Failed) || now < record.ejected_until {
            record.ejected_at.get_or_insert(now);
            return Status {
                weight_percent: 0,
                fitness: view::Fitness::Failed,
            };
        }
        if record.ejected_at.take().is_some() {
            record.slow_start_at = Some(now);
        }
        match probe {
            Some(message::Probe::Draining) => Status {
                weight_percent: 0,
                fitness: view::Fitness::Closed,
            },
            Some(message::Probe::Shedding) => Status {
                weight_percent: SHEDDING_WEIGHT_PERCENT,
                fitness: view::Fitness::Fit,
            },
            Some(message::Probe::Cold) => {
                record.slow_start_at = Some(now);
                Status {
                    weight_percent: MIN_WEIGHT_PERCENT,
                    fitness: view::Fitness::Fit,
                }
            }
            _ => Status {
                weight_percent: slow_start_weight_percent(config, now, record.slow_start_at),
                fitness: view::Fitness::Fit,
            },
        }
    }
}

/// Combines the recent results of all probers. A failure counts only if all of them report it; any
/// other state counts if one of them reports it.
fn combined_probe(config: Config, now: time::Instant, record: &Record) -> Option<message::Probe> {
    let fresh = record
        .reports
        .values()
        .filter(|report| now.since(report.at) <= config.max_report_age)
        .map(|report| report.probe);
    let probes: Vec<message::Probe> = record.own_probe.into_iter().chain(fresh).collect();
    let seen = |probe| probes.contains(&probe);
    if probes.is_empty() {
        None
    } else if probes.iter().all(|probe| *probe == message::Probe::Failed) {
        Some(message::Probe::Failed)
    } else if seen(message::Probe::Draining) {
        Some(message::Probe::Draining)
    } else if seen(message::Probe::Shedding) {
        Some(message::Probe::Shedding)
    } else if seen(message::Probe::Cold) {
        Some(message::Probe::Cold)
    } else {
        Some(message::Probe::Healthy)
    }
}

fn slow_start_weight_percent(
    config: Config,
    now: time::Instant,
    slow_start_at: Option<time::Instant>,
) -> u32 {
    let Some(slow_start_at) = slow_start_at else {
        return FULL_WEIGHT_PERCENT;
    };
    let elapsed = now.since(slow_start_at).as_millis();
    let ramp = config.slow_start.as_millis().max(1);
    let weight_percent = (elapsed * u128::from(FULL_WEIGHT_PERCENT) / ramp) as u32;
    weight_percent.clamp(MIN_WEIGHT_PERCENT, FULL_WEIGHT_PERCENT)
}
