//! The targets of a run: where they stand, how they end, and what takes their place.

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
use crate::configuration::{COLD_TIME, SERVICES};
use crate::judge::{History, Subject, TargetLife};
use crate::world::{DATA_CENTRES, LOOK};

/// Time that a target which is leaving goes on after the store took its word: longer than the bound
/// within which it gets its last flow.
const DRAIN_TIME: Duration = Duration::from_millis(4_500);
/// Time after which an address may go to another target.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// Requests that a target runs at once: enough for all flows while others are gone.
const SLOTS: usize = 8;

struct Target {
    service: SmolStr,
    data_centre: SmolStr,
    running: Option<EchoTarget>,
    address: usize,
}

struct Places {
    free: VecDeque<(usize, Instant)>,
    next: usize,
    started: u64,
}

/// The targets of a run.
pub struct Targets {
    slots: Vec<tokio::sync::Mutex<Target>>,
    places: Mutex<Places>,
    addresses: Addresses,
    store: Arc<ObjectStore>,
    history: Arc<Mutex<History>>,
    events: UnboundedSender<TargetEvent>,
}

impl Targets {
    /// Prepares `count` targets; none is started yet.
    pub fn new(
        count: usize,
        addresses: Addresses,
        store: Arc<ObjectStore>,
        history: Arc<Mutex<History>>,
        events: UnboundedSender<TargetEvent>,
    ) -> Self {
        let slots = (0..count).map(|index| tokio::sync::Mutex::new(Target::new(index))).collect();
        let places = Mutex::new(Places { free: VecDeque::new(), next: 0, started: 0 });
        Self { slots, places, addresses, store, history, events }
    }

    /// Starts all targets, as ones that have run for long.
    ///
    /// # Errors
    ///
    /// Returns why one cannot be started.
    pub async fn start_all(&self) -> Result<()> {
        for index in 0..self.slots.len() {
            self.start(index, Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Ends a target without a word; another takes its place later.
    ///
    /// # Errors
    ///
    /// Returns why the next one cannot be started.
    pub async fn crash(&self, index: usize) -> Result<()> {
        let mut target = self.slots[index].lock().await;
        let Some(id) = target.running.take().map(|it| it.setup().id.clone()) else { return Ok(()) };
        let mark = self.history.lock().disturb(Subject::Target(id.clone()), false);
        self.leave_place(&id, target.address);
        drop(target);
        tokio::time::sleep(REUSE_AFTER).await;
        self.start(index, COLD_TIME).await?;
        self.history.lock().end(mark);
        Ok(())
    }

    /// Harms a target for a while; one that is gone is left alone.
    pub async fn harm(
        &self,
        index: usize,
        time: Duration,
        harm: impl Fn(&mut TargetBehaviour, bool),
    ) {
        let id = {
            let target = self.slots[index].lock().await;
            let Some(running) = &target.running else { return };
            running.set_behaviour(|behaviour| harm(behaviour, true));
            running.setup().id.clone()
        };
        let mark = self.history.lock().disturb(Subject::Target(id.clone()), false);
        tokio::time::sleep(time).await;
        let target = self.slots[index].lock().await;
        if let Some(running) = target.running.as_ref().filter(|it| it.setup().id == id) {
            running.set_behaviour(|behaviour| harm(behaviour, false));
        }
        self.history.lock().end(mark);
    }

    /// Lets a target leave as planned; a cold one takes its place.
    ///
    /// # Errors
    ///
    /// Returns why the next one cannot be started.
    pub async fn replace(&self, index: usize) -> Result<()> {
        let mut target = self.slots[index].lock().await;
        let Some(running) = &target.running else { return Ok(()) };
        let id = running.setup().id.clone();
        running.set_behaviour(|behaviour| behaviour.is_draining = true);
        while self.store.server(&id).is_none_or(|spec| spec["state"] != "draining") {
            tokio::time::sleep(LOOK).await;
        }
        self.with_life(&id, |life| life.drained = Some(Instant::now()));
        tokio::time::sleep(DRAIN_TIME).await;
        target.running = None;
        while !self.store.remove(SERVERS, &id) {
            tokio::time::sleep(LOOK).await;
        }
        self.leave_place(&id, target.address);
        drop(target);
        self.start(index, COLD_TIME).await
    }

    /// Starts a target at a place that is free.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be started.
    pub async fn start(&self, index: usize, cold: Duration) -> Result<()> {
        let mut target = self.slots[index].lock().await;
        let (place, number) = self.take_place();
        target.address = place;
        let id = format_smolstr!("i-{number:04x}");
        let setup = EchoTargetSetup {
            id: id.clone(),
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            address: self.addresses.target(place),
            caller_port: self.addresses.flow_port,
            slots: SLOTS,
            cold_start: cold,
        };
        let life = TargetLife {
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            started: Instant::now(),
            cold,
            drained: None,
            ended: None,
        };
        self.history.lock().targets.insert(id, life);
        let store = Arc::clone(&self.store);
        target.running = Some(EchoTarget::start(setup, store, self.events.clone()).await?);
        Ok(())
    }

    /// Returns a place for a target: one that was left long enough ago, or a new one.
    fn take_place(&self) -> (usize, u64) {
        let mut places = self.places.lock();
        places.started += 1;
        let number = places.started;
        let is_free = |(_, at): &(usize, Instant)| Instant::now() >= *at + REUSE_AFTER;
        if places.free.front().is_some_and(is_free) {
            if let Some((place, _)) = places.free.pop_front() {
                return (place, number);
            }
        }
        places.next += 1;
        (places.next - 1, number)
    }

    fn leave_place(&self, id: &str, place: usize) {
        let now = Instant::now();
        self.with_life(id, |life| life.ended = Some(now));
        self.places.lock().free.push_back((place, now));
    }

    fn with_life(&self, id: &str, change: impl FnOnce(&mut TargetLife)) {
        if let Some(life) = self.history.lock().targets.get_mut(id) {
            change(life);
        }
    }
}

impl Target {
    fn new(index: usize) -> Self {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].into();
        let service = SERVICES[index / DATA_CENTRES.len() % SERVICES.len()].into();
        Self { service, data_centre, running: None, address: 0 }
    }
}
