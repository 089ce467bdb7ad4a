//! Targets of the model: speed, time in service, and the work of a request.

use std::collections::VecDeque;

use quetzal_lib::state::random;

use crate::overload;

/// Factor on the time of a request on a target that is cold.
const COLD_FACTOR: f64 = 1.6;
/// Factor on the time of the few requests that take long.
const TAIL_FACTOR: f64 = 7.0;
/// Standard deviation of the logarithm of the time of a request, if a few take long.
const TAIL_SPREAD: f64 = 0.5;

/// A target with its requests, which are of the type `A`.
pub struct Target<A> {
    /// End of its slow time after it joined.
    pub cold_until: u64,
    pub failing: bool,
    /// When it takes its first flow, and when it takes no more.
    pub open: std::ops::Range<u64>,
    pub queue: VecDeque<A>,
    pub running: usize,
    /// Factor on the time of a request.
    slowness: f64,
    pub zone: usize,
}

impl<A> Target<A> {
    /// A target of a situation that starts at `start`.
    pub fn new(
        options: &overload::Options,
        start: u64,
        number: usize,
        random: &mut random::Source,
    ) -> Self {
        let failing = random.unit() < options.failing_share;
        let slow = random.unit() < options.slow_share;
        let joins = options.cold_share > 0.0 && random.unit() < options.cold_share;
        let zone = number % options.zones;
        let speed = options.speeds[number / options.zones % options.speeds.len()];
        let leaves = options.evacuated && zone == 0;
        let part = |share: u64| start + options.run_us / share;
        Self {
            cold_until: if joins {
                start + options.run_us * 2 / 3
            } else {
                0
            },
            failing,
            open: (if joins { part(3) } else { 0 })..(if leaves { part(6) } else { u64::MAX }),
            queue: VecDeque::new(),
            running: 0,
            slowness: if slow { options.slow_factor } else { 1.0 } / speed,
            zone,
        }
    }

    /// Factor on the time of a request at a time.
    pub fn slowness(&self, now: u64) -> f64 {
        if now < self.cold_until {
            self.slowness * COLD_FACTOR
        } else {
            self.slowness
        }
    }

    /// Whether it takes new flows.
    pub fn is_open(&self, now: u64) -> bool {
        self.open.contains(&now)
    }
}

/// Mean of `draw_work`.
pub fn mean_work(options: &overload::Options) -> f64 {
    let routes: f64 = options.route_costs.iter().sum();
    let tail = 1.0 + options.tail_share * (TAIL_FACTOR - 1.0);
    tail * routes / options.route_costs.len() as f64
}

/// Work of a request of a route, as a multiple of the usual work.
pub fn draw_work(options: &overload::Options, route: usize, random: &mut random::Source) -> f64 {
    let cost = options.route_costs[route];
    if options.tail_share <= 0.0 {
        return cost * (0.5 + random.unit());
    }
    let normal =
        (-2.0 * (1.0 - random.unit()).ln()).sqrt() * (std::f64::consts::TAU * random.unit()).cos();
    let spread = (TAIL_SPREAD * normal - TAIL_SPREAD * TAIL_SPREAD / 2.0).exp();
    let is_long = random.unit() < options.tail_share;
    cost * spread * if is_long { TAIL_FACTOR } else { 1.0 }
}
