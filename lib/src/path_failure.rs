//! Detection of flows whose path to the target lost track of them.
//!
//! Such a flow's caller keeps sending and hears nothing, while other flows of the same target are
//! answered. The flow alone is reset; the target stays in use.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;

use crate::binding::ticks_of;
use crate::collections::HashMap;
use crate::ids::TargetId;
use crate::target::TargetHandle;

/// Time for which a caller sends unanswered before its flow counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(15);
/// Number of packets that the caller sends unanswered before its flow counts as lost.
pub const LOST_PACKETS: u8 = 4;
/// Time within which another flow of the target must have been answered.
pub const TARGET_RESPONDED_WITHIN: Duration = Duration::from_secs(5);

/// A target together with when any of its flows was last answered at this instance.
#[derive(Debug)]
pub struct TrackedTarget {
    /// Target.
    pub handle: Arc<TargetHandle>,
    received: AtomicU32,
}

impl TrackedTarget {
    /// Creates a link of a target that has sent nothing yet.
    pub fn new(handle: Arc<TargetHandle>) -> Self {
        Self { handle, received: AtomicU32::new(0) }
    }

    /// Notes a packet of the target at `now` ticks.
    pub fn note_received(&self, now: u32) {
        self.received.store(now, Ordering::Relaxed);
    }

    fn is_responding(&self, now: u32) -> bool {
        let received = self.received.load(Ordering::Relaxed);
        received > 0 && now < received.saturating_add(ticks_of(TARGET_RESPONDED_WITHIN))
    }
}

/// The links of all targets that flows of this instance are bound to.
#[derive(Debug, Default)]
pub struct TrackedTargets {
    links: RwLock<HashMap<TargetId, Arc<TrackedTarget>>>,
}

impl TrackedTargets {
    /// Returns the link of a target; a new handle of the same name gets a new link.
    pub fn of(&self, handle: &Arc<TargetHandle>) -> Arc<TrackedTarget> {
        if let Some(link) = self.links.read().get(handle.id()) {
            if Arc::ptr_eq(&link.handle, handle) {
                return Arc::clone(link);
            }
        }
        let link = Arc::new(TrackedTarget::new(Arc::clone(handle)));
        self.links.write().insert(handle.id().clone(), Arc::clone(&link));
        link
    }
}

/// Packets of a flow's caller since the target last sent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unanswered {
    /// Ticks as bytes, so that the type needs no padding within a binding.
    since: [u8; 4],
    packets: u8,
}

impl Unanswered {
    /// Notes a packet of the caller at `now` ticks.
    pub fn note_sent(&mut self, now: u32) {
        if self.packets == 0 {
            self.since = now.to_ne_bytes();
        }
        self.packets = self.packets.saturating_add(1);
    }

    /// Tells whether the flow's path lost track of it.
    pub fn is_path_lost(&self, target: &TrackedTarget, now: u32) -> bool {
        self.packets >= LOST_PACKETS
            && now >= u32::from_ne_bytes(self.since).saturating_add(ticks_of(LOST_AFTER))
            && target.is_responding(now)
    }
}
