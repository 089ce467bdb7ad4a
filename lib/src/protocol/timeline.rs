//! The timeline of a flow, from the log lines of instances that forward by cookie.
//!
//! A timeline has the decisions of all instances on the flow, and what these instances logged
//! around that time, except about other flows and targets. The lines may come from several files,
//! in any order. A line may have other text before its JSON.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use serde_json::{Map, Value};

/// Message of log lines with a decision on a flow.
const FLOW: &str = "flow";
/// Messages of log lines about one target.
const TARGET_MESSAGES: [&str; 2] = ["target", "target evidence"];
/// Fields that every log line has. `Line::fields` leaves them out.
const COMMON_FIELDS: [&str; 5] = ["instance", "level", "msg", "ts", "zone"];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written.
    pub at: SystemTime,
    /// Its fields, without time, message, level, instance and zone.
    pub fields: Map<String, Value>,
    /// The instance that wrote it.
    pub instance: CompactString,
    /// The message.
    pub message: CompactString,
}

impl Line {
    /// The text of a field, empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }
}

/// The flow and the time range of a timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Time before the first and after the last decision that the timeline covers.
    pub margin: Duration,
    /// Address and port of the caller, or the flow's identifier.
    pub flow: CompactString,
}

/// Parses log lines. Also returns the number of lines that are not log lines.
pub fn parse(text: &str) -> (Vec<Line>, usize) {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse_line(line) {
            Some(line) => lines.push(line),
            None => unreadable += 1,
        }
    }
    (lines, unreadable)
}

fn parse_line(line: &str) -> Option<Line> {
    let json = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    let at = humantime::parse_rfc3339(text("ts")?).ok()?;
    let instance = text("instance").unwrap_or("").into();
    let message = text("msg")?.into();
    fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
    Some(Line {
        at,
        fields,
        instance,
        message,
    })
}

/// The lines of a flow's timeline in chronological order, empty if no line names the flow.
pub fn select(lines: &[Line], query: &Query) -> Vec<Line> {
    let matches_query = |line: &&Line| {
        line.message == FLOW
            && [line.field("flow"), line.field("caller")].contains(&query.flow.as_str())
    };
    let decisions: Vec<&Line> = lines.iter().filter(matches_query).collect();
    let times = decisions.iter().map(|line| line.at);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let instances: BTreeSet<&str> = decisions
        .iter()
        .map(|line| line.instance.as_str())
        .collect();
    let targets: BTreeSet<&str> = decisions.iter().map(|line| line.field("target")).collect();
    let (from, until) = (first - query.margin, last + query.margin);
    let belongs = |line: &&Line| {
        if line.message == FLOW {
            return matches_query(line);
        }
        let is_near =
            instances.contains(line.instance.as_str()) && (from..=until).contains(&line.at);
        let is_of_target = TARGET_MESSAGES.contains(&line.message.as_str());
        is_near && (!is_of_target || targets.contains(line.field("target")))
    };
    let mut timeline: Vec<Line> = lines.iter().filter(belongs).cloned().collect();
    timeline.sort_by(|one, other| (one.at, &one.instance).cmp(&(other.at, &other.instance)));
    timeline
}

/// The last decision on the flow of a timeline.
pub fn outcome(timeline: &[Line]) -> Option<&Line> {
    timeline.iter().rev().find(|line| line.message == FLOW)
}
