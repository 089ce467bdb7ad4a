//! `quetzal drain`: shows how to drain a target, from the sheet alone.

use std::path::Path;

use quetzal_lib::coordination::change;
use quetzal_lib::protocol::{fault, sheet};
use quetzal_lib::state::{code, fleet};
use quetzal_lib::transport::files;

use crate::commands::diff;
use crate::{context, output};

pub const HELP: &str = "\
Shows what to write into a sheet to drain a target, and how many buckets that moves. The command
does not change or publish the sheet.

Usage: quetzal drain DIR SERVICE/TARGET [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let (path, name) = (
        context.next_argument("DIR")?,
        context.next_argument("SERVICE/TARGET")?,
    );
    context.finish()?;
    let old = sheet::accept(&files::read_sheet(Path::new(&path), 1)?, None)?;
    let Some((service, target)) = name.split_once('/') else {
        return Err(context::usage(format!(
            "found `{name}`, allowed: SERVICE/TARGET"
        )));
    };
    let mut new = old.clone();
    let found = new.targets.iter_mut().find(|found| {
        let service_found = &old.services[found.service.index()];
        found.name == target && service_found.name == service
    });
    let Some(found) = found else {
        return Err(fault::report(
            code::Code::NotFound,
            format!("{path}: no target {name}"),
        ));
    };
    found.state = fleet::State::Draining { deadline: None };
    let change = change::between(&old, &new);
    if context.format == context::Format::Json {
        return output::json(&change);
    }
    println!("In the [[target]] of {target}, write:\n\n    state = \"draining\"\n");
    println!("The target gets no new flows after 3 s; open flows stay until they end.");
    println!("To end them after 30 minutes, add drain_deadline = \"30m\".\n");
    diff::print(&change);
    Ok(())
}
