//! Metrics of an instance, exposed in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

/// Upper bound of the first histogram bucket; the bound of each further bucket is twice as large.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets with a finite bound; the largest bound is 4.096 s.
const BUCKET_COUNT: u16 = 13;

/// Label of counters that are split by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Outcome, such as `delivered` or the reason for a drop.
    pub outcome: &'static str,
}

/// Label of gauges that are split by part of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PartLabel {
    /// Part of the directory, such as `routing`.
    pub part: &'static str,
}

/// Metrics of an instance and the registry that exposes them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Packets of the packet forwarder by outcome.
    pub packets: Family<OutcomeLabel, Counter>,
    /// Openings that were held, released or refused for lack of room, by outcome.
    pub openings: Family<OutcomeLabel, Counter>,
    /// Requests of the request gateway by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Events of the request gateway by kind, such as `retried` and `crossed`.
    pub request_events: Family<OutcomeLabel, Counter>,
    /// Refused datagrams from other instances by reason.
    pub refused_datagrams: Family<OutcomeLabel, Counter>,
    /// Bytes of control messages sent to other instances.
    pub control_bytes: Counter,
    /// Calls to the platform by outcome.
    pub platform_calls: Family<OutcomeLabel, Counter>,
    /// Restores of the platform's store from an older copy.
    pub store_restores: Counter,
    /// Number of flows that this instance holds.
    pub flows: Gauge,
    /// Number of instances in this instance's membership view, itself included.
    pub members: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Time from the first opening packet of a flow to its next packet, in seconds.
    pub flow_open: Histogram,
    /// Time from the first transmission of a held opening to its release or refusal, in seconds.
    pub opening_wait: Histogram,
    /// Time from the last new data of a caller to its first acknowledgement of an answer, in
    /// seconds.
    pub request_answer: Histogram,
    /// Time since the platform confirmed each part of the directory, in milliseconds; -1 when it
    /// has not been confirmed since the start.
    pub directory_age: Family<PartLabel, Gauge>,
    /// Number of targets that are unresponsive.
    pub targets_down: Gauge,
    /// 1 while this instance reads the platform on behalf of the others, 0 otherwise.
    pub is_reading: Gauge,
    /// Number of log lines dropped because the log queue was full.
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
            openings: Family::default(),
            requests: Family::default(),
            request_events: Family::default(),
            refused_datagrams: Family::default(),
            control_bytes: Counter::default(),
            platform_calls: Family::default(),
            store_restores: Counter::default(),
            flows: Gauge::default(),
            members: Gauge::default(),
            config_version: Gauge::default(),
            flow_open: duration_histogram(),
            opening_wait: duration_histogram(),
            request_answer: duration_histogram(),
            directory_age: Family::default(),
            targets_down: Gauge::default(),
            is_reading: Gauge::default(),
            log_lines_lost: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Increments the counter of an outcome by one.
    pub fn count(family: &Family<OutcomeLabel, Counter>, outcome: &'static str) {
        family.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(err) = encode(&mut text, &self.registry) {
            log::error!("cannot encode metrics: {err}");
        }
        text
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("packets", "Packets by outcome", self.packets.clone());
        registry.register(
            "openings",
            "Openings held, released or refused for lack of room by outcome",
            self.openings.clone(),
        );
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
        registry.register(
            "store_restores",
            "Restores of the platform's store from an older copy",
            self.store_restores.clone(),
        );
        registry.register("flows", "Flows held", self.flows.clone());
        registry.register("members", "Instances in the view", self.members.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        self.register_timings_and_states();
    }

    fn register_timings_and_states(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "flow_open",
            "Time from a flow's first opening packet to its next packet",
            Unit::Seconds,
            self.flow_open.clone(),
        );
        registry.register_with_unit(
            "opening_wait",
            "Time from the first transmission of a held opening to its release or refusal",
            Unit::Seconds,
            self.opening_wait.clone(),
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

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
