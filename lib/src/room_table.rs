//! Room of the services: combines the slots of the known targets with the demand of the callers of
//! each data centre.
//!
//! Load pattern: targets are replaced, emptied and lost while callers keep their data centres, so
//! room of a data centre can fall far below its demand within a second. The table is recomputed by a pass over all
//! targets, at most every [`MIN_PASS_INTERVAL`] and never per packet. The interval grows with the
//! number of targets, so that the passes take a bounded share of the processor.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::demand_exchange::{
    DataCentreDemand, DemandExchange, InstanceRates, BUSY_REPORT_INTERVAL, CALM_REPORT_INTERVAL,
};
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::room::{DataCentreRoom, Demand, ServiceRoom};
use crate::service_demand::ServiceDemand;
use crate::spillover;
use crate::target_table::TargetTable;
use crate::view::View;

/// Least time between two passes over the targets.
pub const MIN_PASS_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two passes for each known target, where that is longer. It bounds the share of the
/// processor that passes take from the packets of callers.
pub const PASS_INTERVAL_PER_TARGET: Duration = Duration::from_micros(40);

/// Demand at this instance, the reports of others, and the time of the next pass.
#[derive(Debug)]
pub struct RoomTable {
    /// Demand of the callers whose packets this instance forwards.
    pub demand: ServiceDemand,
    /// Reports of other instances.
    pub exchange: DemandExchange,
    data_centre: DataCentreId,
    next_pass_at: Option<Instant>,
    /// Whether a data centre may soon spill over.
    is_busy: bool,
}

impl RoomTable {
    /// Creates the table of an instance.
    pub fn new(instance: InstanceId, data_centre: DataCentreId) -> Self {
        Self {
            demand: ServiceDemand::default(),
            exchange: DemandExchange::new(instance, data_centre.clone()),
            data_centre,
            next_pass_at: None,
            is_busy: false,
        }
    }

    /// Returns the room of all services if a pass is due, `None` otherwise.
    pub fn refresh(
        &mut self,
        targets: &TargetTable,
        view: &View,
        now: Instant,
    ) -> Option<HashMap<ServiceId, ServiceRoom>> {
        self.exchange.tick(now);
        if self.next_pass_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_pass_at = Some(now + pass_interval(targets.indices().len()));
        self.exchange.refresh(InstanceRates::complete(self.demand.demands(now)), view, now);
        let estimates = self.exchange.estimates();
        let room = |(service, indices): (&ServiceId, &[usize])| {
            let slots = slots(targets, indices, now);
            let data_centres = data_centre_rooms(service, &slots, estimates);
            let work = self.demand.work(service);
            let mut room = ServiceRoom { data_centres, work, own_share: None };
            room.own_share = room.demand().and_then(|total| self.own_share(service, total));
            (service.clone(), room)
        };
        let rooms: HashMap<_, _> = targets.services().map(room).collect();
        self.is_busy = rooms.values().any(spillover::is_near_limit);
        Some(rooms)
    }

    /// Returns this instance's share of the total demand for a service: an even part of its data
    /// centre's share. Its own requests would be newer than the total, and would show what it places
    /// instead of what its callers ask for.
    fn own_share(&self, service: &str, total: Demand) -> Option<f64> {
        let estimates = self.exchange.estimates().iter();
        let own = estimates.clone().find(|it| it.data_centre == self.data_centre)?;
        let own_demand = own.demand(service)?.requests_per_second / own.instances as f64;
        (total.requests_per_second > 0.0).then(|| (own_demand / total.requests_per_second).min(1.0))
    }

    /// Returns the time between two reports of this instance to others.
    pub fn report_interval(&self) -> Duration {
        if self.is_busy {
            BUSY_REPORT_INTERVAL
        } else {
            CALM_REPORT_INTERVAL
        }
    }
}

/// Returns the time between two passes over a number of targets.
pub fn pass_interval(targets: usize) -> Duration {
    let targets = u32::try_from(targets).unwrap_or(u32::MAX);
    MIN_PASS_INTERVAL.max(PASS_INTERVAL_PER_TARGET.saturating_mul(targets))
}

/// Returns the slots by data centre of those targets that take new flows and are neither cold nor
/// down. Those of a target with a lower weight count by its weight.
fn slots<'a>(
    targets: &'a TargetTable,
    indices: &[usize],
    now: Instant,
) -> BTreeMap<&'a DataCentreId, u32> {
    let mut per_mille: BTreeMap<&DataCentreId, u64> = BTreeMap::new();
    for entry in indices.iter().map(|index| targets.get(*index)) {
        if entry.accepts_new_flows() && !entry.is_cold(now) && !entry.health().is_down() {
            let weight = u64::from(entry.weight().per_mille());
            let slots = u64::from(entry.registration.slots) * weight;
            *per_mille.entry(&entry.registration.data_centre).or_default() += slots;
        }
    }
    let whole = |slots: u64| u32::try_from(slots / 1_000).unwrap_or(u32::MAX);
    per_mille.into_iter().map(|(name, slots)| (name, whole(slots))).collect()
}

/// Combines slots and demand. A data centre without instances and without targets has no callers
/// and no room, and is left out.
fn data_centre_rooms(
    service: &str,
    slots: &BTreeMap<&DataCentreId, u32>,
    estimates: &[DataCentreDemand],
) -> Vec<DataCentreRoom> {
    // A data centre without live instances has no callers here: those of its callers that reach
    // another data centre count there.
    let no_callers = Some(Demand::default());
    let mut rooms: BTreeMap<&DataCentreId, (u32, Option<Demand>)> =
        slots.iter().map(|(name, slots)| (*name, (*slots, no_callers))).collect();
    for estimate in estimates {
        rooms.entry(&estimate.data_centre).or_default().1 = estimate.demand(service);
    }
    let room = |(name, (slots, demand)): (&DataCentreId, (u32, Option<Demand>))| {
        let data_centre = name.clone();
        DataCentreRoom { data_centre, slots, demand }
    };
    rooms.into_iter().map(room).collect()
}
