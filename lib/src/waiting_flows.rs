//! Flows whose callers wait for an answer, by target.
//!
//! A caller that has sent its whole request sends no further packet, so nothing that it sends can be
//! answered with a reset once its target has ended. This record keeps what such a reset needs. It is
//! separate from the load figures of [`crate::flow_tracker`], which count a request only briefly.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::segment::FlowEnds;

/// Flow with an unanswered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingFlow {
    /// Index of the target that has the request.
    pub target: usize,
    /// Time at which this instance saw the first data of the request.
    pub since: Instant,
    /// Time at which this instance saw the first packet of the open flow. The flow may have been
    /// opened earlier, at another instance, but not later.
    pub opened_at: Instant,
    /// Last acknowledgement number of the caller, which a reset must carry.
    pub ack: u32,
}

/// Record of the waiting flows. Its size is bounded by the flow tracker that fills it.
#[derive(Debug, Default)]
pub struct WaitingFlows {
    flows: HashMap<FlowEnds, WaitingFlow>,
    /// Start times and ends of each target's waiting flows.
    by_target: HashMap<usize, BTreeSet<(Instant, FlowEnds)>>,
}

impl WaitingFlows {
    /// Records that a flow waits. Further data of the same request changes nothing.
    pub fn start(&mut self, ends: FlowEnds, flow: WaitingFlow) {
        if self.flows.contains_key(&ends) {
            return;
        }
        self.flows.insert(ends, flow);
        self.by_target.entry(flow.target).or_default().insert((flow.since, ends));
    }

    /// Records that a flow no longer waits.
    pub fn end(&mut self, ends: &FlowEnds) {
        let Some(flow) = self.flows.remove(ends) else { return };
        let Some(of_target) = self.by_target.get_mut(&flow.target) else { return };
        of_target.remove(&(flow.since, *ends));
        if of_target.is_empty() {
            self.by_target.remove(&flow.target);
        }
    }

    /// Returns a flow if it waits.
    pub fn get(&self, ends: &FlowEnds) -> Option<&WaitingFlow> {
        self.flows.get(ends)
    }

    /// Returns the waiting flows of a target, the one that waits longest first.
    pub fn of_target(&self, target: usize) -> impl Iterator<Item = (&FlowEnds, &WaitingFlow)> {
        let of_target = self.by_target.get(&target).into_iter().flatten();
        of_target.filter_map(|(_, ends)| self.flows.get_key_value(ends))
    }

    /// Returns the endpoints of the waiting flows.
    pub fn ends(&self) -> impl Iterator<Item = &FlowEnds> {
        self.flows.keys()
    }

    /// Returns the number of waiting flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
