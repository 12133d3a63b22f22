//! What a replay knows of services, targets and data centres from the trace alone.

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

/// A target that is cold.
#[derive(Clone, Debug)]
pub struct ColdWindow {
    /// When it ends.
    pub until: Millis,
    /// New connections that the target bears meanwhile.
    pub capacity: u32,
    /// New connections that it got so far.
    pub new_flows: u32,
}

/// A target as the trace describes it.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// Name.
    pub name: TargetId,
    /// Service.
    pub service: ServiceId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Since when it is active.
    pub active_since: Option<Millis>,
    /// Since when it is leaving or deleted.
    pub leaving_since: Option<Millis>,
}

/// What the trace has said so far.
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
    /// Notes an object that was written or deleted; what is no record is passed over.
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

    /// Notes that a target is cold.
    pub fn set_cold(&mut self, now: Millis, event: &ColdEvent) {
        let window =
            ColdWindow { until: now + event.for_ms, capacity: event.connections, new_flows: 0 };
        self.cold_windows.insert(event.target.clone(), window);
    }

    /// Returns the window of a target that is cold now.
    pub fn cold_window(&mut self, now: Millis, target: &str) -> Option<&mut ColdWindow> {
        self.cold_windows.get_mut(target).filter(|window| now < window.until)
    }

    /// Tells whether any target was cold.
    pub fn had_cold_target(&self) -> bool {
        !self.cold_windows.is_empty()
    }

    /// Tells whether the data centre of a target is out, so that the flows there are given up.
    pub fn is_out_of_service(&self, target: &TargetId) -> bool {
        let mut targets = self.targets_by_tunnel.values();
        let known = targets.find(|known| known.name == *target);
        known.is_some_and(|known| self.out_of_service_since.contains_key(&known.data_centre))
    }

    /// Returns the targets of all data centres that are out.
    pub fn targets_out_of_service(&self) -> BTreeSet<TargetId> {
        let targets = self.targets_by_tunnel.values();
        let out =
            targets.filter(|target| self.out_of_service_since.contains_key(&target.data_centre));
        out.map(|target| target.name.clone()).collect()
    }

    /// Tells whether any data centre was taken out.
    pub fn had_data_centre_out(&self) -> bool {
        self.had_data_centre_out
    }

    /// Tells whether any target was leaving.
    pub fn had_leaving_target(&self) -> bool {
        self.had_leaving_target
    }

    /// Returns the service at an address.
    pub fn service_at(&self, protocol: Protocol, address: SocketAddr) -> Option<&ServiceId> {
        self.services.get(&(protocol, address))
    }

    /// Returns the target that takes packets at an address.
    pub fn target_at(&self, tunnel: SocketAddr) -> Option<&KnownTarget> {
        self.targets_by_tunnel.get(&tunnel)
    }

    /// Returns since when a data centre is out.
    pub fn out_of_service_since(&self, data_centre: &str) -> Option<Millis> {
        self.out_of_service_since.get(data_centre).copied()
    }

    /// Returns the targets of a service that have been active since `since` in data centres that
    /// are in service.
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
