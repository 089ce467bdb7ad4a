//! `quetzal-standin`: runs a single stand-in, the demonstration or the soak test.

use std::process::ExitCode;
use std::time::Duration;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;
use quetzal_standin::{caller, demo, fabric, platform, soak, target};

const HELP: &str = "\
Simulated platform, fabric, targets and callers for tests of quetzalspur and its demonstration.

Usage: quetzal-standin platform ADDRESS
       quetzal-standin fabric|target|caller FILE.json
       quetzal-standin demo [--seed NUMBER] [--seconds NUMBER] [--directory DIR]
       quetzal-standin soak [--seed NUMBER] [--runs NUMBER] [--seconds NUMBER] [--instances NUMBER]
                            [--targets NUMBER] [--callers NUMBER] [--block NUMBER]
                            [--directory DIR]

`soak` runs one seed after the other. Each run uses the loopback addresses of one block, counted up from `--block`. The exit status is 1 if a promise was broken.
";

fn usage_fault(error: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::Usage, error.to_string())
}

fn read_config<T: for<'a> serde::Deserialize<'a>>(
    arguments: &mut pico_args::Arguments,
) -> fault::Result<T> {
    let path: String = arguments.free_from_str().map_err(usage_fault)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| fault::report(code::Code::FileUnreadable, format!("{path}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| usage_fault(format!("{path}: {error}")))
}

/// Runs a soak test for each seed in turn and prints its report; returns whether all promises held.
fn soak_runs(arguments: &mut pico_args::Arguments) -> fault::Result<bool> {
    let mut number = |name: &'static str, default: u64| -> fault::Result<u64> {
        let value: Option<u64> = arguments.opt_value_from_str(name).map_err(usage_fault)?;
        Ok(value.unwrap_or(default))
    };
    let first = number("--seed", 1)?;
    let runs = number("--runs", 1)?;
    let seconds = number("--seconds", soak::DEFAULT_SECONDS)?;
    let instances = number("--instances", 5)? as usize;
    let targets = number("--targets", 9)? as usize;
    let callers = number("--callers", 40)? as usize;
    let block = number("--block", 1)? as u8;
    let directory: Option<String> = arguments
        .opt_value_from_str("--directory")
        .map_err(usage_fault)?;
    let directory = directory.map_or_else(
        || std::env::temp_dir().join(format!("quetzal-soak-{}", std::process::id())),
        Into::into,
    );
    let program = std::env::current_exe().map_err(usage_fault)?;
    let mut held = true;
    for (seed, block) in (first..first + runs).zip(block..) {
        let report = soak::run(&soak::Options {
            block,
            callers,
            directory: directory.join(format!("seed-{seed}")),
            instances,
            duration: Duration::from_secs(seconds),
            program: program.with_file_name("quetzald"),
            seed,
            targets,
        })?;
        held &= report.breaches.is_empty();
        print!("{report}");
    }
    Ok(held)
}

fn run() -> fault::Result<bool> {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand().map_err(usage_fault)?.as_deref() {
        Some("platform") => {
            platform::start(arguments.free_from_str().map_err(usage_fault)?)?;
            loop {
                std::thread::park();
            }
        }
        Some("fabric") => fabric::run(read_config(&mut arguments)?).map(|()| true),
        Some("target") => target::run(&read_config(&mut arguments)?).map(|()| true),
        Some("caller") => caller::run(read_config(&mut arguments)?).map(|()| true),
        Some("demo") => {
            let seed = arguments
                .opt_value_from_str("--seed")
                .map_err(usage_fault)?;
            let seconds = arguments
                .opt_value_from_str("--seconds")
                .map_err(usage_fault)?;
            let directory: Option<String> = arguments
                .opt_value_from_str("--directory")
                .map_err(usage_fault)?;
            demo::run(&demo::Options {
                directory: directory.map(Into::into),
                seconds: seconds.unwrap_or(demo::DEFAULT_SECONDS),
                seed: seed.unwrap_or(1),
            })
        }
        Some("soak") => soak_runs(&mut arguments),
        _ => {
            print!("{HELP}");
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("quetzal-standin: {report}");
            for text in fault::texts(&report) {
                eprintln!("{text}");
            }
            ExitCode::from(fault::code(&report).exit_status())
        }
    }
}
