//! Several kernels in one process, connected by an in-memory network on a paused clock.
//!
//! Replays and tests use it. It does not simulate callers or backend servers: it passes given
//! packets to the instances and collects the packets that leave the fleet.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::default_table::BoundedRendezvous;
use crate::entry::TICK_INTERVAL;
use crate::ids::{Epoch, InstanceId};
use crate::kernel::{Kernel, KernelSetup};
use crate::memory_network::{Datagram, MemoryNetwork};
use crate::platform::{ListedInstance, Object};
use crate::random::SeededRandom;

const FLOW_PORT: u16 = 6080;
const PEER_PORT: u16 = 6081;
const REQUEST_PORT: u16 = 8080;
const FLOW_CAPACITY: usize = 400_000;
const OWNERS_PER_SERVICE: usize = 8;

/// Address to which instances send packets that are destined for callers.
pub const EGRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1)), 6080);

struct Member {
    kernel: Arc<Kernel>,
    ip: IpAddr,
    is_frozen: bool,
}

/// Several kernels in one process, connected by an in-memory network.
pub struct Fleet {
    seed: u64,
    network: Arc<MemoryNetwork>,
    members: BTreeMap<InstanceId, Member>,
    started_count: u16,
    /// Objects that each new instance applies at its start.
    objects: Vec<Object>,
    next_tick: Instant,
    /// Datagrams whose receiver is not in the fleet.
    outbox: Vec<Datagram>,
}

impl Fleet {
    /// Creates a fleet without instances. The clock of the Tokio runtime must be paused.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            network: MemoryNetwork::new(Arc::new(SeededRandom::new(seed))),
            members: BTreeMap::new(),
            started_count: 0,
            objects: Vec::new(),
            next_tick: Instant::now(),
            outbox: Vec::new(),
        }
    }

    /// Returns the network that connects the instances.
    pub fn network(&self) -> &Arc<MemoryNetwork> {
        &self.network
    }

    /// Starts an instance with the current configuration, and sends all instances the new list of
    /// instances.
    pub fn start(&mut self, name: &str, data_centre: &str) -> Arc<Kernel> {
        let epoch = u64::from(self.started_count) + 1;
        self.start_with_epoch(name, data_centre, epoch)
    }

    /// Starts an instance like [`Fleet::start`], but with a given epoch, which distinguishes the
    /// runs of an instance.
    pub fn start_with_epoch(&mut self, name: &str, data_centre: &str, epoch: Epoch) -> Arc<Kernel> {
        self.started_count += 1;
        let [high, low] = self.started_count.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(10, 8, high, low));
        let kernel =
            Arc::new(Kernel::new(self.setup(name, data_centre, ip, epoch), Instant::now()));
        kernel.apply(&self.objects);
        let member = Member { kernel: Arc::clone(&kernel), ip, is_frozen: false };
        self.members.insert(name.into(), member);
        self.update_instances();
        kernel
    }

    fn setup(&self, name: &str, data_centre: &str, ip: IpAddr, epoch: Epoch) -> KernelSetup {
        let flow = SocketAddr::new(ip, FLOW_PORT);
        let peer = SocketAddr::new(ip, PEER_PORT);
        KernelSetup {
            id: name.into(),
            data_centre: data_centre.into(),
            epoch,
            peer,
            request: SocketAddr::new(ip, REQUEST_PORT),
            egress: EGRESS,
            flow_capacity: FLOW_CAPACITY,
            owners_per_service: OWNERS_PER_SERVICE,
            flow_key: [7; 16],
            peer_keys: vec![(1, [9; 32])],
            picker: Arc::new(BoundedRendezvous),
            random: Arc::new(SeededRandom::new(self.seed + u64::from(self.started_count))),
            flow_network: self.network.port(flow),
            peer_network: self.network.port(peer),
        }
    }

    /// Removes an instance at once, without an announcement to the others.
    pub fn kill(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Stops an instance from processing; datagrams to it are lost until [`Fleet::thaw`].
    pub fn freeze(&mut self, name: &str) {
        self.set_frozen(name, true);
    }

    /// Resumes a frozen instance.
    pub fn thaw(&mut self, name: &str) {
        self.set_frozen(name, false);
    }

    fn set_frozen(&mut self, name: &str, is_frozen: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.is_frozen = is_frozen;
        }
    }

    /// Returns the kernel of an instance, or nothing when no such instance runs.
    pub fn kernel(&self, name: &str) -> Option<&Arc<Kernel>> {
        self.members.get(name).map(|member| &member.kernel)
    }

    /// Returns the kernels of all instances, ordered by name.
    pub fn kernels(&self) -> impl Iterator<Item = &Arc<Kernel>> {
        self.members.values().map(|member| &member.kernel)
    }

    /// Returns the IP address of an instance.
    pub fn ip(&self, name: &str) -> Option<IpAddr> {
        self.members.get(name).map(|member| member.ip)
    }

    /// Separates two groups of instances by a network partition, in both directions.
    pub fn cut(&self, a: &[&str], b: &[&str]) {
        for (a, b) in a.iter().flat_map(|a| b.iter().map(move |b| (a, b))) {
            if let (Some(a), Some(b)) = (self.ip(a), self.ip(b)) {
                self.network.cut(a, b);
            }
        }
    }

    /// Applies platform objects to every instance that is not frozen, and to those that start
    /// later.
    pub fn apply(&mut self, objects: &[Object]) {
        self.objects.extend_from_slice(objects);
        for member in self.members.values().filter(|member| !member.is_frozen) {
            member.kernel.apply(objects);
        }
    }

    /// Adds a platform object that only instances that start later apply.
    pub fn add_initial_object(&mut self, object: &Object) {
        self.objects.push(object.clone());
    }

    /// Applies platform objects to one instance only.
    pub fn apply_to(&self, name: &str, objects: &[Object]) {
        if let Some(kernel) = self.kernel(name) {
            kernel.apply(objects);
        }
    }

    /// Sends the list of instances to every instance that is not frozen.
    pub fn update_instances(&self) {
        let listed: Vec<_> =
            self.members.iter().map(|(name, member)| listed_instance(name, member)).collect();
        for member in self.members.values().filter(|member| !member.is_frozen) {
            member.kernel.seed(&listed);
        }
    }

    /// Passes a packet from a caller to the packet forwarder of an instance.
    pub fn inject(&self, name: &str, packet: &[u8]) {
        if let Some(member) = self.members.get(name).filter(|member| !member.is_frozen) {
            member.kernel.on_flow_datagram(Instant::now(), EGRESS, packet);
        }
    }

    /// Passes a packet from a target's tunnel address to the packet forwarder of an instance.
    pub fn inject_reply(&self, name: &str, tunnel: SocketAddr, packet: &[u8]) {
        if let Some(member) = self.members.get(name).filter(|member| !member.is_frozen) {
            member.kernel.on_flow_datagram(Instant::now(), tunnel, packet);
        }
    }

    /// Advances the clock, and delivers datagrams and runs the periodic ticks of the instances at
    /// their due times.
    ///
    /// # Panics
    ///
    /// Panics when the clock is not paused.
    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let arrival = self.network.next_arrival().unwrap_or(until);
            let next = arrival.min(self.next_tick).min(until);
            tokio::time::advance(next.saturating_duration_since(Instant::now())).await;
            self.deliver();
            self.tick();
            if Instant::now() >= until {
                return;
            }
        }
    }

    /// Removes and returns the packets that left the fleet since the last call: those to targets,
    /// and those to callers, which are sent to [`EGRESS`].
    pub fn take_outbox(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        for member in self.members.values().filter(|member| !member.is_frozen) {
            member.kernel.tick(now);
        }
    }

    fn deliver(&mut self) {
        let now = Instant::now();
        for datagram in self.network.take_arrived(now) {
            let member = self.members.values().find(|member| member.ip == datagram.to.ip());
            match member {
                Some(member) if member.is_frozen => {}
                Some(member) if datagram.to.port() == PEER_PORT => {
                    member.kernel.on_peer_datagram(now, datagram.from, &datagram.bytes);
                }
                Some(member) => {
                    member.kernel.on_flow_datagram(now, datagram.from, &datagram.bytes);
                }
                None => self.outbox.push(datagram),
            }
        }
    }
}

fn listed_instance(name: &InstanceId, member: &Member) -> ListedInstance {
    ListedInstance {
        name: name.clone(),
        data_centre: member.kernel.data_centre().clone(),
        peer: SocketAddr::new(member.ip, PEER_PORT),
        leaving: false,
    }
}
