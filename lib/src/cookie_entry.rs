//! Sockets and tasks of an instance that forwards packets by their target's cookie.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

use crate::admin::{self, AdminPages};
use crate::cookie_forwarder::{CookieForwarderSetup, DueCheck};
use crate::cookie_instance::{cold_start_limit, CookieInstance, CookieInstanceSetup};
use crate::directory_reader;
use crate::entry::{bind_tcp, bind_udp, epoch, EntryError, MAX_DATAGRAM_BYTES};
use crate::health_check::check;
use crate::log_message::CHECKED;
use crate::network::UdpNetwork;
use crate::platform::Platform;
use crate::plugin;
use crate::random::SeededRandom;
use crate::settings::Settings;

/// Time between two calls of [`CookieInstance::tick`].
pub const TICK: Duration = Duration::from_millis(30);
/// Least time for which a leaving instance goes on forwarding, so that the health checks of the
/// network fabric notice that it is not ready.
pub const MIN_LEAVE_TIME: Duration = Duration::from_millis(1_600);
/// Time without a packet after which a leaving instance stops.
pub const LEAVE_IDLE_TIME: Duration = Duration::from_millis(700);
/// Time before the end of the grace period at which a leaving instance stops even if packets still
/// arrive.
pub const LEAVE_MARGIN: Duration = Duration::from_millis(800);
/// Time between two checks whether a leaving instance can stop.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of datagrams that are read before the task yields to other tasks.
const MAX_BURST_DATAGRAMS: usize = 64;

/// Running instance whose packet format carries cookies, with its sockets and tasks. Dropping it
/// stops all of its tasks immediately.
pub struct CookieEntry {
    instance: Arc<CookieInstance>,
    flow: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    stop_grace: Mutex<Duration>,
    _tasks: JoinSet<()>,
}

impl CookieEntry {
    /// Starts an instance with the platform client that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the setting at fault if a plug-in is unknown or an address cannot
    /// be listened on.
    pub async fn start(settings: &Settings) -> Result<Self, EntryError> {
        let platform = plugin::platform(&settings.platform_api, &settings.platform_url)?;
        Self::start_with(settings, platform).await
    }

    /// Starts an instance with a given platform client.
    ///
    /// # Errors
    ///
    /// Returns an error that names the setting at fault if a plug-in is unknown or an address cannot
    /// be listened on.
    pub async fn start_with(
        settings: &Settings,
        platform: Arc<dyn Platform>,
    ) -> Result<Self, EntryError> {
        let (flow, flow_address) = bind_udp("flow", settings.flow).await?;
        let (peer, peer_address) = bind_udp("peer", settings.peer).await?;
        let (admin, admin_address) = bind_tcp("admin", settings.admin).await?;
        let setup = CookieInstanceSetup {
            forwarder: forwarder_setup(settings),
            epoch: epoch(),
            is_first_start: settings.is_first_start,
            peer: settings.peer_advertised.unwrap_or(peer_address),
            flow_port: flow_address.port(),
            peer_keys: settings.peer_keys.clone(),
            link_mbps: settings.link_mbps,
            seeds: seeds(settings, peer_address),
            format: plugin::segment_format(&settings.form)?,
            random: Arc::new(SeededRandom::from_system()),
            flow_network: Arc::new(UdpNetwork::new(Arc::clone(&flow))),
            peer_network: Arc::new(UdpNetwork::new(Arc::clone(&peer))),
        };
        let instance = Arc::new(CookieInstance::new(setup, Instant::now()));
        instance.pull_directory(Instant::now());
        let mut tasks = JoinSet::new();
        tasks.spawn(read_flow(Arc::clone(&instance), flow));
        tasks.spawn(read_peer(Arc::clone(&instance), peer));
        tasks.spawn(tick(Arc::clone(&instance)));
        tasks.spawn(directory_reader::run(Arc::clone(&instance), platform));
        tasks.spawn(admin::serve(Arc::clone(&instance) as Arc<dyn AdminPages>, admin));
        Ok(Self {
            instance,
            flow: flow_address,
            peer: peer_address,
            admin: admin_address,
            stop_grace: Mutex::new(settings.stop_grace),
            _tasks: tasks,
        })
    }

    /// Returns the instance.
    pub fn instance(&self) -> &Arc<CookieInstance> {
        &self.instance
    }

    /// Returns the address at which the instance receives packets of flows.
    pub fn flow(&self) -> SocketAddr {
        self.flow
    }

    /// Returns the address at which the instance receives messages from other instances.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the address that serves metrics, readiness and status.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Applies those changed settings that can change without a restart.
    pub fn reload(&self, settings: &Settings) {
        *self.stop_grace.lock() = settings.stop_grace;
        self.instance.reload(settings);
    }

    /// Shuts the instance down gracefully.
    ///
    /// The instance reports that it is not ready, notifies the other instances, and forwards packets
    /// until none arrive or the grace period is about to end.
    pub async fn leave(self) {
        let started_at = Instant::now();
        self.instance.leave(started_at);
        let deadline = started_at + self.stop_grace.lock().saturating_sub(LEAVE_MARGIN);
        loop {
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
            let now = Instant::now();
            let is_idle = now >= started_at + MIN_LEAVE_TIME
                && self.instance.idle_time(now) >= LEAVE_IDLE_TIME;
            if is_idle || now >= deadline {
                return;
            }
        }
    }
}

fn forwarder_setup(settings: &Settings) -> CookieForwarderSetup {
    CookieForwarderSetup {
        id: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        flow_key: settings.flow_key,
        cold_start_limit: cold_start_limit(settings),
        outage_bound: settings.outage_bound,
    }
}

/// Returns the peer addresses of the seeds. A seed may be any address of an instance, because all
/// instances of a deployment use the same port for messages between instances.
fn seeds(settings: &Settings, peer: SocketAddr) -> Vec<SocketAddr> {
    let seeds = settings.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), peer.port())).collect()
}

async fn read_flow(instance: Arc<CookieInstance>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        if let Err(err) = socket.readable().await {
            log::warn!("cannot read from the flow socket: {err}");
            tokio::time::sleep(TICK).await;
            continue;
        }
        for _ in 0..MAX_BURST_DATAGRAMS {
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
            Err(err) => log::debug!("cannot receive a datagram from another instance: {err}"),
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
            checks.spawn(run_health_check(Arc::clone(&instance), due));
        }
        while checks.try_join_next().is_some() {}
    }
}

async fn run_health_check(instance: Arc<CookieInstance>, due: DueCheck) {
    let outcome = check(due.address, &due.path).await;
    log::info!(
        target = due.target.as_str(), outcome:? = outcome;
        "{CHECKED}"
    );
    instance.on_check(&due.target, outcome, Instant::now());
}
