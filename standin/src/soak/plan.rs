//! Schedule of a run's faults, generated from its seed.

use std::time::Duration;

use quetzal_lib::state::random;

/// Mean time between the starts of two faults; shorter than most faults, so that they overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Fault-free time at the start, in which the instances get ready.
pub const FAULT_FREE_START: Duration = Duration::from_secs(3);
/// Time at the end without new faults: the longest fault, the stability period after it, and the
/// final phase in which requests must be answered again.
pub const FAULT_FREE_END: Duration = Duration::from_secs(14);
/// Shortest fault.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(400);
/// Longest fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(4_000);

/// A fault and what it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An instance is killed, and restarted after the fault's duration.
    Kill(usize),
    /// An instance is paused.
    Pause(usize),
    /// An instance shuts down gracefully and is restarted.
    Stop(usize),
    /// The settings file of an instance changes, with a SIGHUP if true.
    Settings(usize, bool),
    /// The store answers every request with 503.
    StoreBusy,
    /// The store is unavailable, and the registrations of some targets expire meanwhile.
    StoreLapse,
    /// The store compacts its history, so that running watches get 410.
    StoreCompact,
    /// The store comes back from a copy that lacks what was written in the fault's duration.
    StoreRestore,
    /// Connections of an instance to the store stay open but carry no data.
    StoreSilent(usize),
    /// Connections of an instance to the store carry requests but no responses.
    StoreOneWay(usize),
    /// Connections of an instance to the store are reset.
    StoreReset(usize),
    /// Connections of an instance to the store are slow.
    StoreSlow(usize),
    /// A target drops all packets and sends none.
    TargetSilent(usize),
    /// A target restarts under the same identity and loses its flows.
    TargetRestart(usize),
    /// A target drains and leaves; a target of another service reuses its address.
    TargetReplace(usize),
    /// A route changes to another service.
    Route,
    /// A zone is partitioned from the others.
    ZoneCut(usize),
    /// Packets are lost.
    Loss,
}

/// One scheduled fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Duration.
    pub duration: Duration,
}

/// Numbers of instances, targets and zones that faults choose from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Zones.
    pub zones: usize,
}

/// Generates the faults of a run with the given duration.
pub fn generate(seed: u64, counts: Counts, duration: Duration) -> Vec<Entry> {
    let mut random = random::Source::new(seed);
    let mut entries = Vec::new();
    let mut at = FAULT_FREE_START;
    while at + FAULT_FREE_END < duration {
        let spread = (MAX_FAULT_DURATION - MIN_FAULT_DURATION).mul_f64(random.unit());
        entries.push(Entry {
            at,
            fault: random_fault(&mut random, counts),
            duration: MIN_FAULT_DURATION + spread,
        });
        at += MEAN_FAULT_INTERVAL.mul_f64(-(1.0 - random.unit()).ln());
    }
    entries
}

fn random_fault(random: &mut random::Source, counts: Counts) -> Fault {
    let instance = random.below(counts.instances);
    let target = random.below(counts.targets);
    match random.below(20) {
        0 | 1 => Fault::Kill(instance),
        2 => Fault::Pause(instance),
        3 | 4 => Fault::Stop(instance),
        5 => Fault::Settings(instance, random.below(2) == 0),
        6 => Fault::StoreBusy,
        7 => Fault::StoreLapse,
        8 => Fault::StoreCompact,
        9 => Fault::StoreSilent(instance),
        10 => Fault::StoreOneWay(instance),
        11 => Fault::StoreReset(instance),
        12 => Fault::StoreSlow(instance),
        13 => Fault::TargetSilent(target),
        14 => Fault::TargetRestart(target),
        15 => Fault::TargetReplace(target),
        16 => Fault::Route,
        17 => Fault::ZoneCut(random.below(counts.zones)),
        18 => Fault::StoreRestore,
        _ => Fault::Loss,
    }
}
