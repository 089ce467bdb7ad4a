//! How long targets take for a request, measured from the packets of their flows.
//!
//! A count of waiting flows says little about a target that is slower or faster than others: it costs
//! more or less with the same number waiting. The time from a request to the first acknowledgement of
//! its response tells (latency-aware balancing). It includes the wait at the target, so that a target
//! with more than its share looks slow and gets less. At equal use, the times of two targets differ by
//! their speeds alone.
//!
//! Times are averaged by their logarithms, so that the few requests that take many times as long do not
//! set the time of a target (a heavy tail of the work of requests). One instance sees a target once in
//! several seconds. So measurements are remembered for long, shared, and weighted by number and age
//! (targets of uneven speed). What
//! counts for a request that seems to have failed at once is decided in `cost`.

use crate::state::{snapshot, time};

/// Time after which a measurement counts `1/e` of a new one.
const MEMORY: time::Duration = time::Duration::from_secs(15);
/// Measurements that one instance keeps of a target, so that a change shows after this many.
const MAX_WEIGHT: f64 = 8.0;
/// Weight below which measurements no longer count: that of one after 45 s.
const MIN_WEIGHT: f64 = 0.05;
/// Measurements by which a target is assumed to be usual before any.
const PRIOR_WEIGHT: f64 = 2.0;
/// Deviation of the logarithm that is as likely chance as a difference in speed. Without it, targets that
/// are alike got uneven weights by the requests that happened to wait on them.
const NOISE: f64 = 0.35;
/// Factor by which one measurement may differ from the average it changes.
const MAX_DEVIATION: f64 = 4.0;
/// Least slowness that counts. Machines of a service differ by less.
const MIN_SLOWNESS: f64 = 0.2;
/// Largest slowness that counts.
const MAX_SLOWNESS: f64 = 16.0;
/// Share of the targets that are no slower than usual. It is below one half, so that slow and failing
/// targets do not set the usual time even if they are more than half of all.
const USUAL_QUANTILE: f64 = 0.4;
/// Parts of a measurement in which the weight is reported.
const WEIGHT_UNIT: f64 = 16.0;

/// Time that a target takes for a request, as one instance measures it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    at: time::Instant,
    /// Logarithm of the time in microseconds.
    log_us: f64,
    /// Number of measurements, reduced by age.
    weight: f64,
}

impl Pace {
    /// Records a request that was answered after `took`, for the work of a usual one.
    pub fn record(&mut self, now: time::Instant, took: time::Duration) {
        let log_us = (took.as_micros().max(1) as f64).ln();
        let before = self.weight_at(now);
        if before < MIN_WEIGHT {
            self.log_us = log_us;
        } else {
            let limit = MAX_DEVIATION.ln();
            let deviation = (log_us - self.log_us).clamp(-limit, limit);
            self.log_us += deviation / (before + 1.0);
        }
        self.weight = (before + 1.0).min(MAX_WEIGHT);
        self.at = now;
    }

    /// What is measured; none without a measurement that counts.
    pub fn measured(&self, now: time::Instant) -> Option<snapshot::Measured> {
        let weight = self.weight_at(now);
        (weight >= MIN_WEIGHT).then(|| snapshot::Measured {
            response_us: (self.log_us.exp() as u32).max(1),
            weight: ((weight * WEIGHT_UNIT) as u32).max(1),
        })
    }

    /// Microseconds that a request takes, if one was measured within `age`.
    pub fn recent_us(&self, now: time::Instant, age: time::Duration) -> Option<u32> {
        (now.since(self.at) < age).then_some(self.measured(now)?.response_us)
    }

    fn weight_at(&self, now: time::Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        self.weight * (-age).exp()
    }
}

/// Mean of what several instances measured of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    log_sum: f64,
    weight: u32,
}

impl Mean {
    /// Adds the measurement of an instance.
    pub fn add(&mut self, measured: snapshot::Measured) {
        self.log_sum += f64::from(measured.response_us.max(1)).ln() * f64::from(measured.weight);
        self.weight += measured.weight;
    }

    /// The mean; none without a measurement.
    pub fn value(&self) -> Option<snapshot::Measured> {
        (self.weight > 0).then(|| snapshot::Measured {
            response_us: (self.log_sum / f64::from(self.weight)).exp() as u32,
            weight: self.weight,
        })
    }
}

/// The usual time of the targets of a service; none without a measurement.
pub fn usual_us(measured: impl Iterator<Item = u32>) -> Option<u32> {
    let mut measured: Vec<u32> = measured.collect();
    let last = measured.len().checked_sub(1)?;
    let index = (last as f64 * USUAL_QUANTILE).round() as usize;
    let (_, usual, _) = measured.select_nth_unstable(index);
    Some(*usual)
}

/// How many times as long as usual a target takes, by own measurements and those of peers; one if
/// nothing is known.
pub fn slowness(
    own: Option<snapshot::Measured>,
    peers: Option<snapshot::Measured>,
    usual_us: Option<u32>,
) -> f64 {
    let Some(usual_us) = usual_us else { return 1.0 };
    let usual_log = f64::from(usual_us.max(1)).ln();
    let mut log_sum = 0.0;
    let mut weight = PRIOR_WEIGHT;
    for measured in own.iter().chain(&peers) {
        let part = f64::from(measured.weight) / WEIGHT_UNIT;
        log_sum += (f64::from(measured.response_us.max(1)).ln() - usual_log) * part;
        weight += part;
    }
    let log = log_sum / weight;
    let significance = log * log / (log * log + NOISE * NOISE);
    let slowness = (log * significance).exp();
    slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
}
