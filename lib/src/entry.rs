//! Daemon of an entry instance: the sockets and tasks that drive the kernel.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::DropGuard;

use crate::admin::AdminPages;
use crate::health::HttpHealthProbe;
use crate::kernel::{Kernel, KernelSetup};
use crate::network::UdpNetwork;
use crate::packet::MAX_PACKET_BYTES;
use crate::peer_rpc::{self, PeerRpcServer};
use crate::platform::Platform;
use crate::plugin::{self, PluginError};
use crate::random::SeededRandom;
use crate::request_gateway::RequestGateway;
use crate::settings::Settings;
use crate::{admin, announcement, platform_sync, target_probing};

/// Time between two ticks of the kernel.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a leaving instance keeps relaying packets while other instances take over.
pub const LEAVE_RELAY_TIME: Duration = Duration::from_secs(3);
/// Maximum time for which a leaving instance waits for its running requests.
pub const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of times that a leaving instance sends its idempotency keys while it relays packets. The
/// datagrams are not acknowledged; the repetition makes up for lost ones.
const KEY_HANDOVER_ROUNDS: u32 = 3;
/// Size of receive buffers: the largest packet, and 1 KiB for the frame and envelope of a relayed one.
pub(crate) const MAX_DATAGRAM_BYTES: usize = MAX_PACKET_BYTES + 1_024;

/// Error that keeps an instance from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The instance cannot listen on an address.
    #[error("cannot listen on {address} ([listen] {key}): {source}")]
    Listen {
        /// Key of the address in the section `listen` of the settings.
        key: &'static str,
        /// Address that the settings give.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No plug-in has registered under a name that the settings give.
    #[error("invalid setting in [flows] or [platform]: {0}")]
    Plugin(#[from] PluginError),
}

/// Addresses that a running instance listens on. Where the settings give port 0, they hold the
/// assigned port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// UDP address of the packet forwarder.
    pub flow: SocketAddr,
    /// UDP address for messages between instances; snapshots are served at the same TCP address.
    pub peer: SocketAddr,
    /// TCP address of the request gateway.
    pub request: SocketAddr,
    /// TCP address of the pages for metrics, health and status.
    pub admin: SocketAddr,
}

/// A running instance. Dropping it stops all its tasks at once and closes the connections of callers.
pub struct Entry {
    kernel: Arc<Kernel>,
    addresses: BoundAddresses,
    gateway: RequestGateway,
    _connection_guard: DropGuard,
    tasks: JoinSet<()>,
    _snapshots: Option<PeerRpcServer>,
}

impl Entry {
    /// Starts an instance with the platform client that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the setting when an address cannot be listened on or a plug-in is
    /// unknown.
    pub async fn start(settings: &Settings) -> Result<Self, EntryError> {
        let platform = plugin::platform(&settings.platform_api, &settings.platform_url)?;
        Self::start_with(settings, platform).await
    }

    /// Starts an instance with the given platform client.
    ///
    /// # Errors
    ///
    /// Returns an error that names the setting when an address cannot be listened on or the picker is
    /// unknown.
    pub async fn start_with(
        settings: &Settings,
        platform: Arc<dyn Platform>,
    ) -> Result<Self, EntryError> {
        let (flow, flow_address) = bind_udp("flow", settings.flow).await?;
        let (peer, peer_address) = bind_udp("peer", settings.peer).await?;
        let (request, request_address) = bind_tcp("request", settings.request).await?;
        let (admin, admin_address) = bind_tcp("admin", settings.admin).await?;
        let addresses = BoundAddresses {
            flow: flow_address,
            peer: peer_address,
            request: request_address,
            admin: admin_address,
        };
        let kernel = Arc::new(kernel(settings, &addresses, &flow, &peer)?);
        kernel.tracer.set_rate(settings.sampled_per_million);
        let mut tasks = JoinSet::new();
        for _ in 0..settings.workers {
            tasks.spawn(receive_flow_datagrams(Arc::clone(&kernel), Arc::clone(&flow)));
            tasks.spawn(receive_peer_datagrams(Arc::clone(&kernel), Arc::clone(&peer)));
        }
        tasks.spawn(run_ticks(Arc::clone(&kernel)));
        let snapshots = PeerRpcServer::start(Arc::clone(&kernel), addresses.peer);
        let snapshots = snapshots.map_err(|err| log::warn!("snapshot server not started: {err}"));
        tasks.spawn(peer_rpc::bootstrap_from_peers(Arc::clone(&kernel)));
        let announce = announcement::announce(
            Arc::clone(&kernel),
            Arc::clone(&platform),
            announcement::reachable_address(addresses.admin, addresses.peer),
        );
        tasks.spawn(announce);
        tasks.spawn(platform_sync::follow_config(Arc::clone(&kernel), Arc::clone(&platform)));
        tasks.spawn(platform_sync::follow_instances(Arc::clone(&kernel), platform));
        if let Some(path) = &settings.health_path {
            let probe = Arc::new(HttpHealthProbe::new(path));
            tasks.spawn(target_probing::probe_allocated_targets(Arc::clone(&kernel), probe));
        }
        let gateway = RequestGateway::new(Arc::clone(&kernel));
        tasks.spawn(gateway.clone().serve(request));
        tasks.spawn(admin::serve(Arc::clone(&kernel) as Arc<dyn AdminPages>, admin));
        let _connection_guard = gateway.abort_guard();
        Ok(Self {
            kernel,
            addresses,
            gateway,
            _connection_guard,
            tasks,
            _snapshots: snapshots.ok(),
        })
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Returns the kernel that decides for this instance.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting_count(&self, service: &str) -> usize {
        self.gateway.waiting_count(service)
    }

    /// Performs a planned stop: announces it, hands over idempotency keys, relays packets for
    /// [`LEAVE_RELAY_TIME`], and waits at most [`REQUEST_DRAIN_TIMEOUT`] for running requests.
    pub async fn leave(mut self) {
        self.kernel.leave(Instant::now());
        let relay = async {
            for _ in 0..KEY_HANDOVER_ROUNDS {
                self.kernel.hand_over_keys();
                tokio::time::sleep(LEAVE_RELAY_TIME / KEY_HANDOVER_ROUNDS).await;
            }
        };
        tokio::join!(relay, self.gateway.close(REQUEST_DRAIN_TIMEOUT));
        self.kernel.hand_over_keys();
        self.tasks.shutdown().await;
    }
}

fn kernel(
    settings: &Settings,
    addresses: &BoundAddresses,
    flow: &Arc<UdpSocket>,
    peer: &Arc<UdpSocket>,
) -> Result<Kernel, EntryError> {
    let setup = KernelSetup {
        id: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        epoch: epoch(),
        peer: addresses.peer,
        request: addresses.request,
        egress: settings.egress,
        flow_capacity: settings.flow_capacity,
        owners_per_service: settings.owners_per_service,
        flow_key: settings.flow_key,
        peer_keys: settings.peer_keys.clone(),
        picker: plugin::picker(&settings.picker)?,
        random: Arc::new(SeededRandom::from_system()),
        flow_network: Arc::new(UdpNetwork::new(Arc::clone(flow))),
        peer_network: Arc::new(UdpNetwork::new(Arc::clone(peer))),
    };
    Ok(Kernel::new(setup, Instant::now()))
}

/// Returns the epoch of a run that starts now: the time in milliseconds since the Unix epoch.
pub(crate) fn epoch() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Binds a UDP socket, and returns it with its local address. `key` is the key of the address in the
/// settings.
pub(crate) async fn bind_udp(
    key: &'static str,
    address: SocketAddr,
) -> Result<(Arc<UdpSocket>, SocketAddr), EntryError> {
    let to_listen_error = |source| EntryError::Listen { key, address, source };
    let socket = UdpSocket::bind(address).await.map_err(to_listen_error)?;
    // Until the runtime has polled the socket as writable, `try_send_to` drops datagrams.
    socket.writable().await.map_err(to_listen_error)?;
    let bound = socket.local_addr().map_err(to_listen_error)?;
    Ok((Arc::new(socket), bound))
}

/// Binds a TCP listener, and returns it with its local address. `key` is the key of the address in
/// the settings.
pub(crate) async fn bind_tcp(
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), EntryError> {
    let to_listen_error = |source| EntryError::Listen { key, address, source };
    let listener = TcpListener::bind(address).await.map_err(to_listen_error)?;
    let bound = listener.local_addr().map_err(to_listen_error)?;
    Ok((listener, bound))
}

async fn receive_flow_datagrams(kernel: Arc<Kernel>, socket: Arc<UdpSocket>) {
    receive_datagrams(&socket, |from, buf| kernel.on_flow_datagram(Instant::now(), from, buf))
        .await;
}

async fn receive_peer_datagrams(kernel: Arc<Kernel>, socket: Arc<UdpSocket>) {
    receive_datagrams(&socket, |from, buf| kernel.on_peer_datagram(Instant::now(), from, buf))
        .await;
}

async fn receive_datagrams(socket: &UdpSocket, handle: impl Fn(SocketAddr, &[u8])) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => handle(from, &buf[..len]),
            Err(err) => log::debug!("datagram not received: {err}"),
        }
    }
}

async fn run_ticks(kernel: Arc<Kernel>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        kernel.tick(interval.tick().await);
    }
}
