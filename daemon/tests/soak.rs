//! Short fault-injection soak tests with real processes. Start longer runs by hand with
//! `quetzal-standin soak`.

use std::path::PathBuf;
use std::time::Duration;

use quetzal_standin::soak;

use crate::site;

/// Seeds to run: one that covers most faults, and each seed that has failed, with its cause. None
/// has failed so far.
const SEEDS: [u64; 1] = [161];
/// Length of a run: ten seconds of faults between the start and a fault-free end.
const RUN_LENGTH: Duration = Duration::from_secs(28);

#[test]
fn invariants_hold_under_faults() {
    let _lock = site::lock_sites();
    for (seed, block) in SEEDS.into_iter().zip(250..) {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let options = soak::Options {
            block,
            callers: 40,
            directory,
            instances: 5,
            duration: RUN_LENGTH,
            program: PathBuf::from(env!("CARGO_BIN_EXE_quetzald")),
            seed,
            targets: 9,
        };
        let report = soak::run(&options).expect("the soak runs");
        assert!(report.breaches.is_empty(), "{report}");
        assert!(report.faults > 5, "{report}");
        let checks = report.checks.get(&soak::network::Promise::FlowKept);
        assert!(checks.is_some_and(|checks| *checks > 500), "{report}");
    }
}
