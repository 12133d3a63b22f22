//! Fleets of instances that forward packets by their target's cookie, with a store in memory, links
//! of limited bandwidth and a paused clock.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_entry::TICK;
use hollyhead::cookie_forwarder::CookieForwarderSetup;
use hollyhead::cookie_instance::{CookieInstance, CookieInstanceSetup};
use hollyhead::directory_reader;
use hollyhead::ids::{Cookie, TargetToken};
use hollyhead::network::Network;
use hollyhead::platform::Platform;
use hollyhead::random::SeededRandom;
use hollyhead::route::{Registration, RegistrationState};
use hollyhead::segment::{Segment, SegmentError, SegmentFormat};
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bandwidth_limited_network::{Arrived, BandwidthLimitedNetwork, LinkLimits};
use crate::json_segment::JsonFormat;
use crate::memory_platform::MemoryPlatform;

const PEER_PORT: u16 = 7_720;
const FLOW_PORT: u16 = 8_172;
const SEEDS: usize = 3;
const DATA_CENTRES: [&str; 3] = ["horn-east-a", "horn-east-b", "horn-east-c"];
const STEP: Duration = Duration::from_millis(5);
const BITS_PER_BYTE: f64 = 8.0;

/// Wire format for instances that get no packets of flows. It rejects every datagram.
#[derive(Clone, Copy, Debug)]
pub struct NullFormat;

impl SegmentFormat for NullFormat {
    fn decode(&self, datagram: &[u8]) -> Result<Segment, SegmentError> {
        Err(SegmentError::Short { len: datagram.len() })
    }

    fn encode_for_target(&self, _: &[u8], _: TargetToken, _: Cookie, _: &mut Vec<u8>) {}

    fn encode_reset(&self, _: &Segment, _: &mut Vec<u8>) {}

    fn caller_address(&self, caller: Ipv4Addr, flow_port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(caller, flow_port)
    }
}

/// Returns the setup of an instance that gets no packets of flows.
pub fn instance_setup(
    index: usize,
    link_mbps: f64,
    network: impl Fn(SocketAddr) -> Arc<dyn Network>,
) -> CookieInstanceSetup {
    let [peer, flow] = [PEER_PORT, FLOW_PORT].map(|port| SocketAddr::new(ip(index), port));
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    CookieInstanceSetup {
        forwarder: CookieForwarderSetup {
            id: format_smolstr!("entry-{data_centre}-{index}"),
            data_centre: data_centre.into(),
            flow_key: [7; 16],
            cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
            outage_bound: Duration::from_secs(5),
        },
        epoch: 1,
        is_first_start: true,
        peer,
        flow_port: FLOW_PORT,
        peer_keys: vec![(0, [1; 32])],
        link_mbps,
        seeds: (0..SEEDS).map(|index| SocketAddr::new(ip(index), PEER_PORT)).collect(),
        format: Arc::new(NullFormat),
        random: Arc::new(SeededRandom::new(index as u64)),
        flow_network: network(flow),
        peer_network: network(peer),
    }
}

/// Returns the registration of a target of the service `mailroom` that takes new flows.
pub fn ready_registration(number: usize) -> Registration {
    Registration {
        target: format_smolstr!("target-{number}"),
        token: number as TargetToken,
        service: "mailroom".into(),
        address: ([10, 64, (number >> 8) as u8, number as u8], 8_080).into(),
        data_centre: DATA_CENTRES[0].into(),
        state: RegistrationState::Ready,
        slots: 2,
        cold_left: Duration::ZERO,
        started: 1,
    }
}

fn ip(index: usize) -> std::net::IpAddr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    Ipv4Addr::new(10, 1, high, low).into()
}

/// Instances that follow the same store.
pub struct CookieFleet {
    instances: Vec<(SocketAddr, Arc<CookieInstance>)>,
    network: Arc<BandwidthLimitedNetwork>,
    platform: Arc<MemoryPlatform>,
    next_tick: Instant,
    /// Packets to targets and callers.
    outbox: Vec<Arrived>,
    _readers: JoinSet<()>,
}

impl CookieFleet {
    /// Starts `count` instances. The runtime's clock must be paused.
    pub fn start(count: usize, link: LinkLimits) -> Self {
        let platform = Arc::new(MemoryPlatform::default());
        let client = Arc::clone(&platform);
        Self::start_with(count, link, platform, |_| Arc::clone(&client) as Arc<dyn Platform>)
    }

    /// Starts `count` instances, each with the client of the store that `client` returns for its
    /// index. The runtime's clock must be paused.
    pub fn start_with(
        count: usize,
        link: LinkLimits,
        platform: Arc<MemoryPlatform>,
        client: impl Fn(usize) -> Arc<dyn Platform>,
    ) -> Self {
        Self::start_adapted(count, link, platform, client, |setup| setup)
    }

    /// Starts `count` instances again, all at once, after an outage of all: callers are there and
    /// the store has its contents. The packets of flows are in [`JsonFormat`].
    pub fn restart(count: usize, link: LinkLimits, platform: Arc<MemoryPlatform>) -> Self {
        let client = Arc::clone(&platform);
        Self::start_adapted(
            count,
            link,
            platform,
            |_| Arc::clone(&client) as Arc<dyn Platform>,
            |setup| CookieInstanceSetup {
                is_first_start: false,
                format: Arc::new(JsonFormat),
                ..setup
            },
        )
    }

    /// Starts `count` instances whose setups `adapt` changes.
    fn start_adapted(
        count: usize,
        link: LinkLimits,
        platform: Arc<MemoryPlatform>,
        client: impl Fn(usize) -> Arc<dyn Platform>,
        adapt: impl Fn(CookieInstanceSetup) -> CookieInstanceSetup,
    ) -> Self {
        let network = BandwidthLimitedNetwork::new(link);
        let mbps = link.bytes_per_second as f64 * BITS_PER_BYTE / 1e6;
        let now = Instant::now();
        let mut readers = JoinSet::new();
        let instances = (0..count).map(|index| {
            let setup = adapt(instance_setup(index, mbps, |address| network.port(address)));
            let peer = setup.peer;
            let instance = Arc::new(CookieInstance::new(setup, now));
            readers.spawn(directory_reader::run(Arc::clone(&instance), client(index)));
            instance.pull_directory(now);
            (peer, instance)
        });
        let instances = instances.collect();
        let outbox = Vec::new();
        Self { instances, network, platform, next_tick: now, outbox, _readers: readers }
    }

    /// Returns the store in memory that all instances follow.
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }

    /// Returns the network between the instances.
    pub fn network(&self) -> &BandwidthLimitedNetwork {
        &self.network
    }

    /// Returns the instances in the order of their start.
    pub fn instances(&self) -> impl Iterator<Item = &CookieInstance> {
        self.instances.iter().map(|(_, instance)| &**instance)
    }

    /// Returns the number of instances that have a given version of the routing in force.
    pub fn count_with_routing(&self, version: u64) -> usize {
        let has_version = |it: &&CookieInstance| {
            it.with_forwarder(|forwarder| forwarder.routes().version()) == version
        };
        self.instances().filter(has_version).count()
    }

    /// Passes a packet of a caller to an instance.
    pub fn inject(&self, index: usize, datagram: &[u8]) {
        let (_, instance) = &self.instances[index];
        instance.on_flow_datagram(Instant::now(), datagram, &mut Vec::new());
    }

    /// Removes and returns the packets to targets and callers that have arrived.
    pub fn take_outbox(&mut self) -> Vec<Arrived> {
        std::mem::take(&mut self.outbox)
    }

    /// Advances the clock by `time`, delivers the messages that arrive meanwhile and runs the ticks that
    /// are due.
    pub async fn run_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::time::sleep(STEP).await;
            let now = Instant::now();
            for (from, to, buf) in self.network.take_arrived(now) {
                let receiver = self.instances.iter().find(|(peer, _)| *peer == to);
                match receiver {
                    Some((_, instance)) => instance.on_peer_datagram(now, from, &buf),
                    None => self.outbox.push((from, to, buf)),
                }
            }
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                self.instances().for_each(|instance| {
                    instance.tick(now);
                });
            }
        }
    }
}
