//! Taking targets and data centres out, and what is left to serve then.

use std::collections::BTreeSet;

use serde_json::{json, Value};

use crate::config::Config;
use crate::ids::ServiceId;
use crate::platform::Object;
use crate::record::{RecordKind, TargetState};

/// Whether something is taken out or brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Takes it out.
    Drain,
    /// Brings it back.
    Restore,
}

/// Returns the fields to lay over a record of a kind, null for what is to be removed; `None` when records of the kind cannot be
/// taken out.
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
    let text = |text: &str| if text.is_empty() { Value::Null } else { text.into() };
    Some(json!({ "state": state, "reason": text(reason), "operator": text(operator) }))
}

/// Returns the services that a change leaves without a target that takes new work.
pub fn services_left_without_targets(config: &Config, changed: &Object) -> Vec<ServiceId> {
    let (after, _) = config.apply(std::slice::from_ref(changed));
    let served = served(&after);
    let lost = self::served(config).into_iter().filter(|service| !served.contains(service));
    lost.collect()
}

fn served(config: &Config) -> BTreeSet<ServiceId> {
    let serving = config.targets().filter(|target| {
        target.state == TargetState::Active && config.is_in_service(&target.data_centre)
    });
    serving.map(|target| target.service.clone()).collect()
}
