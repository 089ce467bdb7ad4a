//! What requests cost: how much work those of a route, and of a size, are.
//!
//! Requests of two routes that lead to one service may differ in work (routes of different cost), and so
//! may short and long requests of one route. The time of a request is measured against the usual one of
//! its class, so that a target that happens to get the expensive ones does not look slow. A class is
//! known by the address of the route and the size of the first packet of the request. Each instance
//! learns the classes by itself: they are few and are seen often.
//!
//! A request that is answered in a small part of the usual time has more likely failed, or was turned away
//! by a full target, than ended early. It counts as one that took several times as long as usual, so that
//! such a target attracts no work (targets that fail at once).

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::state::{arena, key, time};

/// Classes that are kept; those beyond count as usual.
const MAX_CLASSES: usize = 256;
/// Measurements over which the cost of a class is averaged.
const MAX_WEIGHT: f64 = 64.0;
/// Measurements of a class before it counts.
const MIN_WEIGHT: f64 = 8.0;
/// Largest factor by which the cost of a class differs from the usual.
const MAX_COST: f64 = 32.0;
/// Part of the higher times of a service below which a request has failed.
const FAILING_PART: f64 = 0.03;
/// Multiple of the mean time of a service that counts for a request which failed at once. With 8,
/// half of the targets failing drew more work than chance gives them in the first seconds.
const FAILING_FACTOR: f64 = 32.0;
/// Quantile that is the higher time of a service. It is that of sound targets even if most fail.
const HIGH_QUANTILE: f64 = 0.8;
/// Measurements of a service of which the longest is its first higher time.
const HIGH_START: f64 = 16.0;
/// Relative change of the higher time for one measurement.
const HIGH_STEP: f64 = 0.1;
/// Part of the measurements that are below the time in service. Those of idle targets are.
const SERVICE_QUANTILE: f64 = 0.4;
/// Relative change of the time in service for one measurement.
const SERVICE_STEP: f64 = 0.04;

/// Class of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Class {
    /// Address of the route.
    pub route: SocketAddrV4,
    /// Magnitude of the size of its first packet; none for the whole route.
    pub size: Option<u8>,
}

impl Class {
    /// The class of a request by the length of its first packet.
    pub fn new(route: SocketAddrV4, length: u16) -> Self {
        Self {
            route,
            size: Some(u16::BITS.saturating_sub(length.leading_zeros()) as u8 / 2),
        }
    }
}

/// Mean of logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    log: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, log: f64) {
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.log += (log - self.log) / self.weight;
    }

    /// Moves towards the higher quantile, from the largest of the first numbers on.
    fn raise(&mut self, log: f64) {
        self.weight += 1.0;
        if self.weight <= HIGH_START {
            self.log = self.log.max(log);
        } else {
            let is_below = f64::from(u8::from(log < self.log));
            self.log += HIGH_STEP * (HIGH_QUANTILE - is_below);
        }
    }
}

/// What a service takes for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Usual {
    /// Logarithm of the higher time of a request, with those that fail.
    high: Mean,
    response: Mean,
    /// Logarithm of the time in service of a request on a usual target.
    service: Option<f64>,
}

/// Costs of classes and services, as one traffic thread measures them.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    classes: HashMap<Class, Mean>,
    services: Vec<Usual>,
}

impl Costs {
    /// Records that a request took `took` on a target that is `slowness` times as slow as usual.
    /// `quiet` says that no other request seemed to wait there. Returns the time that counts for the
    /// target, for the work of a usual request.
    pub fn record(
        &mut self,
        service: key::Service,
        class: Class,
        took: time::Duration,
        slowness: f64,
        quiet: bool,
    ) -> time::Duration {
        let log = (took.as_micros().max(1) as f64).ln();
        let cost = self.cost(service, class).ln();
        let usual = arena::slot_or_default(&mut self.services, service.index());
        usual.high.raise(log - cost);
        if log - cost < usual.high.log + FAILING_PART.ln() {
            let counted_us = (usual.response.log.exp() * FAILING_FACTOR).max(1.0);
            return time::Duration::from_micros(counted_us as u64);
        }
        let on_usual = log - slowness.ln();
        usual.response.add(on_usual);
        if quiet {
            let before = usual.service.unwrap_or(on_usual - cost);
            let is_below = f64::from(u8::from(on_usual - cost < before));
            usual.service = Some(before + SERVICE_STEP * (SERVICE_QUANTILE - is_below));
        }
        let whole = Class {
            size: None,
            ..class
        };
        for class in [class, whole] {
            if self.classes.len() < MAX_CLASSES || self.classes.contains_key(&class) {
                self.classes.entry(class).or_default().add(on_usual);
            }
        }
        time::Duration::from_micros((log - cost).exp() as u64)
    }

    /// Work of a request of a class, as a multiple of the usual of its service.
    pub fn cost(&self, service: key::Service, class: Class) -> f64 {
        let usual = self.services.get(service.index());
        match (self.classes.get(&class), usual) {
            (Some(class), Some(usual)) if class.weight >= MIN_WEIGHT => (class.log
                - usual.response.log)
                .exp()
                .clamp(1.0 / MAX_COST, MAX_COST),
            _ => 1.0,
        }
    }

    /// Time that a usual target takes for a request of a route, without waiting; none if it was not
    /// measured.
    pub fn service_time(
        &self,
        service: key::Service,
        route: SocketAddrV4,
    ) -> Option<time::Duration> {
        let log = self.services.get(service.index())?.service?;
        let cost = self.cost(service, Class { route, size: None });
        Some(time::Duration::from_micros((log.exp() * cost) as u64))
    }
}
