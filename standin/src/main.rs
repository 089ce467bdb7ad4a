//! `quetzal-standin`: runs one stand-in, or the demonstration.

use std::process::ExitCode;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;
use quetzal_standin::{caller, demo, fabric, platform, target};

const HELP: &str = "\
Stand-ins for what surrounds quetzalspur, for tests and the demonstration.

Usage: quetzal-standin platform ADDRESS
       quetzal-standin fabric|target|caller FILE.json
       quetzal-standin demo [--seed NUMBER] [--seconds NUMBER] [--directory DIR]
";

fn usage(error: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::Usage, error.to_string())
}

fn read<T: for<'a> serde::Deserialize<'a>>(
    arguments: &mut pico_args::Arguments,
) -> fault::Result<T> {
    let path: String = arguments.free_from_str().map_err(usage)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| fault::report(code::Code::FileUnreadable, format!("{path}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| usage(format!("{path}: {error}")))
}

fn run() -> fault::Result<bool> {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand().map_err(usage)?.as_deref() {
        Some("platform") => {
            platform::start(arguments.free_from_str().map_err(usage)?)?;
            loop {
                std::thread::park();
            }
        }
        Some("fabric") => fabric::run(read(&mut arguments)?).map(|()| true),
        Some("target") => target::run(&read(&mut arguments)?).map(|()| true),
        Some("caller") => caller::run(read(&mut arguments)?).map(|()| true),
        Some("demo") => {
            let seed = arguments.opt_value_from_str("--seed").map_err(usage)?;
            let seconds = arguments.opt_value_from_str("--seconds").map_err(usage)?;
            let directory: Option<String> =
                arguments.opt_value_from_str("--directory").map_err(usage)?;
            demo::run(&demo::Options {
                directory: directory.map(Into::into),
                seconds: seconds.unwrap_or(demo::DEFAULT_SECONDS),
                seed: seed.unwrap_or(1),
            })
        }
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
