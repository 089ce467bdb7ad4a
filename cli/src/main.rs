//! `quetzal`: the command-line tool for operators.

mod commands;
mod context;
mod output;

use std::process::ExitCode;

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;

const HELP: &str = "\
Checks sheets and settings, and shows the state of quetzalspur instances.

Usage: quetzal COMMAND [OPTIONS]

Commands:
  check PATH...             Check sheets (files or directories) and settings (.ini)
  manifest DIR              Print the manifest of a sheet
  diff OLD NEW              Show what a new sheet changes
  drain DIR SERVICE/TARGET  Show how to drain a target and what it moves
  explain FLOW FILE...      Show what happened to a flow with a cookie, from logs
  status                    Show the state of the given instances
  services                  Show services
  targets                   Show targets
  instances                 Show how the given instances see each other
  flows PROTOCOL SRC DST    Show where one flow goes and which instance decides
  report burn               Show how fast error budgets burn

Options:
  -i, --instances LIST      Status addresses, separated by commas (or QUETZAL_INSTANCES)
  -o, --output FORMAT       text (default) or json; report burn also html
  -h, --help                Print help; `quetzal COMMAND --help` prints the help of a command
  -V, --version             Print the version

Exit status: 0 on success, 1 if an instance is not ready or an item is not found, 2 on wrong
arguments or unreadable files, 3 on wrong settings, 4 on a sheet that is not accepted, 5 if an
instance or the platform cannot be reached.
";

fn run() -> fault::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-V", "--version"]) {
        println!("quetzal {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = arguments
        .subcommand()
        .map_err(|error| context::usage(error.to_string()))?;
    let Some(command) = command else {
        if arguments.contains(["-h", "--help"]) {
            print!("{HELP}");
            return Ok(());
        }
        return Err(context::usage("a command is missing"));
    };
    let found = commands::COMMANDS
        .iter()
        .find(|(name, _, _)| *name == command);
    let Some((_, help, run)) = found else {
        let names: Vec<&str> = commands::COMMANDS
            .iter()
            .map(|(name, _, _)| *name)
            .collect();
        let text = format!("unknown command `{command}`, allowed: {}", names.join(", "));
        return Err(context::usage(text));
    };
    if arguments.contains(["-h", "--help"]) {
        print!("{help}");
        return Ok(());
    }
    run(context::Context::new(arguments)?)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let code = fault::code(&report);
            eprintln!("quetzal: {report}");
            for text in fault::texts(&report) {
                eprintln!("{text}");
            }
            ExitCode::from(if code == code::Code::Ok {
                1
            } else {
                code.exit_status()
            })
        }
    }
}
