//! Everything that surrounds the instances of a run, and the faults that are done to them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use parking_lot::Mutex;
use serde_json::json;
use smol_str::{format_smolstr, SmolStr};
use testutils::echo_target::TargetEvent;
use testutils::fault_proxy::{ConnectionFault, ConnectionProxy, DatagramFaults, DatagramProxy};
use testutils::flow_router::{FlowRouter, RoutedInstance};
use testutils::instance_settings::{cookie_text, CookieAddresses};
use testutils::object_server::{ObjectServer, StoreBehaviour};
use testutils::object_store::{ObjectStore, StoreLimits};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::addresses::{Addresses, Role};
use crate::configuration::{Configuration, COLD_FLOWS_PER_SECOND};
use crate::fault_plan::{Change, Fault, StoreFault};
use crate::instance_process::{InstanceProcess, Sent};
use crate::judge::{Disturbance, History, Outage, RouteLife, Subject, OUTAGE_BOUND};
use crate::targets::Targets;

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
/// Instances that settings name as those to ask for others, as few as the users' platform names.
const SEEDS: usize = 3;
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Time after which an ended process starts again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks at whether something has come about.
pub const LOOK: Duration = Duration::from_millis(50);
/// Pause between two planned stops of a series.
const STOP_GAP: Duration = Duration::from_millis(500);
/// Factor and flows a second that cold targets may get beyond what they bear.
const COLD_MULTIPLIER: f64 = 1.5;
const COLD_SLACK: usize = 5;
/// Time that a slow store takes: some more than a reader waits for another one's word.
const SLOW_STORE: Duration = Duration::from_millis(700);
/// Time that slow messages take: more than a reader's interval.
const SLOW_PEERS: Duration = Duration::from_millis(300);
/// Time between two changes of a series, within the pause between two watches.
const CHANGE_GAP: Duration = Duration::from_millis(150);
const CHANGES_IN_SERIES: usize = 4;

/// Sizes of a world.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
}

struct Instance {
    name: SmolStr,
    data_centre: SmolStr,
    settings: String,
    process: Mutex<InstanceProcess>,
    store: ObjectServer,
    path_to_store: ConnectionProxy,
}

/// A world that ends with its run, however the run ends.
pub struct Running(pub Arc<World>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// The world of a run.
pub struct World {
    addresses: Addresses,
    instances: Vec<Instance>,
    targets: Targets,
    configuration: Mutex<Configuration>,
    store: Arc<ObjectStore>,
    router: Arc<FlowRouter>,
    peer_faults: Arc<Mutex<DatagramFaults>>,
    /// Addresses that callers use: those of routes that stay.
    pub services: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// What happens and is seen.
    pub history: Arc<Mutex<History>>,
    tasks: Mutex<JoinSet<()>>,
}

impl World {
    /// Starts everything; `program` is run for each instance and writes its files into `dir`.
    ///
    /// # Errors
    ///
    /// Returns what cannot be started.
    pub async fn start(
        program: &Path,
        dir: &Path,
        size: WorldSize,
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
        let router =
            FlowRouter::new(instances.iter().enumerate().map(routed(&addresses)).collect());
        tasks.spawn(Arc::clone(&router).poll());
        let cold = (COLD_FLOWS_PER_SECOND as f64 * COLD_MULTIPLIER) as usize + COLD_SLACK;
        let history = History { cold_flows_per_second: cold, ..History::default() };
        let history = Arc::new(Mutex::new(history));
        let targets =
            Targets::new(size.targets, addresses, Arc::clone(&store), Arc::clone(&history), events);
        let world = Arc::new(Self {
            targets,
            configuration: Mutex::default(),
            services: Arc::default(),
            history,
            tasks: Mutex::new(tasks),
            addresses,
            instances,
            store,
            router,
            peer_faults,
        });
        world.begin().await?;
        Ok(world)
    }

    /// Returns the fabric.
    pub fn router(&self) -> &Arc<FlowRouter> {
        &self.router
    }

    /// Returns the address of a host of callers.
    pub fn caller(&self, index: usize) -> SocketAddrV4 {
        self.addresses.caller(index)
    }

    /// Waits until the fabric has all instances.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_until_ready(&self, patience: Duration) -> Result<()> {
        let ready = async {
            while !self.router.are_all_ready() {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(patience, ready).await.context("instances did not become ready")
    }

    /// Ends everything that the run started.
    pub fn close(&self) {
        self.tasks.lock().abort_all();
        for instance in &self.instances {
            if let Err(err) = instance.process.lock().close() {
                log::warn!("process of {} not killed: {err:#}", instance.name);
            }
        }
    }

    /// Does a fault; what ends later goes on in the background.
    pub fn inject(self: &Arc<Self>, fault: Fault) {
        log::info!("{fault:?}");
        let world = Arc::clone(self);
        let mut tasks = self.tasks.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            if let Err(err) = world.carry_out(fault).await {
                log::warn!("{fault:?} not carried out: {err:#}");
            }
        });
    }

    async fn begin(self: &Arc<Self>) -> Result<()> {
        let store = Arc::clone(&self.store);
        self.tasks.lock().spawn(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                store.remove_expired(Instant::now());
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
        self.tasks.lock().spawn(async move { watch_machine(&history).await });
        Ok(())
    }

    async fn carry_out(&self, fault: Fault) -> Result<()> {
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
                    tokio::time::sleep(STOP_GAP).await;
                }
                Ok(())
            }
            Fault::Pause(index, time) => self.pause(index, time).await,
            Fault::HangUp(index) => {
                let instance = &self.instances[index];
                instance.process.lock().write_settings(&instance.settings)?;
                instance.process.lock().signal(Sent::HangUp)
            }
            Fault::CutPeers(from, to, time) => self.cut_peers(from, to, time).await,
            Fault::DelayPeers(time) => {
                self.peer_faults.lock().set_delay(SLOW_PEERS);
                let mark = self.disturb_all();
                tokio::time::sleep(time).await;
                self.peer_faults.lock().set_delay(Duration::ZERO);
                self.end(mark);
                Ok(())
            }
            Fault::Store(fault, time) => self.harm_store(fault, time).await,
            Fault::ForgetHistory => {
                self.store.compact();
                Ok(())
            }
            Fault::CrashTarget(index) => self.targets.crash(index).await,
            Fault::FreezeTarget(index, time) => {
                self.targets
                    .harm(index, time, |behaviour, is_on| behaviour.is_frozen = is_on)
                    .await;
                Ok(())
            }
            Fault::HoldHealth(index, time) => {
                self.targets
                    .harm(index, time, |behaviour, is_on| behaviour.delays_health_checks = is_on)
                    .await;
                Ok(())
            }
            Fault::ReplaceTarget(index) => self.targets.replace(index).await,
            Fault::TakeOut(index, time) => self.take_out(DATA_CENTRES[index], time).await,
            Fault::Configure(change) => {
                self.configure(change).await;
                Ok(())
            }
        }
    }

    async fn kill(&self, index: usize) -> Result<()> {
        let mark = self.disturb_instance(index, false);
        self.instances[index].process.lock().kill()?;
        tokio::time::sleep(RESTART_AFTER).await;
        self.instances[index].process.lock().start()?;
        self.end(mark);
        Ok(())
    }

    async fn stop(&self, index: usize) -> Result<()> {
        let mark = self.disturb_instance(index, true);
        let process = &self.instances[index].process;
        process.lock().signal(Sent::Terminate)?;
        let end = Instant::now() + GRACE;
        while !process.lock().has_ended()? {
            if Instant::now() >= end {
                process.lock().kill()?;
            }
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(RESTART_AFTER).await;
        process.lock().start()?;
        self.end(mark);
        Ok(())
    }

    async fn pause(&self, index: usize, time: Duration) -> Result<()> {
        let mark = self.disturb_instance(index, false);
        self.instances[index].process.lock().signal(Sent::Pause)?;
        tokio::time::sleep(time).await;
        self.instances[index].process.lock().signal(Sent::Resume)?;
        self.end(mark);
        Ok(())
    }

    async fn cut_peers(&self, from: usize, to: usize, time: Duration) -> Result<()> {
        let ip = |index| self.addresses.ip(Role::Instance, index).into();
        let marks = [from, to].map(|index| self.disturb_instance(index, false));
        self.peer_faults.lock().block(ip(from), ip(to));
        tokio::time::sleep(time).await;
        self.peer_faults.lock().unblock(ip(from), ip(to));
        marks.into_iter().for_each(|mark| self.end(mark));
        Ok(())
    }

    async fn harm_store(&self, fault: StoreFault, time: Duration) -> Result<()> {
        let mark = self.disturb(Subject::Store, false);
        let instance = |index: usize| &self.instances[index];
        let set = |is_on: bool| {
            let behaviour = |to| if is_on { to } else { StoreBehaviour::Normal };
            let path = |to| if is_on { to } else { ConnectionFault::None };
            match fault {
                StoreFault::Down => self.store.set_down(is_on),
                StoreFault::Refuses(index) => {
                    instance(index).store.set_behaviour(behaviour(StoreBehaviour::Unavailable));
                }
                StoreFault::LosesAnswers(index) => {
                    instance(index).store.set_behaviour(behaviour(StoreBehaviour::DropsResponses));
                }
                StoreFault::Slow => {
                    let all = self.instances.iter();
                    all.for_each(|it| {
                        it.store.set_behaviour(behaviour(StoreBehaviour::Delayed(SLOW_STORE)));
                    });
                }
                StoreFault::Silent(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::Blackhole));
                }
                StoreFault::Reset(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::Reset));
                }
                StoreFault::OneWay(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::OneWay));
                }
            }
        };
        set(true);
        tokio::time::sleep(time).await;
        set(false);
        self.end(mark);
        Ok(())
    }

    async fn take_out(&self, data_centre: &str, time: Duration) -> Result<()> {
        while self.store.write("evacuations", data_centre, json!({})).is_none() {
            tokio::time::sleep(LOOK).await;
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
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    async fn configure(&self, change: Change) {
        let count = if change == Change::Series { CHANGES_IN_SERIES } else { 1 };
        for step in 0..count {
            let step_change = match change {
                Change::Series if step % 2 == 0 => Change::AddRoute,
                Change::Series => Change::DropRoute,
                other => other,
            };
            let added = self.configuration.lock().change(step_change);
            self.services.lock().extend(added);
            while !self.write_configuration() {
                tokio::time::sleep(LOOK).await;
            }
            tokio::time::sleep(CHANGE_GAP).await;
        }
    }

    /// Writes the configuration; tells whether the store took it.
    fn write_configuration(&self) -> bool {
        let mut configuration = self.configuration.lock();
        if self.store.write("config", "main", configuration.advance()).is_none() {
            return false;
        }
        let now = Instant::now();
        let mut history = self.history.lock();
        for (address, service) in configuration.routes() {
            let added = || RouteLife { service: service.clone(), added: now, dropped: None };
            history.routes.entry(*address).or_insert_with(added);
        }
        for (address, life) in &mut history.routes {
            if !configuration.routes().iter().any(|(it, _)| it == address) {
                life.dropped.get_or_insert(now);
            }
        }
        true
    }

    fn disturb_instance(&self, index: usize, is_planned: bool) -> usize {
        let subject = Subject::Instance(self.addresses.ip(Role::Instance, index));
        self.disturb(subject, is_planned)
    }

    fn disturb_all(&self) -> usize {
        self.disturb(Subject::Machine, false)
    }

    fn disturb(&self, subject: Subject, is_planned: bool) -> usize {
        self.history.lock().disturb(subject, is_planned)
    }

    fn end(&self, mark: usize) {
        self.history.lock().end(mark);
    }
}

impl Instance {
    async fn prepare(
        program: &Path,
        dir: &Path,
        index: usize,
        addresses: &Addresses,
        store: &Arc<ObjectStore>,
    ) -> Result<Self> {
        let data_centre = SmolStr::new(DATA_CENTRES[index % DATA_CENTRES.len()]);
        let name = format_smolstr!("entry-{data_centre}-{index}");
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let store = ObjectServer::start(Arc::clone(store), any).await?;
        let path_to_store = ConnectionProxy::start(store.address()).await?;
        let listens = CookieAddresses {
            flow: addresses.flow(index).into(),
            peer: addresses.peer(index),
            peer_advertised: Some(addresses.peer_proxy(index)),
            admin: addresses.admin(index),
            platform: path_to_store.address(),
            seeds: (0..SEEDS).map(|index| addresses.peer_proxy(index)).collect(),
        };
        let settings = format!(
            "{}outage_bound_ms = {}\ncold_multiplier = {COLD_MULTIPLIER}\n\
             cold_slack = {COLD_SLACK}\n[stop]\ngrace_ms = {}\n",
            cookie_text(&name, &data_centre, &listens),
            OUTAGE_BOUND.as_millis(),
            GRACE.as_millis(),
        );
        let process = Mutex::new(InstanceProcess::new(program, dir, &name, &settings)?);
        Ok(Self { name, data_centre, settings, process, store, path_to_store })
    }
}

fn routed(addresses: &Addresses) -> impl Fn((usize, &Instance)) -> RoutedInstance + '_ {
    |(index, instance)| RoutedInstance {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        flow: addresses.flow(index),
        admin: addresses.admin(index),
    }
}

/// Notes when the machine did not let this process run for long: everything may have stood still.
async fn watch_machine(history: &Mutex<History>) {
    /// Delay of a timer from which the machine counts as disturbed.
    const STALL: Duration = Duration::from_millis(150);
    loop {
        let from = Instant::now();
        tokio::time::sleep(LOOK).await;
        let now = Instant::now();
        if now > from + LOOK + STALL {
            log::warn!("the machine stood still for {:?}", now - from);
            let (subject, until) = (Subject::Machine, Some(now));
            let stall = Disturbance { subject, from, until, is_planned: false };
            history.lock().disturbances.push(stall);
        }
    }
}
