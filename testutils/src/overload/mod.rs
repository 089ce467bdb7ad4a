//! Callers, instances and targets under heavy load, in virtual time.
//!
//! Targets have slots and a queue and shed what does not fit. Some are slow, some fail quickly. Callers
//! keep flows open, open new ones, retransmit what is not answered, and repeat what was shed. Each
//! instance runs the forwarding code of the library and knows of the others what some neighbors
//! reported last. Instead of the library, a rule that knows the state of every target can choose.
//!
//! Patterns besides: targets of uneven speed, demand that swings between zones, requests of which a few
//! take many times as long, routes whose requests cost different amounts of work, a zone that is
//! evacuated, and targets that join and are slow at first.

mod instance;
mod model;
pub mod pattern;
mod target;

/// Mean time of a request on a target of usual speed, in microseconds.
const WORK_US: f64 = 45_000.0;
/// Time in which a request must be answered, in microseconds.
const OBJECTIVE_US: u64 = 300_000;
/// Requests that a target runs at once.
const SLOTS: usize = 2;

/// One situation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Share of the targets that join after a third of the run and are slow until two thirds.
    pub cold_share: f64,
    /// Whether the first zone takes no new flows after a sixth of the run.
    pub evacuated: bool,
    /// Share of the targets that fail every request at once.
    pub failing_share: f64,
    /// Instances.
    pub instances: usize,
    /// Requests per second, as a share of what the targets that do not fail can serve together.
    pub load: f64,
    /// Share of the requests that open a flow.
    pub new_share: f64,
    /// Work of a request of each route, as a multiple of the usual work.
    pub route_costs: &'static [f64],
    /// Length of the run in microseconds; requests of the first third are not counted.
    pub run_us: u64,
    /// Seed.
    pub seed: u64,
    /// Factor by which the slow targets are slower.
    pub slow_factor: f64,
    /// Share of the targets that are slow.
    pub slow_share: f64,
    /// Speeds of targets, in turn, as a multiple of the usual speed.
    pub speeds: &'static [f64],
    /// Largest deviation of the demand in a zone, as a share of its mean; zones take turns.
    pub swing: f64,
    /// Period of the demand in a zone, in microseconds.
    pub swing_period_us: u64,
    /// Share of the requests that take seven times as long. If it is not zero, the times of the others
    /// have a log-normal distribution.
    pub tail_share: f64,
    /// Targets.
    pub targets: usize,
    /// Availability zones.
    pub zones: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cold_share: 0.0,
            evacuated: false,
            failing_share: 0.0,
            instances: 120,
            load: 0.8,
            new_share: 0.3,
            route_costs: &[1.0],
            run_us: 9_000_000,
            seed: 1,
            slow_factor: 8.0,
            slow_share: 0.0,
            speeds: &[1.0],
            swing: 0.0,
            swing_period_us: 3_000_000,
            tail_share: 0.0,
            targets: 600,
            zones: 6,
        }
    }
}

/// Who chooses targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The forwarding code of the library.
    Library,
    /// The target on which the request will end first, by the true state of all.
    Oracle,
    /// A random target.
    Random,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Attempts that reached a target.
    pub arrivals: usize,
    /// Flows that were placed on a target of another zone.
    pub crossing: usize,
    /// Flows that were placed.
    pub flows: usize,
    /// Requests answered in time.
    pub in_time: usize,
    /// Response times in microseconds, in ascending order.
    pub latencies: Vec<u64>,
    /// Requests.
    pub requests: usize,
    /// Attempts that a full target did not take.
    pub shed: usize,
}

impl Outcome {
    /// Share of the requests that were answered in time.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Share of the flows that were placed on a target of another zone.
    pub fn crossing_share(&self) -> f64 {
        self.crossing as f64 / self.flows.max(1) as f64
    }

    /// Share of the attempts that were shed.
    pub fn shed_share(&self) -> f64 {
        self.shed as f64 / self.arrivals.max(1) as f64
    }

    /// A quantile of the response times, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let found = self.latencies.get((last as f64 * quantile) as usize);
        found.map_or(0.0, |us| *us as f64 / 1_000.0)
    }
}

/// Runs a situation.
pub fn run(options: Options, rule: Rule) -> Outcome {
    model::Model::new(options, rule).run()
}
