//! Since when each data centre has been in or out of service, as this instance saw it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::config::Config;
use crate::ids::{DataCentreId, FlowHash};
use crate::plan::Plan;

/// Time over which new flows return to a data centre that is brought back.
pub const RETURN_RAMP: Duration = Duration::from_secs(10);
/// Time for which the flows of a data centre that was taken out are told so.
pub const FLOW_RESET_PERIOD: Duration = Duration::from_secs(60);

const SHARES: u128 = 1 << 16;

#[derive(Clone, Copy, Debug)]
struct ServiceState {
    is_in: bool,
    changed_at: Option<Instant>,
}

/// Since when each data centre has been in or out of service.
#[derive(Debug, Default)]
pub struct DataCentreTransitions {
    states: RwLock<BTreeMap<DataCentreId, ServiceState>>,
    seen: Mutex<Option<Arc<Config>>>,
}

impl DataCentreTransitions {
    /// Notes the states of a plan that came into force by `now`.
    pub fn update(&self, plan: &Plan, now: Instant) {
        let seen = self.seen.lock().replace(Arc::clone(&plan.config));
        if seen.is_some_and(|seen| Arc::ptr_eq(&seen, &plan.config)) {
            return;
        }
        let mut states = self.states.write();
        for service in plan.services() {
            for home in service.homes.all() {
                let state = states
                    .entry(home.data_centre.clone())
                    .or_insert(ServiceState { is_in: home.is_in_service, changed_at: None });
                if state.is_in != home.is_in_service {
                    *state = ServiceState { is_in: home.is_in_service, changed_at: Some(now) };
                }
            }
        }
    }

    /// Tells whether a data centre takes a new flow: one that was brought back takes a share that
    /// grows over [`RETURN_RAMP`].
    pub fn takes_new(&self, data_centre: &str, hash: FlowHash, now: Instant) -> bool {
        let Some(state) = self.states.read().get(data_centre).copied() else { return true };
        let Some(changed_at) = state.changed_at else { return state.is_in };
        let elapsed = now.saturating_duration_since(changed_at).as_millis();
        let share = u128::from((hash >> 16) & 0xffff);
        state.is_in && share * RETURN_RAMP.as_millis() < elapsed * SHARES
    }

    /// Tells whether a data centre was taken out so recently that its flows are still told.
    pub fn resets_flows(&self, data_centre: &str, now: Instant) -> bool {
        let Some(state) = self.states.read().get(data_centre).copied() else { return true };
        let is_recent = |at: Instant| now < at + FLOW_RESET_PERIOD;
        state.is_in || state.changed_at.is_some_and(is_recent)
    }
}
