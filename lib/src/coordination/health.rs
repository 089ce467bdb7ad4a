//! Fitness of targets, from endpoints that lag or mislead and from the traffic itself.
//!
//! Each target is probed by a few instances and the results are shared. Repeated first packets to
//! a target are evidence that needs no endpoint. Ejection needs several failures and a return needs
//! several successes; a floor keeps a share of each service's targets in use whatever the evidence
//! says; a target that returns or starts cold takes its load gradually.

use std::collections::BTreeMap;

use crate::coordination::message;
use crate::state::{key, time, view};

/// Thresholds of the health decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Time between probes of one instance.
    pub interval: time::Duration,
    /// Failed probes in a row that eject a target.
    pub failures: u32,
    /// Good probes in a row that return it.
    pub successes: u32,
    /// Repeated first packets that eject a target, if they are also a large enough share.
    pub repeats: f64,
    /// Share of the first packets that must be repeated to eject a target.
    pub repeated_share: f64,
    /// Time in which half of the counted first packets is forgotten.
    pub half_life: time::Duration,
    /// Time for which repeats keep a target ejected at first; it doubles with each ejection.
    pub penalty: time::Duration,
    /// Longest time for which repeats keep a target ejected.
    pub penalty_max: time::Duration,
    /// Largest share of a service's targets that may be ejected, in per cent.
    pub ejected_percent: usize,
    /// Time over which a returning or cold target takes its load.
    pub slow_start: time::Duration,
    /// Age after which a peer's probe result no longer counts.
    pub report_age: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: time::Duration::from_millis(500),
            failures: 3,
            successes: 2,
            repeats: 2.5,
            repeated_share: 0.05,
            half_life: time::Duration::from_secs(3),
            penalty: time::Duration::from_secs(5),
            penalty_max: time::Duration::from_secs(80),
            ejected_percent: 50,
            slow_start: time::Duration::from_secs(10),
            report_age: time::Duration::from_secs(5),
        }
    }
}

/// Weight scale: a target at full capacity has this factor.
pub const FULL_FACTOR: u32 = 100;
/// Smallest factor of a target that takes new flows.
const MIN_FACTOR: u32 = 10;
/// Factor of a target that sheds load.
const SHEDDING_FACTOR: u32 = 10;

/// What the evidence says of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Share of its capacity that it should get, out of `FULL_FACTOR`.
    pub factor: u32,
    /// Whether it takes new flows.
    pub fitness: view::Fitness,
}

/// First packets to a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starts {
    /// Of new flows.
    pub first: u16,
    /// Sent again, since no answer came.
    pub repeated: u16,
}

impl Starts {
    /// Adds more.
    pub fn add(&mut self, more: Self) {
        self.first = self.first.saturating_add(more.first);
        self.repeated = self.repeated.saturating_add(more.repeated);
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: time::Instant,
    probe: message::Probe,
}

/// Evidence on one target.
#[derive(Clone, Debug)]
struct Record {
    bad_streak: u32,
    ejected_at: Option<time::Instant>,
    good_streak: u32,
    own: Option<message::Probe>,
    penalty: time::Duration,
    penalty_until: time::Instant,
    repeated: f64,
    reports: BTreeMap<key::Instance, Report>,
    started_at: Option<time::Instant>,
    starts: f64,
    starts_at: time::Instant,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            bad_streak: 0,
            ejected_at: None,
            good_streak: 0,
            own: None,
            penalty: time::Duration::ZERO,
            penalty_until: time::Instant(0),
            repeated: 0.0,
            reports: BTreeMap::new(),
            started_at: None,
            starts: 0.0,
            starts_at: time::Instant(0),
        }
    }
}

/// Evidence on all targets.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Thresholds.
    pub config: Config,
    records: BTreeMap<key::Target, Record>,
}

impl Health {
    /// No evidence yet.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            records: BTreeMap::new(),
        }
    }

    /// Takes the result of an own probe.
    pub fn note_probe(&mut self, target: key::Target, probe: message::Probe) {
        let config = self.config;
        let record = self.records.entry(target).or_default();
        if probe == message::Probe::Failed {
            record.bad_streak += 1;
            record.good_streak = 0;
        } else {
            record.good_streak += 1;
            record.bad_streak = 0;
        }
        let was_failed = record.own == Some(message::Probe::Failed);
        let failed = record.bad_streak >= config.failures
            || (was_failed && record.good_streak < config.successes);
        record.own = if failed {
            Some(message::Probe::Failed)
        } else if probe == message::Probe::Failed {
            // One failure is not enough to change the result.
            record.own
        } else {
            Some(probe)
        };
    }

    /// The result of this instance's probes, if it probes the target.
    pub fn own_result(&self, target: key::Target) -> Option<message::Probe> {
        self.records.get(&target)?.own
    }

    /// Forgets the own result, when another instance probes the target from now on.
    pub fn stop_probing(&mut self, target: key::Target) {
        if let Some(record) = self.records.get_mut(&target) {
            record.own = None;
            record.bad_streak = 0;
            record.good_streak = 0;
        }
    }

    /// Takes the probe result of a peer.
    pub fn note_report(
        &mut self,
        now: time::Instant,
        from: key::Instance,
        target: key::Target,
        probe: message::Probe,
    ) {
        let record = self.records.entry(target).or_default();
        record.reports.insert(from, Report { at: now, probe });
    }

    /// Takes first packets counted here or by a peer. A target that many of them are repeated to
    /// does not answer, whatever its endpoint says.
    pub fn note_starts(&mut self, now: time::Instant, target: key::Target, starts: Starts) {
        let config = self.config;
        let record = self.records.entry(target).or_default();
        let age = now.since(record.starts_at).as_secs_f64();
        let kept = 0.5f64.powf(age / config.half_life.as_secs_f64());
        record.starts_at = now;
        record.starts = record.starts * kept + f64::from(starts.first);
        record.repeated = record.repeated * kept + f64::from(starts.repeated);
        // A target on probation after an ejection gets no second chance.
        let on_probation = !record.penalty.is_zero()
            && record
                .started_at
                .is_some_and(|at| now.since(at) < config.slow_start);
        let needed = if on_probation { 1.0 } else { config.repeats };
        let enough =
            record.repeated >= needed && record.repeated >= config.repeated_share * record.starts;
        if starts.repeated > 0 && enough && now >= record.penalty_until {
            let longer = (record.penalty * 2).min(config.penalty_max);
            record.penalty = if on_probation { longer } else { config.penalty };
            record.penalty_until = now + record.penalty;
            record.repeated = 0.0;
        }
    }

    /// The verdict on each target of one service.
    pub fn judge(&mut self, now: time::Instant, targets: &[key::Target]) -> Vec<Verdict> {
        let limit = targets.len() * self.config.ejected_percent / 100;
        let mut failed: Vec<(time::Instant, usize)> = Vec::new();
        let mut verdicts = Vec::with_capacity(targets.len());
        for (index, target) in targets.iter().enumerate() {
            let verdict = self.judge_one(now, *target);
            if verdict.fitness == view::Fitness::Failed {
                let since = self
                    .records
                    .get(target)
                    .and_then(|record| record.ejected_at);
                failed.push((since.unwrap_or(now), index));
            }
            verdicts.push(verdict);
        }
        failed.sort_unstable();
        for (_, index) in failed.into_iter().skip(limit) {
            verdicts[index] = Verdict {
                factor: FULL_FACTOR,
                fitness: view::Fitness::Fit,
            };
        }
        verdicts
    }

    fn judge_one(&mut self, now: time::Instant, target: key::Target) -> Verdict {
        let config = self.config;
        let Some(record) = self.records.get_mut(&target) else {
            return Verdict {
                factor: FULL_FACTOR,
                fitness: view::Fitness::Fit,
            };
        };
        let probe = combined_probe(config, now, record);
        if probe == Some(message::Probe::Failed) || now < record.penalty_until {
            record.ejected_at.get_or_insert(now);
            return Verdict {
                factor: 0,
                fitness: view::Fitness::Failed,
            };
        }
        if record.ejected_at.take().is_some() {
            record.started_at = Some(now);
        }
        match probe {
            Some(message::Probe::Draining) => Verdict {
                factor: 0,
                fitness: view::Fitness::Closed,
            },
            Some(message::Probe::Shedding) => Verdict {
                factor: SHEDDING_FACTOR,
                fitness: view::Fitness::Fit,
            },
            Some(message::Probe::Cold) => {
                record.started_at = Some(now);
                Verdict {
                    factor: MIN_FACTOR,
                    fitness: view::Fitness::Fit,
                }
            }
            _ => Verdict {
                factor: slow_start_factor(config, now, record.started_at),
                fitness: view::Fitness::Fit,
            },
        }
    }
}

/// The probers' common result. They must agree on a failure; any of them can report the rest.
fn combined_probe(config: Config, now: time::Instant, record: &Record) -> Option<message::Probe> {
    let fresh = record
        .reports
        .values()
        .filter(|report| now.since(report.at) <= config.report_age)
        .map(|report| report.probe);
    let probes: Vec<message::Probe> = record.own.into_iter().chain(fresh).collect();
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

fn slow_start_factor(config: Config, now: time::Instant, started_at: Option<time::Instant>) -> u32 {
    let Some(started_at) = started_at else {
        return FULL_FACTOR;
    };
    let elapsed = now.since(started_at).as_millis();
    let ramp = config.slow_start.as_millis().max(1);
    let factor = (elapsed * u128::from(FULL_FACTOR) / ramp) as u32;
    factor.clamp(MIN_FACTOR, FULL_FACTOR)
}
