//! Room of the services: how much work the targets of each data centre can take, and how much the
//! callers of each data centre ask for.

use std::time::Duration;

use crate::ids::DataCentreId;

/// Room and demand of one service in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreRoom {
    /// Data centre of the targets and of the callers.
    pub data_centre: DataCentreId,
    /// Slots of the targets that take new flows and are neither cold nor down; those of a target with
    /// a lower weight count by its weight.
    pub slots: u32,
    /// Requests per second of the data centre's callers; `None` if the figure is missing or out of
    /// date.
    pub demand: Option<Demand>,
}

/// Requests per second that the callers of one data centre send, through all of its instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// All requests, including repeated ones.
    pub requests_per_second: f64,
    /// Requests that a full target turned away.
    pub turned_away_per_second: f64,
}

/// Room and demand of one service in all data centres.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRoom {
    /// The data centres that have targets or callers of the service, ordered by name.
    pub data_centres: Vec<DataCentreRoom>,
    /// Mean time for which a request occupies a slot; `None` until enough requests were observed.
    pub work: Option<Duration>,
    /// Share of the service's demand that arrives at this instance, from 0 to 1; `None` if it is
    /// unknown.
    pub own_share: Option<f64>,
}

impl ServiceRoom {
    /// Returns the number of requests per second that all data centres can serve: as many as their
    /// slots can, and at least as many as their targets serve now. `None` until the work of a
    /// request is known.
    pub fn capacity_per_second(&self) -> Option<f64> {
        let slots: u32 = self.data_centres.iter().map(|it| it.slots).sum();
        let work = self.work.filter(|work| !work.is_zero())?;
        let by_slots = f64::from(slots) / work.as_secs_f64();
        let served = self.demand().map_or(0.0, |demand| demand.served_per_second());
        Some(by_slots.max(served))
    }

    /// Returns the demand of the callers of all data centres; `None` if the figure of one of them is
    /// missing.
    pub fn demand(&self) -> Option<Demand> {
        let demands = self.data_centres.iter().map(|it| it.demand);
        demands.reduce(|sum, demand| Some(sum?.plus(demand?))).flatten()
    }
}

impl Demand {
    /// Returns the requests that targets served.
    pub fn served_per_second(self) -> f64 {
        (self.requests_per_second - self.turned_away_per_second).max(0.0)
    }

    /// Returns the sum of two demands.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests_per_second: self.requests_per_second + other.requests_per_second,
            turned_away_per_second: self.turned_away_per_second + other.turned_away_per_second,
        }
    }
}
