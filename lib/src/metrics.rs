//! Metrics of an instance.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

/// Smallest bucket of times, in seconds; each further one is twice as large.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Buckets of times; the last one holds what takes longer than four seconds.
const BUCKETS: u16 = 13;

/// Labels of a counter that is split by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Outcome, such as `delivered` or the reason of a drop.
    pub outcome: &'static str,
}

/// Label of what is known of one part of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PartLabel {
    /// Part, such as `routing`.
    pub part: &'static str,
}

/// Metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Packets of the flow door by outcome.
    pub packets: Family<OutcomeLabel, Counter>,
    /// Requests of the request door by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Events of the request door, such as retries and crossed answers.
    pub request_events: Family<OutcomeLabel, Counter>,
    /// Datagrams from other instances that were refused, by reason.
    pub refused_datagrams: Family<OutcomeLabel, Counter>,
    /// Bytes of control messages sent to other instances.
    pub control_bytes: Counter,
    /// Calls to the platform by outcome.
    pub platform_calls: Family<OutcomeLabel, Counter>,
    /// Flows that this instance holds.
    pub flows: Gauge,
    /// Instances in the view.
    pub members: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Times from a flow's first opening packet to its next packet, in seconds.
    pub flow_open: Histogram,
    /// Times from a caller's last new data to the first sign of an answer, in seconds.
    pub request_answer: Histogram,
    /// Times since the platform confirmed each part of the directory, in milliseconds.
    pub directory_age: Family<PartLabel, Gauge>,
    /// Targets that do not answer.
    pub targets_down: Gauge,
    /// Whether this instance follows the platform for the others.
    pub is_reading: Gauge,
    /// Log lines that were left out because nobody took them.
    pub log_lines_lost: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("hollyhead"),
            packets: Family::default(),
            requests: Family::default(),
            request_events: Family::default(),
            refused_datagrams: Family::default(),
            control_bytes: Counter::default(),
            platform_calls: Family::default(),
            flows: Gauge::default(),
            members: Gauge::default(),
            config_version: Gauge::default(),
            flow_open: times(),
            request_answer: times(),
            directory_age: Family::default(),
            targets_down: Gauge::default(),
            is_reading: Gauge::default(),
            log_lines_lost: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts one event of a family.
    pub fn count(family: &Family<OutcomeLabel, Counter>, outcome: &'static str) {
        family.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Returns the metrics in the text format of OpenMetrics.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(err) = encode(&mut text, &self.registry) {
            log::error!("metrics cannot be rendered: {err}");
        }
        text
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("packets", "Packets by outcome", self.packets.clone());
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register(
            "request_events",
            "Events of the request door",
            self.request_events.clone(),
        );
        registry.register(
            "refused_datagrams",
            "Refused datagrams from other instances by reason",
            self.refused_datagrams.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages sent",
            self.control_bytes.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the platform by outcome",
            self.platform_calls.clone(),
        );
        registry.register("flows", "Flows held", self.flows.clone());
        registry.register("members", "Instances in the view", self.members.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        self.register_flows();
    }

    fn register_flows(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "flow_open",
            "Time from a flow's first opening packet to its next packet",
            Unit::Seconds,
            self.flow_open.clone(),
        );
        registry.register_with_unit(
            "request_answer",
            "Time from a caller's last new data to the first sign of an answer",
            Unit::Seconds,
            self.request_answer.clone(),
        );
        registry.register(
            "directory_age_milliseconds",
            "Time since the platform confirmed a part of the directory",
            self.directory_age.clone(),
        );
        registry.register("targets_down", "Targets that do not answer", self.targets_down.clone());
        registry.register(
            "following_platform",
            "Whether this instance follows the platform for the others",
            self.is_reading.clone(),
        );
        registry.register(
            "log_lines_lost",
            "Log lines left out because nobody took them",
            self.log_lines_lost.clone(),
        );
    }
}

fn times() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
