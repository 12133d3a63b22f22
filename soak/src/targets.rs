//! Starts, disturbs and replaces the targets of a run, and assigns their addresses.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use smol_str::{format_smolstr, SmolStr};
use testutils::echo_target::{EchoTarget, EchoTargetSetup, TargetBehaviour, TargetEvent};
use testutils::object_store::{ObjectStore, SERVERS};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::addresses::Addresses;
use crate::checker::{History, Subject, TargetLifetime};
use crate::configuration::{COLD_START_TIME, SERVICES};
use crate::testbed::{DATA_CENTRES, POLL_INTERVAL};

/// Time for which a draining target continues to run after the object store lists it as draining.
/// Longer than [`DRAIN_BOUND`](crate::checker::DRAIN_BOUND), so that a late flow is observed.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time after which the address of an ended target may be assigned to another one.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// Number of requests that a target runs concurrently: enough to serve all flows while other
/// targets are unavailable.
const SLOTS: usize = 8;

struct Target {
    service: SmolStr,
    data_centre: SmolStr,
    running: Option<EchoTarget>,
    address_index: usize,
}

/// Indices of target addresses.
struct AddressPool {
    /// Released indices and the times of their release, oldest first.
    free: VecDeque<(usize, Instant)>,
    /// Lowest index that was never assigned.
    next: usize,
    /// Number of targets started so far.
    started: u64,
}

/// Targets of a run.
pub struct Targets {
    targets: Vec<tokio::sync::Mutex<Target>>,
    address_pool: Mutex<AddressPool>,
    addresses: Addresses,
    store: Arc<ObjectStore>,
    history: Arc<Mutex<History>>,
    events: UnboundedSender<TargetEvent>,
}

impl Targets {
    /// Creates `count` targets without starting them.
    pub fn new(
        count: usize,
        addresses: Addresses,
        store: Arc<ObjectStore>,
        history: Arc<Mutex<History>>,
        events: UnboundedSender<TargetEvent>,
    ) -> Self {
        let targets = (0..count).map(|index| tokio::sync::Mutex::new(Target::new(index))).collect();
        let address_pool = Mutex::new(AddressPool { free: VecDeque::new(), next: 0, started: 0 });
        Self { targets, address_pool, addresses, store, history, events }
    }

    /// Starts all targets without a slow-start period.
    ///
    /// # Errors
    ///
    /// Returns an error if a target cannot be started.
    pub async fn start_all(&self) -> Result<()> {
        for index in 0..self.targets.len() {
            self.start(index, Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Crashes a target and starts a cold replacement after `ADDRESS_REUSE_DELAY`.
    ///
    /// Does nothing if the target is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the replacement cannot be started.
    pub async fn crash(&self, index: usize) -> Result<()> {
        let mut target = self.targets[index].lock().await;
        let Some(id) = target.running.take().map(|it| it.setup().id.clone()) else { return Ok(()) };
        let disturbance = self.history.lock().begin_disturbance(Subject::Target(id.clone()), false);
        self.release_address(&id, target.address_index);
        drop(target);
        tokio::time::sleep(ADDRESS_REUSE_DELAY).await;
        self.start(index, COLD_START_TIME).await?;
        self.history.lock().end_disturbance(disturbance);
        Ok(())
    }

    /// Sets a fault of a target for the given time.
    ///
    /// Does nothing if the target is not running, and does not clear the fault on a replacement.
    pub async fn inject_fault(
        &self,
        index: usize,
        time: Duration,
        set_fault: impl Fn(&mut TargetBehaviour, bool),
    ) {
        let id = {
            let target = self.targets[index].lock().await;
            let Some(running) = &target.running else { return };
            running.set_behaviour(|behaviour| set_fault(behaviour, true));
            running.setup().id.clone()
        };
        let disturbance = self.history.lock().begin_disturbance(Subject::Target(id.clone()), false);
        tokio::time::sleep(time).await;
        let target = self.targets[index].lock().await;
        if let Some(running) = target.running.as_ref().filter(|it| it.setup().id == id) {
            running.set_behaviour(|behaviour| set_fault(behaviour, false));
        }
        self.history.lock().end_disturbance(disturbance);
    }

    /// Drains a target and replaces it by a cold one.
    ///
    /// Does nothing if the target is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the replacement cannot be started.
    pub async fn replace(&self, index: usize) -> Result<()> {
        let mut target = self.targets[index].lock().await;
        let Some(running) = &target.running else { return Ok(()) };
        let id = running.setup().id.clone();
        running.set_behaviour(|behaviour| behaviour.is_draining = true);
        while self.store.server(&id).is_none_or(|spec| spec["state"] != "draining") {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.update_lifetime(&id, |lifetime| lifetime.drained = Some(Instant::now()));
        tokio::time::sleep(DRAIN_TIME).await;
        target.running = None;
        while !self.store.remove(SERVERS, &id) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.release_address(&id, target.address_index);
        drop(target);
        self.start(index, COLD_START_TIME).await
    }

    /// Starts a target at a free address, with `cold` as its slow-start period.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(&self, index: usize, cold: Duration) -> Result<()> {
        let mut target = self.targets[index].lock().await;
        let (address_index, number) = self.allocate_address();
        target.address_index = address_index;
        let id = format_smolstr!("i-{number:04x}");
        let setup = EchoTargetSetup {
            id: id.clone(),
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            address: self.addresses.target(address_index),
            caller_port: self.addresses.flow_port,
            slots: SLOTS,
            cold_start: cold,
        };
        let lifetime = TargetLifetime {
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            started: Instant::now(),
            cold,
            drained: None,
            ended: None,
        };
        self.history.lock().targets.insert(id, lifetime);
        let store = Arc::clone(&self.store);
        target.running = Some(EchoTarget::start(setup, store, self.events.clone()).await?);
        Ok(())
    }

    /// Returns the index of a free address and the number of the target to start.
    ///
    /// An address is reused once it has been free for [`ADDRESS_REUSE_DELAY`].
    fn allocate_address(&self) -> (usize, u64) {
        let mut address_pool = self.address_pool.lock();
        address_pool.started += 1;
        let number = address_pool.started;
        let is_free = |(_, at): &(usize, Instant)| Instant::now() >= *at + ADDRESS_REUSE_DELAY;
        if address_pool.free.front().is_some_and(is_free) {
            if let Some((address_index, _)) = address_pool.free.pop_front() {
                return (address_index, number);
            }
        }
        address_pool.next += 1;
        (address_pool.next - 1, number)
    }

    fn release_address(&self, id: &str, address_index: usize) {
        let now = Instant::now();
        self.update_lifetime(id, |lifetime| lifetime.ended = Some(now));
        self.address_pool.lock().free.push_back((address_index, now));
    }

    fn update_lifetime(&self, id: &str, change: impl FnOnce(&mut TargetLifetime)) {
        if let Some(lifetime) = self.history.lock().targets.get_mut(id) {
            change(lifetime);
        }
    }
}

impl Target {
    fn new(index: usize) -> Self {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].into();
        let service = SERVICES[index / DATA_CENTRES.len() % SERVICES.len()].into();
        Self { service, data_centre, running: None, address_index: 0 }
    }
}
