//! Judges a run by what callers, targets and the operator saw.
//!
//! Promises with a time bound hold for instances that nothing has disturbed for [`CONTACT`].

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use smol_str::SmolStr;
use testutils::echo_target::{FlowEnds, TargetEvent};
use testutils::flow_caller::{FlowError, FlowReport};
use tokio::time::Instant;

/// Time without disturbance after which bounds hold.
pub const CONTACT: Duration = Duration::from_secs(4);
/// Time after which a target that is leaving gets no new flow.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which a data centre that was taken out gets no new flow.
pub const OUTAGE_BOUND: Duration = Duration::from_secs(5);
/// Time after which a configuration is in force.
pub const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Time without any disturbance after which every request is answered.
pub const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which packets of one flow that reach other targets are counted.
pub const STRAY_WINDOW: Duration = Duration::from_secs(2);
const MAX_STRAYS: usize = 2;
/// Time after which a flow may be forgotten.
const MAX_FLOW: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

/// What was disturbed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An instance.
    Instance(Ipv4Addr),
    /// A target.
    Target(SmolStr),
    /// The store, or paths to it.
    Store,
    /// The machine that the run is on: everything.
    Machine,
}

/// A disturbance and the time that it lasted.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// What was disturbed.
    pub subject: Subject,
    /// Its start.
    pub from: Instant,
    /// Its end; `None` while it lasts.
    pub until: Option<Instant>,
    /// Whether it was a planned stop.
    pub is_planned: bool,
}

/// Life of a target.
#[derive(Clone, Debug)]
pub struct TargetLife {
    /// Service.
    pub service: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Its start.
    pub started: Instant,
    /// Time for which it is cold.
    pub cold: Duration,
    /// When the store took the word that it leaves.
    pub drained: Option<Instant>,
    /// Its end.
    pub ended: Option<Instant>,
}

/// Life of a route.
#[derive(Clone, Debug)]
pub struct RouteLife {
    /// Service.
    pub service: SmolStr,
    /// When the store took it.
    pub added: Instant,
    /// When the store took its removal.
    pub dropped: Option<Instant>,
}

/// Time in which a data centre was out.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Data centre.
    pub data_centre: SmolStr,
    /// When the store took it.
    pub from: Instant,
    /// When the operator took it back.
    pub until: Option<Instant>,
}

/// What a run did and saw.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Targets.
    pub targets: HashMap<SmolStr, TargetLife>,
    /// Routes.
    pub routes: HashMap<SocketAddrV4, RouteLife>,
    /// Data centres that were out.
    pub outages: Vec<Outage>,
    /// What targets saw.
    pub events: Vec<TargetEvent>,
    /// How flows went.
    pub reports: Vec<FlowReport>,
    /// Number of requests that callers have made; ids are below it.
    pub requests: u64,
    /// New flows a second that a cold target may get.
    pub cold_flows_per_second: usize,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

impl History {
    /// Notes the start of a disturbance, and returns its number.
    pub fn disturb(&mut self, subject: Subject, is_planned: bool) -> usize {
        let from = Instant::now();
        self.disturbances.push(Disturbance { subject, from, until: None, is_planned });
        self.disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn end(&mut self, number: usize) {
        if let Some(disturbance) = self.disturbances.get_mut(number) {
            disturbance.until = Some(Instant::now());
        }
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.judge_runs(&mut violations);
        self.judge_openings(&mut violations);
        self.judge_cold(&mut violations);
        self.judge_strays(&mut violations);
        self.judge_reports(&mut violations);
        violations
    }

    /// Returns the number of flows in times when nothing unplanned happened.
    pub fn quiet_flows(&self) -> usize {
        self.reports.iter().filter(|report| self.is_in_quiet_time(report)).count()
    }

    fn is_in_quiet_time(&self, report: &FlowReport) -> bool {
        let since = report.began.checked_sub(RECOVERY).unwrap_or(report.began);
        self.is_routed(report) && self.is_quiet(since, report.ended)
    }

    fn is_calm(&self, subject: &Subject, from: Instant, until: Instant) -> bool {
        let since = from.checked_sub(CONTACT).unwrap_or(from);
        let concerns = |it: &&Disturbance| it.subject == *subject || it.subject == Subject::Machine;
        !self.disturbances.iter().filter(concerns).any(|it| it.overlaps(since, until))
    }

    fn is_in_touch(&self, instance: Ipv4Addr, from: Instant, until: Instant) -> bool {
        self.is_calm(&Subject::Instance(instance), from, until)
            && self.is_calm(&Subject::Store, from, until)
    }

    /// Tells whether nothing unplanned happened to anything.
    fn is_quiet(&self, since: Instant, until: Instant) -> bool {
        let unplanned = self.disturbances.iter().filter(|it| !it.is_planned);
        let has_ended = |life: &&TargetLife| {
            [life.ended, life.drained].into_iter().flatten().any(|at| at >= since && at <= until)
        };
        let has_outage = self
            .outages
            .iter()
            .any(|it| it.from <= until && it.until.is_none_or(|end| end >= since));
        !unplanned.into_iter().any(|it| it.overlaps(since, until))
            && !self.targets.values().any(|life| has_ended(&life))
            && !has_outage
    }

    fn judge_runs(&self, violations: &mut Vec<Violation>) {
        let mut runs: HashMap<u64, usize> = HashMap::new();
        for event in &self.events {
            match event {
                TargetEvent::RequestStarted { id, target } => {
                    let runs = runs.entry(*id).or_default();
                    *runs += 1;
                    if *runs == 2 {
                        let seen = format!("request {id} ran again at {target}");
                        violations.push(Violation { promise: "at most once", seen });
                    }
                    if *id >= self.requests {
                        let seen = format!("request {id} at {target} was never made");
                        violations.push(Violation { promise: "nothing unasked", seen });
                    }
                }
                TargetEvent::Corrupted { reason } => {
                    violations.push(Violation { promise: "packets intact", seen: reason.clone() });
                }
                TargetEvent::Opened { .. } | TargetEvent::UnknownFlow { .. } => {}
            }
        }
    }

    fn judge_openings(&self, violations: &mut Vec<Violation>) {
        for event in &self.events {
            let TargetEvent::Opened { flow, target, via, at } = event else { continue };
            let Some(life) = self.targets.get(target) else { continue };
            let mut broken = |promise| {
                let seen = format!("flow {flow:?} opened at {target} through {via}");
                violations.push(Violation { promise, seen });
            };
            let route = self.routes.get(&flow.1);
            if route.is_none_or(|route| route.service != life.service) {
                broken("services apart");
            }
            if !self.is_in_touch(*via, *at, *at) {
                continue;
            }
            let is_late = |since: Option<Instant>, bound| {
                since.is_some_and(|since| *at > since + bound && self.is_store_calm(since, *at))
            };
            if is_late(life.drained, DRAIN_BOUND) {
                broken("draining");
            }
            if is_late(route.and_then(|route| route.dropped), CONFIG_BOUND) {
                broken("configuration in force");
            }
            let outages = self.outages.iter().filter(|it| it.data_centre == life.data_centre);
            let mut current = outages.filter(|it| it.until.is_none_or(|until| *at < until));
            if current.any(|outage| is_late(Some(outage.from), OUTAGE_BOUND)) {
                broken("data centre out");
            }
        }
    }

    fn is_store_calm(&self, since: Instant, until: Instant) -> bool {
        self.is_calm(&Subject::Store, since, until)
    }

    fn judge_cold(&self, violations: &mut Vec<Violation>) {
        let mut openings: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for event in &self.events {
            let TargetEvent::Opened { target, at, .. } = event else { continue };
            let life = self.targets.get(target);
            if life.is_some_and(|life| *at < life.started + life.cold) {
                openings.entry(target).or_default().push(*at);
            }
        }
        for (target, mut times) in openings {
            times.sort_unstable();
            let most = times.iter().enumerate().map(|(index, first)| {
                times[index..].iter().take_while(|at| **at < *first + SECOND).count()
            });
            let most = most.max().unwrap_or_default();
            if most > self.cold_flows_per_second {
                let seen = format!("{target} got {most} flows in a second");
                violations.push(Violation { promise: "cold targets spared", seen });
            }
        }
    }

    /// Packets of an open flow that reach other targets and never its own.
    fn judge_strays(&self, violations: &mut Vec<Violation>) {
        let holders = self.holders();
        let mut strays: HashMap<&FlowEnds, Vec<Instant>> = HashMap::new();
        for event in &self.events {
            let TargetEvent::UnknownFlow { flow, target, via, at } = event else { continue };
            let Some((holder, opened)) = holders.get(flow) else { continue };
            let is_other = *holder != target && at >= opened && *at < *opened + MAX_FLOW;
            if is_other && self.is_target_well(holder, *at) && self.is_in_touch(*via, *at, *at) {
                strays.entry(flow).or_default().push(*at);
            }
        }
        for (flow, times) in strays {
            let close = times.windows(MAX_STRAYS + 1);
            if close.into_iter().any(|it| it[MAX_STRAYS] < it[0] + STRAY_WINDOW) {
                let seen = format!("packets of {flow:?} reached another target: {}", times.len());
                violations.push(Violation { promise: "flows stay whole", seen });
            }
        }
    }

    fn holders(&self) -> HashMap<FlowEnds, (&SmolStr, Instant)> {
        let opened = self.events.iter().filter_map(|event| match event {
            TargetEvent::Opened { flow, target, at, .. } => Some((*flow, (target, *at))),
            _ => None,
        });
        opened.collect()
    }

    fn is_target_well(&self, target: &SmolStr, at: Instant) -> bool {
        let lives =
            self.targets.get(target).is_some_and(|life| life.ended.is_none_or(|end| at < end));
        lives && self.is_calm(&Subject::Target(target.clone()), at, at)
    }

    fn judge_reports(&self, violations: &mut Vec<Violation>) {
        let holders = self.holders();
        for report in &self.reports {
            let Some(loss) = report.error else { continue };
            let mut broken = |promise| {
                let seen =
                    format!("{loss:?} on {:?} first through {:?}", report.flow, report.first_via);
                violations.push(Violation { promise, seen });
            };
            if loss == FlowError::WrongAnswer {
                broken("answers whole");
            }
            let is_routed = self.is_routed(report);
            if self.is_in_quiet_time(report) {
                broken("served in quiet times");
            }
            if is_routed && self.is_refused_in_touch(report, loss) {
                broken("configuration in force");
            }
            let Some((holder, _)) = holders.get(&report.flow).filter(|_| report.opened.is_some())
            else {
                continue;
            };
            let is_reset = loss == FlowError::ResetBySystem;
            let calm_since = report.ended.checked_sub(CONTACT).unwrap_or(report.ended);
            let is_undisturbed = self.are_instances_calm(calm_since, report.ended);
            if is_reset && is_routed && is_undisturbed && self.is_target_well(holder, report.ended)
            {
                broken("open flows are not reset");
            }
        }
    }

    /// Tells whether an instance in touch refused a flow though a target could take it.
    fn is_refused_in_touch(&self, report: &FlowReport, loss: FlowError) -> bool {
        let is_refused = loss == FlowError::ResetBySystem && report.opened.is_none();
        let is_in_touch =
            report.first_via.is_some_and(|via| self.is_in_touch(via, report.began, report.ended));
        let service = self.routes.get(&report.flow.1).map(|route| &route.service);
        let since = report.began.checked_sub(CONTACT).unwrap_or(report.began);
        let has_target = self.targets.iter().any(|(id, life)| {
            Some(&life.service) == service
                && life.started < since
                && life.drained.is_none()
                && self.is_target_well(id, report.ended)
        });
        is_refused && is_in_touch && has_target && self.outages.is_empty()
    }

    fn are_instances_calm(&self, since: Instant, until: Instant) -> bool {
        let unplanned = self.disturbances.iter().filter(|it| !it.is_planned);
        let mut others = unplanned.filter(|it| !matches!(it.subject, Subject::Target(_)));
        !others.any(|it| it.overlaps(since, until))
    }

    /// Tells whether a route was in force from before the flow to its end.
    fn is_routed(&self, report: &FlowReport) -> bool {
        self.routes.get(&report.flow.1).is_some_and(|route| {
            report.began > route.added + CONFIG_BOUND
                && route.dropped.is_none_or(|at| report.ended < at)
        })
    }
}

impl Disturbance {
    fn overlaps(&self, since: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= since)
    }
}
