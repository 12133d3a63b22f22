//! Room of the services: how much work the targets of each data centre can take, and how much the
//! callers of each data centre ask for.

use std::time::Duration;

use crate::ids::DataCentreId;

/// Room and demand of one service in one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreRoom {
    /// Data centre of the targets and of the callers.
    pub data_centre: DataCentreId,
    /// Slots of the targets that take new flows and are neither cold nor down.
    pub slots: u32,
    /// Requests per second that the callers of the data centre send, through all of its instances;
    /// `None` if the figure is missing or out of date.
    pub demand_per_second: Option<f64>,
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
    /// Returns the number of requests per second that the slots of all data centres can serve;
    /// `None` until the work of a request is known.
    pub fn capacity_per_second(&self) -> Option<f64> {
        let slots: u32 = self.data_centres.iter().map(|it| it.slots).sum();
        let work = self.work.filter(|work| !work.is_zero())?;
        Some(f64::from(slots) / work.as_secs_f64())
    }

    /// Returns the number of requests per second that the callers of all data centres send; `None`
    /// if the figure of a data centre is missing.
    pub fn demand_per_second(&self) -> Option<f64> {
        self.data_centres.iter().map(|it| it.demand_per_second).sum()
    }
}
