//! `quetzal instances`: shows how the given instances see each other.

use quetzal_lib::protocol::{fault, status};

use crate::{context, output};

pub const HELP: &str = "\
Shows how the given instances see each other. During a network partition, they see different peers
alive.

Usage: quetzal instances --instances LIST [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    context.finish()?;
    let (answers, unreachable) = context.query::<status::Status>("/status")?;
    if context.format == context::Format::Json {
        let peers: Vec<(&str, &Vec<status::Peer>)> = answers
            .iter()
            .map(|(_, status)| (status.name.as_str(), &status.peers))
            .collect();
        output::json(&peers)?;
    } else {
        print(&answers.iter().map(|(_, status)| status).collect::<Vec<_>>());
    }
    output::print_unreachable(&unreachable);
    Ok(())
}

fn print(all: &[&status::Status]) {
    let mut table =
        output::Table::new(&["INSTANCE", "SEES", "ALIVE", "PHASE", "REVISION", "SILENT"]);
    for status in all {
        for peer in &status.peers {
            table.add_row(vec![
                status.name.to_string(),
                peer.name.to_string(),
                if peer.alive { "yes" } else { "no" }.to_owned(),
                peer.phase
                    .map_or("-".to_owned(), |phase| format!("{phase:?}").to_lowercase()),
                peer.revision.to_string(),
                peer.silent_ms
                    .map_or("never heard".to_owned(), |silent| format!("{silent}ms")),
            ]);
        }
    }
    table.print();
}
