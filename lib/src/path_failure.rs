//! Detection of flows whose path to the target has failed.
//!
//! The caller of such a flow keeps sending and gets no reply, while the target replies to other
//! flows. Only the flow is reset; the target stays in use.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;

use crate::collections::HashMap;
use crate::flow_clock::ticks_of;
use crate::ids::TargetId;
use crate::target::TargetHandle;

/// Least time since the first unanswered packet of a caller for the path of its flow to count as
/// failed.
pub const PATH_FAILURE_TIMEOUT: Duration = Duration::from_secs(15);
/// Least number of unanswered packets of a caller for the path of its flow to count as failed.
pub const PATH_FAILURE_PACKETS: u8 = 4;
/// Time within which the target must have replied to some flow. Otherwise the target is
/// unresponsive, and no path counts as failed.
pub const TARGET_RESPONSE_WINDOW: Duration = Duration::from_secs(5);

/// A target with the time of the last packet that it sent to this instance in any flow.
#[derive(Debug)]
pub struct TrackedTarget {
    /// Handle that all flows of the target share.
    pub handle: Arc<TargetHandle>,
    /// Ticks of the last packet; 0 before the first one.
    received: AtomicU32,
}

impl TrackedTarget {
    /// Creates the record of a target that has not sent a packet.
    pub fn new(handle: Arc<TargetHandle>) -> Self {
        Self { handle, received: AtomicU32::new(0) }
    }

    /// Records a packet from the target at `now` ticks.
    pub fn note_received(&self, now: u32) {
        self.received.store(now, Ordering::Relaxed);
    }

    fn is_responsive(&self, now: u32) -> bool {
        let received = self.received.load(Ordering::Relaxed);
        received > 0 && now < received.saturating_add(ticks_of(TARGET_RESPONSE_WINDOW))
    }
}

/// All targets that flows of this instance are bound to.
#[derive(Debug, Default)]
pub struct TrackedTargets {
    targets: RwLock<HashMap<TargetId, Arc<TrackedTarget>>>,
}

impl TrackedTargets {
    /// Returns the record of a target. A handle that replaces another one of the same name gets a
    /// new record.
    pub fn get_or_insert(&self, handle: &Arc<TargetHandle>) -> Arc<TrackedTarget> {
        if let Some(target) = self.targets.read().get(handle.id()) {
            if Arc::ptr_eq(&target.handle, handle) {
                return Arc::clone(target);
            }
        }
        let target = Arc::new(TrackedTarget::new(Arc::clone(handle)));
        self.targets.write().insert(handle.id().clone(), Arc::clone(&target));
        target
    }
}

/// Packets that the caller of a flow has sent since the last packet from the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Ticks of the first of these packets, as bytes so that the type adds no padding to a binding.
    since: [u8; 4],
    packets: u8,
}

impl Unanswered {
    /// Records a packet from the caller at `now` ticks.
    pub fn note_sent(&mut self, now: u32) {
        if self.packets == 0 {
            self.since = now.to_ne_bytes();
        }
        self.packets = self.packets.saturating_add(1);
    }

    /// Returns whether the path between the caller and `target` has failed for this flow, at `now`
    /// ticks.
    pub fn has_path_failed(&self, target: &TrackedTarget, now: u32) -> bool {
        self.packets >= PATH_FAILURE_PACKETS
            && now >= u32::from_ne_bytes(self.since).saturating_add(ticks_of(PATH_FAILURE_TIMEOUT))
            && target.is_responsive(now)
    }
}
