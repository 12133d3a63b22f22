//! Services, targets and data centres of a replay as the trace describes them.
//!
//! They are derived from the trace alone, without the state of any instance, so that checks do not
//! depend on the code that they check.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::flow::Protocol;
use crate::ids::{DataCentreId, ServiceId, TargetId};
use crate::platform::Object;
use crate::record::{DataCentre, DataCentreState, RecordKind, Service, Target, TargetState};
use crate::trace_file::ColdEvent;

/// Time since the start of a replay, in milliseconds.
pub type Millis = u64;

/// A period in which a target is cold and accepts only a limited number of new flows.
#[derive(Clone, Debug)]
pub struct ColdWindow {
    /// End of the period (exclusive), in milliseconds.
    pub until: Millis,
    /// Number of new flows that the target can accept during the period.
    pub capacity: u32,
    /// Number of new flows that reached the target so far.
    pub new_flows: u32,
}

/// A target as the trace describes it.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// Name of the target.
    pub name: TargetId,
    /// Service whose packets the target accepts.
    pub service: ServiceId,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreId,
    /// Time at which the target became active, in milliseconds; absent while it is not active.
    pub active_since: Option<Millis>,
    /// Time at which the target began to leave or was deleted, in milliseconds; absent while it is
    /// active.
    pub leaving_since: Option<Millis>,
}

/// State of services, targets and data centres after the events that were applied so far.
#[derive(Debug, Default)]
pub struct World {
    services: BTreeMap<(Protocol, SocketAddr), ServiceId>,
    targets_by_tunnel: BTreeMap<SocketAddr, KnownTarget>,
    out_of_service_since: BTreeMap<DataCentreId, Millis>,
    cold_windows: BTreeMap<TargetId, ColdWindow>,
    had_data_centre_out: bool,
    had_leaving_target: bool,
}

impl World {
    /// Applies the write or deletion of an object. Ignores objects whose kind or body is not that
    /// of a service, target or data centre.
    pub fn apply(&mut self, now: Millis, object: &Object) {
        let Some(body) = &object.body else {
            return self.apply_deletion(now, object);
        };
        if object.kind == RecordKind::Service.name() {
            record_of(body).iter().for_each(|service| self.apply_service(service));
        } else if object.kind == RecordKind::Target.name() {
            record_of(body).iter().for_each(|target| self.apply_target(now, target));
        } else if object.kind == RecordKind::DataCentre.name() {
            record_of(body).iter().for_each(|record| self.apply_data_centre(now, record));
        }
    }

    fn apply_service(&mut self, service: &Service) {
        self.services.retain(|_, name| *name != service.name);
        for address in &service.addresses {
            self.services.insert((address.protocol, address.address), service.name.clone());
        }
    }

    fn apply_target(&mut self, now: Millis, target: &Target) {
        let known = self.targets_by_tunnel.entry(target.tunnel).or_insert_with(|| KnownTarget {
            name: target.name.clone(),
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            active_since: None,
            leaving_since: None,
        });
        known.service = target.service.clone();
        match target.state {
            TargetState::Active => {
                known.active_since.get_or_insert(now);
                known.leaving_since = None;
            }
            TargetState::Leaving => {
                self.had_leaving_target = true;
                known.active_since = None;
                known.leaving_since.get_or_insert(now);
            }
        }
    }

    fn apply_data_centre(&mut self, now: Millis, record: &DataCentre) {
        if record.state == DataCentreState::In {
            self.out_of_service_since.remove(&record.name);
        } else {
            self.had_data_centre_out = true;
            self.out_of_service_since.entry(record.name.clone()).or_insert(now);
        }
    }

    fn apply_deletion(&mut self, now: Millis, object: &Object) {
        for target in
            self.targets_by_tunnel.values_mut().filter(|target| target.name == object.name)
        {
            target.active_since = None;
            target.leaving_since.get_or_insert(now);
        }
    }

    /// Starts a cold period of a target, which replaces a former one.
    pub fn set_cold(&mut self, now: Millis, event: &ColdEvent) {
        let window =
            ColdWindow { until: now + event.for_ms, capacity: event.connections, new_flows: 0 };
        self.cold_windows.insert(event.target.clone(), window);
    }

    /// Returns the cold period of a target, or nothing when the target is not cold at `now`.
    pub fn cold_window(&mut self, now: Millis, target: &str) -> Option<&mut ColdWindow> {
        self.cold_windows.get_mut(target).filter(|window| now < window.until)
    }

    /// Returns whether any target has been cold since the start of the replay.
    pub fn had_cold_target(&self) -> bool {
        !self.cold_windows.is_empty()
    }

    /// Returns whether the data centre of a target is out of service. Callers abandon the flows of
    /// such targets.
    pub fn is_out_of_service(&self, target: &TargetId) -> bool {
        let mut targets = self.targets_by_tunnel.values();
        let known = targets.find(|known| known.name == *target);
        known.is_some_and(|known| self.out_of_service_since.contains_key(&known.data_centre))
    }

    /// Returns the targets of all data centres that are out of service.
    pub fn targets_out_of_service(&self) -> BTreeSet<TargetId> {
        let targets = self.targets_by_tunnel.values();
        let out =
            targets.filter(|target| self.out_of_service_since.contains_key(&target.data_centre));
        out.map(|target| target.name.clone()).collect()
    }

    /// Returns whether any data centre has been out of service since the start of the replay.
    pub fn had_data_centre_out(&self) -> bool {
        self.had_data_centre_out
    }

    /// Returns whether any target has been leaving since the start of the replay.
    pub fn had_leaving_target(&self) -> bool {
        self.had_leaving_target
    }

    /// Returns the service at an address.
    pub fn service_at(&self, protocol: Protocol, address: SocketAddr) -> Option<&ServiceId> {
        self.services.get(&(protocol, address))
    }

    /// Returns the target that receives packets at a tunnel address.
    pub fn target_at(&self, tunnel: SocketAddr) -> Option<&KnownTarget> {
        self.targets_by_tunnel.get(&tunnel)
    }

    /// Returns the time at which a data centre went out of service, in milliseconds, or nothing
    /// when it is in service.
    pub fn out_of_service_since(&self, data_centre: &str) -> Option<Millis> {
        self.out_of_service_since.get(data_centre).copied()
    }

    /// Returns the targets of a service that have been active at least since `since` and whose data
    /// centres are in service.
    pub fn active_targets(&self, service: &str, since: Millis) -> Vec<&KnownTarget> {
        self.targets_by_tunnel
            .values()
            .filter(|target| target.service == service)
            .filter(|target| target.active_since.is_some_and(|active| active <= since))
            .filter(|target| !self.out_of_service_since.contains_key(&target.data_centre))
            .collect()
    }
}

fn record_of<T: DeserializeOwned>(body: &Value) -> Option<T> {
    serde_json::from_value(body.clone()).ok()
}
