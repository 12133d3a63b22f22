//! Live state of a target at one instance: what it may be given until when, and what it has.

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
/// Packets read it without a lock. All times are kept as milliseconds since `origin`.
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

/// Value of a target's warm-up progress before a grant has told it.
const UNKNOWN_WARM_UP: u32 = u32::MAX;

copy_type! {
    /// What requests to a target have told since the last report.
    #[derive(Default)]
    pub struct Signals {
        /// Requests that were answered.
        pub answered: u32,
        /// Requests that the target refused because it had too much to do.
        pub shed: u32,
        /// Requests or connections that failed.
        pub failed: u32,
        /// Sum of the answered requests' latencies, in milliseconds.
        pub latency_ms: u32,
    }
}

#[derive(Debug, Default)]
struct SignalCounters {
    answered: AtomicU32,
    shed: AtomicU32,
    failed: AtomicU32,
    latency_ms: AtomicU32,
}

/// What a grant allows, as the instance that holds it applies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Connections that may be open at once.
    pub connections: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Until when new work may be given.
    pub new_until: Instant,
    /// Until when packets of open flows may be sent.
    pub open_until: Instant,
}

impl TargetHandle {
    /// Creates a handle without any grant.
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

    /// Returns the name.
    pub fn id(&self) -> &TargetId {
        &self.id
    }

    /// Returns the service that the target belongs to.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the address that takes packets.
    pub fn tunnel(&self) -> SocketAddr {
        self.tunnel
    }

    /// Returns the address that takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces what may be given.
    pub fn allow(&self, allowance: &Allowance) {
        self.connections.store(allowance.connections, Ordering::Relaxed);
        self.slots.store(allowance.slots, Ordering::Relaxed);
        self.new_until.store(self.millis(allowance.new_until), Ordering::Release);
        self.open_until.store(self.millis(allowance.open_until), Ordering::Release);
    }

    /// Ends every grant at once.
    pub fn revoke(&self) {
        self.new_until.store(0, Ordering::Release);
        self.open_until.store(0, Ordering::Release);
    }

    /// Tells whether packets of open flows may be sent.
    pub fn carries_open(&self, now: Instant) -> bool {
        self.millis(now) < self.open_until.load(Ordering::Acquire)
    }

    /// Tells whether a grant for new work is in force.
    pub fn takes_new(&self, now: Instant) -> bool {
        self.millis(now) < self.new_until.load(Ordering::Acquire)
    }

    /// Tells whether a new connection fits the grant.
    pub fn has_free_connection(&self, now: Instant) -> bool {
        self.takes_new(now) && self.open_flows() < self.connections.load(Ordering::Relaxed)
    }

    /// Counts an opened flow.
    pub fn open_flow(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a closed flow.
    pub fn close_flow(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open flows at this instance.
    pub fn open_flows(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes a slot for a request when the grant has one free.
    pub fn try_acquire_slot(&self, now: Instant) -> bool {
        if !self.takes_new(now) {
            return false;
        }
        let slots = self.slots.load(Ordering::Relaxed);
        let start = |running| (running < slots).then_some(running + 1);
        self.running.fetch_update(Ordering::AcqRel, Ordering::Acquire, start).is_ok()
    }

    /// Gives the slot of a request back.
    pub fn release_slot(&self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of running requests at this instance.
    pub fn running_requests(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Sets the number of requests that wait for a slot of this target.
    pub fn set_waiting_requests(&self, waiting: u32) {
        self.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Returns the number of requests that wait for a slot of this target.
    pub fn waiting_requests(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Sets the warm-up progress that a grant told, in thousandths.
    pub fn set_warm_up_per_mille(&self, warm_up_per_mille: u16) {
        self.warm_up_per_mille.store(u32::from(warm_up_per_mille), Ordering::Relaxed);
    }

    /// Returns the warm-up progress that the last grant told, in thousandths.
    pub fn warm_up_per_mille(&self) -> Option<u16> {
        u16::try_from(self.warm_up_per_mille.load(Ordering::Relaxed)).ok()
    }

    /// Notes an answered request.
    pub fn record_answer(&self, latency: Duration) {
        let millis = u32::try_from(latency.as_millis()).unwrap_or(u32::MAX);
        self.signals.answered.fetch_add(1, Ordering::Relaxed);
        self.signals.latency_ms.fetch_add(millis, Ordering::Relaxed);
    }

    /// Notes a request that the target refused because it had too much to do.
    pub fn record_shed(&self) {
        self.signals.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a request or connection that failed.
    pub fn record_failure(&self) {
        self.signals.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns what was noted since the last call.
    pub fn take_signals(&self) -> Signals {
        Signals {
            answered: self.signals.answered.swap(0, Ordering::Relaxed),
            shed: self.signals.shed.swap(0, Ordering::Relaxed),
            failed: self.signals.failed.swap(0, Ordering::Relaxed),
            latency_ms: self.signals.latency_ms.swap(0, Ordering::Relaxed),
        }
    }

    /// Returns the slots that the grant allows.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the connections that the grant allows.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Tells whether a target has the name or an address of this one.
    fn overlaps(&self, target: &Target) -> bool {
        self.id == target.name || self.tunnel == target.tunnel || self.address == target.address
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.origin);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// All targets that this instance knows, so that a target keeps its handle across plans.
#[derive(Debug)]
pub struct TargetRegistry {
    origin: Instant,
    handles: Mutex<BTreeMap<TargetId, Arc<TargetHandle>>>,
}

impl TargetRegistry {
    /// Creates an empty registry; `now` becomes the origin of its handles' times.
    pub fn new(now: Instant) -> Self {
        let origin = now.checked_sub(Duration::from_millis(1)).unwrap_or(now);
        Self { origin, handles: Mutex::new(BTreeMap::new()) }
    }

    /// Returns the handle of a target. A target whose service or address changed gets a new one,
    /// which holds no grant; handles that have lost their address are revoked.
    pub fn handle(&self, target: &Target) -> Arc<TargetHandle> {
        let mut handles = self.handles.lock();
        if let Some(handle) = handles.get(&target.name) {
            if is_same(handle, target) {
                return Arc::clone(handle);
            }
        }
        for other in handles.values().filter(|other| other.overlaps(target)) {
            other.revoke();
        }
        let handle = Arc::new(TargetHandle::new(target, self.origin));
        handles.insert(target.name.clone(), Arc::clone(&handle));
        handle
    }

    /// Returns the handle of a known target.
    pub fn get(&self, id: &str) -> Option<Arc<TargetHandle>> {
        self.handles.lock().get(id).cloned()
    }

    /// Forgets targets that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&TargetHandle) -> bool) {
        self.handles.lock().retain(|_, handle| keep(handle));
    }
}

fn is_same(handle: &TargetHandle, target: &Target) -> bool {
    handle.service == target.service
        && handle.tunnel == target.tunnel
        && handle.address == target.address
}
