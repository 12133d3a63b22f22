//! The daemon of an entry instance: sockets and tasks around the kernel.

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
use crate::kernel::{Kernel, KernelSetup};
use crate::network::UdpNetwork;
use crate::packet::MAX_PACKET_BYTES;
use crate::peer_rpc::{self, PeerRpcServer};
use crate::platform::Platform;
use crate::plugin::{self, PluginError};
use crate::random::SeededRandom;
use crate::request_gateway::RequestGateway;
use crate::settings::Settings;
use crate::{admin, announcement, platform_sync};

/// Time between two ticks of the kernel.
pub const TICK: Duration = Duration::from_millis(50);
/// Time that a leaving instance goes on relaying.
pub const LEAVE_TIME: Duration = Duration::from_secs(3);
/// Longest time that a leaving instance waits for its running requests.
pub const REQUEST_TIME: Duration = Duration::from_secs(60);
/// Times that a leaving instance passes its idempotency keys on.
const KEY_COPIES: u32 = 3;
pub(crate) const DATAGRAM_BYTES: usize = MAX_PACKET_BYTES + 1_024;

/// Reason why an instance cannot start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} ([listen] {key}): {source}")]
    Listen {
        /// Key in the section `listen`.
        key: &'static str,
        /// Address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A plug-in that the settings name is not there.
    #[error("[flows] or [platform]: {0}")]
    Plugin(#[from] PluginError),
}

/// Addresses that a running instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Packet forwarder.
    pub flow: SocketAddr,
    /// Messages between instances.
    pub peer: SocketAddr,
    /// Request gateway.
    pub request: SocketAddr,
    /// Metrics, health and status.
    pub admin: SocketAddr,
}

/// A running instance. Dropping it stops all its tasks at once.
pub struct Entry {
    kernel: Arc<Kernel>,
    addresses: BoundAddresses,
    gateway: RequestGateway,
    _cut: DropGuard,
    tasks: JoinSet<()>,
    _snapshots: Option<PeerRpcServer>,
}

impl Entry {
    /// Starts an instance with the client of the platform that the settings name.
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
            tasks.spawn(read_flow(Arc::clone(&kernel), Arc::clone(&flow)));
            tasks.spawn(read_peer(Arc::clone(&kernel), Arc::clone(&peer)));
        }
        tasks.spawn(tick(Arc::clone(&kernel)));
        let snapshots = PeerRpcServer::start(Arc::clone(&kernel), addresses.peer);
        let snapshots = snapshots.map_err(|err| log::warn!("snapshots are not served: {err}"));
        tasks.spawn(peer_rpc::bootstrap_from_peers(Arc::clone(&kernel)));
        let announce = announcement::announce(
            Arc::clone(&kernel),
            Arc::clone(&platform),
            announcement::reachable(addresses.admin, addresses.peer),
        );
        tasks.spawn(announce);
        tasks.spawn(platform_sync::follow_config(Arc::clone(&kernel), Arc::clone(&platform)));
        tasks.spawn(platform_sync::follow_instances(Arc::clone(&kernel), platform));
        let gateway = RequestGateway::new(Arc::clone(&kernel));
        tasks.spawn(gateway.clone().serve(request));
        tasks.spawn(admin::serve(Arc::clone(&kernel) as Arc<dyn AdminPages>, admin));
        let _cut = gateway.guard();
        Ok(Self { kernel, addresses, gateway, _cut, tasks, _snapshots: snapshots.ok() })
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Returns the kernel.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Returns the number of requests of a service that wait for a slot.
    pub fn waiting(&self, service: &str) -> usize {
        self.gateway.waiting(service)
    }

    /// Leaves in a planned way: announces it, hands over, and relays until others have taken over.
    pub async fn leave(mut self) {
        self.kernel.leave(Instant::now());
        let relay = async {
            for _ in 0..KEY_COPIES {
                self.kernel.pass_keys();
                tokio::time::sleep(LEAVE_TIME / KEY_COPIES).await;
            }
        };
        tokio::join!(relay, self.gateway.close(REQUEST_TIME));
        self.kernel.pass_keys();
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

pub(crate) fn epoch() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Binds a socket for datagrams, and returns the address that it got.
pub(crate) async fn bind_udp(
    key: &'static str,
    address: SocketAddr,
) -> Result<(Arc<UdpSocket>, SocketAddr), EntryError> {
    let unusable = |source| EntryError::Listen { key, address, source };
    let socket = UdpSocket::bind(address).await.map_err(unusable)?;
    // Nothing is sent before the runtime has seen the socket to be writable: the first datagrams
    // would be dropped.
    socket.writable().await.map_err(unusable)?;
    let bound = socket.local_addr().map_err(unusable)?;
    Ok((Arc::new(socket), bound))
}

/// Binds a socket for connections, and returns the address that it got.
pub(crate) async fn bind_tcp(
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), EntryError> {
    let unusable = |source| EntryError::Listen { key, address, source };
    let listener = TcpListener::bind(address).await.map_err(unusable)?;
    let bound = listener.local_addr().map_err(unusable)?;
    Ok((listener, bound))
}

async fn read_flow(kernel: Arc<Kernel>, socket: Arc<UdpSocket>) {
    read(&socket, |from, buf| kernel.on_flow_datagram(Instant::now(), from, buf)).await;
}

async fn read_peer(kernel: Arc<Kernel>, socket: Arc<UdpSocket>) {
    read(&socket, |from, buf| kernel.on_peer_datagram(Instant::now(), from, buf)).await;
}

async fn read(socket: &UdpSocket, handle: impl Fn(SocketAddr, &[u8])) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => handle(from, &buf[..len]),
            Err(err) => log::debug!("datagram not received: {err}"),
        }
    }
}

async fn tick(kernel: Arc<Kernel>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        kernel.tick(interval.tick().await);
    }
}
