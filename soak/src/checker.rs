//! Checks the guarantees of the system against what callers, targets and the operator observed.
//!
//! A guarantee with a time bound is checked only on instances that have been undisturbed for
//! [`SETTLE_TIME`].

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use smol_str::SmolStr;
use testutils::echo_target::{FlowEnds, TargetEvent};
use testutils::flow_caller::{FlowError, FlowReport};
use tokio::time::Instant;

/// Time without a disturbance after which guarantees with a time bound apply.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after which a draining target must not receive new flows.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time after which a data centre that is out of service must not receive new flows.
pub const OUTAGE_BOUND: Duration = Duration::from_secs(5);
/// Time after which instances must apply a new configuration.
pub const CONFIG_BOUND: Duration = Duration::from_secs(3);
/// Time without a fault after which every request must be answered.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Window in which packets of one flow that reach another target are counted.
pub const STRAY_WINDOW: Duration = Duration::from_secs(2);
/// Largest number of packets of one flow that may reach other targets within [`STRAY_WINDOW`].
const MAX_STRAYS: usize = 2;
/// Age of a flow above which instances may have dropped its binding.
const MAX_FLOW_AGE: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

/// Part of the system that a disturbance affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Instance with this IP address.
    Instance(Ipv4Addr),
    /// Target with this name.
    Target(SmolStr),
    /// The object store, or paths from instances to it.
    Store,
    /// Host that executes the run, and so every part of the system.
    Host,
}

/// Disturbance of one part of the system, planned or not.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Part of the system that is affected.
    pub subject: Subject,
    /// Start of the disturbance.
    pub from: Instant,
    /// End of the disturbance; `None` while it lasts.
    pub until: Option<Instant>,
    /// Whether it is a graceful stop rather than a fault.
    pub is_planned: bool,
}

/// Lifetime of a target, from its start to its end.
#[derive(Clone, Debug)]
pub struct TargetLifetime {
    /// Service that the target belongs to.
    pub service: SmolStr,
    /// Data centre that the target is in.
    pub data_centre: SmolStr,
    /// Time at which it started.
    pub started: Instant,
    /// Slow-start period; zero for a target that starts warm.
    pub cold: Duration,
    /// Time at which the object store was seen to list it as draining; `None` if it never was.
    pub drained: Option<Instant>,
    /// Time at which it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

/// Lifetime of a route.
#[derive(Clone, Debug)]
pub struct RouteLifetime {
    /// Service that the route leads to.
    pub service: SmolStr,
    /// Time at which the object store accepted the route.
    pub added: Instant,
    /// Time at which the object store accepted its removal; `None` while it exists.
    pub dropped: Option<Instant>,
}

/// Period in which a data centre was out of service.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Time at which the object store accepted the evacuation.
    pub from: Instant,
    /// Time at which the operator began to return it to service; `None` until then.
    pub until: Option<Instant>,
}

/// Record of what a run did and observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Disturbances in the order in which they were recorded.
    pub disturbances: Vec<Disturbance>,
    /// Targets by name, also those that have ended.
    pub targets: HashMap<SmolStr, TargetLifetime>,
    /// Routes by address, also those that were removed.
    pub routes: HashMap<SocketAddrV4, RouteLifetime>,
    /// Periods in which data centres were out of service.
    pub outages: Vec<Outage>,
    /// Events that targets observed.
    pub events: Vec<TargetEvent>,
    /// Reports of callers on flows that have ended.
    pub reports: Vec<FlowReport>,
    /// Number of requests that callers have created; every request id is below it.
    pub requests: u64,
    /// Largest number of new flows that a cold target may receive within one second.
    pub cold_flows_per_second: usize,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Observation that violates it.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.details)
    }
}

impl History {
    /// Records the start of a disturbance and returns its index in `disturbances`.
    pub fn begin_disturbance(&mut self, subject: Subject, is_planned: bool) -> usize {
        let from = Instant::now();
        self.disturbances.push(Disturbance { subject, from, until: None, is_planned });
        self.disturbances.len() - 1
    }

    /// Records the end of the disturbance with the given index.
    pub fn end_disturbance(&mut self, index: usize) {
        if let Some(disturbance) = self.disturbances.get_mut(index) {
            disturbance.until = Some(Instant::now());
        }
    }

    /// Checks all guarantees and returns the violations.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_executions(&mut violations);
        self.check_openings(&mut violations);
        self.check_cold_targets(&mut violations);
        self.check_strays(&mut violations);
        self.check_reports(&mut violations);
        violations
    }

    /// Returns the number of flows that began and ended in periods without faults.
    pub fn fault_free_flows(&self) -> usize {
        self.reports.iter().filter(|report| self.is_in_fault_free_period(report)).count()
    }

    fn is_in_fault_free_period(&self, report: &FlowReport) -> bool {
        let since = report.began.checked_sub(RECOVERY_TIME).unwrap_or(report.began);
        self.is_routed(report) && self.is_fault_free(since, report.ended)
    }

    fn is_undisturbed(&self, subject: &Subject, from: Instant, until: Instant) -> bool {
        let since = from.checked_sub(SETTLE_TIME).unwrap_or(from);
        let concerns = |it: &&Disturbance| it.subject == *subject || it.subject == Subject::Host;
        !self.disturbances.iter().filter(concerns).any(|it| it.overlaps(since, until))
    }

    fn is_instance_undisturbed(&self, instance: Ipv4Addr, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(&Subject::Instance(instance), from, until)
            && self.is_undisturbed(&Subject::Store, from, until)
    }

    /// Returns whether the period has no fault, no ended or draining target and no data centre out
    /// of service. Graceful stops of instances do not count as faults.
    fn is_fault_free(&self, since: Instant, until: Instant) -> bool {
        let unplanned = self.disturbances.iter().filter(|it| !it.is_planned);
        let has_ended = |lifetime: &&TargetLifetime| {
            [lifetime.ended, lifetime.drained]
                .into_iter()
                .flatten()
                .any(|at| at >= since && at <= until)
        };
        let has_outage = self
            .outages
            .iter()
            .any(|it| it.from <= until && it.until.is_none_or(|end| end >= since));
        !unplanned.into_iter().any(|it| it.overlaps(since, until))
            && !self.targets.values().any(|lifetime| has_ended(&lifetime))
            && !has_outage
    }

    fn check_executions(&self, violations: &mut Vec<Violation>) {
        let mut runs: HashMap<u64, usize> = HashMap::new();
        for event in &self.events {
            match event {
                TargetEvent::RequestStarted { id, target } => {
                    let runs = runs.entry(*id).or_default();
                    *runs += 1;
                    if *runs == 2 {
                        let details = format!("request {id} ran a second time, at {target}");
                        violations.push(Violation { guarantee: "at most once", details });
                    }
                    if *id >= self.requests {
                        let details =
                            format!("request {id} ran at {target}, but no caller sent it");
                        violations
                            .push(Violation { guarantee: "no unrequested execution", details });
                    }
                }
                TargetEvent::Corrupted { reason } => {
                    violations
                        .push(Violation { guarantee: "packets intact", details: reason.clone() });
                }
                TargetEvent::Opened { .. } | TargetEvent::UnknownFlow { .. } => {}
            }
        }
    }

    fn check_openings(&self, violations: &mut Vec<Violation>) {
        for event in &self.events {
            let TargetEvent::Opened { flow, target, via, at } = event else { continue };
            let Some(lifetime) = self.targets.get(target) else { continue };
            let mut report_violation = |guarantee| {
                let details = format!("flow {flow:?} opened at {target} through {via}");
                violations.push(Violation { guarantee, details });
            };
            let route = self.routes.get(&flow.1);
            if route.is_none_or(|route| route.service != lifetime.service) {
                report_violation("service isolation");
            }
            if !self.is_instance_undisturbed(*via, *at, *at) {
                continue;
            }
            let is_past_bound = |since: Option<Instant>, bound| {
                since.is_some_and(|since| {
                    *at > since + bound && self.is_store_undisturbed(since, *at)
                })
            };
            if is_past_bound(lifetime.drained, DRAIN_BOUND) {
                report_violation("draining");
            }
            if is_past_bound(route.and_then(|route| route.dropped), CONFIG_BOUND) {
                report_violation("configuration in force");
            }
            let outages = self.outages.iter().filter(|it| it.data_centre == lifetime.data_centre);
            let mut current = outages.filter(|it| it.until.is_none_or(|until| *at < until));
            if current.any(|outage| is_past_bound(Some(outage.from), OUTAGE_BOUND)) {
                report_violation("data centre out of service");
            }
        }
    }

    fn is_store_undisturbed(&self, since: Instant, until: Instant) -> bool {
        self.is_undisturbed(&Subject::Store, since, until)
    }

    fn check_cold_targets(&self, violations: &mut Vec<Violation>) {
        let mut openings: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for event in &self.events {
            let TargetEvent::Opened { target, at, .. } = event else { continue };
            let lifetime = self.targets.get(target);
            if lifetime.is_some_and(|lifetime| *at < lifetime.started + lifetime.cold) {
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
                let details = format!(
                    "{target} received {most} flows within 1 s, limit {}",
                    self.cold_flows_per_second
                );
                violations.push(Violation { guarantee: "cold-start limit", details });
            }
        }
    }

    /// Checks that packets of an open flow reach the target that holds the flow.
    ///
    /// Up to [`MAX_STRAYS`] packets of a flow may reach other targets within [`STRAY_WINDOW`].
    fn check_strays(&self, violations: &mut Vec<Violation>) {
        let holders = self.holders();
        let mut strays: HashMap<&FlowEnds, Vec<Instant>> = HashMap::new();
        for event in &self.events {
            let TargetEvent::UnknownFlow { flow, target, via, at } = event else { continue };
            let Some((holder, opened)) = holders.get(flow) else { continue };
            let is_other = *holder != target && at >= opened && *at < *opened + MAX_FLOW_AGE;
            if is_other
                && self.is_target_healthy(holder, *at)
                && self.is_instance_undisturbed(*via, *at, *at)
            {
                strays.entry(flow).or_default().push(*at);
            }
        }
        for (flow, times) in strays {
            let windows = times.windows(MAX_STRAYS + 1);
            if windows.into_iter().any(|it| it[MAX_STRAYS] < it[0] + STRAY_WINDOW) {
                let details = format!("{} packets of {flow:?} reached other targets", times.len());
                violations.push(Violation { guarantee: "flow affinity", details });
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

    fn is_target_healthy(&self, target: &SmolStr, at: Instant) -> bool {
        let is_running = self
            .targets
            .get(target)
            .is_some_and(|lifetime| lifetime.ended.is_none_or(|end| at < end));
        is_running && self.is_undisturbed(&Subject::Target(target.clone()), at, at)
    }

    fn check_reports(&self, violations: &mut Vec<Violation>) {
        let holders = self.holders();
        for report in &self.reports {
            let Some(loss) = report.error else { continue };
            let mut report_violation = |guarantee| {
                let details = format!(
                    "{loss:?} on flow {:?}, first sent through {:?}",
                    report.flow, report.first_via
                );
                violations.push(Violation { guarantee, details });
            };
            if loss == FlowError::WrongAnswer {
                report_violation("answers intact");
            }
            let is_routed = self.is_routed(report);
            if self.is_in_fault_free_period(report) {
                report_violation("availability without faults");
            }
            if is_routed && self.is_refused_while_undisturbed(report, loss) {
                report_violation("configuration in force");
            }
            let Some((holder, _)) = holders.get(&report.flow).filter(|_| report.opened.is_some())
            else {
                continue;
            };
            let is_reset = loss == FlowError::ResetBySystem;
            let settled_since = report.ended.checked_sub(SETTLE_TIME).unwrap_or(report.ended);
            let are_instances_undisturbed =
                self.are_instances_undisturbed(settled_since, report.ended);
            if is_reset
                && is_routed
                && are_instances_undisturbed
                && self.is_target_healthy(holder, report.ended)
            {
                report_violation("open flows are not reset");
            }
        }
    }

    /// Returns whether an undisturbed instance refused a flow although a healthy target was
    /// available.
    fn is_refused_while_undisturbed(&self, report: &FlowReport, loss: FlowError) -> bool {
        let is_refused = loss == FlowError::ResetBySystem && report.opened.is_none();
        let is_undisturbed = report
            .first_via
            .is_some_and(|via| self.is_instance_undisturbed(via, report.began, report.ended));
        let service = self.routes.get(&report.flow.1).map(|route| &route.service);
        let since = report.began.checked_sub(SETTLE_TIME).unwrap_or(report.began);
        let has_target = self.targets.iter().any(|(id, lifetime)| {
            Some(&lifetime.service) == service
                && lifetime.started < since
                && lifetime.drained.is_none()
                && self.is_target_healthy(id, report.ended)
        });
        is_refused && is_undisturbed && has_target && self.outages.is_empty()
    }

    fn are_instances_undisturbed(&self, since: Instant, until: Instant) -> bool {
        let unplanned = self.disturbances.iter().filter(|it| !it.is_planned);
        let mut others = unplanned.filter(|it| !matches!(it.subject, Subject::Target(_)));
        !others.any(|it| it.overlaps(since, until))
    }

    /// Returns whether the flow's route was in force throughout the flow.
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
