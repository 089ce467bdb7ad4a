//! The faults of a run, drawn from its seed.

use std::time::Duration;

use quetzal_lib::state::random;

/// Mean time between two faults; shorter than most faults last, so that they overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Time after the start without faults, in which the instances get ready.
pub const FAULT_FREE_START: Duration = Duration::from_secs(3);
/// Time at the end without new faults: the longest fault, the time in which its effects are excused,
/// and the time in which all must be served again.
pub const FAULT_FREE_END: Duration = Duration::from_secs(14);
/// Shortest fault.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(400);
/// Longest fault.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(4_000);

/// What is done to whom.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An instance is killed and started again after the fault's length.
    Kill(usize),
    /// An instance stands still.
    Pause(usize),
    /// An instance is stopped as planned and started again.
    Stop(usize),
    /// The settings of an instance change, with a hangup or without.
    Settings(usize, bool),
    /// The store answers all with 503.
    StoreBusy,
    /// The store is away, and the registrations of some targets lapse meanwhile.
    StoreLapse,
    /// The store's history is dropped.
    StoreCompact,
    /// Connections of an instance to the store stay open and carry nothing.
    StoreSilent(usize),
    /// Connections of an instance to the store carry nothing back.
    StoreOneWay(usize),
    /// Connections of an instance to the store are reset.
    StoreReset(usize),
    /// Connections of an instance to the store are slow.
    StoreSlow(usize),
    /// A target takes and sends nothing.
    TargetSilent(usize),
    /// A target starts again under its identity and knows nothing of its flows.
    TargetRestart(usize),
    /// A target drains and leaves; another service's target takes over its address.
    TargetReplace(usize),
    /// A route leads to another service.
    Route,
    /// A zone is cut off from the others.
    ZoneCut(usize),
    /// Packets are lost.
    Loss,
}

/// One fault of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// What is done.
    pub fault: Fault,
    /// How long it lasts.
    pub duration: Duration,
}

/// Numbers of what faults may strike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Zones.
    pub zones: usize,
}

/// The faults of a run of a length.
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
    match random.below(19) {
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
        _ => Fault::Loss,
    }
}
