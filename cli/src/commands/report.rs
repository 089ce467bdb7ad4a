//! `quetzal report burn`: shows how fast error budgets burn, merged over the given instances.

use quetzal_lib::coordination::burn;
use quetzal_lib::protocol::{fault, report};

use crate::{context, output};

pub const HELP: &str = "\
Shows how fast each service uses up the error budgets of its objectives, over windows of 5 minutes,
30 minutes, 1 hour and 6 hours, merged over the given instances. The report names the instances that
do not answer. Instances keep their counts in memory only, so the counts begin when they start.

Usage: quetzal report burn --instances LIST [--zone NAME] [--output text|json|html]
";

pub fn run(mut context: context::Context) -> fault::Result<()> {
    let what = context.next_argument("a report")?;
    if what != "burn" {
        return Err(context::usage(format!(
            "unknown report `{what}`, allowed: burn"
        )));
    }
    let zone: Option<String> = context
        .rest
        .opt_value_from_str("--zone")
        .map_err(|error| context::usage(error.to_string()))?;
    context.finish()?;
    let (answers, unreachable) = context.query::<burn::Report>("/burn")?;
    let mut merged = burn::Report::default();
    for (_, answer) in answers {
        let wanted = |zone: &String| answer.zones.iter().any(|found| found == zone.as_str());
        if zone.as_ref().is_none_or(wanted) {
            merged.merge(&answer);
        }
    }
    merged.unreachable = unreachable
        .iter()
        .map(|address| address.to_string().into())
        .collect();
    match context.format {
        context::Format::Html => print!("{}", report::html(&merged)),
        context::Format::Json => output::json(&merged)?,
        context::Format::Text => print!("{}", report::text(&merged)),
    }
    Ok(())
}
