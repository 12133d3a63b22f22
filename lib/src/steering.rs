//! Decides for each packet of the packet forwarder where it goes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::binding::{Binding, Bindings, SHARD_COUNT};
use crate::data_centre_transitions::DataCentreTransitions;
use crate::default_table::Picker;
use crate::flow::{FlowHasher, FlowKey, Protocol};
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, OverrideAck, OverrideBatch, Run, Step};
use crate::handover::{AddressedMessage, Handover};
use crate::ids::{DataCentreId, FlowHash, InstanceId};
use crate::lookup::{self, FlowLocations, LOCATION_INDEX};
use crate::owner::{bucket_of, Home};
use crate::packet::{Control, PacketInfo};
use crate::path_failure::TargetLinks;
use crate::plan::{Plan, ServicePlan};
use crate::target::{Allowance, TargetHandle};
use crate::verdict::{DropReason, Verdict};

/// Number of times that a packet may be relayed.
pub const MAX_HOPS: u8 = 4;
/// Time without a tick after which an instance takes itself to have been paused.
pub const STALL_AFTER: Duration = Duration::from_millis(1_500);
/// Time after its start or a pause in which an instance places no flows, until it has heard of the
/// others.
pub const REJOIN_TIME: Duration = Duration::from_secs(2);
/// Number of questions about unknown flows that an instance asks between two ticks.
pub const QUERIES_PER_TICK: u32 = 2_000;
/// Part of the flow table's capacity that placement overrides may take: one in this many.
pub const OVERRIDE_DIVISOR: usize = 4;

/// How a packet came to this instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Who sent it.
    pub from: SocketAddr,
    /// Number of times that it was relayed.
    pub hops: u8,
    /// What is asked.
    pub step: Step,
}

impl Arrival {
    /// Returns the arrival of a packet from the fabric.
    pub fn of_fabric(from: SocketAddr) -> Self {
        Self { from, hops: 0, step: Step::Steer }
    }
}

/// A packet of a flow of a known service.
pub(crate) struct Packet<'a> {
    pub(crate) now: Instant,
    pub(crate) plan: &'a Plan,
    pub(crate) service: &'a ServicePlan,
    pub(crate) hash: FlowHash,
    pub(crate) protocol: Protocol,
    pub(crate) control: Control,
}

#[derive(Debug)]
struct TickState {
    last_tick: Instant,
    trusted_from: Instant,
}

/// State of the packet forwarder of one instance.
pub struct Steering {
    pub(crate) me: InstanceId,
    pub(crate) data_centre: DataCentreId,
    hasher: FlowHasher,
    pub(crate) bindings: Bindings,
    links: TargetLinks,
    pub(crate) handover: Handover,
    pub(crate) locations: FlowLocations,
    pub(crate) transitions: DataCentreTransitions,
    tick_state: Mutex<TickState>,
    is_settled: AtomicBool,
    pub(crate) queries: AtomicU32,
    plan: RwLock<Arc<Plan>>,
}

impl Steering {
    /// Creates the state of an instance that knows nothing yet.
    pub fn new(
        me: InstanceId,
        data_centre: DataCentreId,
        hasher: FlowHasher,
        capacity: usize,
        picker: Arc<dyn Picker>,
        now: Instant,
    ) -> Self {
        let handover = Handover::new(me.clone(), capacity.div_ceil(OVERRIDE_DIVISOR), picker);
        Self {
            me,
            data_centre,
            hasher,
            bindings: Bindings::new(capacity, now),
            links: TargetLinks::default(),
            handover,
            locations: FlowLocations::new(capacity),
            transitions: DataCentreTransitions::default(),
            tick_state: Mutex::new(TickState { last_tick: now, trusted_from: now + REJOIN_TIME }),
            is_settled: AtomicBool::new(false),
            queries: AtomicU32::new(0),
            plan: RwLock::new(Arc::new(Plan::default())),
        }
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Arc<Plan> {
        Arc::clone(&self.plan.read())
    }

    /// Puts a new plan in force.
    ///
    /// Targets that are gone, or that have another service or address by now, get no packets of
    /// their former flows from here on, whatever their grants said.
    pub fn set_plan(&self, plan: Arc<Plan>) {
        let old = std::mem::replace(&mut *self.plan.write(), plan);
        let plan = self.plan();
        for service in old.services() {
            for handle in &service.local_targets {
                let now =
                    plan.service(&service.service).filter(|now| !now.local_targets.is_empty());
                if now.is_some_and(|now| !now.has_handle(handle)) {
                    self.revoke(handle);
                }
            }
        }
    }

    fn revoke(&self, handle: &TargetHandle) {
        let past = self.bindings.clock().origin();
        handle.allow(&Allowance { connections: 0, slots: 0, new_until: past, open_until: past });
    }

    /// Returns the hash of a flow.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        self.hasher.hash(key)
    }

    /// Returns the flows that this instance holds.
    pub fn bindings(&self) -> &Bindings {
        &self.bindings
    }

    /// Returns what is passed to other instances.
    pub fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Returns the data centre of this instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Decides on a packet that came from the fabric or from another instance.
    pub fn on_packet(&self, now: Instant, info: &PacketInfo, arrival: &Arrival) -> Verdict {
        let plan = self.plan.read();
        let Some(service) = plan.service_at(info.key.protocol, info.key.service) else {
            return Verdict::Drop(DropReason::NoService);
        };
        let packet = Packet {
            now,
            plan: &plan,
            service,
            hash: self.hasher.hash(&info.key),
            protocol: info.key.protocol,
            control: info.control,
        };
        match &arrival.step {
            Step::Steer => {
                self.deliver_held(&packet).unwrap_or_else(|| self.steer(&packet, arrival.hops))
            }
            Step::Place => self.place_for_other(&packet),
            Step::Query { index } => self.answer(&packet, arrival.from, *index),
            Step::Missed { index } => self.query_next_candidate(&packet, *index, arrival.hops),
            Step::Found { target } => self.take_over(&packet, target),
            Step::Kept { .. } => Verdict::Drop(DropReason::NoService),
        }
    }

    /// Notes that another data centre keeps a flow.
    pub fn on_kept(&self, now: Instant, hash: FlowHash, data_centre: &DataCentreId) {
        if *data_centre != self.data_centre {
            self.locations.insert(hash, data_centre, now);
        }
    }

    /// Decides on a packet that a target sent from `from`.
    pub fn on_reply(&self, now: Instant, info: &PacketInfo, from: SocketAddr) -> Verdict {
        let plan = self.plan();
        let key = info.key.reversed();
        let service = plan.service_at(key.protocol, key.service).map(|service| &service.service);
        if service.is_none() || plan.service_of_tunnel(from) != service {
            return Verdict::Drop(DropReason::Foreign);
        }
        let ticks = self.bindings.clock().ticks(now);
        self.bindings.with(self.hasher.hash(&key), |binding| {
            if binding.target.handle.tunnel() == from {
                binding.note_received(ticks, info.control);
                binding.target.note_received(ticks);
            }
        });
        Verdict::Egress
    }

    /// Tells whether a data centre takes new work of a given hash: one that was brought back takes
    /// a share that grows.
    pub fn admits(&self, data_centre: &str, hash: u64, now: Instant) -> bool {
        self.transitions.takes_new(data_centre, hash, now)
    }

    /// Tells whether a packet goes from a service to a caller.
    pub fn is_reply(&self, key: &FlowKey) -> bool {
        let plan = self.plan.read();
        plan.service_at(key.protocol, key.service).is_none()
            && plan.service_at(key.protocol, key.caller).is_some()
    }

    /// Notes whether this instance knows the others well enough to place flows.
    pub fn set_settled(&self, is_settled: bool) {
        self.is_settled.store(is_settled, Ordering::Relaxed);
    }

    /// Prepares the planned stop of this instance.
    pub fn leave(&self) {
        self.handover.leave();
    }

    /// Does what is due, and returns the messages to send.
    pub fn tick(&self, now: Instant) -> Vec<AddressedMessage> {
        let plan = self.plan();
        self.note_tick(now);
        self.queries.store(0, Ordering::Relaxed);
        self.transitions.update(&plan, now);
        self.handover.tick(now, &plan, &self.bindings)
    }

    /// Forgets closed and idle flows of one shard, the next one at each call.
    pub fn expire(&self, round: usize, now: Instant) {
        let ended = self.bindings.expire(round % SHARD_COUNT, now);
        self.handover.record_ended(&ended);
        self.locations.expire(round % SHARD_COUNT, now);
    }

    /// Takes placement overrides of another instance, and returns their acknowledgement.
    pub fn on_overrides(
        &self,
        now: Instant,
        from: &Run,
        batch: &OverrideBatch,
    ) -> Option<OverrideAck> {
        self.handover.on_batch(now, &self.plan(), from, batch)
    }

    /// Takes the acknowledgement of placement overrides.
    pub fn on_override_ack(&self, from: &Run, ack: &OverrideAck) {
        self.handover.on_ack(from, ack);
    }

    /// Takes the base table of another instance, and returns the acknowledgement.
    pub fn on_base_table(
        &self,
        now: Instant,
        from: &InstanceId,
        update: &BaseTableUpdate,
    ) -> BaseTableAck {
        self.handover.on_update(now, from, update)
    }

    /// Takes the acknowledgement of a base table.
    pub fn on_base_table_ack(&self, from: &Run, ack: &BaseTableAck) {
        self.handover.on_base_table_ack(from, ack);
    }

    /// Delivers a packet of an open flow that is held here, whoever owns it by now: its target
    /// stays the same. Returns `None` for every packet that needs a closer look.
    fn deliver_held(&self, packet: &Packet<'_>) -> Option<Verdict> {
        if packet.control.opens {
            return None;
        }
        let service = packet.service;
        let ticks = self.bindings.clock().ticks(packet.now);
        let held = self.bindings.with_open(packet.hash, |binding| {
            let target = &binding.target.handle;
            let passes = !binding.has_moved()
                && service.is_in_service
                && !binding.unanswered.is_path_lost(&binding.target, ticks)
                && *target.service() == service.service
                && target.carries_open(packet.now);
            let to = target.tunnel();
            passes.then(|| {
                binding.note_sent(ticks, packet.control);
                Verdict::Deliver { to }
            })
        });
        held.flatten()
    }

    fn steer(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        let service = packet.service;
        let is_new = packet.control.opens;
        let accepts = |home: &Home| if is_new { home.takes_new() } else { home.is_available() };
        let Some(home) = service.homes.first(packet.hash, accepts) else {
            return self.refuse_homeless(packet);
        };
        match home.owners.owner(bucket_of(packet.hash)) {
            Some(owner) if *owner != self.me => relay(packet.plan, owner, hops),
            Some(_) => self.own(packet, hops),
            None => Verdict::Drop(DropReason::NoOwner),
        }
    }

    fn refuse_homeless(&self, packet: &Packet<'_>) -> Verdict {
        let top = packet.service.homes.first(packet.hash, |_| true);
        match top {
            Some(top) if !top.is_in_service && !packet.control.opens => {
                Verdict::Reset { target: None }
            }
            _ => Verdict::Drop(DropReason::NoHome),
        }
    }

    fn own(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        if let Some(verdict) = self.relay_to_known_location(packet) {
            return verdict;
        }
        if let Some(target) = self.handover.find(packet.hash, &packet.service.service) {
            if !packet.control.opens || target.takes_new(packet.now) {
                return self.bind_known(packet, &target);
            }
        }
        if packet.control.opens {
            return self.open(packet);
        }
        self.query_candidate(packet, 0, hops)
    }

    /// Delivers a packet of a flow that is held here.
    pub(crate) fn deliver(&self, packet: &Packet<'_>) -> Option<Verdict> {
        let ticks = self.bindings.clock().ticks(packet.now);
        let verdict = self.bindings.on_sent(packet.hash, packet.control, packet.now, |binding| {
            let target = &binding.target.handle;
            if *target.service() != packet.service.service {
                return None;
            }
            let is_gone =
                !packet.service.local_targets.is_empty() && !packet.service.has_handle(target);
            if !packet.service.is_in_service || is_gone {
                return Some(Verdict::Reset { target: None });
            }
            let is_tcp = packet.protocol == Protocol::Tcp;
            if is_tcp && binding.unanswered.is_path_lost(&binding.target, ticks) {
                return Some(Verdict::Reset { target: Some(target.tunnel()) });
            }
            Some(send_open(target, packet.now))
        });
        let verdict = verdict.flatten()?;
        if matches!(verdict, Verdict::Reset { .. }) {
            self.forget(packet.hash);
        }
        Some(verdict)
    }

    fn forget(&self, hash: FlowHash) {
        if self.bindings.remove(hash).is_some_and(|binding| binding.is_override()) {
            self.handover.record_ended(&[hash]);
        }
    }

    fn relay_to_known_location(&self, packet: &Packet<'_>) -> Option<Verdict> {
        let data_centre = self.locations.get(packet.hash, packet.now)?;
        match lookup::owner_in(packet.plan, packet.service, &data_centre, packet.hash) {
            Some(to) if packet.control.opens => Some(Verdict::Relay { to, step: Step::Place }),
            Some(to) => Some(Verdict::Relay { to, step: Step::Query { index: LOCATION_INDEX } }),
            None => {
                self.locations.remove(packet.hash);
                None
            }
        }
    }

    /// Places a new flow here, or in the next data centre while this one's share is still small.
    fn open(&self, packet: &Packet<'_>) -> Verdict {
        if self.is_stalled(packet.now) {
            return Verdict::Drop(DropReason::Stalled);
        }
        if !self.transitions.takes_new(&self.data_centre, packet.hash, packet.now) {
            if let Some(verdict) = self.relay_to_next_home(packet) {
                return verdict;
            }
        }
        self.place(packet)
    }

    fn relay_to_next_home(&self, packet: &Packet<'_>) -> Option<Verdict> {
        let is_other = |home: &Home| {
            home.takes_new()
                && home.data_centre != self.data_centre
                && self.transitions.takes_new(&home.data_centre, packet.hash, packet.now)
        };
        let home = packet.service.homes.first(packet.hash, is_other)?;
        let to = lookup::owner_in(packet.plan, packet.service, &home.data_centre, packet.hash)?;
        self.locations.insert(packet.hash, &home.data_centre, packet.now);
        Some(Verdict::Relay { to, step: Step::Place })
    }

    fn place_for_other(&self, packet: &Packet<'_>) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        if packet.control.opens {
            self.place(packet)
        } else {
            Verdict::Drop(DropReason::NoOwner)
        }
    }

    fn place(&self, packet: &Packet<'_>) -> Verdict {
        if !packet.service.is_in_service {
            return Verdict::Drop(DropReason::NoHome);
        }
        match choose(packet.service, packet.hash, packet.now) {
            Some(target) => {
                self.bind_new(packet, &target, Verdict::Deliver { to: target.tunnel() })
            }
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    /// Binds a flow that another instance told of, and delivers its packet.
    pub(crate) fn bind_known(&self, packet: &Packet<'_>, target: &Arc<TargetHandle>) -> Verdict {
        if !self.bindings.insert_open(packet.hash, self.binding(packet, target)) {
            return Verdict::Drop(DropReason::TableFull);
        }
        send_open(target, packet.now)
    }

    /// Binds a flow that nobody knew, and delivers its packet when `verdict` says so.
    pub(crate) fn bind_new(
        &self,
        packet: &Packet<'_>,
        target: &Arc<TargetHandle>,
        verdict: Verdict,
    ) -> Verdict {
        if !self.bindings.insert_pending(packet.hash, self.binding(packet, target)) {
            return Verdict::Drop(DropReason::TableFull);
        }
        verdict
    }

    fn binding(&self, packet: &Packet<'_>, target: &Arc<TargetHandle>) -> Binding {
        let (hash, service) = (packet.hash, packet.service);
        let ticks = self.bindings.clock().ticks(packet.now);
        let mut binding = Binding::new(self.links.of(target), packet.protocol, ticks);
        if self.handover.is_override(service, hash, target.id()) {
            binding.set_override(true);
            self.handover.record_override(service, hash, target, packet.now);
        }
        binding
    }

    fn note_tick(&self, now: Instant) {
        let mut tick_state = self.tick_state.lock();
        if now >= tick_state.last_tick + STALL_AFTER {
            tick_state.trusted_from = now + REJOIN_TIME;
        }
        tick_state.last_tick = now;
    }

    /// Tells whether this instance started or was paused so recently that it may not know who
    /// owns what.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        if !self.is_settled.load(Ordering::Relaxed) {
            return true;
        }
        let tick_state = self.tick_state.lock();
        now >= tick_state.last_tick + STALL_AFTER || now < tick_state.trusted_from
    }
}

/// Relays a packet to an instance that shall steer it.
pub(crate) fn relay(plan: &Plan, owner: &str, hops: u8) -> Verdict {
    if hops >= MAX_HOPS {
        return Verdict::Drop(DropReason::Hops);
    }
    match plan.view.get(owner) {
        Some(member) => Verdict::relay(member.peer),
        None => Verdict::Drop(DropReason::NoOwner),
    }
}

/// Sends a packet to the target of an open flow if its grant is in force.
pub(crate) fn send_open(target: &TargetHandle, now: Instant) -> Verdict {
    if target.carries_open(now) {
        Verdict::Deliver { to: target.tunnel() }
    } else {
        Verdict::Drop(DropReason::GrantExpired)
    }
}

fn choose(service: &ServicePlan, hash: FlowHash, now: Instant) -> Option<Arc<TargetHandle>> {
    let default = service.default_target(hash);
    if let Some(target) = default.filter(|target| target.has_connection(now)) {
        return Some(Arc::clone(target));
    }
    let candidates = service.targets.iter().filter(|target| target.has_connection(now));
    candidates.min_by_key(|target| target.open()).cloned()
}
