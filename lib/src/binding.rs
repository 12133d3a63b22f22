//! Flow table: the bindings of the flows that an owner holds, in shards that each have a lock.
//!
//! The table is indexed by the keyed 64-bit hash of a flow alone, which keeps an entry small. The
//! key of the hash is secret, so that callers cannot construct two flows that collide. Steering
//! still checks that a binding and a packet have the same service.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::flow::Protocol;
use crate::flow_clock::{ticks_of, FlowClock};
use crate::ids::FlowHash;
use crate::packet::Control;
use crate::path_failure::{TrackedTarget, Unanswered};

/// Number of shards of the flow table, each with its own lock.
pub const SHARD_COUNT: usize = 64;
/// Time without a packet after which an open TCP flow is removed.
pub const TCP_IDLE_TIMEOUT: Duration = Duration::from_secs(13 * 60 * 60);
/// Time without a packet after which an open UDP flow is removed.
pub const UDP_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time without a packet after which a closed flow, or a flow that another instance took over, is
/// removed. Until then its last packets still reach the target.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a packet after which a pending flow, of which only the first packet has arrived, is
/// removed.
pub const PENDING_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of the flow table's capacity that gives the largest number of pending flows.
pub const PENDING_DIVISOR: usize = 4;

const CLOSING: u8 = 1;
const MOVED: u8 = 2;
const OVERRIDE: u8 = 4;
const UDP: u8 = 8;

/// A flow and the target that it is bound to.
#[derive(Clone, Debug)]
pub struct Binding {
    /// Target that receives the packets of the caller.
    pub target: Arc<TrackedTarget>,
    /// Packets that the caller has sent since the last packet from the target.
    pub unanswered: Unanswered,
    sent: u32,
    received: u32,
    flags: u8,
}

impl Binding {
    /// Creates the binding of a flow whose first packet arrives at `now` ticks.
    pub fn new(target: Arc<TrackedTarget>, protocol: Protocol, now: u32) -> Self {
        let flags = if protocol == Protocol::Udp { UDP } else { 0 };
        Self { target, unanswered: Unanswered::default(), sent: now, received: now, flags }
    }

    /// Records a packet from the caller at `now` ticks.
    pub fn note_sent(&mut self, now: u32, control: Control) {
        self.sent = now;
        self.flags &= !MOVED;
        if control.finishes || control.resets {
            self.flags |= CLOSING;
        }
        self.unanswered.note_sent(now);
    }

    /// Records a packet from the target at `now` ticks.
    pub fn note_received(&mut self, now: u32, control: Control) {
        self.received = now;
        self.unanswered = Unanswered::default();
        if control.resets {
            self.flags |= CLOSING;
        }
    }

    /// Marks the flow as taken over by another instance. A packet from the caller clears the mark.
    pub fn set_moved(&mut self) {
        self.flags |= MOVED;
    }

    /// Returns whether another instance took the flow over.
    pub fn has_moved(&self) -> bool {
        self.flags & MOVED != 0
    }

    /// Returns whether the target is not the default one of the flow.
    pub fn is_override(&self) -> bool {
        self.flags & OVERRIDE != 0
    }

    /// Sets whether the target is not the default one of the flow.
    pub fn set_override(&mut self, is_override: bool) {
        self.flags = self.flags & !OVERRIDE | if is_override { OVERRIDE } else { 0 };
    }

    fn is_idle(&self, now: u32, is_pending: bool) -> bool {
        let limit = if self.flags & (CLOSING | MOVED) != 0 {
            LINGER_TIMEOUT
        } else if is_pending {
            PENDING_IDLE_TIMEOUT
        } else if self.flags & UDP != 0 {
            UDP_IDLE_TIMEOUT
        } else {
            TCP_IDLE_TIMEOUT
        };
        now >= self.sent.max(self.received).saturating_add(ticks_of(limit))
    }
}

#[derive(Debug, Default)]
struct Shard {
    open: HashMap<FlowHash, Binding>,
    pending: HashMap<FlowHash, Binding>,
}

impl Shard {
    fn get_mut(&mut self, hash: FlowHash) -> Option<&mut Binding> {
        self.open.get_mut(&hash).or_else(|| self.pending.get_mut(&hash))
    }

    fn take(&mut self, hash: FlowHash) -> Option<Binding> {
        let binding = self.open.remove(&hash).or_else(|| self.pending.remove(&hash))?;
        binding.target.handle.count_closed_flow();
        Some(binding)
    }

    fn promote(&mut self, hash: FlowHash, capacity: usize) {
        if self.open.len() >= capacity {
            return;
        }
        if let Some(binding) = self.pending.remove(&hash) {
            self.open.insert(hash, binding);
        }
    }
}

/// The flow table of an owner.
///
/// A new flow is pending until its second packet arrives, which makes it open. Pending flows have a
/// capacity of their own and a short idle timeout, so that a flood of first packets, such as a SYN
/// flood, never takes capacity from open flows.
#[derive(Debug)]
pub struct Bindings {
    clock: FlowClock,
    shards: Vec<Mutex<Shard>>,
    capacity: usize,
    pending_capacity: usize,
}

impl Bindings {
    /// Creates an empty table for about `capacity` open flows, and one in [`PENDING_DIVISOR`] as
    /// many pending ones. Both are divided evenly among the shards. `origin` is tick 0 of the
    /// clock.
    pub fn new(capacity: usize, origin: Instant) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::default())).collect();
        let capacity = capacity.div_ceil(SHARD_COUNT);
        let pending_capacity = capacity.div_ceil(PENDING_DIVISOR);
        Self { clock: FlowClock::new(origin), shards, capacity, pending_capacity }
    }

    /// Returns the clock of the table.
    pub fn clock(&self) -> FlowClock {
        self.clock
    }

    /// Records a packet from the caller and calls `f` with the binding. Returns `None` if the flow
    /// is not in the table.
    pub fn on_sent<R>(
        &self,
        hash: FlowHash,
        control: Control,
        now: Instant,
        f: impl FnOnce(&mut Binding) -> R,
    ) -> Option<R> {
        let ticks = self.clock.ticks(now);
        let mut shard = self.shard(hash).lock();
        if !control.opens && !shard.pending.is_empty() {
            shard.promote(hash, self.capacity);
        }
        let binding = shard.get_mut(hash)?;
        binding.note_sent(ticks, control);
        Some(f(binding))
    }

    /// Calls `f` with the binding of a flow. Returns `None` if the flow is not in the table, or is
    /// pending.
    pub fn with_open<R>(&self, hash: FlowHash, f: impl FnOnce(&mut Binding) -> R) -> Option<R> {
        self.shard(hash).lock().open.get_mut(&hash).map(f)
    }

    /// Calls `f` with the binding of an open or pending flow. Returns `None` if the flow is not in
    /// the table.
    pub fn with<R>(&self, hash: FlowHash, f: impl FnOnce(&mut Binding) -> R) -> Option<R> {
        self.shard(hash).lock().get_mut(hash).map(f)
    }

    /// Adds a pending flow, or replaces the binding of a flow. Returns `false` without a change if
    /// the shard has no capacity left for pending flows.
    pub fn insert_pending(&self, hash: FlowHash, binding: Binding) -> bool {
        let mut shard = self.shard(hash).lock();
        let is_full = shard.pending.len() >= self.pending_capacity;
        if is_full && !shard.pending.contains_key(&hash) {
            return false;
        }
        binding.target.handle.count_opened_flow();
        shard.take(hash);
        shard.pending.insert(hash, binding);
        true
    }

    /// Adds an open flow, or replaces the binding of a flow. Returns `false` without a change if
    /// the shard has no capacity left for open flows.
    pub fn insert_open(&self, hash: FlowHash, binding: Binding) -> bool {
        let mut shard = self.shard(hash).lock();
        if shard.open.len() >= self.capacity && !shard.open.contains_key(&hash) {
            return false;
        }
        binding.target.handle.count_opened_flow();
        shard.take(hash);
        shard.open.insert(hash, binding);
        true
    }

    /// Removes a flow and returns its binding.
    pub fn remove(&self, hash: FlowHash) -> Option<Binding> {
        self.shard(hash).lock().take(hash)
    }

    /// Removes closed and idle flows from one shard. Returns the placement overrides among them,
    /// except those that another instance took over.
    pub fn expire(&self, shard: usize, now: Instant) -> Vec<FlowHash> {
        let now = self.clock.ticks(now);
        let mut ended = Vec::new();
        let mut keep = |hash: &FlowHash, binding: &Binding, is_pending: bool| {
            if !binding.is_idle(now, is_pending) {
                return true;
            }
            binding.target.handle.count_closed_flow();
            if binding.is_override() && !binding.has_moved() {
                ended.push(*hash);
            }
            false
        };
        let mut shard = self.shards[shard % SHARD_COUNT].lock();
        shard.open.retain(|hash, binding| keep(hash, binding, false));
        shard.pending.retain(|hash, binding| keep(hash, binding, true));
        ended
    }

    /// Calls `f` with every flow of one shard.
    pub fn for_each_in_shard(&self, shard: usize, mut f: impl FnMut(FlowHash, &mut Binding)) {
        let mut shard = self.shards[shard % SHARD_COUNT].lock();
        let Shard { open, pending } = &mut *shard;
        for (hash, binding) in open.iter_mut().chain(pending.iter_mut()) {
            f(*hash, binding);
        }
    }

    /// Returns the number of open and pending flows.
    pub fn len(&self) -> usize {
        let len = |shard: &Mutex<Shard>| {
            let shard = shard.lock();
            shard.open.len() + shard.pending.len()
        };
        self.shards.iter().map(len).sum()
    }

    /// Returns whether the table holds no flow.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, hash: FlowHash) -> &Mutex<Shard> {
        &self.shards[hash as usize % SHARD_COUNT]
    }
}
