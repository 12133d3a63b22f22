//! Counts the packets and flows that get no response because their target's data centre is out of
//! service.
//!
//! Load pattern: a data centre goes out of service while flows to it are open. Their packets are
//! dropped once the outage bound has passed. The targets still run, so the flows must not be reset,
//! and their callers wait until their deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::{DataCentreId, ServiceId};
use crate::segment::FlowEnds;

/// Maximum number of flows that are told apart; packets of further flows count as packets only.
pub const MAX_DISTINCT_FLOWS: usize = 100_000;
/// Time for which losses are summed up before they are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Losses of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutageLoss {
    /// Data centre that is out of service.
    pub data_centre: DataCentreId,
    /// Service of the targets.
    pub service: ServiceId,
    /// Number of dropped packets.
    pub packets: u64,
    /// Number of flows that lost a packet for the first time in this outage.
    pub flows: u64,
}

/// Losses since the last report.
#[derive(Debug, Default)]
pub struct OutageLosses {
    /// Packets and flows by data centre and service.
    counts: BTreeMap<(DataCentreId, ServiceId), (u64, u64)>,
    /// Flows that were counted.
    flows: HashMap<FlowEnds, DataCentreId>,
    reported_at: Option<Instant>,
}

impl OutageLosses {
    /// Counts a dropped packet.
    pub fn record(&mut self, data_centre: &DataCentreId, service: &ServiceId, ends: FlowEnds) {
        let has_room = self.flows.len() < MAX_DISTINCT_FLOWS;
        let is_new = has_room && self.flows.insert(ends, data_centre.clone()).is_none();
        let key = (data_centre.clone(), service.clone());
        let (packets, flows) = self.counts.entry(key).or_default();
        *packets += 1;
        *flows += u64::from(is_new);
    }

    /// Removes and returns the losses since the last report; empty until [`REPORT_INTERVAL`] has
    /// passed.
    pub fn take_report(&mut self, now: Instant) -> Vec<OutageLoss> {
        let is_early = self.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL);
        if is_early || self.counts.is_empty() {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let counts = std::mem::take(&mut self.counts).into_iter();
        let report = counts.map(|((data_centre, service), (packets, flows))| OutageLoss {
            data_centre,
            service,
            packets,
            flows,
        });
        report.collect()
    }

    /// Forgets which flows were counted, except those of data centres that are still out of service.
    pub fn retain_flows(&mut self, is_out_of_service: impl Fn(&str) -> bool) {
        let mut is_out = HashMap::default();
        self.flows.retain(|_, data_centre| {
            let known = is_out.entry(data_centre.clone());
            *known.or_insert_with(|| is_out_of_service(data_centre))
        });
    }
}
