//! Metrics of an instance, exposed in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

use crate::ids::{DataCentreId, ServiceId};
use crate::room::ServiceRoom;
use crate::spillover::Spillover;

/// Upper bound of the first histogram bucket; the bound of each further bucket is twice as large.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets with a finite bound; the largest bound is 4.096 s.
const BUCKET_COUNT: u16 = 13;

/// Largest number of services with gauges of their own.
const MAX_GAUGE_SERVICES: usize = 32;

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

/// Labels of counters of packets and flows to a data centre that is out of service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutageLabel {
    /// Data centre that is out of service.
    pub data_centre: String,
    /// Service of the targets.
    pub service: String,
}

/// Label of gauges that are split by the weight of targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WeightLabel {
    /// Weight in thousandths, such as `500`.
    pub weight: &'static str,
}

/// Label of gauges that are split by service and data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RoomLabel {
    /// Name of the service.
    pub service: String,
    /// Name of the data centre.
    pub data_centre: String,
}

/// Gauge of a fractional number.
pub type FractionGauge = Gauge<f64, AtomicU64>;

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
    /// Number of targets that answer slowly and get fewer new flows, by weight.
    pub targets_lowered: Family<WeightLabel, Gauge>,
    /// Changes of circuit breakers that this instance decided on, by the new state.
    pub breaker_changes: Family<OutcomeLabel, Counter>,
    /// Number of targets whose circuit breaker is not closed, by state.
    pub targets_withheld: Family<OutcomeLabel, Gauge>,
    /// Changes of target weights that this instance decided on, by outcome.
    pub weight_changes: Family<OutcomeLabel, Counter>,
    /// 1 while this instance reads the platform on behalf of the others, 0 otherwise.
    pub is_reading: Gauge,
    /// Number of log lines dropped because the log queue was full.
    pub log_lines_lost: Gauge,
    /// Number of flows whose callers wait for an answer.
    pub waiting_flows: Gauge,
    /// Number of packets that were not tracked because too many flows were.
    pub untracked_packets: Gauge,
    /// Packets dropped because their target's data centre is out of service.
    pub outage_packets: Family<OutageLabel, Counter>,
    /// Flows that had a packet dropped for that reason.
    pub outage_flows: Family<OutageLabel, Counter>,
    /// Requests per second of the callers of a data centre, as estimated by this instance.
    pub demand_requests: Family<RoomLabel, FractionGauge>,
    /// Slots of the targets of a data centre that take new flows and are neither cold nor down.
    pub room_slots: Family<RoomLabel, Gauge>,
    /// Share of this instance's requests that is wanted at the targets of another data centre, from
    /// 0 to 1.
    pub spill_share: Family<RoomLabel, FractionGauge>,
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
            targets_lowered: Family::default(),
            breaker_changes: Family::default(),
            targets_withheld: Family::default(),
            weight_changes: Family::default(),
            is_reading: Gauge::default(),
            log_lines_lost: Gauge::default(),
            waiting_flows: Gauge::default(),
            untracked_packets: Gauge::default(),
            outage_packets: Family::default(),
            outage_flows: Family::default(),
            demand_requests: Family::default(),
            room_slots: Family::default(),
            spill_share: Family::default(),
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
            "targets_lowered",
            "Targets that answer slowly and get fewer new flows",
            self.targets_lowered.clone(),
        );
        registry.register(
            "breaker_changes",
            "Changes of circuit breakers that this instance decided on",
            self.breaker_changes.clone(),
        );
        registry.register(
            "targets_withheld",
            "Targets whose circuit breaker is not closed",
            self.targets_withheld.clone(),
        );
        registry.register(
            "weight_changes",
            "Changes of target weights that this instance decided on",
            self.weight_changes.clone(),
        );
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
        self.register_waiting();
    }

    fn register_waiting(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "waiting_flows",
            "Flows whose callers wait for an answer",
            self.waiting_flows.clone(),
        );
        registry.register(
            "untracked_packets",
            "Packets of flows beyond the limit of tracked flows",
            self.untracked_packets.clone(),
        );
        registry.register(
            "outage_packets",
            "Packets dropped because the data centre is out of service",
            self.outage_packets.clone(),
        );
        registry.register(
            "outage_flows",
            "Flows with a packet dropped because the data centre is out of service",
            self.outage_flows.clone(),
        );
        registry.register(
            "demand_requests_per_second",
            "Requests per second of a data centre's callers",
            self.demand_requests.clone(),
        );
        registry.register(
            "room_slots",
            "Slots of a data centre's targets that take new flows",
            self.room_slots.clone(),
        );
        registry.register(
            "spill_share",
            "Share of requests that spill over to a data centre",
            self.spill_share.clone(),
        );
    }

    /// Replaces the gauges of the rooms and spill shares of services.
    pub fn set_rooms<'a>(
        &self,
        rooms: impl Iterator<Item = (&'a ServiceId, &'a ServiceRoom, &'a Spillover)>,
    ) {
        self.demand_requests.clear();
        self.room_slots.clear();
        self.spill_share.clear();
        for (service, room, spillover) in rooms.take(MAX_GAUGE_SERVICES) {
            let label = |data_centre: &DataCentreId| RoomLabel {
                service: service.to_string(),
                data_centre: data_centre.to_string(),
            };
            for it in &room.data_centres {
                let label = label(&it.data_centre);
                self.room_slots.get_or_create(&label).set(it.slots.into());
                let Some(demand) = it.demand else { continue };
                self.demand_requests.get_or_create(&label).set(demand.requests_per_second);
            }
            for (data_centre, share) in spillover.shares() {
                self.spill_share.get_or_create(&label(data_centre)).set(share);
            }
        }
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
