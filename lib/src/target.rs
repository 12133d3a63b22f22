//! State of a target at one instance: the grant in force, the work in progress, and the outcomes of
//! recent requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::ids::{ServiceId, TargetId};
use crate::record::Target;

/// A target as the packet forwarder and the request gateway of one instance use it.
///
/// All mutable state is atomic, so that the packet path takes no lock. Times are stored as
/// milliseconds since `origin`.
#[derive(Debug)]
pub struct TargetHandle {
    id: TargetId,
    service: ServiceId,
    tunnel: SocketAddr,
    address: SocketAddr,
    origin: Instant,
    new_until: AtomicU64,
    open_until: AtomicU64,
    connections: AtomicU32,
    slots: AtomicU32,
    open: AtomicU32,
    running: AtomicU32,
    waiting: AtomicU32,
    warm_up_per_mille: AtomicU32,
    signals: SignalCounters,
}

/// Value of `warm_up_per_mille` until a grant has reported the warm-up progress.
const UNKNOWN_WARM_UP: u32 = u32::MAX;

copy_type! {
    /// Outcomes of requests and connections to a target since the last report to the allocator.
    #[derive(Default)]
    pub struct Signals {
        /// Number of requests that the target answered.
        pub answered: u32,
        /// Number of requests that the target refused because it was overloaded.
        pub shed: u32,
        /// Number of requests and connections that failed.
        pub failed: u32,
        /// Sum of the latencies of the answered requests, in milliseconds.
        pub latency_ms: u32,
    }
}

#[derive(Debug, Default)]
struct SignalCounters {
    answered: AtomicU32,
    shed: AtomicU32,
    failed: AtomicU32,
    total_latency_ms: AtomicU32,
}

/// Limits and expiry times of a grant, as the instance that holds it applies them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Maximum number of connections that are open at once.
    pub connections: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Time until which the instance may open connections and start requests.
    pub new_until: Instant,
    /// Time until which the instance may send packets of open flows.
    pub open_until: Instant,
}

impl TargetHandle {
    /// Creates the handle of a target for which the instance holds no grant yet.
    pub fn new(target: &Target, origin: Instant) -> Self {
        Self {
            id: target.name.clone(),
            service: target.service.clone(),
            tunnel: target.tunnel,
            address: target.address,
            origin,
            new_until: AtomicU64::new(0),
            open_until: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            open: AtomicU32::new(0),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            warm_up_per_mille: AtomicU32::new(UNKNOWN_WARM_UP),
            signals: SignalCounters::default(),
        }
    }

    /// Returns the name of the target.
    pub fn id(&self) -> &TargetId {
        &self.id
    }

    /// Returns the service that the target belongs to.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the address that packets are sent to.
    pub fn tunnel(&self) -> SocketAddr {
        self.tunnel
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies a new grant, whose limits and expiry times replace those of the former one.
    pub fn allow(&self, allowance: &Allowance) {
        self.connections.store(allowance.connections, Ordering::Relaxed);
        self.slots.store(allowance.slots, Ordering::Relaxed);
        self.new_until.store(self.millis(allowance.new_until), Ordering::Release);
        self.open_until.store(self.millis(allowance.open_until), Ordering::Release);
    }

    /// Ends the grant at once: neither new work nor packets of open flows may go to the target.
    pub fn revoke(&self) {
        self.new_until.store(0, Ordering::Release);
        self.open_until.store(0, Ordering::Release);
    }

    /// Returns whether the instance may send packets of open flows to the target.
    pub fn carries_open(&self, now: Instant) -> bool {
        self.millis(now) < self.open_until.load(Ordering::Acquire)
    }

    /// Returns whether a grant for new work is in force.
    pub fn accepts_new_work(&self, now: Instant) -> bool {
        self.millis(now) < self.new_until.load(Ordering::Acquire)
    }

    /// Returns whether the grant leaves room for another connection.
    pub fn has_free_connection(&self, now: Instant) -> bool {
        self.accepts_new_work(now) && self.open_flows() < self.connections.load(Ordering::Relaxed)
    }

    /// Adds a flow that this instance has opened to the number of open flows.
    pub fn count_opened_flow(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts a flow that this instance has closed from the number of open flows.
    pub fn count_closed_flow(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open flows at this instance.
    pub fn open_flows(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Acquires a slot for a request. Returns `false` if no grant for new work is in force or all
    /// of its slots are in use.
    pub fn try_acquire_slot(&self, now: Instant) -> bool {
        if !self.accepts_new_work(now) {
            return false;
        }
        let slots = self.slots.load(Ordering::Relaxed);
        let start = |running| (running < slots).then_some(running + 1);
        self.running.fetch_update(Ordering::AcqRel, Ordering::Acquire, start).is_ok()
    }

    /// Releases the slot of a request that has ended.
    pub fn release_slot(&self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of running requests at this instance.
    pub fn running_requests(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Sets the number of requests that wait for a slot at this instance. The waiting requests may
    /// run on any target of the service.
    pub fn set_waiting_requests(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Returns the number of requests that wait for a slot at this instance.
    pub fn waiting_requests(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Sets the warm-up progress that a grant reported, in thousandths.
    pub fn set_warm_up_per_mille(&self, warm_up_per_mille: u16) {
        self.warm_up_per_mille.store(u32::from(warm_up_per_mille), Ordering::Relaxed);
    }

    /// Returns the warm-up progress that the last grant reported, in thousandths, or `None` before
    /// the first grant.
    pub fn warm_up_per_mille(&self) -> Option<u16> {
        u16::try_from(self.warm_up_per_mille.load(Ordering::Relaxed)).ok()
    }

    /// Records a request that the target answered, and its latency.
    pub fn record_answer(&self, latency: Duration) {
        let millis = u32::try_from(latency.as_millis()).unwrap_or(u32::MAX);
        self.signals.answered.fetch_add(1, Ordering::Relaxed);
        self.signals.total_latency_ms.fetch_add(millis, Ordering::Relaxed);
    }

    /// Records a request that the target refused because it was overloaded.
    pub fn record_shed(&self) {
        self.signals.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request or connection that failed.
    pub fn record_failure(&self) {
        self.signals.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts of request outcomes and the total latency recorded since the last call,
    /// and resets them.
    pub fn take_signals(&self) -> Signals {
        Signals {
            answered: self.signals.answered.swap(0, Ordering::Relaxed),
            shed: self.signals.shed.swap(0, Ordering::Relaxed),
            failed: self.signals.failed.swap(0, Ordering::Relaxed),
            latency_ms: self.signals.total_latency_ms.swap(0, Ordering::Relaxed),
        }
    }

    /// Returns the number of requests that the last grant allows to run at once.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that the last grant allows to be open at once.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns whether `target` has the same name as this handle or shares an address with it.
    fn shares_name_or_address(&self, target: &Target) -> bool {
        self.id == target.name || self.tunnel == target.tunnel || self.address == target.address
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Handles of all targets that this instance knows. A target keeps its handle, and so its grant and
/// its counts, when a new plan replaces the old one.
#[derive(Debug)]
pub struct TargetRegistry {
    origin: Instant,
    handles: Mutex<BTreeMap<TargetId, Arc<TargetHandle>>>,
}

impl TargetRegistry {
    /// Creates an empty registry whose handles count time from one millisecond before `now`.
    pub fn new(now: Instant) -> Self {
        let origin = now.checked_sub(Duration::from_millis(1)).unwrap_or(now);
        Self { origin, handles: Mutex::new(BTreeMap::new()) }
    }

    /// Returns the handle of a target, and creates it if there is none or if the target's service
    /// or one of its addresses has changed.
    ///
    /// A new handle has no grant. Before it is added, the grants of all existing handles that have
    /// the same name as the target, or share an address with it, are revoked.
    pub fn get_or_create_handle(&self, target: &Target) -> Arc<TargetHandle> {
        let mut handles = self.handles.lock();
        if let Some(handle) = handles.get(&target.name) {
            if is_unchanged(handle, target) {
                return Arc::clone(handle);
            }
        }
        for other in handles.values().filter(|other| other.shares_name_or_address(target)) {
            other.revoke();
        }
        let handle = Arc::new(TargetHandle::new(target, self.origin));
        handles.insert(target.name.clone(), Arc::clone(&handle));
        handle
    }

    /// Returns the handle of a target, or `None` if the registry has no target of that name.
    pub fn get(&self, id: &str) -> Option<Arc<TargetHandle>> {
        self.handles.lock().get(id).cloned()
    }

    /// Removes the handles for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&TargetHandle) -> bool) {
        self.handles.lock().retain(|_, handle| keep(handle));
    }
}

fn is_unchanged(handle: &TargetHandle, target: &Target) -> bool {
    handle.service == target.service
        && handle.tunnel == target.tunnel
        && handle.address == target.address
}
