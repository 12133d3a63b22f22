//! Report of a replay: the measured value of each outcome, and descriptions of the first misses.

use std::collections::BTreeMap;
use std::fmt;

use smol_str::SmolStr;

use crate::flow::FlowKey;
use crate::replay_callers::FlowStep;
use crate::replay_world::Millis;

/// Number of misses of one outcome that are described; further ones are only counted.
const MAX_DESCRIBED_MISSES: usize = 3;

copy_type! {
    /// A measured property of a replay that has a bound.
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeName {
        /// Number of flows with a packet that reached another target than the first one, or with
        /// packets that reached no target for longer than the bound allows.
        BrokenFlows,
        /// Number of packets that reached a target of another service, or no target at all.
        WrongServicePackets,
        /// Longest time from the first packet of a flow to its first delivery, in milliseconds.
        OpenWaitMs,
        /// Number of packets to targets of a data centre that has been out of service for longer
        /// than the bound allows.
        PacketsAfterOut,
        /// Number of new flows to a target that has been leaving for longer than the bound allows.
        FlowsAfterLeaving,
        /// Largest number of flows on one target divided by the mean over the targets of its
        /// service, in thousandths.
        ImbalancePerMille,
        /// Number of new flows to cold targets beyond their capacity.
        ColdExcess,
        /// Largest number of bytes of control traffic that an instance sent within one second.
        ControlBytesPerSecond,
        /// Longest time until a configuration change had reached every instance, in milliseconds.
        InForceMs,
    }

    /// Result of the comparison of an outcome with its bound.
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeState {
        /// The measured value is within the bound.
        Held,
        /// The measured value exceeds the bound.
        Broken,
        /// The trace contains no event that could have exceeded the bound.
        NotObserved,
    }
}

impl OutcomeName {
    /// Returns the name of the outcome as printed in reports.
    pub fn label(self) -> &'static str {
        match self {
            OutcomeName::BrokenFlows => "broken_flows",
            OutcomeName::WrongServicePackets => "wrong_service_packets",
            OutcomeName::OpenWaitMs => "open_wait_ms",
            OutcomeName::PacketsAfterOut => "packets_after_out",
            OutcomeName::FlowsAfterLeaving => "flows_after_leaving",
            OutcomeName::ImbalancePerMille => "imbalance_per_mille",
            OutcomeName::ColdExcess => "cold_excess",
            OutcomeName::ControlBytesPerSecond => "control_bytes_per_second",
            OutcomeName::InForceMs => "in_force_ms",
        }
    }
}

value_type! {
    /// The measured value of one outcome and its bound.
    pub struct Outcome {
        /// Property that was measured.
        pub name: OutcomeName,
        /// Largest value that is allowed.
        pub bound: u64,
        /// Measured value; 0 when the outcome was not observed.
        pub measured: u64,
        /// Whether the measured value is within the bound.
        pub state: OutcomeState,
    }

    /// An event of the trace that preceded a miss.
    pub struct RecordedEvent {
        /// Line of the event in the trace file, from 1; blank lines are not counted.
        pub line: usize,
        /// Time since the start of the replay, in milliseconds.
        pub at_ms: Millis,
        /// Event as JSON, as in the trace file.
        pub event: String,
    }

    /// Description of one occurrence that counts against an outcome.
    pub struct Miss {
        /// Outcome that was missed.
        pub name: OutcomeName,
        /// Time since the start of the replay, in milliseconds.
        pub at_ms: Millis,
        /// Message that describes the miss.
        pub what: String,
        /// Flow that the miss concerns; absent when it concerns none, such as an excess of control
        /// traffic.
        pub flow: Option<FlowKey>,
        /// Most recent steps of the flow, oldest first.
        pub steps: Vec<FlowStep>,
        /// Decision that each instance would make for the next packet of the flow.
        pub decisions: Vec<String>,
        /// Most recent events of the trace before the miss, oldest first.
        pub events: Vec<RecordedEvent>,
    }

    /// Result of a replay.
    pub struct ReplayReport {
        /// Title of the trace.
        pub title: String,
        /// Seed of the trace.
        pub seed: u64,
        /// Simulated time, in milliseconds.
        pub length_ms: Millis,
        /// Number of events in the trace.
        pub events: usize,
        /// Number of flows that callers opened.
        pub flows: u64,
        /// Number of flows that callers abandoned because the data centre of their target went out
        /// of service.
        pub given_up: u64,
        /// Number of packets that callers sent.
        pub sent: u64,
        /// Number of packets that reached targets.
        pub delivered: u64,
        /// Number of replies of targets that left the fleet towards callers.
        pub replies: u64,
        /// Digest of every packet that left the fleet, with its time, sender and receiver. Replays
        /// of the same trace have the same digest.
        pub digest: u64,
        /// Imbalance of each group, in thousandths.
        pub imbalance_per_mille: BTreeMap<SmolStr, u64>,
        /// Largest number of bytes of control traffic that each instance sent within one second.
        pub control_bytes_per_second: BTreeMap<SmolStr, u64>,
        /// Outcomes with their bounds and measured values.
        pub outcomes: Vec<Outcome>,
        /// Descriptions of the first few misses of each outcome.
        pub misses: Vec<Miss>,
    }
}

impl ReplayReport {
    /// Returns whether no outcome exceeded its bound.
    pub fn is_held(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.state != OutcomeState::Broken)
    }

    /// Returns the outcome with a name.
    pub fn outcome(&self, name: OutcomeName) -> Option<&Outcome> {
        self.outcomes.iter().find(|outcome| outcome.name == name)
    }
}

impl fmt::Display for ReplayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.title, self.seed)?;
        writeln!(
            f,
            "{} events, {} ms, {} flows ({} given up), {} packets sent, {} delivered, {} replies",
            self.events,
            self.length_ms,
            self.flows,
            self.given_up,
            self.sent,
            self.delivered,
            self.replies
        )?;
        for outcome in &self.outcomes {
            let state = match outcome.state {
                OutcomeState::Held => "held",
                OutcomeState::Broken => "BROKEN",
                OutcomeState::NotObserved => "not observed",
            };
            let (name, measured) = (outcome.name.label(), outcome.measured);
            writeln!(f, "{state:<13} {name:<26} {measured:>8} (bound {})", outcome.bound)?;
        }
        self.misses.iter().try_for_each(|miss| miss.fmt(f))
    }
}

impl fmt::Display for Miss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{} at {} ms: {}", self.name.label(), self.at_ms, self.what)?;
        for event in &self.events {
            writeln!(f, "  line {} at {} ms: {}", event.line, event.at_ms, event.event)?;
        }
        for step in &self.steps {
            match step {
                FlowStep::Sent { at_ms, instance } => {
                    writeln!(f, "  {at_ms} ms: handed to {instance}")?;
                }
                FlowStep::Delivered { at_ms, instance, target } => {
                    writeln!(f, "  {at_ms} ms: {instance} sent it to {target}")?;
                }
            }
        }
        self.decisions.iter().try_for_each(|decision| writeln!(f, "  {decision}"))
    }
}

/// Counts of misses by outcome, with descriptions of the first few.
#[derive(Debug, Default)]
pub struct MissLog {
    counts: BTreeMap<OutcomeName, u64>,
    misses: Vec<Miss>,
}

impl MissLog {
    /// Counts a miss, and describes it when it is one of the first of its outcome.
    pub fn add(&mut self, name: OutcomeName, describe: impl FnOnce() -> Miss) {
        let count = self.counts.entry(name).or_default();
        *count += 1;
        if *count <= MAX_DESCRIBED_MISSES as u64 {
            self.misses.push(describe());
        }
    }

    /// Returns the number of misses of an outcome.
    pub fn count(&self, name: OutcomeName) -> u64 {
        self.counts.get(&name).copied().unwrap_or_default()
    }

    /// Returns the misses that were described, in the order of their occurrence.
    pub fn into_misses(self) -> Vec<Miss> {
        self.misses
    }
}
