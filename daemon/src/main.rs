//! `quetzald`: one instance of the load balancer.

use std::process::ExitCode;

use quetzal_lib::protocol::{fault, settings};
use quetzal_lib::state::code;
use quetzal_lib::transport::node;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const HELP: &str = "\
One instance of the quetzalspur load balancer.

Usage: quetzald --settings FILE [--check]

Options:
  -s, --settings FILE  Settings in INI
      --check          Check the settings and exit
      --seed NUMBER    Seed of the random generator (default: from the clock)
  -h, --help           Print this help
  -V, --version        Print the version

Exit status: 0 after a planned stop, 1 on a failure, 2 on wrong arguments, 3 on wrong settings.
`kill -TERM` begins a planned stop.
";

struct Arguments {
    check: bool,
    seed: Option<u64>,
    settings: String,
}

fn usage(error: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::Usage, format!("{error}; see quetzald --help"))
}

/// Parses the command line; none if it was answered already.
fn parse_arguments() -> fault::Result<Option<Arguments>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(None);
    }
    if arguments.contains(["-V", "--version"]) {
        println!("quetzald {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let parsed = Arguments {
        check: arguments.contains("--check"),
        seed: arguments.opt_value_from_str("--seed").map_err(usage)?,
        settings: arguments
            .value_from_str(["-s", "--settings"])
            .map_err(usage)?,
    };
    let rest = arguments.finish();
    if rest.is_empty() {
        Ok(Some(parsed))
    } else {
        Err(usage(format!("unexpected {rest:?}")))
    }
}

fn run() -> fault::Result<()> {
    let Some(arguments) = parse_arguments()? else {
        return Ok(());
    };
    let text = std::fs::read_to_string(&arguments.settings).map_err(|error| {
        fault::report(
            code::Code::FileUnreadable,
            format!("{}: {error}", arguments.settings),
        )
    })?;
    let settings = settings::parse(&arguments.settings, &text)?;
    if arguments.check {
        println!("{}: ok", arguments.settings);
        return Ok(());
    }
    let failed = |error: std::io::Error| {
        fault::report(code::Code::SocketUnavailable, format!("signals: {error}"))
    };
    // Signals are claimed before any thread starts, so that none is lost.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(failed)?;
    let seed = arguments.seed.unwrap_or_else(clock_seed);
    let node = node::start(&settings, seed)?;
    let handle = signals.handle();
    let stopper = node.stopper();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            stopper.stop();
        }
    });
    node.wait();
    handle.close();
    Ok(())
}

fn clock_seed() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos() as u64)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("quetzald: {report}");
            for text in fault::texts(&report) {
                eprintln!("{text}");
            }
            ExitCode::from(fault::code(&report).exit_status())
        }
    }
}
