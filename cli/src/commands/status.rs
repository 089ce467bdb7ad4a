//! `quetzal status`: shows the given instances, one line each.

use quetzal_lib::protocol::{fault, status};
use quetzal_lib::state::code;

use crate::{context, output};

pub const HELP: &str = "\
Shows the given instances: phase, sheet, whether they are ready, and how much they forward.

Usage: quetzal status --instances LIST [--output text|json]

The exit status is 5 if an instance does not answer, or else 1 if an instance is not ready.
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    context.finish()?;
    let (answers, unreachable) = context.query::<status::Status>("/status")?;
    if context.format == context::Format::Json {
        let all: Vec<&status::Status> = answers.iter().map(|(_, status)| status).collect();
        output::json(&all)?;
    } else {
        print(&answers.iter().map(|(_, status)| status).collect::<Vec<_>>());
    }
    output::print_unreachable(&unreachable);
    if !unreachable.is_empty() {
        return Err(fault::report(
            code::Code::InstanceUnreachable,
            "not all instances answered",
        ));
    }
    if answers.iter().any(|(_, status)| !status.ready) {
        return Err(fault::report(
            code::Code::NotReady,
            "not all instances are ready",
        ));
    }
    Ok(())
}

fn print(all: &[&status::Status]) {
    let mut table = output::Table::new(&[
        "INSTANCE",
        "ZONE",
        "PHASE",
        "REVISION",
        "READY",
        "SETTLED",
        "PEERS",
        "FORWARDED",
        "RELAYED",
        "ENTRIES",
        "UP",
    ]);
    for status in all {
        let counter = |name: &str| status.counters.get(name).copied().unwrap_or(0);
        let alive = status.peers.iter().filter(|peer| peer.alive).count();
        let peers = format!("{alive}/{}", status.peers.len());
        table.add_row(vec![
            status.name.to_string(),
            status.zone.to_string(),
            status
                .phase
                .map_or("-".to_owned(), |phase| format!("{phase:?}").to_lowercase()),
            status.revision.to_string(),
            yes_or_no(status.ready),
            yes_or_no(status.settled),
            if status.alone {
                format!("{peers} (no deputy)")
            } else {
                peers
            },
            counter("packets_forwarded").to_string(),
            counter("packets_relayed").to_string(),
            status.entries.to_string(),
            format!("{}s", status.uptime_seconds),
        ]);
    }
    table.print();
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
