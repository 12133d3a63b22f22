//! Parses log lines of instances and selects those that explain the decisions on a flow.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, SystemTime};

use serde_json::Value;
use smol_str::SmolStr;

use crate::log_message::{
    CHECKED, CONDITION, DECISION, ENDED, FOLLOWING, HISTORY_GONE, LEAVING, LEFT, OPENING, OUTAGES,
    REFUSED, REGISTRATION, RELOADED, ROUTING, STARTED, STORE_LOST, STORE_RESTORED, YIELDED,
};

/// Time before the first and after the last decision on a flow in which other lines are selected.
pub const CONTEXT_WINDOW: Duration = Duration::from_secs(6);
/// Messages about changes of an instance's directory, settings or lifecycle.
const INSTANCE_EVENTS: [&str; 12] = [
    OUTAGES,
    ROUTING,
    FOLLOWING,
    YIELDED,
    STORE_LOST,
    HISTORY_GONE,
    STORE_RESTORED,
    STARTED,
    LEAVING,
    LEFT,
    RELOADED,
    REFUSED,
];

/// A parsed log line of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time at which the line was logged, in UTC.
    pub time: SystemTime,
    /// Instance that logged the line.
    pub instance: SmolStr,
    /// Message without the values, such as one of [`crate::log_message`].
    pub message: SmolStr,
    /// All fields of the JSON object, with values that are not strings as JSON text.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object, such as the timestamp of a log collector, is
    /// skipped. Returns `None` when the line is not a log line of an instance.
    pub fn parse(line: &str) -> Option<Self> {
        let object: Value = serde_json::from_str(line.get(line.find('{')?..)?).ok()?;
        let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let fields: BTreeMap<_, _> =
            object.as_object()?.iter().map(|(key, value)| (key.clone(), text(value))).collect();
        Some(Self {
            time: humantime::parse_rfc3339_weak(fields.get("time")?).ok()?,
            instance: fields.get("instance")?.into(),
            message: fields.get("message")?.into(),
            fields,
        })
    }

    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("-", String::as_str)
    }

    fn is_decision_on(&self, caller: &str) -> bool {
        let is_decision = [DECISION, OPENING].contains(&self.message.as_str());
        is_decision && self.field("caller") == caller
    }
}

/// Returns the lines that explain the flow of a caller, in order of time: all decisions on the
/// flow, and within [`CONTEXT_WINDOW`] the lines about its targets and about changes of the
/// instances that made the decisions.
pub fn related_lines<'a>(lines: &'a [LogLine], caller: &str) -> Vec<&'a LogLine> {
    let decisions: Vec<_> = lines.iter().filter(|line| line.is_decision_on(caller)).collect();
    let times = || decisions.iter().map(|line| line.time);
    let (Some(first), Some(last)) = (times().min(), times().max()) else { return Vec::new() };
    let start = first.checked_sub(CONTEXT_WINDOW).unwrap_or(first);
    let end = last + CONTEXT_WINDOW;
    let targets: BTreeSet<_> = decisions.iter().map(|line| line.field("target")).collect();
    let instances: BTreeSet<_> = decisions.iter().map(|line| &line.instance).collect();
    let is_context = |line: &LogLine| {
        let is_about_target = [CONDITION, CHECKED, REGISTRATION, ENDED]
            .contains(&line.message.as_str())
            && targets.contains(line.field("target"));
        let is_about_instance =
            INSTANCE_EVENTS.contains(&line.message.as_str()) && instances.contains(&line.instance);
        (is_about_target || is_about_instance) && line.time >= start && line.time <= end
    };
    let mut related: Vec<_> =
        lines.iter().filter(|line| line.is_decision_on(caller) || is_context(line)).collect();
    related.sort_by_key(|line| line.time);
    related
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = humantime::format_rfc3339_millis(self.time);
        write!(f, "{time} {}: ", self.instance)?;
        match self.message.as_str() {
            DECISION => write_decision(self, f),
            OPENING => write_opening(self, f),
            CONDITION => {
                let source = if self.field("own") == "true" { "found out" } else { "heard" };
                let (target, condition) = (self.field("target"), self.field("condition"));
                write!(f, "{source} that target {target} is {}", condition.to_lowercase())
            }
            CHECKED => {
                let (target, outcome) = (self.field("target"), self.field("outcome"));
                write!(f, "checked target {target}: {}", outcome.to_lowercase())
            }
            REGISTRATION => {
                let (target, change) = (self.field("target"), self.field("change"));
                write!(f, "registration of target {target} changed: {change}")
            }
            ENDED => {
                let (target, cause) = (self.field("target"), self.field("cause"));
                let (resets, kept) = (self.field("resets"), self.field("kept"));
                write!(f, "target {target} has ended ({cause}): {resets} waiting callers reset, ")?;
                write!(f, "{kept} left that cannot repeat their request")
            }
            OUTAGES => write!(f, "data centres out now: {}", self.field("out")),
            ROUTING => {
                let (version, routes) = (self.field("version"), self.field("routes"));
                write!(f, "took version {version} of the routing, {routes} routes")
            }
            STORE_LOST => write!(f, "lost the platform: {}", self.field("cause")),
            message => write!(f, "{message}"),
        }
    }
}

fn write_decision(line: &LogLine, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(f, "{}", describe_decision(line))?;
    let (version, age) = (line.field("routing_version"), line.field("routing_age_ms"));
    write!(f, "; target {}, routing {version} confirmed {age} ms ago", target_condition(line))?;
    match line.field("left_out") {
        "0" | "-" => Ok(()),
        count => write!(f, "; {count} such lines before it were left out"),
    }
}

/// Writes the inputs of a decision on an opening whose service has too little room.
fn write_opening(line: &LogLine, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let (outcome, caller) = (line.field("outcome"), line.field("caller"));
    let (precedence, waited) = (line.field("precedence"), line.field("waited_ms"));
    let (slack, work) = (line.field("slack_ms"), line.field("work_ms"));
    write!(f, "opening of {caller}: {outcome}, precedence {precedence}, waited {waited} ms, ")?;
    write!(f, "{slack} ms left to its aim, work {work} ms; ")?;
    let (demand, capacity) = (line.field("demand"), line.field("capacity"));
    let (turned_away, share) = (line.field("turned_away"), line.field("own_share_per_mille"));
    write!(f, "{demand} requests per second ask for room for {capacity}, ")?;
    write!(f, "{turned_away} turned away, {share} per mille of them here")
}

fn describe_decision(line: &LogLine) -> String {
    let (caller, service) = (line.field("caller"), line.field("service"));
    let (target, copy) = (line.field("target"), line.field("copy"));
    let dropped = |why: &str| format!("dropped a packet of {caller}: {why}");
    let reset = |why: &str| format!("reset {caller}: {why}");
    match line.field("reason") {
        "opened" => {
            format!("handed the opening of {caller} to {service} (copy {copy}) to target {target}")
        }
        "no_route" => reset(&format!("there is no route for {service}")),
        "route_removed" => reset(&format!("the route of {service} was removed")),
        "no_target" => reset(&format!("no target of {service} takes new flows")),
        "scarce_room" => format!("held the opening of {caller}: {service} has too little room"),
        "no_room" => reset(&format!("{service} had no room while the opening could wait")),
        "no_time" => reset(&format!("{service} has no room before the request's timeout")),
        "target_down" => reset(&format!("its target {target} does not answer")),
        "target_ended" => {
            reset(&format!("its target {target} has ended, and another target has its address"))
        }
        "waiting_for_ended" => {
            reset(&format!("it waited for target {target}, which has ended for certain"))
        }
        "unknown_cookie" => dropped("no known target has its cookie"),
        "foreign_cookie" => dropped(&format!("its target {target} is of another service")),
        "no_cookie" => dropped("it names no target"),
        "route_in_doubt" => {
            dropped(&format!("no route for {service}, and this may be out of date"))
        }
        "outage" => dropped(&format!("the data centre of target {target} is taken out")),
        reason => dropped(reason),
    }
}

fn target_condition(line: &LogLine) -> String {
    let condition = line.field("condition");
    let variant = condition.strip_prefix("Some(").and_then(|it| it.strip_suffix(')'));
    variant.unwrap_or("unknown").to_lowercase()
}
