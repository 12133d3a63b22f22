//! Testbed of a run: the instances, the object store, targets and proxies around them, and the
//! injection of faults.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use parking_lot::Mutex;
use serde_json::json;
use testutils::echo_target::TargetEvent;
use testutils::fault_proxy::{DatagramFaults, DatagramProxy};
use testutils::flow_router::FlowRouter;
use testutils::object_store::{ObjectStore, StoreCopy, StoreLimits};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::addresses::{Addresses, Role};
use crate::checker::{Disturbance, History, Outage, RouteLifetime, Subject, OUTAGE_BOUND};
use crate::configuration::{Configuration, COLD_FLOWS_PER_SECOND};
use crate::fault_plan::{ConfigurationChange, Fault};
use crate::instance_process::Signal;
use crate::targets::Targets;
use crate::testbed_instance::{routed_instance, Instance, COLD_MULTIPLIER, COLD_SLACK};

/// Names of the data centres. Instances and targets are spread evenly over them.
pub const DATA_CENTRES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
/// Time between two polls of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between the graceful stops of two instances.
const STOP_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of messages between instances, longer than the heartbeat interval of a reader.
const PEER_DELAY: Duration = Duration::from_millis(300);
/// Time between two changes of a series, shorter than the pause between two watches, so that one
/// watch returns several changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of changes in a series; additions and removals of routes alternate.
const CHANGES_IN_SERIES: usize = 4;

/// Size of a testbed.
#[derive(Clone, Copy, Debug)]
pub struct TestbedSize {
    /// Number of instances, at least 1.
    pub instances: usize,
    /// Number of targets, at least 1.
    pub targets: usize,
}

/// Guard that closes its testbed on drop, so that no process outlives the run.
pub struct TestbedGuard(pub Arc<Testbed>);

impl Drop for TestbedGuard {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Testbed of a run.
pub struct Testbed {
    pub(crate) addresses: Addresses,
    pub(crate) instances: Vec<Instance>,
    pub(crate) targets: Targets,
    pub(crate) configuration: Mutex<Configuration>,
    pub(crate) store: Arc<ObjectStore>,
    /// Copies of the store of the last [`MAX_COPY_AGE`], the oldest first.
    pub(crate) copies: Mutex<VecDeque<(Instant, StoreCopy)>>,
    pub(crate) router: Arc<FlowRouter>,
    pub(crate) peer_faults: Arc<Mutex<DatagramFaults>>,
    /// Service addresses that callers use: those of permanent routes, then routes that were added
    /// one at a time.
    pub services: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// Record of the disturbances and observations of the run.
    pub history: Arc<Mutex<History>>,
    pub(crate) tasks: Mutex<JoinSet<()>>,
}

impl Testbed {
    /// Starts the testbed.
    ///
    /// Runs `program` once for each instance, with its settings file and log in `dir`. Targets send
    /// what they observe to `events`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, a file cannot be written or a process cannot
    /// be spawned.
    pub async fn start(
        program: &Path,
        dir: &Path,
        size: TestbedSize,
        events: UnboundedSender<TargetEvent>,
    ) -> Result<Arc<Self>> {
        let addresses = Addresses::choose()?;
        let store = Arc::new(ObjectStore::new(StoreLimits::default()));
        let peer_faults = Arc::new(Mutex::new(DatagramFaults::default()));
        let mut instances = Vec::new();
        let mut tasks = JoinSet::new();
        for index in 0..size.instances {
            let (peer, proxy) = (addresses.peer(index), addresses.peer_proxy(index));
            let proxy = DatagramProxy::start(proxy, peer, Arc::clone(&peer_faults)).await?;
            tasks.spawn(async move {
                let _proxy = proxy;
                std::future::pending::<()>().await;
            });
            instances.push(Instance::prepare(program, dir, index, &addresses, &store).await?);
        }
        let router = FlowRouter::new(
            instances.iter().enumerate().map(routed_instance(&addresses)).collect(),
        );
        tasks.spawn(Arc::clone(&router).poll());
        let cold = (COLD_FLOWS_PER_SECOND as f64 * COLD_MULTIPLIER) as usize + COLD_SLACK;
        let history = History { cold_flows_per_second: cold, ..History::default() };
        let history = Arc::new(Mutex::new(history));
        let targets =
            Targets::new(size.targets, addresses, Arc::clone(&store), Arc::clone(&history), events);
        let testbed = Arc::new(Self {
            targets,
            configuration: Mutex::default(),
            services: Arc::default(),
            history,
            tasks: Mutex::new(tasks),
            addresses,
            instances,
            store,
            copies: Mutex::default(),
            router,
            peer_faults,
        });
        testbed.start_parts().await?;
        Ok(testbed)
    }

    /// Returns the router that forwards the packets of callers to instances.
    pub fn router(&self) -> &Arc<FlowRouter> {
        &self.router
    }

    /// Returns the address of the host with the given index, on which callers run.
    pub fn caller(&self, index: usize) -> SocketAddrV4 {
        self.addresses.caller(index)
    }

    /// Waits until the router forwards packets to all instances.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<()> {
        let ready = async {
            while !self.router.are_all_ready() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, ready)
            .await
            .context("instances did not become ready before the timeout")
    }

    /// Aborts all tasks and kills all processes of the testbed.
    pub fn close(&self) {
        self.tasks.lock().abort_all();
        for instance in &self.instances {
            if let Err(err) = instance.process.lock().close() {
                log::warn!("cannot kill the process of {}: {err:#}", instance.name);
            }
        }
    }

    /// Injects a fault in the background, and ends it there after its duration.
    pub fn inject(self: &Arc<Self>, fault: Fault) {
        log::info!("injecting fault {fault:?}");
        let testbed = Arc::clone(self);
        let mut tasks = self.tasks.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            if let Err(err) = testbed.apply_fault(fault).await {
                log::warn!("cannot inject fault {fault:?}: {err:#}");
            }
        });
    }

    async fn start_parts(self: &Arc<Self>) -> Result<()> {
        let testbed = Arc::clone(self);
        self.tasks.lock().spawn(async move {
            loop {
                tokio::time::sleep(POLL_INTERVAL).await;
                testbed.store.remove_expired(Instant::now());
                testbed.copy_store();
            }
        });
        let addresses = self.configuration.lock().routes().iter().map(|(it, _)| *it).collect();
        *self.services.lock() = addresses;
        self.write_configuration();
        self.targets.start_all().await?;
        for instance in &self.instances {
            instance.process.lock().start()?;
        }
        let history = Arc::clone(&self.history);
        self.tasks.lock().spawn(async move { watch_host(&history).await });
        Ok(())
    }

    async fn apply_fault(&self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill(index) => self.kill(index).await,
            Fault::KillAll => {
                let kills = (0..self.instances.len()).map(|index| self.kill(index));
                for kill in kills.collect::<Vec<_>>() {
                    kill.await?;
                }
                Ok(())
            }
            Fault::Stop(index) => self.stop(index).await,
            Fault::StopInTurn => {
                for index in 0..self.instances.len() {
                    self.stop(index).await?;
                    tokio::time::sleep(STOP_INTERVAL).await;
                }
                Ok(())
            }
            Fault::Pause(index, time) => self.pause(index, time).await,
            Fault::ReloadSettings(index) => {
                let instance = &self.instances[index];
                instance.process.lock().write_settings(&instance.settings)?;
                instance.process.lock().signal(Signal::HangUp)
            }
            Fault::CutPeers(from, to, time) => self.cut_peers(from, to, time).await,
            Fault::DelayPeers(time) => {
                self.peer_faults.lock().set_delay(PEER_DELAY);
                let disturbance = self.begin_host_disturbance();
                tokio::time::sleep(time).await;
                self.peer_faults.lock().set_delay(Duration::ZERO);
                self.end_disturbance(disturbance);
                Ok(())
            }
            Fault::Store(fault, time) => self.inject_store_fault(fault, time).await,
            Fault::ForgetHistory => {
                self.store.compact();
                Ok(())
            }
            Fault::RestoreStore(age) => self.restore_store(age).await,
            Fault::CrashTarget(index) => self.targets.crash(index).await,
            Fault::FreezeTarget(index, time) => {
                self.targets
                    .inject_fault(index, time, |behaviour, is_on| behaviour.is_frozen = is_on)
                    .await;
                Ok(())
            }
            Fault::HoldHealth(index, time) => {
                self.targets
                    .inject_fault(index, time, |behaviour, is_on| {
                        behaviour.delays_health_checks = is_on;
                    })
                    .await;
                Ok(())
            }
            Fault::ReplaceTarget(index) => self.targets.replace(index).await,
            Fault::TakeOutOfService(index, time) => {
                self.take_out_of_service(DATA_CENTRES[index], time).await
            }
            Fault::Configure(change) => {
                self.configure(change).await;
                Ok(())
            }
        }
    }

    async fn take_out_of_service(&self, data_centre: &str, time: Duration) -> Result<()> {
        while self.store.write("evacuations", data_centre, json!({})).is_none() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let outage = Outage { data_centre: data_centre.into(), from: Instant::now(), until: None };
        self.history.lock().outages.push(outage);
        tokio::time::sleep(time + OUTAGE_BOUND).await;
        let now = Instant::now();
        for outage in &mut self.history.lock().outages {
            if outage.data_centre == data_centre {
                outage.until.get_or_insert(now);
            }
        }
        while !self.store.remove("evacuations", data_centre) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn configure(&self, change: ConfigurationChange) {
        let count = if change == ConfigurationChange::Series { CHANGES_IN_SERIES } else { 1 };
        for step in 0..count {
            let step_change = match change {
                ConfigurationChange::Series if step % 2 == 0 => ConfigurationChange::AddRoute,
                ConfigurationChange::Series => ConfigurationChange::RemoveRoute,
                other => other,
            };
            let added = self.configuration.lock().apply(step_change);
            self.services.lock().extend(added);
            while !self.write_configuration() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
    }

    /// Writes the next version of the configuration and returns whether the object store accepted
    /// it.
    pub(crate) fn write_configuration(&self) -> bool {
        let mut configuration = self.configuration.lock();
        if self.store.write("config", "main", configuration.next_version()).is_none() {
            return false;
        }
        let now = Instant::now();
        let mut history = self.history.lock();
        for (address, service) in configuration.routes() {
            let added = || RouteLifetime { service: service.clone(), added: now, dropped: None };
            history.routes.entry(*address).or_insert_with(added);
        }
        for (address, lifetime) in &mut history.routes {
            if !configuration.routes().iter().any(|(it, _)| it == address) {
                lifetime.dropped.get_or_insert(now);
            }
        }
        true
    }

    pub(crate) fn begin_instance_disturbance(&self, index: usize, is_planned: bool) -> usize {
        let subject = Subject::Instance(self.addresses.ip(Role::Instance, index));
        self.begin_disturbance(subject, is_planned)
    }

    fn begin_host_disturbance(&self) -> usize {
        self.begin_disturbance(Subject::Host, false)
    }

    pub(crate) fn begin_disturbance(&self, subject: Subject, is_planned: bool) -> usize {
        self.history.lock().begin_disturbance(subject, is_planned)
    }

    pub(crate) fn end_disturbance(&self, disturbance: usize) {
        self.history.lock().end_disturbance(disturbance);
    }
}

/// Records periods in which the host did not schedule this process, since the other processes of
/// the run may have stalled as well.
async fn watch_host(history: &Mutex<History>) {
    /// Delay of a timer above which the host counts as disturbed.
    const STALL: Duration = Duration::from_millis(150);
    loop {
        let from = Instant::now();
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = Instant::now();
        if now > from + POLL_INTERVAL + STALL {
            log::warn!(
                "timer of {POLL_INTERVAL:?} fired after {:?}; recording a disturbance of the host",
                now - from
            );
            let (subject, until) = (Subject::Host, Some(now));
            let stall = Disturbance { subject, from, until, is_planned: false };
            history.lock().disturbances.push(stall);
        }
    }
}
