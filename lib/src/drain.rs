//! Takes targets and data centres out of service and returns them to service, and finds the services
//! that would have no target left.

use std::collections::BTreeSet;

use serde_json::{json, Value};

use crate::config::Config;
use crate::ids::ServiceId;
use crate::platform::Object;
use crate::record::{RecordKind, TargetState};

/// Change to the state of a target or data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Takes the target or data centre out of service.
    Drain,
    /// Returns the target or data centre to service.
    Restore,
}

/// Returns the merge patch for a record of a kind; its null fields are removed from the record.
/// Returns `None` for a service, which cannot be taken out of service.
pub fn state_patch(
    kind: RecordKind,
    action: DrainAction,
    reason: &str,
    operator: &str,
) -> Option<Value> {
    let state = match (kind, action) {
        (RecordKind::Target, DrainAction::Drain) => "leaving",
        (RecordKind::Target, DrainAction::Restore) => "active",
        (RecordKind::DataCentre, DrainAction::Drain) => "out",
        (RecordKind::DataCentre, DrainAction::Restore) => "in",
        (RecordKind::Service, _) => return None,
    };
    let text_or_null = |text: &str| if text.is_empty() { Value::Null } else { text.into() };
    Some(
        json!({ "state": state, "reason": text_or_null(reason), "operator": text_or_null(operator) }),
    )
}

/// Returns the services that have a target accepting new flows and requests before a change, but none
/// after it.
pub fn services_left_without_targets(config: &Config, changed: &Object) -> Vec<ServiceId> {
    let (after, _) = config.apply(std::slice::from_ref(changed));
    let served = served_services(&after);
    let unserved = served_services(config).into_iter().filter(|service| !served.contains(service));
    unserved.collect()
}

fn served_services(config: &Config) -> BTreeSet<ServiceId> {
    let serving = config.targets().filter(|target| {
        target.state == TargetState::Active && config.is_in_service(&target.data_centre)
    });
    serving.map(|target| target.service.clone()).collect()
}
