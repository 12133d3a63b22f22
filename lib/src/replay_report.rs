//! What a replay found: each stated outcome with its measured value, and how misses came about.

use std::collections::BTreeMap;
use std::fmt;

use smol_str::SmolStr;

use crate::flow::FlowKey;
use crate::replay_callers::FlowStep;
use crate::replay_world::Millis;

/// Misses of one outcome that are described; the others are only counted.
const MAX_DESCRIBED_MISSES: usize = 3;

copy_type! {
    /// A stated outcome.
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeName {
        /// Flows whose packets reached another target, or none for too long.
        BrokenFlows,
        /// Packets that reached another service than their own.
        WrongServicePackets,
        /// Longest time from the first packet of a flow to its first delivery, in milliseconds.
        OpenWaitMs,
        /// Packets to a data centre after it was out for long enough.
        PacketsAfterOut,
        /// New flows to a target after it was leaving for long enough.
        FlowsAfterLeaving,
        /// Largest flows of a target over the mean of its service, in thousandths.
        ImbalancePerMille,
        /// New flows to cold targets beyond what they bear.
        ColdExcess,
        /// Most control bytes that an instance sent in a second.
        ControlBytesPerSecond,
        /// Longest time until a change was in force at every instance, in milliseconds.
        InForceMs,
    }

    /// Whether an outcome was as stated.
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeState {
        /// It was.
        Held,
        /// It was not.
        Broken,
        /// Nothing in the trace could have broken it.
        NotObserved,
    }
}

impl OutcomeName {
    /// Returns the name in reports.
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
    /// One stated outcome and what was measured.
    pub struct Outcome {
        /// Name.
        pub name: OutcomeName,
        /// Largest value that is allowed.
        pub bound: u64,
        /// Value that was measured.
        pub measured: u64,
        /// Whether it held.
        pub state: OutcomeState,
    }

    /// A line of the trace.
    pub struct RecordedEvent {
        /// Line of the file.
        pub line: usize,
        /// When.
        pub at_ms: Millis,
        /// What, as in the file.
        pub event: String,
    }

    /// How an outcome was missed.
    pub struct Miss {
        /// Outcome.
        pub name: OutcomeName,
        /// When.
        pub at_ms: Millis,
        /// What happened, in words.
        pub what: String,
        /// Flow, where the miss concerns one.
        pub flow: Option<FlowKey>,
        /// Last steps of the flow.
        pub steps: Vec<FlowStep>,
        /// What each instance would decide for the flow's next packet.
        pub decisions: Vec<String>,
        /// Last events of the trace before the miss, the last one at the end.
        pub events: Vec<RecordedEvent>,
    }

    /// What a replay found.
    pub struct ReplayReport {
        /// Title of the trace.
        pub title: String,
        /// Seed of the trace.
        pub seed: u64,
        /// Simulated time, in milliseconds.
        pub length_ms: Millis,
        /// Events of the trace.
        pub events: usize,
        /// Flows that callers opened.
        pub flows: u64,
        /// Flows that were given up because their data centre was taken out.
        pub given_up: u64,
        /// Packets that callers sent.
        pub sent: u64,
        /// Packets that reached targets.
        pub delivered: u64,
        /// Replies that left for callers.
        pub replies: u64,
        /// Digest of every packet that left the fleet, with its time and its sender.
        pub digest: u64,
        /// Imbalance of each group, in thousandths.
        pub imbalance_per_mille: BTreeMap<SmolStr, u64>,
        /// Most control bytes of each instance in a second.
        pub control_bytes_per_second: BTreeMap<SmolStr, u64>,
        /// Stated outcomes.
        pub outcomes: Vec<Outcome>,
        /// First misses of each outcome.
        pub misses: Vec<Miss>,
    }
}

impl ReplayReport {
    /// Tells whether no outcome was missed.
    pub fn is_held(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.state != OutcomeState::Broken)
    }

    /// Returns an outcome.
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

/// Counts misses of each outcome and keeps the first few.
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

    /// Returns the described misses.
    pub fn into_misses(self) -> Vec<Miss> {
        self.misses
    }
}
