//! The report on error budgets as text and as a self-contained HTML page with plots.

use std::fmt::Write;

use crate::coordination::burn;

/// Width of a plot in pixels.
const PLOT_WIDTH: f64 = 360.0;
/// Height of a plot in pixels.
const PLOT_HEIGHT: f64 = 60.0;
/// Burn rate at the top of a plot, unless the plot contains a higher one.
const PLOT_MIN_RATE: f64 = 2.0;

const STYLE: &str = "\
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:62rem;color:#222}
h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.35rem .6rem;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
.fast{background:#fdd}.slow{background:#fec}.none{color:#276}
svg{background:#f7f7f7;vertical-align:middle}.note{color:#666}.bad{color:#a00}
";

fn alert_name(alert: burn::Alert) -> &'static str {
    match alert {
        burn::Alert::Fast => "FAST",
        burn::Alert::None => "ok",
        burn::Alert::Slow => "SLOW",
    }
}

fn heading(report: &burn::Report) -> String {
    format!(
        "instances {} in {}; counts began {} s ago",
        report.instances.join(", "),
        report.zones.join(", "),
        report.since_seconds
    )
}

/// The report as text.
pub fn text(report: &burn::Report) -> String {
    let mut text = format!("{}\n", heading(report));
    for address in &report.unreachable {
        let _ = writeln!(text, "no answer, not in the report: {address}");
    }
    for service in &report.services {
        let _ = writeln!(
            text,
            "\n{:16} {:>8} {:>8} {:>8} {:>8} {:>9} {:>11}  ALERT",
            service.name, "5m", "30m", "1h", "6h", "LEFT", "BAD/ALL"
        );
        for measure in &service.measures {
            let rates = measure.rates();
            let longest = measure.windows[burn::WINDOW_MINUTES.len() - 1];
            let _ = writeln!(
                text,
                "  {:14} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>8.1}% {:>11}  {}",
                measure.kind.name(),
                rates[0],
                rates[1],
                rates[2],
                rates[3],
                measure.remaining_budget() * 100.0,
                format!("{}/{}", longest.bad, longest.total),
                alert_name(measure.alert())
            );
        }
    }
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The report as an HTML page.
pub fn html(report: &burn::Report) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p class=\"note\">{}. A burn rate of 1 uses up the budget \
         exactly. Counts are kept in memory only and cover no earlier time.</p>\n",
        escape(&heading(report))
    );
    for address in &report.unreachable {
        let _ = writeln!(
            page,
            "<p class=\"bad\">No answer from {}</p>",
            escape(address)
        );
    }
    for service in &report.services {
        write_service(&mut page, service);
    }
    page.push_str("</body></html>\n");
    page
}

fn write_service(page: &mut String, service: &burn::Service) {
    let _ = writeln!(
        page,
        "<h2>{}</h2>\n<table><tr><th>Objective</th><th>Budget</th><th>5 min</th><th>30 min</th>\
         <th>1 h</th><th>6 h</th><th>Left</th><th>Alert</th><th>Burn rate, last hour</th></tr>",
        escape(&service.name)
    );
    for measure in &service.measures {
        let alert = measure.alert();
        let class = match alert {
            burn::Alert::Fast => "fast",
            burn::Alert::None => "none",
            burn::Alert::Slow => "slow",
        };
        let rates: String = measure
            .rates()
            .iter()
            .map(|rate| format!("<td>{rate:.2}</td>"))
            .collect();
        let _ = writeln!(
            page,
            "<tr class=\"{class}\"><td>{}</td><td>{:.2}%</td>{rates}<td>{:.1}%</td><td>{}</td>\
             <td>{}</td></tr>",
            measure.kind.name(),
            measure.budget * 100.0,
            measure.remaining_budget() * 100.0,
            alert_name(alert),
            plot(measure)
        );
    }
    page.push_str("</table>\n");
}

/// Burn rate per minute as an SVG bar chart, with a line at a rate of 1.
fn plot(measure: &burn::Measure) -> String {
    let rates: Vec<f64> = measure
        .series
        .iter()
        .map(|tally| tally.rate(measure.budget))
        .collect();
    let top = rates.iter().copied().fold(PLOT_MIN_RATE, f64::max);
    let step = PLOT_WIDTH / 60.0;
    let start = PLOT_WIDTH - step * rates.len() as f64;
    let mut bars = String::new();
    for (index, rate) in rates.iter().enumerate() {
        let height = rate / top * PLOT_HEIGHT;
        let colour = if *rate > 1.0 { "#c33" } else { "#58a" };
        let _ = write!(
            bars,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{colour}\"/>",
            start + step * index as f64,
            PLOT_HEIGHT - height,
            step - 1.0,
            height
        );
    }
    let line = PLOT_HEIGHT - PLOT_HEIGHT / top;
    format!(
        "<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\" \
         aria-label=\"burn rate by the minute\">{bars}<line x1=\"0\" x2=\"{PLOT_WIDTH}\" \
         y1=\"{line:.1}\" y2=\"{line:.1}\" stroke=\"#444\" stroke-dasharray=\"3\"/>\
         <text x=\"3\" y=\"11\" font-size=\"10\" fill=\"#666\">{top:.1}</text></svg>"
    )
}
