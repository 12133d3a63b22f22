//! The fabric in front of instances: sends each packet to one of those that say they are ready.

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

/// Time between two questions whether an instance is ready.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
const MISSES_UNTIL_OUT: u32 = 2;

/// An instance as the fabric knows it.
#[derive(Clone, Debug)]
pub struct RoutedInstance {
    /// Name.
    pub name: SmolStr,
    /// Data centre.
    pub data_centre: SmolStr,
    /// Address of its packet forwarder.
    pub flow: SocketAddrV4,
    /// Address that tells whether it is ready.
    pub admin: SocketAddr,
}

#[derive(Debug)]
struct Entry {
    instance: RoutedInstance,
    misses: u32,
    is_in: bool,
}

/// The fabric.
#[derive(Debug)]
pub struct FlowRouter {
    entries: Mutex<BTreeMap<SmolStr, Vec<Entry>>>,
}

impl FlowRouter {
    /// Creates a fabric in front of instances.
    pub fn new(instances: Vec<RoutedInstance>) -> Arc<Self> {
        let mut entries: BTreeMap<SmolStr, Vec<Entry>> = BTreeMap::new();
        for instance in instances {
            let entry = Entry { misses: 0, is_in: false, instance };
            entries.entry(entry.instance.data_centre.clone()).or_default().push(entry);
        }
        Arc::new(Self { entries: Mutex::new(entries) })
    }

    /// Returns the instance for the next packet of a flow from a data centre.
    pub fn pick(&self, data_centre: &str, flow: &FlowEnds) -> Option<RoutedInstance> {
        let entries = self.entries.lock();
        let local = entries.get(data_centre)?;
        let mut ready: Vec<_> = local.iter().filter(|entry| entry.is_in).collect();
        if ready.is_empty() {
            ready = entries.values().flatten().filter(|entry| entry.is_in).collect();
        } else if ready.len() * 2 < local.len() {
            ready = local.iter().collect();
        }
        let chosen = hash(flow).checked_rem(ready.len() as u64)?;
        Some(ready[chosen as usize].instance.clone())
    }

    /// Tells whether every instance is ready.
    pub fn are_all_ready(&self) -> bool {
        self.entries.lock().values().flatten().all(|entry| entry.is_in)
    }

    /// Asks all instances again and again; never returns.
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
                    router.note(&instance, outcome == CheckOutcome::Healthy);
                });
            }
            polls.join_all().await;
        }
    }

    fn note(&self, instance: &RoutedInstance, is_ready: bool) {
        let mut entries = self.entries.lock();
        let known = entries.get_mut(&instance.data_centre).into_iter().flatten();
        for entry in known.filter(|entry| entry.instance.name == instance.name) {
            entry.misses = if is_ready { 0 } else { entry.misses + 1 };
            entry.is_in = is_ready || (entry.is_in && entry.misses < MISSES_UNTIL_OUT);
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
