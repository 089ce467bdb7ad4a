//! The patterns of load by which placement is measured.

use crate::overload;

/// The patterns that consist of one difference each.
pub fn single(load: f64, seed: u64) -> impl Iterator<Item = (&'static str, overload::Options)> {
    let all = all(load, seed);
    all.into_iter().filter(|(_, found)| {
        let differences = [
            found.swing > 0.0,
            found.tail_share > 0.0,
            found.speeds.len() > 1,
        ];
        differences.iter().filter(|differs| **differs).count() <= 1
    })
}

/// A deployment of 81 instances and 120 targets in three zones, each name with its situation.
pub fn all(load: f64, seed: u64) -> [(&'static str, overload::Options); 9] {
    let base = overload::Options {
        instances: 81,
        load,
        new_share: 0.2,
        run_us: 15_000_000,
        seed,
        swing_period_us: 5_000_000,
        targets: 120,
        zones: 3,
        ..overload::Options::default()
    };
    let speeds: &'static [f64] = &[0.7, 0.7, 1.7];
    [
        ("alike", base),
        ("uneven", overload::Options { speeds, ..base }),
        (
            "swing",
            overload::Options {
                swing: 0.55,
                ..base
            },
        ),
        (
            "tail",
            overload::Options {
                tail_share: 0.03,
                ..base
            },
        ),
        (
            "evacuated",
            overload::Options {
                evacuated: true,
                ..base
            },
        ),
        (
            "cold",
            overload::Options {
                cold_share: 0.25,
                ..base
            },
        ),
        (
            "slow",
            overload::Options {
                slow_share: 0.4,
                ..base
            },
        ),
        (
            "failing",
            overload::Options {
                failing_share: 0.5,
                ..base
            },
        ),
        (
            "all of it",
            overload::Options {
                route_costs: &[0.87, 1.13],
                speeds,
                swing: 0.55,
                tail_share: 0.03,
                ..base
            },
        ),
    ]
}
