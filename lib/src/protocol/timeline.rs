//! The story of a flow from the log lines of instances that forward by cookie.
//!
//! A story has the decisions on the flow on all instances, and what these instances noted about its
//! targets and their own dependencies around that time. Lines may come from several files in any
//! order, and something may stand before the JSON of a line.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use compact_str::CompactString;
use serde_json::{Map, Value};

/// Message of the lines of decisions on flows.
const FLOW: &str = "flow";
/// Messages about one target.
const TARGET_MESSAGES: [&str; 2] = ["target", "target evidence"];
/// Fields that every line has, or that are shown apart from the others.
const COMMON_FIELDS: [&str; 5] = ["instance", "level", "msg", "ts", "zone"];

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written.
    pub at: SystemTime,
    /// What it says, without time, message, level and names.
    pub fields: Map<String, Value>,
    /// The instance that wrote it.
    pub instance: CompactString,
    /// Its message.
    pub message: CompactString,
}

impl Line {
    /// A field as text; empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }
}

/// What is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Time before the first and after the last decision that belongs to the story.
    pub margin: Duration,
    /// Address and port of the caller, or the flow's identifier.
    pub flow: CompactString,
}

/// Reads log lines; the number of those that are none is returned beside them.
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

/// The lines that belong to the story, in the order of time; none if the flow is in no line.
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

/// The last decision on the flow of a story.
pub fn outcome(timeline: &[Line]) -> Option<&Line> {
    timeline.iter().rev().find(|line| line.message == FLOW)
}
