//! Burn rates of the service-level objectives: how fast each service uses up its error budgets.
//!
//! Good and bad events are counted by the minute and kept in memory only, for the length of the
//! longest window. A burn rate of 1 uses up the budget exactly over the objective's period. As is
//! usual, an alert needs a long and a short window that both reach its rate.

use std::collections::VecDeque;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::load;
use crate::state::{fleet, time};

/// Length of one slot.
const SLOT_LENGTH: time::Duration = time::Duration::from_secs(60);
/// Number of slots that are kept, the length of the longest window.
const SLOT_COUNT: usize = 360;
/// Number of slots that a report lists one by one.
const SERIES_SLOT_COUNT: usize = 60;
/// Windows in minutes, shortest first.
pub const WINDOW_MINUTES: [usize; 4] = [5, 30, 60, 360];
/// Burn rate that is a fast burn if both the 5-minute and the 1-hour window reach it.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that is a slow burn if both the 30-minute and the 6-hour window reach it.
const SLOW_BURN_RATE: f64 = 6.0;

/// Time between samples of imbalance and of the configuration in force.
pub const SAMPLE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Mean number of open flows for each target below which a service's imbalance is not sampled.
const MIN_FLOWS_PER_TARGET: u32 = 3;

/// Flows of the most loaded target divided by the mean; none if there are too few flows.
pub fn imbalance(flows: &[u32]) -> Option<f64> {
    let sum: u32 = flows.iter().sum();
    let most = flows.iter().max().copied()?;
    let enough = sum >= MIN_FLOWS_PER_TARGET * flows.len() as u32;
    enough.then(|| f64::from(most) * flows.len() as f64 / f64::from(sum))
}

/// What an objective limits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Flows that lost their target.
    Broken,
    /// Samples in which the most loaded target was too far above the mean.
    Imbalance,
    /// Flows that were refused.
    Refused,
    /// Samples in which a newer sheet was known but not in force.
    Sheet,
}

/// All kinds in order.
pub const KINDS: [Kind; 4] = [Kind::Broken, Kind::Imbalance, Kind::Refused, Kind::Sheet];

/// Allowed share of bad samples of the objectives for which the sheet sets none.
const SAMPLE_ERROR_BUDGET: f64 = 0.05;

impl Kind {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken flows",
            Self::Imbalance => "imbalance",
            Self::Refused => "refusals",
            Self::Sheet => "sheet in force",
        }
    }

    /// Allowed share of bad events.
    pub fn budget(self, objective: fleet::Objective) -> f64 {
        const MILLION: f64 = 1_000_000.0;
        match self {
            Self::Broken => f64::from(objective.broken) / MILLION,
            Self::Refused => f64::from(objective.refused) / MILLION,
            Self::Imbalance | Self::Sheet => SAMPLE_ERROR_BUDGET,
        }
    }
}

/// Counts of bad and of all events.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Bad events.
    pub bad: u64,
    /// All events.
    pub total: u64,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.total += other.total;
    }

    /// Burn rate for a budget; zero without events.
    pub fn rate(self, budget: f64) -> f64 {
        if self.total == 0 || budget <= 0.0 {
            return 0.0;
        }
        self.bad as f64 / self.total as f64 / budget
    }
}

/// Events of one service by minute and kind.
#[derive(Clone, Debug, Default)]
pub struct History {
    slots: VecDeque<[Tally; KINDS.len()]>,
    slot_end: time::Instant,
}

impl History {
    /// Adds the outcomes of flows.
    pub fn add_outcomes(&mut self, now: time::Instant, outcomes: &load::Outcomes) {
        let total = u64::from(outcomes.started + outcomes.refused);
        for (kind, bad) in [
            (Kind::Broken, outcomes.lost),
            (Kind::Refused, outcomes.refused),
        ] {
            let bad = u64::from(bad);
            self.add(now, kind, Tally { bad, total });
        }
    }

    /// Adds one sample for each objective that is sampled rather than counted by flow.
    pub fn add_samples(
        &mut self,
        now: time::Instant,
        objective: fleet::Objective,
        is_sheet_stale: bool,
        imbalance: Option<f64>,
    ) {
        let sample = |is_bad: bool| Tally {
            bad: u64::from(is_bad),
            total: 1,
        };
        self.add(now, Kind::Sheet, sample(is_sheet_stale));
        if let Some(ratio) = imbalance {
            let is_bad = ratio > f64::from(objective.imbalance) / 1_000.0;
            self.add(now, Kind::Imbalance, sample(is_bad));
        }
    }

    /// Adds events of one kind to the slot of the given time.
    pub fn add(&mut self, now: time::Instant, kind: Kind, tally: Tally) {
        self.advance(now);
        if let Some(slot) = self.slots.back_mut() {
            slot[kind as usize].add(tally);
        }
    }

    fn advance(&mut self, now: time::Instant) {
        if self.slots.is_empty() {
            self.slot_end = now + SLOT_LENGTH;
            self.slots.push_back(Default::default());
        }
        while self.slot_end <= now {
            self.slot_end = self.slot_end + SLOT_LENGTH;
            self.slots.push_back(Default::default());
        }
        while self.slots.len() > SLOT_COUNT {
            self.slots.pop_front();
        }
    }

    fn window(&self, kind: Kind, minutes: usize) -> Tally {
        let mut sum = Tally::default();
        for slot in self.slots.iter().rev().take(minutes) {
            sum.add(slot[kind as usize]);
        }
        sum
    }

    /// Returns the events of one kind for a report.
    pub fn measure(&self, kind: Kind, objective: fleet::Objective) -> Measure {
        Measure {
            budget: kind.budget(objective),
            kind,
            series: self
                .slots
                .iter()
                .rev()
                .take(SERIES_SLOT_COUNT)
                .rev()
                .map(|slot| slot[kind as usize])
                .collect(),
            windows: WINDOW_MINUTES.map(|minutes| self.window(kind, minutes)),
        }
    }
}

/// Events of one objective of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measure {
    /// Allowed share of bad events.
    pub budget: f64,
    /// What the objective limits.
    pub kind: Kind,
    /// Events by minute, the latest last.
    pub series: Vec<Tally>,
    /// Events in each of `WINDOW_MINUTES`.
    pub windows: [Tally; WINDOW_MINUTES.len()],
}

/// Severity of a burn rate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// At this rate a month's budget lasts about two days.
    Fast,
    /// Neither a fast nor a slow burn.
    None,
    /// At this rate a month's budget lasts about five days.
    Slow,
}

impl Measure {
    /// Burn rate in each window.
    pub fn rates(&self) -> [f64; WINDOW_MINUTES.len()] {
        self.windows.map(|window| window.rate(self.budget))
    }

    /// The alert of the objective; a long and a short window must both reach its rate.
    pub fn alert(&self) -> Alert {
        let [five, thirty, hour, six_hours] = self.rates();
        if five >= FAST_BURN_RATE && hour >= FAST_BURN_RATE {
            Alert::Fast
        } else if thirty >= SLOW_BURN_RATE && six_hours >= SLOW_BURN_RATE {
            Alert::Slow
        } else {
            Alert::None
        }
    }

    /// Remaining share of the budget of the longest window; below zero if more than all is used.
    pub fn remaining_budget(&self) -> f64 {
        1.0 - self.rates()[WINDOW_MINUTES.len() - 1]
    }

    /// Adds the events of another instance.
    pub fn merge(&mut self, other: &Self) {
        for (window, more) in self.windows.iter_mut().zip(other.windows) {
            window.add(more);
        }
        let length = self.series.len().max(other.series.len());
        let mut series = vec![Tally::default(); length];
        for source in [&self.series, &other.series] {
            for (slot, tally) in series.iter_mut().rev().zip(source.iter().rev()) {
                slot.add(*tally);
            }
        }
        self.series = series;
    }
}

/// All objectives of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// One entry for each kind.
    pub measures: Vec<Measure>,
    /// Name of the service.
    pub name: CompactString,
}

/// The report of one instance, or of several merged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Instances whose events are in the report.
    pub instances: Vec<CompactString>,
    /// Objectives of each service.
    pub services: Vec<Service>,
    /// Shortest counting time of the instances, in seconds.
    pub since_seconds: u64,
    /// Instances whose report could not be fetched.
    pub unreachable: Vec<CompactString>,
    /// Zones whose instances are in the report.
    pub zones: Vec<CompactString>,
}

impl Report {
    /// Adds the report of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.since_seconds = if self.instances.is_empty() {
            other.since_seconds
        } else {
            self.since_seconds.min(other.since_seconds)
        };
        self.instances.extend_from_slice(&other.instances);
        for zone in &other.zones {
            if !self.zones.contains(zone) {
                self.zones.push(zone.clone());
            }
        }
        for service in &other.services {
            match self
                .services
                .iter_mut()
                .find(|known| known.name == service.name)
            {
                Some(known) => merge_service(known, service),
                None => self.services.push(service.clone()),
            }
        }
    }
}

fn merge_service(known: &mut Service, other: &Service) {
    for (measure, more) in known.measures.iter_mut().zip(&other.measures) {
        measure.merge(more);
    }
}
