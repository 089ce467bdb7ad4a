//! `quetzal services`: shows services as the given instances see them.

use std::collections::BTreeMap;

use quetzal_lib::protocol::{fault, status};

use crate::{context, output};

pub const HELP: &str = "\
Shows services: address, targets that take new flows, buckets and their state, and open flows.

Usage: quetzal services --instances LIST [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    context.finish()?;
    let (answers, unreachable) = context.query::<status::Status>("/status")?;
    let services = merge(answers.iter().map(|(_, status)| status));
    if context.format == context::Format::Json {
        output::json(&services)?;
    } else {
        print(&services);
    }
    output::print_unreachable(&unreachable);
    Ok(())
}

/// Merges the statuses into one item per service. The numbers of owned and direct buckets are
/// summed over the instances; all other values are those of the first instance with the service.
fn merge<'a>(all: impl Iterator<Item = &'a status::Status>) -> Vec<status::Service> {
    let mut services: BTreeMap<String, status::Service> = BTreeMap::new();
    for service in all.flat_map(|status| &status.services) {
        match services.get_mut(service.name.as_str()) {
            Some(known) => {
                known.direct += service.direct;
                known.owned += service.owned;
            }
            None => {
                services.insert(service.name.to_string(), service.clone());
            }
        }
    }
    services.into_values().collect()
}

fn print(services: &[status::Service]) {
    let mut table = output::Table::new(&[
        "SERVICE", "ADDRESS", "PROTOCOL", "TARGETS", "BUCKETS", "DIRECT", "SETTLING", "SHARE",
        "FLOWS",
    ]);
    for service in services {
        let fit = service
            .targets
            .iter()
            .filter(|target| target.fitness == "fit" && target.state == "active")
            .count();
        let flows: u32 = service.targets.iter().map(|target| target.flows).sum();
        table.add_row(vec![
            service.name.to_string(),
            service.address.to_string(),
            service.protocol.to_string(),
            format!("{fit}/{}", service.targets.len()),
            service.buckets.to_string(),
            format!("{}/{}", service.direct, service.owned),
            service.settling.to_string(),
            format!("{}%", f64::from(service.flexible_share) / 10.0),
            flows.to_string(),
        ]);
    }
    table.print();
}
