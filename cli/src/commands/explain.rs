//! `quetzal explain`: shows what happened to one flow, from the logs of all instances.

use std::path::Path;
use std::time::{Duration, SystemTime};

use quetzal_lib::coordination::cookie::report;
use quetzal_lib::protocol::{fault, timeline};
use quetzal_lib::state::code;
use quetzal_lib::transport::files;

use crate::{context, output};

pub const HELP: &str = "\
Shows what happened to one flow with a cookie, from the JSON log lines of the instances: every
decision on the flow, and what the deciding instances logged about its targets and about their own
dependencies around that time. FLOW is the caller's ADDRESS:PORT or the identifier in `flow` lines.

Usage: quetzal explain FLOW FILE... [--around SECONDS] [--output text|json]

  --around SECONDS  Time before the first and after the last decision (default 3)

The exit status is 1 if no line names the flow.
";

/// Default time before and after the decisions. An instance detects a target that stopped
/// answering within 1 s, and the platform reports it within about 3 s.
const DEFAULT_MARGIN: Duration = Duration::from_secs(3);

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let margin: Option<u64> = context
        .rest
        .opt_value_from_str("--around")
        .map_err(|error| context::usage(error.to_string()))?;
    let query = timeline::Query {
        margin: margin.map_or(DEFAULT_MARGIN, Duration::from_secs),
        flow: context.next_argument("FLOW")?.into(),
    };
    let mut lines = Vec::new();
    let mut unreadable = 0;
    let mut file = context.next_argument("FILE")?;
    loop {
        let (found, skipped) = timeline::parse(&files::read(Path::new(&file))?);
        lines.extend(found);
        unreadable += skipped;
        match context.next_argument("FILE") {
            Ok(next) => file = next,
            Err(_) => break,
        }
    }
    context.finish()?;
    let timeline = timeline::select(&lines, &query);
    let Some(outcome) = timeline::outcome(&timeline) else {
        let text = format!(
            "{}: not found in {} log lines; lines that are not log lines: {unreadable}",
            query.flow,
            lines.len()
        );
        return Err(fault::report(code::Code::NotFound, text));
    };
    if context.format == context::Format::Json {
        let rows: Vec<_> = timeline.iter().map(row).collect();
        return output::json(&rows);
    }
    print(&timeline, outcome);
    Ok(())
}

fn row(line: &timeline::Line) -> serde_json::Value {
    serde_json::json!({
        "at": seconds(line.at, SystemTime::UNIX_EPOCH),
        "fields": line.fields,
        "instance": line.instance,
        "message": line.message,
    })
}

fn print(timeline: &[timeline::Line], outcome: &timeline::Line) {
    let origin = timeline
        .iter()
        .find(|line| line.message == outcome.message)
        .map_or(outcome.at, |line| line.at);
    println!(
        "flow {} from {} to {}: {}, {}",
        outcome.field("flow"),
        outcome.field("caller"),
        outcome.field("route"),
        outcome.field("outcome"),
        outcome.field("cause"),
    );
    let cause = report::Cause::ALL
        .iter()
        .find(|cause| cause.name() == outcome.field("cause"));
    if let Some(cause) = cause {
        println!("  {}", cause.meaning());
    }
    let mut table = output::Table::new(&["SECONDS", "INSTANCE", "WHAT", "WITH"]);
    for line in timeline {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        table.add_row(vec![
            format!("{:+.3}", seconds(line.at, origin)),
            line.instance.to_string(),
            line.message.to_string(),
            fields.join(" "),
        ]);
    }
    table.print();
}

/// Seconds from `origin` to `at`, negative if `at` is earlier.
fn seconds(at: SystemTime, origin: SystemTime) -> f64 {
    match at.duration_since(origin) {
        Ok(later) => later.as_secs_f64(),
        Err(earlier) => -earlier.duration().as_secs_f64(),
    }
}
