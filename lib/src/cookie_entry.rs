//! The daemon of an instance of the flow door with cookies: sockets and tasks around it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

use crate::admin::{self, AdminPages};
use crate::cookie_door::{CookieDoorSetup, DueCheck};
use crate::cookie_instance::{cold_bound, CookieInstance, CookieInstanceSetup};
use crate::directory_reader;
use crate::entry::{bind_tcp, bind_udp, epoch, EntryError, MAX_DATAGRAM_BYTES};
use crate::health_check::check;
use crate::log_message::CHECKED;
use crate::network::UdpNetwork;
use crate::platform::Platform;
use crate::plugin;
use crate::random::SeededRandom;
use crate::settings::Settings;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(30);
/// Time for which a leaving instance forwards at least: the fabric's checks notice it meanwhile.
pub const MIN_LEAVE_TIME: Duration = Duration::from_millis(1_600);
/// Time without a packet after which a leaving instance is no longer needed.
pub const LEAVE_IDLE_TIME: Duration = Duration::from_millis(700);
/// Time before the end of the grace at which a leaving instance stops whatever comes.
pub const LEAVE_MARGIN: Duration = Duration::from_millis(800);
/// Time between two looks at whether a leaving instance is still needed.
const LEAVE_LOOK: Duration = Duration::from_millis(50);
/// Datagrams that are read without looking at anything else.
const BURST: usize = 64;

/// A running instance. Dropping it stops all its tasks at once.
pub struct CookieEntry {
    instance: Arc<CookieInstance>,
    flow: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    grace: Mutex<Duration>,
    _tasks: JoinSet<()>,
}

impl CookieEntry {
    /// Starts an instance with the plug-ins that the settings name.
    ///
    /// # Errors
    ///
    /// Returns why it cannot start, naming the setting.
    pub async fn start(settings: &Settings) -> Result<Self, EntryError> {
        let platform = plugin::platform(&settings.platform_api, &settings.platform_url)?;
        Self::start_with(settings, platform).await
    }

    /// Starts an instance with a given platform.
    ///
    /// # Errors
    ///
    /// Returns why it cannot start, naming the setting.
    pub async fn start_with(
        settings: &Settings,
        platform: Arc<dyn Platform>,
    ) -> Result<Self, EntryError> {
        let (flow, flow_address) = bind_udp("flow", settings.flow).await?;
        let (peer, peer_address) = bind_udp("peer", settings.peer).await?;
        let (admin, admin_address) = bind_tcp("admin", settings.admin).await?;
        let setup = CookieInstanceSetup {
            door: door_setup(settings),
            epoch: epoch(),
            is_first_start: settings.is_first_start,
            peer: settings.peer_advertised.unwrap_or(peer_address),
            flow_port: flow_address.port(),
            peer_keys: settings.peer_keys.clone(),
            link_mbps: settings.link_mbps,
            seeds: seeds(settings, peer_address),
            form: plugin::segment_form(&settings.form)?,
            random: Arc::new(SeededRandom::from_system()),
            flow_network: Arc::new(UdpNetwork::new(Arc::clone(&flow))),
            peer_network: Arc::new(UdpNetwork::new(Arc::clone(&peer))),
        };
        let instance = Arc::new(CookieInstance::new(setup, Instant::now()));
        instance.ask_seeds(Instant::now());
        let mut tasks = JoinSet::new();
        tasks.spawn(read_flow(Arc::clone(&instance), flow));
        tasks.spawn(read_peer(Arc::clone(&instance), peer));
        tasks.spawn(tick(Arc::clone(&instance)));
        tasks.spawn(directory_reader::follow(Arc::clone(&instance), platform));
        tasks.spawn(admin::serve(Arc::clone(&instance) as Arc<dyn AdminPages>, admin));
        Ok(Self {
            instance,
            flow: flow_address,
            peer: peer_address,
            admin: admin_address,
            grace: Mutex::new(settings.stop_grace),
            _tasks: tasks,
        })
    }

    /// Returns the instance.
    pub fn instance(&self) -> &Arc<CookieInstance> {
        &self.instance
    }

    /// Returns the address of the flow door.
    pub fn flow(&self) -> SocketAddr {
        self.flow
    }

    /// Returns the address for messages between instances.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address of metrics, readiness and status.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Takes changed settings, as far as a running instance can.
    pub fn reload(&self, settings: &Settings) {
        *self.grace.lock() = settings.stop_grace;
        self.instance.reload(settings);
    }

    /// Leaves in a planned way: tells the fabric and the others, and forwards what still comes.
    pub async fn leave(self) {
        let begun = Instant::now();
        self.instance.leave(begun);
        let end = begun + self.grace.lock().saturating_sub(LEAVE_MARGIN);
        loop {
            tokio::time::sleep(LEAVE_LOOK).await;
            let now = Instant::now();
            let is_idle =
                now >= begun + MIN_LEAVE_TIME && self.instance.idle_time(now) >= LEAVE_IDLE_TIME;
            if is_idle || now >= end {
                return;
            }
        }
    }
}

fn door_setup(settings: &Settings) -> CookieDoorSetup {
    CookieDoorSetup {
        id: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        flow_key: settings.flow_key,
        cold: cold_bound(settings),
        outage_bound: settings.outage_bound,
    }
}

/// Returns the peer addresses of the seeds. Seeds may name any address of their instance: all
/// instances of a deployment use the same port for messages between them.
fn seeds(settings: &Settings, peer: SocketAddr) -> Vec<SocketAddr> {
    let seeds = settings.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), peer.port())).collect()
}

async fn read_flow(instance: Arc<CookieInstance>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        if let Err(err) = socket.readable().await {
            log::warn!("flow door cannot be read: {err}");
            tokio::time::sleep(TICK).await;
            continue;
        }
        for _ in 0..BURST {
            let Ok((len, _)) = socket.try_recv_from(&mut buf) else { break };
            instance.on_flow_datagram(Instant::now(), &buf[..len], &mut out);
        }
        tokio::task::yield_now().await;
    }
}

async fn read_peer(instance: Arc<CookieInstance>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => instance.on_peer_datagram(Instant::now(), from, &buf[..len]),
            Err(err) => log::debug!("datagram not received: {err}"),
        }
    }
}

async fn tick(instance: Arc<CookieInstance>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = JoinSet::new();
    loop {
        let now = interval.tick().await;
        for due in instance.tick(now) {
            checks.spawn(make_check(Arc::clone(&instance), due));
        }
        while checks.try_join_next().is_some() {}
    }
}

async fn make_check(instance: Arc<CookieInstance>, due: DueCheck) {
    let outcome = check(due.address, &due.path).await;
    log::info!(
        target = due.target.as_str(), outcome:? = outcome;
        "{CHECKED}"
    );
    instance.on_check(&due.target, outcome, Instant::now());
}
