//! `quetzal diff`: shows what a new sheet changes.

use std::path::Path;

use quetzal_lib::coordination::change;
use quetzal_lib::protocol::{fault, sheet};
use quetzal_lib::state::fleet;
use quetzal_lib::transport::files;

use crate::{context, output};

pub const HELP: &str = "\
Shows what a new sheet changes: services, targets, and the buckets whose home moves. Open flows keep
their targets; the flows of moved buckets are tracked until all of them are known.

Usage: quetzal diff OLD NEW [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let (old, new) = (context.next_argument("OLD")?, context.next_argument("NEW")?);
    context.finish()?;
    let old = read(&old, 1, None)?;
    let new = read(&new, old.revision + 1, Some(&old))?;
    let change = change::between(&old, &new);
    if context.format == context::Format::Json {
        return output::json(&change);
    }
    print(&change);
    Ok(())
}

fn read(path: &str, revision: u64, previous: Option<&fleet::Sheet>) -> fault::Result<fleet::Sheet> {
    sheet::accept(&files::read_sheet(Path::new(path), revision)?, previous)
}

/// Prints a change as text.
pub fn print(change: &change::Change) {
    for (sign, names) in [("+", &change.added), ("-", &change.removed)] {
        for name in names {
            println!("{sign} service {name}");
        }
    }
    for service in &change.services {
        let percent = f64::from(service.moved) * 100.0 / f64::from(service.buckets);
        println!(
            "  service {}: {} of {} buckets move ({percent:.1}%)",
            service.name, service.moved, service.buckets
        );
        let groups = [
            ("+ target", &service.added),
            ("- target", &service.removed),
            ("~ drains", &service.draining),
            ("~ returns", &service.returned),
        ];
        for (sign, names) in groups {
            for name in names {
                println!("    {sign} {name}");
            }
        }
    }
    if *change == change::Change::default() {
        println!("no change");
    }
}
