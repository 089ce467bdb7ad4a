//! The commands, each in its own file.

mod check;
mod diff;
mod drain;
mod explain;
mod flows;
mod instances;
mod manifest;
mod report;
mod services;
mod status;
mod targets;

use quetzal_lib::protocol::fault;

use crate::context;

/// The function that runs a command.
pub type Run = fn(context::Context) -> fault::Result<()>;

/// Names, help texts and functions of all commands.
pub const COMMANDS: &[(&str, &str, Run)] = &[
    ("check", check::HELP, check::run),
    ("diff", diff::HELP, diff::run),
    ("drain", drain::HELP, drain::run),
    ("explain", explain::HELP, explain::run),
    ("flows", flows::HELP, flows::run),
    ("instances", instances::HELP, instances::run),
    ("manifest", manifest::HELP, manifest::run),
    ("report", report::HELP, report::run),
    ("services", services::HELP, services::run),
    ("status", status::HELP, status::run),
    ("targets", targets::HELP, targets::run),
];
