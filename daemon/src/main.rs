//! `quetzald`: one instance of the load balancer.

use std::path::Path;
use std::process::ExitCode;

use quetzal_lib::protocol::{cookie_settings, fault, settings};
use quetzal_lib::state::code;
use quetzal_lib::transport::{control, cookie, node};
use quetzal_platform::{packet, store};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
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
`kill -TERM` begins a planned stop. `kill -HUP` makes an instance that forwards by cookie check its
settings file for changes, which it also does every two seconds.
";

struct Arguments {
    check: bool,
    seed: Option<u64>,
    settings: String,
}

fn usage(error: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::Usage, format!("{error}; see quetzald --help"))
}

/// Parses the command line; `None` if it only asked for the help text or the version.
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
    if cookie_settings::is_cookie_format(&text) {
        let settings = cookie_settings::parse(&arguments.settings, &text)?;
        run_until_stopped(&arguments, |seed| {
            let source = store::source(settings.platform.address, settings.watch());
            let file = Path::new(&arguments.settings);
            Ok(Started {
                node: cookie::node::start(&settings, file, packet::CODEC, source, seed)?,
                reload: Some(|| cookie::control::Event::Reload),
                stop: || cookie::control::Event::Stop,
            })
        })
    } else {
        let settings = settings::parse(&arguments.settings, &text)?;
        run_until_stopped(&arguments, |seed| {
            Ok(Started {
                node: node::start(&settings, seed)?,
                reload: None,
                stop: || control::Event::Stop,
            })
        })
    }
}

/// A started instance and the functions that make the events for its signals.
struct Started<E> {
    node: node::Node<E>,
    reload: Option<fn() -> E>,
    stop: fn() -> E,
}

/// Starts an instance and waits until its graceful shutdown is complete. With `--check`, it only
/// reports that the settings are valid.
fn run_until_stopped<E: Send + 'static>(
    arguments: &Arguments,
    start: impl FnOnce(u64) -> fault::Result<Started<E>>,
) -> fault::Result<()> {
    if arguments.check {
        println!("{}: ok", arguments.settings);
        return Ok(());
    }
    let failed = |error: std::io::Error| {
        fault::report(code::Code::SocketUnavailable, format!("signals: {error}"))
    };
    // Signal handlers are registered before any thread starts, so that no signal is lost.
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(failed)?;
    let seed = arguments.seed.unwrap_or_else(clock_seed);
    let Started { node, reload, stop } = start(seed)?;
    let handle = signals.handle();
    let events = node.events();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let event = match signal {
                SIGHUP => reload.map(|reload| reload()),
                _ => Some(stop()),
            };
            if let Some(event) = event {
                // The instance may have stopped already.
                let _ = events.send(event);
            }
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
