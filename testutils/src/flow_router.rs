//! Stand-in for the network fabric in front of instances, with health checks. It routes the packets
//! of a flow to one of the ready instances, which it picks by a hash of the flow's addresses.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::health_check::{check, CheckOutcome};
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;
use tokio::task::JoinSet;

use crate::echo_target::FlowEnds;

/// Interval between two readiness checks of an instance.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive failed checks after which an instance receives no more packets. A single
/// lost response does not remove it.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// An instance that the fabric routes packets to.
#[derive(Clone, Debug)]
pub struct RoutedInstance {
    /// Name, unique within the data centre.
    pub name: SmolStr,
    /// Data centre; its own callers prefer the instance.
    pub data_centre: SmolStr,
    /// Address of the packet forwarder.
    pub flow: SocketAddrV4,
    /// Address of the admin endpoint, which serves the readiness check.
    pub admin: SocketAddr,
}

#[derive(Debug)]
struct Entry {
    instance: RoutedInstance,
    failed_checks: u32,
    is_ready: bool,
}

/// Router that stands in for the fabric.
#[derive(Debug)]
pub struct FlowRouter {
    entries: Mutex<BTreeMap<SmolStr, Vec<Entry>>>,
}

impl FlowRouter {
    /// Creates a router for `instances`. None of them is ready until its first check succeeds.
    pub fn new(instances: Vec<RoutedInstance>) -> Arc<Self> {
        let mut entries: BTreeMap<SmolStr, Vec<Entry>> = BTreeMap::new();
        for instance in instances {
            let entry = Entry { failed_checks: 0, is_ready: false, instance };
            entries.entry(entry.instance.data_centre.clone()).or_default().push(entry);
        }
        Arc::new(Self { entries: Mutex::new(entries) })
    }

    /// Returns the instance for the next packet of a flow from a data centre. It is chosen from the
    /// ready instances of that data centre. If fewer than half of the instances there are ready, it
    /// is chosen from all of them, ready or not. If none is ready there, it is chosen from the
    /// ready instances of all data centres. Returns `None` if there are none.
    pub fn pick(&self, data_centre: &str, flow: &FlowEnds) -> Option<RoutedInstance> {
        let entries = self.entries.lock();
        let local = entries.get(data_centre)?;
        let mut ready: Vec<_> = local.iter().filter(|entry| entry.is_ready).collect();
        if ready.is_empty() {
            ready = entries.values().flatten().filter(|entry| entry.is_ready).collect();
        } else if ready.len() * 2 < local.len() {
            ready = local.iter().collect();
        }
        let chosen = hash(flow).checked_rem(ready.len() as u64)?;
        Some(ready[chosen as usize].instance.clone())
    }

    /// Returns whether every instance is ready.
    pub fn are_all_ready(&self) -> bool {
        self.entries.lock().values().flatten().all(|entry| entry.is_ready)
    }

    /// Checks all instances at every [`POLL_INTERVAL`]. Never returns.
    pub async fn poll(self: Arc<Self>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            interval.tick().await;
            let instances: Vec<_> =
                self.entries.lock().values().flatten().map(|it| it.instance.clone()).collect();
            let mut polls = JoinSet::new();
            for instance in instances {
                let router = Arc::clone(&self);
                polls.spawn(async move {
                    let outcome = check(instance.admin, "/readyz").await;
                    router.record_check(&instance, outcome == CheckOutcome::Healthy);
                });
            }
            polls.join_all().await;
        }
    }

    fn record_check(&self, instance: &RoutedInstance, is_ready: bool) {
        let mut entries = self.entries.lock();
        let known = entries.get_mut(&instance.data_centre).into_iter().flatten();
        for entry in known.filter(|entry| entry.instance.name == instance.name) {
            entry.failed_checks = if is_ready { 0 } else { entry.failed_checks + 1 };
            entry.is_ready =
                is_ready || (entry.is_ready && entry.failed_checks < UNHEALTHY_THRESHOLD);
        }
    }
}

fn hash((caller, service): &FlowEnds) -> u64 {
    let mut hasher = SipHasher13::new();
    for end in [caller, service] {
        hasher.write(&end.ip().octets());
        hasher.write_u16(end.port());
    }
    hasher.finish()
}
