//! Steering of packets in the packet forwarder.
//!
//! Each packet is delivered to a target, relayed to another instance, answered with a reset of its
//! flow, or dropped.

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
use crate::flow_locations::{self, FlowLocations, LOCATION_INDEX};
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, OverrideAck, OverrideBatch, Run, Step};
use crate::handover::{AddressedMessage, Handover};
use crate::ids::{DataCentreId, FlowHash, InstanceId};
use crate::owner::{bucket_of, Home};
use crate::packet::{Control, PacketInfo};
use crate::path_failure::TrackedTargets;
use crate::plan::{Plan, ServicePlan};
use crate::target::{Allowance, TargetHandle};
use crate::verdict::{DropReason, Verdict};

/// Largest number of relays of one packet, which ends loops between instances whose views differ.
pub const MAX_HOPS: u8 = 4;
/// Time without a tick after which an instance assumes that it was paused.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after a start or a pause during which an instance places no flows, because it has yet to
/// receive the state of the other instances.
pub const REJOIN_TIME: Duration = Duration::from_secs(2);
/// Largest number of queries about unknown flows that an instance sends between two ticks.
pub const MAX_QUERIES_PER_TICK: u32 = 2_000;
/// Divisor of the flow table's capacity that gives the largest number of placement overrides.
pub const OVERRIDE_DIVISOR: usize = 4;

/// How a packet arrived at this instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Address that the packet was received from.
    pub from: SocketAddr,
    /// Number of times that instances have relayed the packet.
    pub hops: u8,
    /// Action that the sender requests.
    pub step: Step,
}

impl Arrival {
    /// Describes a packet that this instance received directly from the network fabric, not relayed
    /// by another instance.
    pub fn from_fabric(from: SocketAddr) -> Self {
        Self { from, hops: 0, step: Step::Steer }
    }
}

/// A packet to the address of a configured service, with the plan that applies to it.
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
    stalled_until: Instant,
}

/// State of the packet forwarder of one instance.
pub struct Steering {
    pub(crate) me: InstanceId,
    pub(crate) data_centre: DataCentreId,
    hasher: FlowHasher,
    pub(crate) bindings: Bindings,
    tracked_targets: TrackedTargets,
    pub(crate) handover: Handover,
    pub(crate) locations: FlowLocations,
    pub(crate) transitions: DataCentreTransitions,
    tick_state: Mutex<TickState>,
    is_settled: AtomicBool,
    pub(crate) queries: AtomicU32,
    plan: RwLock<Arc<Plan>>,
}

impl Steering {
    /// Creates the state of an instance without flows and with an empty plan. `capacity` is the
    /// number of flows that the flow table holds.
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
            tracked_targets: TrackedTargets::default(),
            handover,
            locations: FlowLocations::new(capacity),
            transitions: DataCentreTransitions::default(),
            tick_state: Mutex::new(TickState { last_tick: now, stalled_until: now + REJOIN_TIME }),
            is_settled: AtomicBool::new(false),
            queries: AtomicU32::new(0),
            plan: RwLock::new(Arc::new(Plan::default())),
        }
    }

    /// Returns the current plan.
    pub fn plan(&self) -> Arc<Plan> {
        Arc::clone(&self.plan.read())
    }

    /// Replaces the plan.
    ///
    /// Revokes the grants of targets that the new plan lacks or that changed their service or
    /// address. Such a target receives no more packets of its former flows, even before its grants
    /// expire.
    pub fn set_plan(&self, plan: Arc<Plan>) {
        let old = std::mem::replace(&mut *self.plan.write(), plan);
        let plan = self.plan();
        for service in old.services() {
            for handle in &service.local_targets {
                let new =
                    plan.service(&service.service).filter(|new| !new.local_targets.is_empty());
                if new.is_some_and(|new| !new.has_handle(handle)) {
                    self.revoke(handle);
                }
            }
        }
    }

    fn revoke(&self, handle: &TargetHandle) {
        let past = self.bindings.clock().origin();
        handle.allow(&Allowance { connections: 0, slots: 0, new_until: past, open_until: past });
    }

    /// Returns the keyed hash of a flow.
    pub fn hash(&self, key: &FlowKey) -> FlowHash {
        self.hasher.hash(key)
    }

    /// Returns the table of the flows that this instance holds.
    pub fn bindings(&self) -> &Bindings {
        &self.bindings
    }

    /// Returns the state of the handover of flows to other instances.
    pub fn handover(&self) -> &Handover {
        &self.handover
    }

    /// Returns the data centre of this instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Decides on a packet to a service that the fabric or another instance sent.
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
            Step::Place => self.place_relayed(&packet),
            Step::Query { index } => self.answer_query(&packet, arrival.from, *index),
            Step::Missed { index } => self.query_next_candidate(&packet, *index, arrival.hops),
            Step::Found { target } => self.take_over(&packet, target),
            Step::Kept { .. } => Verdict::Drop(DropReason::NoService),
        }
    }

    /// Records that another data centre keeps a flow, so that its next packets are relayed there.
    pub fn on_kept(&self, now: Instant, hash: FlowHash, data_centre: &DataCentreId) {
        if *data_centre != self.data_centre {
            self.locations.insert(hash, data_centre, now);
        }
    }

    /// Decides on a reply that was received from the tunnel address `from`. Replies from addresses
    /// other than those of the service's targets are dropped.
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

    /// Returns whether a data centre accepts new work with a given hash. A data centre that
    /// returned to service accepts a share of the hashes that grows over
    /// [`RETURN_RAMP`](crate::data_centre_transitions::RETURN_RAMP).
    pub fn admits(&self, data_centre: &str, hash: u64, now: Instant) -> bool {
        self.transitions.accepts_new_flow(data_centre, hash, now)
    }

    /// Returns whether a packet with this key goes from a service to a caller.
    pub fn is_reply(&self, key: &FlowKey) -> bool {
        let plan = self.plan.read();
        // The key of a packet is parsed as if its source were the caller. In the key of a reply,
        // the field `caller` therefore holds the address of the service.
        plan.service_at(key.protocol, key.service).is_none()
            && plan.service_at(key.protocol, key.caller).is_some()
    }

    /// Sets whether the membership view of this instance has settled. Until the view has settled,
    /// the instance places no flows.
    pub fn set_settled(&self, is_settled: bool) {
        self.is_settled.store(is_settled, Ordering::Relaxed);
    }

    /// Prepares the planned stop of this instance: placement overrides are sent at the rate of a
    /// leaving instance.
    pub fn leave(&self) {
        self.handover.leave();
    }

    /// Performs the periodic work, and returns the messages to send. An instance that is not ticked
    /// for [`STALL_TIMEOUT`] places and recovers no flows until [`REJOIN_TIME`] after its next
    /// tick.
    pub fn tick(&self, now: Instant) -> Vec<AddressedMessage> {
        let plan = self.plan();
        self.note_tick(now);
        self.queries.store(0, Ordering::Relaxed);
        self.transitions.update(&plan, now);
        self.handover.tick(now, &plan, &self.bindings)
    }

    /// Removes closed and idle flows from one shard. Calls with consecutive values of `round` cover
    /// all shards.
    pub fn expire(&self, round: usize, now: Instant) {
        let ended = self.bindings.expire(round % SHARD_COUNT, now);
        self.handover.record_ended(&ended);
        self.locations.expire(round % SHARD_COUNT, now);
    }

    /// Applies a batch of placement overrides of another instance. Returns the acknowledgement, or
    /// `None` if the batch could not be applied in full.
    pub fn on_overrides(
        &self,
        now: Instant,
        from: &Run,
        batch: &OverrideBatch,
    ) -> Option<OverrideAck> {
        self.handover.on_batch(now, &self.plan(), from, batch)
    }

    /// Handles the acknowledgement of a batch of placement overrides.
    pub fn on_override_ack(&self, from: &Run, ack: &OverrideAck) {
        self.handover.on_ack(from, ack);
    }

    /// Stores the base table of another instance, and returns the acknowledgement.
    pub fn on_base_table(
        &self,
        now: Instant,
        from: &InstanceId,
        update: &BaseTableUpdate,
    ) -> BaseTableAck {
        self.handover.on_update(now, from, update)
    }

    /// Handles the acknowledgement of a base table.
    pub fn on_base_table_ack(&self, from: &Run, ack: &BaseTableAck) {
        self.handover.on_base_table_ack(from, ack);
    }

    /// Delivers a packet of an open flow that is held here, so that the flow keeps its target even
    /// when another instance owns it now. Returns `None` for packets that need the full decision of
    /// [`Steering::steer`].
    fn deliver_held(&self, packet: &Packet<'_>) -> Option<Verdict> {
        if packet.control.opens {
            return None;
        }
        let service = packet.service;
        let ticks = self.bindings.clock().ticks(packet.now);
        let held = self.bindings.with_open(packet.hash, |binding| {
            let target = &binding.target.handle;
            let is_deliverable = !binding.has_moved()
                && service.is_in_service
                && !binding.unanswered.has_path_failed(&binding.target, ticks)
                && *target.service() == service.service
                && target.carries_open(packet.now);
            let to = target.tunnel();
            is_deliverable.then(|| {
                binding.note_sent(ticks, packet.control);
                Verdict::Deliver { to }
            })
        });
        held.flatten()
    }

    fn steer(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        let service = packet.service;
        let is_new = packet.control.opens;
        let accepts =
            |home: &Home| if is_new { home.accepts_new_flows() } else { home.is_available() };
        let Some(home) = service.homes.first(packet.hash, accepts) else {
            return self.reject_without_home(packet);
        };
        match home.owners.owner(bucket_of(packet.hash)) {
            Some(owner) if *owner != self.me => relay(packet.plan, owner, hops),
            Some(_) => self.steer_as_owner(packet, hops),
            None => Verdict::Drop(DropReason::NoOwner),
        }
    }

    fn reject_without_home(&self, packet: &Packet<'_>) -> Verdict {
        let first_choice = packet.service.homes.first(packet.hash, |_| true);
        match first_choice {
            Some(home) if !home.is_in_service && !packet.control.opens => {
                Verdict::Reset { target: None }
            }
            _ => Verdict::Drop(DropReason::NoHome),
        }
    }

    fn steer_as_owner(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        if let Some(verdict) = self.relay_to_known_location(packet) {
            return verdict;
        }
        if let Some(target) = self.handover.find(packet.hash, &packet.service.service) {
            if !packet.control.opens || target.accepts_new_work(packet.now) {
                return self.bind_known(packet, &target);
            }
        }
        if packet.control.opens {
            return self.open_flow(packet);
        }
        self.query_candidate(packet, 0, hops)
    }

    /// Delivers a packet of a flow that is held here. Resets the flow and removes its binding if
    /// the data centre is out of service, the flow's target is gone, or the path of a TCP flow to
    /// its target has failed. Returns `None` if the flow is not held here.
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
            if is_tcp && binding.unanswered.has_path_failed(&binding.target, ticks) {
                return Some(Verdict::Reset { target: Some(target.tunnel()) });
            }
            Some(send_open(target, packet.now))
        });
        let verdict = verdict.flatten()?;
        if matches!(verdict, Verdict::Reset { .. }) {
            self.remove_binding(packet.hash);
        }
        Some(verdict)
    }

    fn remove_binding(&self, hash: FlowHash) {
        if self.bindings.remove(hash).is_some_and(|binding| binding.is_override()) {
            self.handover.record_ended(&[hash]);
        }
    }

    fn relay_to_known_location(&self, packet: &Packet<'_>) -> Option<Verdict> {
        let data_centre = self.locations.get(packet.hash, packet.now)?;
        match flow_locations::owner_address_in(
            packet.plan,
            packet.service,
            &data_centre,
            packet.hash,
        ) {
            Some(to) if packet.control.opens => Some(Verdict::Relay { to, step: Step::Place }),
            Some(to) => Some(Verdict::Relay { to, step: Step::Query { index: LOCATION_INDEX } }),
            None => {
                self.locations.remove(packet.hash);
                None
            }
        }
    }

    /// Places a new flow at this instance or, if this data centre has returned to service and does
    /// not accept the flow's hash yet, in the data centre that ranks next for the flow.
    fn open_flow(&self, packet: &Packet<'_>) -> Verdict {
        if self.is_stalled(packet.now) {
            return Verdict::Drop(DropReason::Stalled);
        }
        if !self.transitions.accepts_new_flow(&self.data_centre, packet.hash, packet.now) {
            if let Some(verdict) = self.relay_to_next_home(packet) {
                return verdict;
            }
        }
        self.place(packet)
    }

    fn relay_to_next_home(&self, packet: &Packet<'_>) -> Option<Verdict> {
        let is_other = |home: &Home| {
            home.accepts_new_flows()
                && home.data_centre != self.data_centre
                && self.transitions.accepts_new_flow(&home.data_centre, packet.hash, packet.now)
        };
        let home = packet.service.homes.first(packet.hash, is_other)?;
        let to = flow_locations::owner_address_in(
            packet.plan,
            packet.service,
            &home.data_centre,
            packet.hash,
        )?;
        self.locations.insert(packet.hash, &home.data_centre, packet.now);
        Some(Verdict::Relay { to, step: Step::Place })
    }

    fn place_relayed(&self, packet: &Packet<'_>) -> Verdict {
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
        match choose_target(packet.service, packet.hash, packet.now) {
            Some(target) => {
                self.bind_new(packet, &target, Verdict::Deliver { to: target.tunnel() })
            }
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    /// Binds a flow whose target another instance reported, and delivers its packet.
    pub(crate) fn bind_known(&self, packet: &Packet<'_>, target: &Arc<TargetHandle>) -> Verdict {
        if !self.bindings.insert_open(packet.hash, self.binding(packet, target)) {
            return Verdict::Drop(DropReason::TableFull);
        }
        send_open(target, packet.now)
    }

    /// Binds a flow that no other instance reported. Returns `verdict`, the decision on its packet,
    /// unless the flow table is full.
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
        let mut binding =
            Binding::new(self.tracked_targets.get_or_insert(target), packet.protocol, ticks);
        if self.handover.is_override(service, hash, target.id()) {
            binding.set_override(true);
            self.handover.record_override(service, hash, target, packet.now);
        }
        binding
    }

    fn note_tick(&self, now: Instant) {
        let mut tick_state = self.tick_state.lock();
        if now >= tick_state.last_tick + STALL_TIMEOUT {
            tick_state.stalled_until = now + REJOIN_TIME;
        }
        tick_state.last_tick = now;
    }

    /// Returns whether this instance started or was paused so recently that the owners that it
    /// computes may be out of date.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        if !self.is_settled.load(Ordering::Relaxed) {
            return true;
        }
        let tick_state = self.tick_state.lock();
        now >= tick_state.last_tick + STALL_TIMEOUT || now < tick_state.stalled_until
    }
}

/// Relays a packet to `owner`, the instance that owns its flow. Drops the packet if instances have
/// relayed it [`MAX_HOPS`] times already or the view lacks `owner`.
pub(crate) fn relay(plan: &Plan, owner: &str, hops: u8) -> Verdict {
    if hops >= MAX_HOPS {
        return Verdict::Drop(DropReason::Hops);
    }
    match plan.view.get(owner) {
        Some(member) => Verdict::relay(member.peer),
        None => Verdict::Drop(DropReason::NoOwner),
    }
}

/// Delivers a packet of an open flow if the grant of the flow's target has not expired.
pub(crate) fn send_open(target: &TargetHandle, now: Instant) -> Verdict {
    if target.carries_open(now) {
        Verdict::Deliver { to: target.tunnel() }
    } else {
        Verdict::Drop(DropReason::GrantExpired)
    }
}

fn choose_target(service: &ServicePlan, hash: FlowHash, now: Instant) -> Option<Arc<TargetHandle>> {
    let default = service.default_target(hash);
    if let Some(target) = default.filter(|target| target.has_free_connection(now)) {
        return Some(Arc::clone(target));
    }
    let candidates = service.targets.iter().filter(|target| target.has_free_connection(now));
    candidates.min_by_key(|target| target.open_flows()).cloned()
}
