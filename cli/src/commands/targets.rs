//! `quetzal targets`: shows targets as the first instance that answers sees them.

use quetzal_lib::protocol::{fault, status};

use crate::{context, output};

pub const HELP: &str = "\
Shows targets: zone, state, fitness, share of capacity, buckets and open flows.

Usage: quetzal targets --instances LIST [--service NAME] [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let wanted: Option<String> = context
        .rest
        .opt_value_from_str("--service")
        .map_err(|error| context::usage(error.to_string()))?;
    context.finish()?;
    let (answers, unreachable) = context.query::<status::Status>("/status")?;
    let services: Vec<status::Service> = answers
        .into_iter()
        .next()
        .map(|(_, status)| status.services)
        .unwrap_or_default()
        .into_iter()
        .filter(|service| {
            wanted
                .as_ref()
                .is_none_or(|wanted| service.name == wanted.as_str())
        })
        .collect();
    if context.format == context::Format::Json {
        output::json(&services)?;
    } else {
        print(&services);
    }
    output::print_unreachable(&unreachable);
    Ok(())
}

fn print(services: &[status::Service]) {
    let mut table = output::Table::new(&[
        "SERVICE", "TARGET", "ZONE", "ADDRESS", "STATE", "FITNESS", "WEIGHT", "BUCKETS", "FLOWS",
    ]);
    for service in services {
        for target in &service.targets {
            table.add_row(vec![
                service.name.to_string(),
                target.name.to_string(),
                target.zone.to_string(),
                target.address.to_string(),
                target.state.to_string(),
                target.fitness.to_string(),
                format!("{}%", target.weight_percent),
                target.homes.to_string(),
                target.flows.to_string(),
            ]);
        }
    }
    table.print();
}
