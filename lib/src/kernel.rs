//! Decision logic of one instance, without sockets.
//!
//! The daemon passes received datagrams and clock ticks to the kernel, which sends through the
//! [`Network`] trait. Tests do the same with an in-memory network and a paused clock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::audit::AuditLedger;
use crate::audit_packets::record_packet;
use crate::capacity_allocator::CapacityAllocator;
use crate::config::{Config, RecordError};
use crate::config_gossip::{self, ConfigGossip};
use crate::config_store::ConfigStore;
use crate::default_table::Picker;
use crate::envelope::{EnvelopeError, Origin, PeerKey, Sealer};
use crate::flow::FlowHasher;
use crate::flow_messages::{Run, Step};
use crate::gossip::{Gossip, Outgoing};
use crate::grant::GrantClient;
use crate::ids::{DataCentreId, Epoch, InstanceId, Version};
use crate::key_claim::{KeyMessage, KeyRegistry};
use crate::log_limit::LogLimit;
use crate::message::{EpochNotice, Frame, Message, RelayedPacket};
use crate::metrics::Metrics;
use crate::network::Network;
use crate::packet::{self, PacketInfo};
use crate::plan::{Plan, Planner};
use crate::platform::{ListedInstance, Object};
use crate::random::Random;
use crate::span::{LogExporter, Tracer};
use crate::steering::{Arrival, Steering};
use crate::target::{TargetHandle, TargetRegistry};
use crate::verdict::Verdict;
use crate::view::{Member, MemberState, View};

/// Minimum time between two epoch notices.
const EPOCH_NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of rows in the audit ledger.
const MAX_AUDIT_ROWS: usize = 8_192;

/// Identity, limits, keys and collaborators that a kernel is created with.
pub struct KernelSetup {
    /// Name of the instance, unique in the deployment.
    pub id: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
    /// Epoch of this run of the instance; larger than those of its earlier runs unless the clock went
    /// back.
    pub epoch: Epoch,
    /// Address at which the instance receives messages of other instances.
    pub peer: SocketAddr,
    /// Address of the request gateway.
    pub request: SocketAddr,
    /// Address that packets for callers are sent to.
    pub egress: SocketAddr,
    /// Maximum number of flows that the instance holds.
    pub flow_capacity: usize,
    /// Maximum number of owners of each service in a data centre.
    pub owners_per_service: usize,
    /// Secret key of the flow hash.
    pub flow_key: [u8; 16],
    /// Numbered keys that authenticate messages between instances. The first key seals; every key
    /// opens, so that keys can be rotated.
    pub peer_keys: Vec<(u8, PeerKey)>,
    /// Builds the default tables of services.
    pub picker: Arc<dyn Picker>,
    /// Source of random numbers.
    pub random: Arc<dyn Random>,
    /// Sends packets to targets and to the fabric.
    pub flow_network: Arc<dyn Network>,
    /// Sends messages to other instances.
    pub peer_network: Arc<dyn Network>,
}

/// State and decision logic of one instance.
pub struct Kernel {
    pub(crate) setup: KernelSetup,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// State of the packet forwarder.
    pub steering: Steering,
    /// Idempotency keys that the instance knows, and its claims to them.
    pub keys: KeyRegistry,
    /// Wakes the request gateway when a grant arrives, so that waiting requests can start.
    pub grant_received: Notify,
    /// Counts of packets and requests by caller, service, target and reason of the decision.
    pub audit: AuditLedger,
    /// Records trace spans of sampled flows and requests.
    pub tracer: Tracer,
    sealer: Sealer,
    pub(crate) registry: TargetRegistry,
    planner: Planner,
    pub(crate) gossip: Mutex<Gossip>,
    pub(crate) allocator: Mutex<CapacityAllocator>,
    pub(crate) grants: Mutex<GrantClient>,
    configs: ConfigStore,
    tick_count: AtomicUsize,
    malformed_packets: LogLimit,
    refused_datagrams: LogLimit,
    last_epoch_notice: Mutex<Option<Instant>>,
}

impl Kernel {
    /// Creates the kernel of an instance that starts at `now`.
    pub fn new(setup: KernelSetup, now: Instant) -> Self {
        let me = Member {
            id: setup.id.clone(),
            data_centre: setup.data_centre.clone(),
            peer: setup.peer,
            request: setup.request,
            epoch: setup.epoch,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let (id, data_centre, owners) =
            (setup.id.clone(), setup.data_centre.clone(), setup.owners_per_service);
        let hasher = FlowHasher::new(setup.flow_key);
        Self {
            metrics: Arc::new(Metrics::new()),
            steering: Steering::new(
                id.clone(),
                data_centre.clone(),
                hasher,
                setup.flow_capacity,
                Arc::clone(&setup.picker),
                now,
            ),
            keys: KeyRegistry::new(id.clone(), data_centre.clone(), now),
            grant_received: Notify::new(),
            audit: AuditLedger::new(MAX_AUDIT_ROWS),
            tracer: Tracer::new(LogExporter),
            sealer: Sealer::new(id.clone(), setup.epoch, setup.peer_keys.clone()),
            registry: TargetRegistry::new(now),
            planner: Planner::new(
                id.clone(),
                data_centre.clone(),
                owners,
                Arc::clone(&setup.picker),
            ),
            gossip: Mutex::new(Gossip::new(me, Arc::clone(&setup.random))),
            allocator: Mutex::new(CapacityAllocator::new(id, data_centre, owners)),
            grants: Mutex::new(GrantClient::default()),
            configs: ConfigStore::new(ConfigGossip::new(
                setup.id.clone(),
                setup.data_centre.clone(),
                setup.epoch,
                Arc::clone(&setup.random),
            )),
            tick_count: AtomicUsize::new(0),
            malformed_packets: LogLimit::default(),
            refused_datagrams: LogLimit::default(),
            last_epoch_notice: Mutex::new(None),
            setup,
        }
    }

    /// Returns the name of the instance.
    pub fn id(&self) -> &InstanceId {
        &self.setup.id
    }

    /// Returns the data centre of the instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.setup.data_centre
    }

    /// Returns the epoch that the instance started with.
    pub fn epoch(&self) -> Epoch {
        self.setup.epoch
    }

    /// Returns the key for messages between instances with the given number, or `None` if there is no
    /// such key.
    pub fn peer_key(&self, number: u8) -> Option<PeerKey> {
        let mut keys = self.setup.peer_keys.iter();
        keys.find(|(candidate, _)| *candidate == number).map(|(_, key)| *key)
    }

    /// Returns the key that seals messages to other instances, preceded by its number.
    ///
    /// # Panics
    ///
    /// Panics if the kernel was created without a key.
    pub fn sealing_key(&self) -> (u8, PeerKey) {
        self.setup.peer_keys[0]
    }

    /// Returns the source of random numbers.
    pub fn random(&self) -> &Arc<dyn Random> {
        &self.setup.random
    }

    /// Returns the current view of the members of the cluster.
    pub fn view(&self) -> Arc<View> {
        self.gossip.lock().view()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.configs.config()
    }

    /// Returns the store of the configuration, which also exchanges it with other instances.
    pub fn configs(&self) -> &ConfigStore {
        &self.configs
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Arc<Plan> {
        self.steering.plan()
    }

    /// Returns the handle of a target, or `None` if this instance does not know it.
    pub fn target(&self, id: &str) -> Option<Arc<TargetHandle>> {
        self.registry.get(id)
    }

    /// Returns the numbered keys for messages between instances; the first one seals.
    pub fn peer_keys(&self) -> &[(u8, PeerKey)] {
        &self.setup.peer_keys
    }

    /// Returns whether the instance has announced its planned stop.
    pub fn is_leaving(&self) -> bool {
        let view = self.view();
        view.get(self.id()).is_some_and(|member| member.state == MemberState::Leaving)
    }

    /// Sends a message about idempotency keys to another instance.
    pub fn send_key_message(&self, to: SocketAddr, message: KeyMessage) {
        self.send_message(to, Message::Key(message));
    }

    /// Sends all idempotency keys to the instances that own or witness them once this instance has
    /// stopped.
    pub fn hand_over_keys(&self) {
        for (to, message) in self.keys.transfer_all(&self.plan()) {
            self.send_key_message(to, message);
        }
    }

    /// Applies objects of the platform that are newer than the known ones, and returns the errors of
    /// those that cannot be read.
    pub fn apply(&self, objects: &[Object]) -> Vec<RecordError> {
        let errors = self.configs.apply(objects);
        self.refresh_plan();
        errors
    }

    /// Applies objects received from the platform, and sends the newer ones to other instances.
    /// `complete` is the version up to which the objects include every change, if known.
    pub fn publish(&self, now: Instant, objects: &[Object], complete: Option<Version>) {
        let outgoing = self.configs.publish(now, &self.view(), objects, complete);
        self.send_config(outgoing);
        self.refresh_plan();
    }

    /// Makes the instances that the platform lists the seeds of gossip. The list may be out of date,
    /// so it only suggests where other instances may be.
    pub fn seed(&self, listed: &[ListedInstance]) {
        self.gossip.lock().seed(listed);
    }

    /// Announces the planned stop of the instance.
    pub fn leave(&self, now: Instant) {
        let outgoing = self.gossip.lock().leave(now);
        self.send_gossip(outgoing);
        self.refresh_plan();
        self.steering.leave();
        self.tick_steering(now);
    }

    /// Runs the periodic work that is due: gossip, exchange of configuration, grants and idempotency
    /// keys, and expiry of flows.
    pub fn tick(&self, now: Instant) {
        let outgoing = self.gossip.lock().tick(now);
        self.send_gossip(outgoing);
        self.send_config(self.configs.tick(now, &self.view()));
        self.refresh_plan();
        self.steering.set_settled(self.gossip.lock().is_settled(now));
        self.update_allocator(now);
        self.request_grants(now);
        self.tick_steering(now);
        for (to, message) in self.keys.tick(now, &self.plan()) {
            self.send_key_message(to, message);
        }
        self.steering.expire(self.tick_count.fetch_add(1, Ordering::Relaxed), now);
        self.update_gauges();
    }

    /// Handles a datagram at the packet forwarder: a packet of a caller or of a target.
    pub fn on_flow_datagram(&self, now: Instant, from: SocketAddr, buf: &[u8]) {
        let info = match packet::parse(buf) {
            Ok(info) => info,
            Err(err) => {
                if let Some(suppressed) = self.malformed_packets.allow(now) {
                    log::warn!(suppressed; "packet from {from} dropped: {err}");
                }
                return Metrics::count(&self.metrics.packets, "malformed");
            }
        };
        let arrival = Arrival::from_fabric(from);
        let verdict = if self.steering.is_reply(&info.key) {
            self.steering.on_reply(now, &info, from)
        } else {
            self.steering.on_packet(now, &info, &arrival)
        };
        self.note_packet(&info, &verdict);
        self.execute(verdict, buf, &arrival);
    }

    /// Handles a datagram from another instance.
    pub fn on_peer_datagram(&self, now: Instant, from: SocketAddr, buf: &[u8]) {
        let (origin, body) = match self.sealer.open(buf) {
            Ok(opened) => opened,
            Err(err) => {
                self.log_refused(now, from, &err);
                self.send_epoch_notice(now, from, &err);
                return Metrics::count(&self.metrics.refused_datagrams, refusal_label(&err));
            }
        };
        match Frame::decode(body) {
            Ok(Frame::Relay(relayed)) => self.on_relayed(now, from, relayed),
            Ok(Frame::Control(message)) => self.on_message(now, &origin, from, message),
            Err(err) => {
                self.log_refused(now, from, &err);
                Metrics::count(&self.metrics.refused_datagrams, "malformed");
            }
        }
    }

    fn log_refused(&self, now: Instant, from: SocketAddr, err: &dyn std::error::Error) {
        if let Some(suppressed) = self.refused_datagrams.allow(now) {
            log::warn!(suppressed; "datagram from {from} refused: {err}");
        }
    }

    fn on_relayed(&self, now: Instant, from: SocketAddr, relayed: RelayedPacket<'_>) {
        if let Step::Kept { hash, data_centre } = &relayed.step {
            return self.steering.on_kept(now, *hash, data_centre);
        }
        let Ok(info) = packet::parse(relayed.packet) else {
            return Metrics::count(&self.metrics.packets, "malformed");
        };
        let arrival = Arrival { from, hops: relayed.hops, step: relayed.step };
        let verdict = self.steering.on_packet(now, &info, &arrival);
        self.note_packet(&info, &verdict);
        self.execute(verdict, relayed.packet, &arrival);
    }

    fn on_message(&self, now: Instant, origin: &Origin, from: SocketAddr, message: Message) {
        match message {
            Message::Gossip(message) if message.from.id != origin.sender => {
                Metrics::count(&self.metrics.refused_datagrams, "foreign");
            }
            Message::Gossip(message) => {
                let outgoing = self.gossip.lock().handle(now, message);
                self.sync_epoch();
                self.send_gossip(outgoing);
                self.refresh_plan();
            }
            Message::EpochNotice(notice) if notice.instance != self.setup.id => {
                Metrics::count(&self.metrics.refused_datagrams, "foreign");
            }
            Message::EpochNotice(notice) => {
                self.gossip.lock().raise_epoch(notice.known);
                self.sync_epoch();
            }
            Message::GrantRequest(req) => self.on_grant_request(now, origin, from, &req),
            Message::GrantReply(reply) => self.on_grant_reply(&origin.sender, &reply),
            Message::Overrides(batch) => {
                let ack = self.steering.on_overrides(now, &run_of(origin), &batch);
                if let Some(ack) = ack {
                    self.send_message(from, Message::OverrideAck(ack));
                }
            }
            Message::OverrideAck(ack) => self.steering.on_override_ack(&run_of(origin), &ack),
            Message::BaseTable(update) => {
                let ack = self.steering.on_base_table(now, &origin.sender, &update);
                self.send_message(from, Message::BaseTableAck(ack));
            }
            Message::BaseTableAck(ack) => self.steering.on_base_table_ack(&run_of(origin), &ack),
            Message::Key(message) => {
                if let Some(answer) = self.keys.handle(now, origin, message) {
                    self.send_key_message(from, answer);
                }
            }
            Message::Config(message) => {
                let view = self.view();
                let outgoing = self.configs.handle(now, &view, &origin.sender, from, message);
                self.send_config(outgoing);
                self.refresh_plan();
            }
            // Only instances that forward packets with cookies exchange directory messages, and they
            // have no kernel.
            Message::Directory(_) => Metrics::count(&self.metrics.refused_datagrams, "unexpected"),
        }
    }

    fn sync_epoch(&self) {
        self.sealer.raise_epoch(self.gossip.lock().epoch());
    }

    /// Sends an instance its latest known epoch when its datagram carried an earlier one, as its clock
    /// may have gone back. Sends at most one notice per [`EPOCH_NOTICE_INTERVAL`].
    fn send_epoch_notice(&self, now: Instant, to: SocketAddr, err: &EnvelopeError) {
        let EnvelopeError::Outdated { sender, known } = err else { return };
        let mut last = self.last_epoch_notice.lock();
        if last.is_some_and(|last| now < last + EPOCH_NOTICE_INTERVAL) {
            return;
        }
        *last = Some(now);
        drop(last);
        let notice = EpochNotice { instance: sender.clone(), known: *known };
        self.send_message(to, Message::EpochNotice(notice));
    }

    fn execute(&self, verdict: Verdict, buf: &[u8], arrival: &Arrival) {
        let outcome = match verdict {
            Verdict::Deliver { to } => {
                self.setup.flow_network.send(to, buf);
                "delivered"
            }
            Verdict::Relay { to, step } => {
                let hops = arrival.hops + u8::from(step == Step::Steer);
                self.relay(to, buf, hops, step);
                "relayed"
            }
            Verdict::Keep { to, hash } => {
                self.setup.flow_network.send(to, buf);
                let data_centre = self.setup.data_centre.clone();
                self.relay(arrival.from, &[], arrival.hops, Step::Kept { hash, data_centre });
                "delivered"
            }
            Verdict::Reset { target } => {
                self.reset(target, buf);
                "reset"
            }
            Verdict::Egress => {
                self.setup.flow_network.send(self.setup.egress, buf);
                "egress"
            }
            Verdict::Drop(reason) => reason.label(),
        };
        Metrics::count(&self.metrics.packets, outcome);
    }

    /// Resets the flow of a packet at its sender and, if `target` is given, at the target.
    fn reset(&self, target: Option<SocketAddr>, buf: &[u8]) {
        if let Some(packet) = packet::reset_to_sender(buf) {
            self.setup.flow_network.send(self.setup.egress, &packet);
        }
        let to_target = target.and_then(|to| Some((to, packet::reset_to_receiver(buf)?)));
        if let Some((to, packet)) = to_target {
            self.setup.flow_network.send(to, &packet);
        }
    }

    fn note_packet(&self, info: &PacketInfo, verdict: &Verdict) {
        record_packet(&self.audit, &self.plan(), info, verdict);
        if self.tracer.samples_flows() {
            let hash = self.steering.hash(&info.key);
            self.tracer.record_hop(hash, &info.key, verdict.label());
        }
    }

    fn relay(&self, to: SocketAddr, packet: &[u8], hops: u8, step: Step) {
        let view = self.plan().view.digest();
        self.send_frame(to, &Frame::Relay(RelayedPacket { hops, view, step, packet }));
    }

    fn tick_steering(&self, now: Instant) {
        let messages = self.steering.tick(now);
        let plan = self.plan();
        for (to, message) in messages {
            if let Some(member) = plan.view.get(&to) {
                self.send_message(member.peer, message);
            }
        }
    }

    pub(crate) fn send_message(&self, to: SocketAddr, message: Message) {
        if let Some(bytes) = self.send_frame(to, &Frame::Control(message)) {
            self.metrics.control_bytes.inc_by(bytes as u64);
        }
    }

    fn send_frame(&self, to: SocketAddr, frame: &Frame<'_>) -> Option<usize> {
        match frame.encode() {
            Ok(body) => {
                let sealed = self.sealer.seal(&body);
                self.setup.peer_network.send(to, &sealed);
                Some(sealed.len())
            }
            Err(err) => {
                log::error!("cannot encode message to {to}: {err}");
                None
            }
        }
    }

    fn send_gossip(&self, outgoing: Vec<Outgoing>) {
        for (to, message) in outgoing {
            self.send_message(to, Message::Gossip(message));
        }
    }

    fn send_config(&self, outgoing: Vec<config_gossip::Outgoing>) {
        for (to, message) in outgoing {
            self.send_message(to, Message::Config(message));
        }
    }

    fn refresh_plan(&self) {
        let (view, config, plan) = (self.view(), self.config(), self.plan());
        if Arc::ptr_eq(&plan.view, &view) && Arc::ptr_eq(&plan.config, &config) {
            return;
        }
        if !Arc::ptr_eq(&plan.view, &view) {
            self.keys.note_view(Instant::now(), &plan.view, &view);
        }
        let next = self.planner.plan(view, config, &self.registry, &plan);
        self.steering.set_plan(Arc::new(next));
    }

    fn update_gauges(&self) {
        let plan = self.plan();
        self.metrics.flows.set(self.steering.bindings().len() as i64);
        self.metrics.members.set(plan.view.members().len() as i64);
        self.metrics.config_version.set(plan.config.version() as i64);
    }
}

fn run_of(origin: &Origin) -> Run {
    Run { id: origin.sender.clone(), epoch: origin.epoch }
}

fn refusal_label(err: &EnvelopeError) -> &'static str {
    match err {
        EnvelopeError::Malformed => "malformed",
        EnvelopeError::UnknownKey => "unknown_key",
        EnvelopeError::Forged => "forged",
        EnvelopeError::Replayed => "replayed",
        EnvelopeError::Outdated { .. } => "outdated",
    }
}
