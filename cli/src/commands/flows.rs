//! `quetzal flows`: shows where one flow goes, which instance decides, and why.

use std::net::SocketAddr;

use quetzal_lib::protocol::{fault, status};

use crate::{context, output};

pub const HELP: &str = "\
Shows where each of the given instances sends a flow, which instance decides for it, and why.

Usage: quetzal flows tcp|udp SOURCE:PORT DESTINATION:PORT --instances LIST [--output text|json]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let protocol = context.next_argument("PROTOCOL")?;
    let (source, destination) = (
        context.next_argument("SOURCE")?,
        context.next_argument("DESTINATION")?,
    );
    context.finish()?;
    for text in [&source, &destination] {
        if text.parse::<SocketAddr>().is_err() {
            return Err(context::usage(format!(
                "found `{text}`, allowed: ADDRESS:PORT"
            )));
        }
    }
    if !["tcp", "udp"].contains(&protocol.as_str()) {
        return Err(context::usage(format!(
            "found `{protocol}`, allowed: tcp, udp"
        )));
    }
    let path = format!("/flow?protocol={protocol}&source={source}&destination={destination}");
    let (answers, unreachable) = context.query::<status::Flow>(&path)?;
    if context.format == context::Format::Json {
        output::json(&answers)?;
    } else {
        print(&answers);
    }
    output::print_unreachable(&unreachable);
    Ok(())
}

fn print(answers: &[(SocketAddr, status::Flow)]) {
    let mut table = output::Table::new(&[
        "ASKED", "SERVICE", "BUCKET", "OWNER", "MODE", "GOES TO", "WHY",
    ]);
    let text =
        |address: Option<SocketAddr>| address.map_or("-".to_owned(), |address| address.to_string());
    for (asked, flow) in answers {
        let (to, why) = match (flow.entry_target, flow.settling) {
            (Some(target), _) => (Some(target), "has an entry"),
            (None, true) => (flow.fallback, "no entry: former home while settling"),
            (None, false) => (flow.home, "no entry: home of its bucket"),
        };
        table.add_row(vec![
            asked.to_string(),
            flow.service.to_string(),
            flow.bucket.to_string(),
            flow.owner.to_string(),
            flow.mode.to_string(),
            text(to),
            why.to_owned(),
        ]);
    }
    table.print();
}
