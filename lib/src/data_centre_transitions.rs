//! Times at which data centres went in or out of service, as observed by this instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::config::Config;
use crate::ids::{DataCentreId, FlowHash};
use crate::plan::Plan;

/// Time over which the share of new flows that a data centre accepts grows from none to all after
/// it is back in service.
pub const RETURN_RAMP: Duration = Duration::from_secs(5);
/// Time after a data centre goes out of service during which its flows are reset.
pub const FLOW_RESET_PERIOD: Duration = Duration::from_secs(60);

/// Number of values of the 16 bits of a flow hash that decide when the flow is accepted again.
const HASH_VALUES: u128 = 1 << 16;

#[derive(Clone, Copy, Debug)]
struct ServiceState {
    is_in_service: bool,
    changed_at: Option<Instant>,
}

/// Service state of each data centre, with the time of its last change.
#[derive(Debug, Default)]
pub struct DataCentreTransitions {
    states: RwLock<BTreeMap<DataCentreId, ServiceState>>,
    last_config: Mutex<Option<Arc<Config>>>,
}

impl DataCentreTransitions {
    /// Takes over the service states from a plan, with `now` as the time of those that changed.
    /// Does nothing if the configuration is the same as in the last call.
    pub fn update(&self, plan: &Plan, now: Instant) {
        let previous = self.last_config.lock().replace(Arc::clone(&plan.config));
        if previous.is_some_and(|previous| Arc::ptr_eq(&previous, &plan.config)) {
            return;
        }
        let mut states = self.states.write();
        for service in plan.services() {
            for home in service.homes.all() {
                let state = states.entry(home.data_centre.clone()).or_insert(ServiceState {
                    is_in_service: home.is_in_service,
                    changed_at: None,
                });
                if state.is_in_service != home.is_in_service {
                    *state =
                        ServiceState { is_in_service: home.is_in_service, changed_at: Some(now) };
                }
            }
        }
    }

    /// Returns whether a data centre accepts a new flow with the given hash. After its return to
    /// service, the accepted share of the hashes grows linearly over [`RETURN_RAMP`].
    pub fn accepts_new_flow(&self, data_centre: &str, hash: FlowHash, now: Instant) -> bool {
        let Some(state) = self.states.read().get(data_centre).copied() else { return true };
        let Some(changed_at) = state.changed_at else { return state.is_in_service };
        let elapsed = now.saturating_duration_since(changed_at).as_millis();
        let hash_value = u128::from((hash >> 16) & 0xffff);
        state.is_in_service && hash_value * RETURN_RAMP.as_millis() < elapsed * HASH_VALUES
    }

    /// Returns whether flows of an out-of-service data centre are reset, which is so for
    /// [`FLOW_RESET_PERIOD`]. Also returns true if this instance has no state of the data centre or
    /// still has it in service.
    pub fn resets_flows(&self, data_centre: &str, now: Instant) -> bool {
        let Some(state) = self.states.read().get(data_centre).copied() else { return true };
        let is_recent = |at: Instant| now < at + FLOW_RESET_PERIOD;
        state.is_in_service || state.changed_at.is_some_and(is_recent)
    }
}
