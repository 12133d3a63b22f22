//! SWIM-style membership protocol for the instances of one region.
//!
//! Each instance probes one member at a time, suspects a member that does not acknowledge, and
//! declares it dead after a suspicion timeout. Membership updates are piggybacked on the messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::broadcast_queue::BroadcastQueue;
use crate::byte_budget::ByteBudget;
pub use crate::gossip_message::{GossipBody, GossipMessage, Outgoing};
use crate::ids::{Epoch, InstanceId};
use crate::platform::ListedInstance;
use crate::probe::{shuffle, Probe, Prober};
use crate::random::Random;
use crate::roster::Roster;
use crate::view::{Member, MemberState, View};

/// Time without a tick after which an instance assumes that its process was suspended.
pub const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time without an acknowledgement from any member after which an instance considers itself isolated
/// and its view out of date.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a fresh instance waits for other members; it is not settled before it has joined them
/// or this time has passed.
pub const START_GRACE: Duration = Duration::from_secs(3);
/// Sustained send rate of all membership messages except [`GossipBody::Part`].
///
/// Above this rate, pings and acknowledgements are still sent, but updates, pulls and requests for
/// indirect probes are left out.
pub const BYTES_PER_SECOND: u64 = 1_500;
/// Burst of all membership messages except [`GossipBody::Part`].
pub const BURST_BYTES: u64 = 6_000;
/// Sustained send rate of [`GossipBody::Part`] messages.
///
/// Parts have their own budget because many fresh members at once probe the few members that they
/// know until they receive the others in parts. Acknowledgements of these probes must not use up
/// the budget for the parts.
pub const PART_BYTES_PER_SECOND: u64 = 2_000;
/// Burst of [`GossipBody::Part`] messages.
pub const PART_BURST_BYTES: u64 = 96_000;
/// Estimated size of a message without its member records.
const MESSAGE_OVERHEAD_BYTES: usize = 80;
/// Largest total size of the records in one [`GossipBody::Part`].
const PART_BYTES: usize = 1_000;
/// Number of random members that receive a request for an indirect probe, a ping after a
/// suspension, or the first pull.
const PEER_FAN_OUT: usize = 3;
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of synchronisations after the start that read all parts of the member list; each later
/// one reads a single part.
const INITIAL_SYNCS: u32 = 7;
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
const INTERVAL_JITTER_MS: u64 = 500;
/// Largest number of members that are notified of a leave directly; also the largest view in which a
/// newly suspected member is pinged at once, so that it can refute the suspicion.
const DIRECT_NOTICE_MEMBERS: usize = 16;
const MAX_FORWARDED_PROBES: usize = 64;

/// Indirect probe that awaits the acknowledgement of its target.
#[derive(Debug)]
struct Forwarded {
    requester: SocketAddr,
    seq: u64,
}

/// Membership state of one instance.
///
/// It does no I/O: [`Gossip::tick`] and [`Gossip::handle`] return the messages to send.
pub struct Gossip {
    local: Member,
    random: Arc<dyn Random>,
    roster: Roster,
    broadcasts: BroadcastQueue,
    prober: Prober,
    budget: ByteBudget,
    part_budget: ByteBudget,
    seeds: BTreeMap<InstanceId, SocketAddr>,
    forwarded: BTreeMap<u64, Forwarded>,
    sync_cursor: InstanceId,
    has_joined: bool,
    is_listed_alone: bool,
    started_at: Option<Instant>,
    has_instance_list: bool,
    next_sync: Option<Instant>,
    syncs: u32,
    next_reconnect: Option<Instant>,
    last_tick: Option<Instant>,
    last_ack: Option<Instant>,
    is_settled: bool,
    /// Lowest sequence number whose acknowledgement settles the instance. Acknowledgements of
    /// pings from before a suspension may be old and do not count.
    settling_seq: u64,
    view: Arc<View>,
    outgoing: Vec<Outgoing>,
}

impl Gossip {
    /// Creates the membership of a fresh instance, which has only its own record, `local`.
    pub fn new(local: Member, random: Arc<dyn Random>) -> Self {
        let view = Arc::new(View::new(vec![local.clone()]));
        Self {
            local,
            prober: Prober::new(Arc::clone(&random)),
            random,
            roster: Roster::default(),
            broadcasts: BroadcastQueue::default(),
            budget: ByteBudget::new(BYTES_PER_SECOND, BURST_BYTES).with_max_debt(BURST_BYTES),
            part_budget: ByteBudget::new(PART_BYTES_PER_SECOND, PART_BURST_BYTES),
            seeds: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            sync_cursor: InstanceId::default(),
            has_joined: false,
            is_listed_alone: false,
            started_at: None,
            has_instance_list: false,
            next_sync: None,
            syncs: 0,
            next_reconnect: None,
            last_tick: None,
            last_ack: None,
            is_settled: false,
            settling_seq: 0,
            view,
            outgoing: Vec::new(),
        }
    }

    /// Returns the current view, an immutable snapshot.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns the epoch of this run of the instance.
    pub fn epoch(&self) -> Epoch {
        self.local.epoch
    }

    /// Returns whether the view is current enough to place flows and allocate capacity.
    ///
    /// This holds when the instance ticks regularly, its join is complete, and it has an
    /// acknowledgement since its last suspension or isolation, or is the only live member.
    pub fn is_settled(&self, now: Instant) -> bool {
        let is_ticking = self.last_tick.is_some_and(|last| now < last + FREEZE_THRESHOLD);
        is_ticking && self.is_join_complete(now) && (self.is_settled || self.is_alone())
    }

    /// Returns whether the instance has the list of the other members, is the only listed instance,
    /// or has waited for [`START_GRACE`].
    fn is_join_complete(&self, now: Instant) -> bool {
        let is_overdue = self.started_at.is_some_and(|started| now >= started + START_GRACE);
        self.has_joined || self.is_listed_alone || is_overdue
    }

    /// Returns the number of instances of a data centre that may be running, including unresponsive
    /// ones, or `None` before the instance has learnt of any other instance.
    pub fn expected_in(&self, data_centre: &str, now: Instant) -> Option<usize> {
        if !self.has_instance_list && self.is_alone() {
            return None;
        }
        let own = usize::from(self.local.data_centre == data_centre && self.local.is_eligible());
        Some(own + self.roster.expected_in(data_centre, now))
    }

    /// Sets the seed addresses from the platform's instance list.
    ///
    /// The list may be out of date, so an instance on it is only a contact, not a member. A list that
    /// includes this instance also updates the number of expected instances.
    pub fn seed(&mut self, listed: &[ListedInstance]) {
        self.has_instance_list |= !listed.is_empty();
        let others: Vec<_> =
            listed.iter().filter(|instance| instance.name != self.local.id).cloned().collect();
        self.is_listed_alone = others.is_empty() && listed.len() == 1;
        self.seeds = others.iter().map(|other| (other.name.clone(), other.peer)).collect();
        if listed.len() > others.len() {
            self.roster.reconcile(&others);
        }
    }

    /// Raises the epoch above `known`, an epoch of this instance that another member has.
    ///
    /// An earlier run has a larger epoch if the clock went back between the runs. Does nothing if
    /// the current epoch is at least `known`.
    pub fn raise_epoch(&mut self, known: Epoch) {
        if known > self.local.epoch {
            self.local.epoch = known + 1;
            self.announce_local();
        }
    }

    /// Pings an instance so that it learns of this one, and returns the messages to send.
    pub fn introduce(&mut self, now: Instant, to: SocketAddr) -> Vec<Outgoing> {
        self.ping(now, to, None);
        std::mem::take(&mut self.outgoing)
    }

    /// Announces the planned stop of this instance, and returns the messages to send.
    pub fn leave(&mut self, now: Instant) -> Vec<Outgoing> {
        self.local.state = MemberState::Leaving;
        self.local.incarnation += 1;
        self.announce_local();
        let mut peers: Vec<_> = self.roster.live().map(|member| member.peer).collect();
        shuffle(&mut peers, &*self.random);
        peers.truncate(DIRECT_NOTICE_MEMBERS);
        for peer in peers {
            self.ping(now, peer, None);
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Runs the timers that are due, and returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.detect_freeze(now);
        self.last_tick = Some(now);
        self.started_at.get_or_insert(now);
        self.last_ack.get_or_insert(now);
        self.detect_isolation(now);
        self.send_indirect_probes(now);
        if self.prober.is_due(now) {
            self.expire_probe(now);
            self.start_probe(now);
        }
        self.expire_members(now);
        self.synchronise(now);
        self.reconnect(now);
        self.refresh_view();
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a message, and returns the messages to send.
    pub fn handle(&mut self, now: Instant, message: GossipMessage) -> Vec<Outgoing> {
        if message.from.id == self.local.id {
            return Vec::new();
        }
        self.detect_freeze(now);
        let GossipMessage { from, body, updates } = message;
        let is_part = matches!(body, GossipBody::Part { .. });
        self.merge_update(now, &from, true);
        for update in &updates {
            self.merge_update(now, update, !is_part);
        }
        self.handle_body(now, &from, body);
        self.refresh_view();
        std::mem::take(&mut self.outgoing)
    }

    fn is_alone(&self) -> bool {
        self.roster.live_count() == 0
    }

    fn announce_local(&mut self) {
        self.broadcasts.push(self.local.clone());
        self.rebuild_view();
    }

    /// After a suspension, restarts all timeouts, since replies may have been missed, and waits for a
    /// new acknowledgement.
    fn detect_freeze(&mut self, now: Instant) {
        if self.last_tick.is_none_or(|last| now < last + FREEZE_THRESHOLD) {
            return;
        }
        self.last_tick = Some(now);
        self.last_ack = Some(now);
        self.is_settled = false;
        self.settling_seq = self.prober.peek_sequence();
        self.prober.current = None;
        self.roster.restart_suspicions(now);
        for peer in self.random_peers(PEER_FAN_OUT, &self.local.id.clone()) {
            self.ping(now, peer, None);
        }
    }

    /// Suspects all members when none has sent an acknowledgement for [`ISOLATION_TIMEOUT`].
    fn detect_isolation(&mut self, now: Instant) {
        if self.last_ack.is_none_or(|last| now < last + ISOLATION_TIMEOUT) {
            return;
        }
        self.is_settled = false;
        let ids: Vec<_> = self.roster.live().map(|member| member.id.clone()).collect();
        for id in ids {
            self.roster.set_state(&id, MemberState::Suspect, now);
        }
    }

    fn merge_update(&mut self, now: Instant, member: &Member, should_broadcast: bool) {
        if member.id == self.local.id {
            return self.refute(member);
        }
        let was_suspect = self.is_suspect(&member.id);
        if !self.roster.merge(member, now) {
            return;
        }
        if should_broadcast {
            self.broadcasts.push(member.clone());
        }
        let is_small = self.view.members().len() <= DIRECT_NOTICE_MEMBERS;
        if member.state == MemberState::Suspect && !was_suspect && is_small {
            self.ping(now, member.peer, Some(member.clone()));
        }
    }

    fn is_suspect(&self, id: &str) -> bool {
        self.roster.get(id).is_some_and(|member| member.state == MemberState::Suspect)
    }

    /// Raises the own epoch or incarnation if a record about this instance is newer or says that it is
    /// suspected or dead.
    fn refute(&mut self, record: &Member) {
        if record.epoch > self.local.epoch {
            return self.raise_epoch(record.epoch);
        }
        let is_suspicion = matches!(record.state, MemberState::Suspect | MemberState::Dead);
        let is_current = record.epoch == self.local.epoch;
        if is_current && is_suspicion && record.incarnation >= self.local.incarnation {
            self.local.incarnation = record.incarnation + 1;
            self.announce_local();
        }
    }

    fn handle_body(&mut self, now: Instant, from: &Member, body: GossipBody) {
        match body {
            GossipBody::Ping { seq } => {
                let suspicion = self.suspicion_of(&from.id);
                self.send(now, from.peer, GossipBody::Ack { seq }, suspicion);
            }
            GossipBody::Ack { seq } => self.on_ack(now, seq),
            GossipBody::PingRequest { seq, target } => {
                self.forward_probe(now, from.peer, seq, &target);
            }
            GossipBody::Pull { after } => self.send_part(now, from.peer, &after),
            GossipBody::Part { next } => self.on_part(now, next),
        }
    }

    /// Returns the record of a suspected or dead member, for the member to refute by a larger
    /// incarnation or epoch.
    fn suspicion_of(&self, id: &str) -> Option<Member> {
        let known = self.roster.get(id)?;
        let is_suspicion = matches!(known.state, MemberState::Suspect | MemberState::Dead);
        is_suspicion.then(|| known.clone())
    }

    fn on_ack(&mut self, now: Instant, seq: u64) {
        self.prober.acknowledge(seq);
        if let Some(Forwarded { requester, seq }) = self.forwarded.remove(&seq) {
            self.send(now, requester, GossipBody::Ack { seq }, None);
        }
        self.last_ack = Some(now);
        if seq >= self.settling_seq {
            self.is_settled = true;
        }
    }

    fn forward_probe(&mut self, now: Instant, requester: SocketAddr, seq: u64, target: &str) {
        let Some(peer) = self.roster.get(target).map(|member| member.peer) else { return };
        let own_seq = self.ping(now, peer, self.suspicion_of(target));
        self.forwarded.insert(own_seq, Forwarded { requester, seq });
        if self.forwarded.len() > MAX_FORWARDED_PROBES {
            self.forwarded.pop_first();
        }
    }

    fn start_probe(&mut self, now: Instant) {
        let roster = &self.roster;
        let members = || roster.live().map(|member| member.id.clone()).collect();
        let is_candidate =
            |id: &str| roster.get(id).is_some_and(|member| member.state != MemberState::Dead);
        let Some(probe) = self.prober.start(now, members, is_candidate) else { return };
        let Some(peer) = self.roster.get(&probe.target).map(|member| member.peer) else { return };
        let suspicion = self.suspicion_of(&probe.target);
        self.send(now, peer, GossipBody::Ping { seq: probe.seq }, suspicion);
    }

    fn send_indirect_probes(&mut self, now: Instant) {
        let Some(Probe { seq, target, .. }) = self.prober.take_indirect(now) else { return };
        for peer in self.random_peers(PEER_FAN_OUT, &target) {
            if self.budget.has_available_bytes(now) {
                let body = GossipBody::PingRequest { seq, target: target.clone() };
                self.send(now, peer, body, None);
            }
        }
    }

    /// Suspects the probed member if its probe was not acknowledged, or declares it dead if it had
    /// announced its leave.
    fn expire_probe(&mut self, now: Instant) {
        let Some(Probe { target, .. }) = self.prober.current.take() else { return };
        let is_leaving =
            self.roster.get(&target).is_some_and(|member| member.state == MemberState::Leaving);
        let state = if is_leaving { MemberState::Dead } else { MemberState::Suspect };
        if let Some(member) = self.roster.set_state(&target, state, now) {
            let peer = member.peer;
            self.broadcasts.push(member.clone());
            self.ping(now, peer, Some(member));
        }
    }

    fn expire_members(&mut self, now: Instant) {
        for id in self.roster.expired_suspicions(now) {
            if let Some(member) = self.roster.set_state(&id, MemberState::Dead, now) {
                self.broadcasts.push(member);
            }
        }
        self.roster.remove_expired(now);
    }

    fn synchronise(&mut self, now: Instant) {
        if self.next_sync.is_some_and(|at| now < at) {
            return;
        }
        // Members that start together have short member lists at first, so a fresh member pulls
        // again soon.
        let is_fresh = !self.has_joined || self.syncs < INITIAL_SYNCS;
        let interval = if is_fresh { JOIN_RETRY_INTERVAL } else { SYNC_INTERVAL };
        self.syncs = self.syncs.saturating_add(1);
        self.next_sync = Some(now + self.jittered(interval));
        self.pull(now);
    }

    fn pull(&mut self, now: Instant) {
        let mut peers = self.random_peers(1, &self.local.id);
        if peers.is_empty() {
            peers = self.seeds.values().copied().collect();
            shuffle(&mut peers, &*self.random);
            peers.truncate(PEER_FAN_OUT);
        }
        for peer in peers {
            if self.budget.has_available_bytes(now) {
                self.send(now, peer, GossipBody::Pull { after: self.sync_cursor.clone() }, None);
            }
        }
    }

    fn send_part(&mut self, now: Instant, to: SocketAddr, after: &str) {
        if !self.part_budget.has_available_bytes(now) {
            return;
        }
        let mut room = PART_BYTES;
        let mut part: Vec<Member> = Vec::new();
        let mut is_complete = true;
        for member in self.roster.members_after(after) {
            let Some(left) = room.checked_sub(member.wire_bytes()) else {
                is_complete = false;
                break;
            };
            room = left;
            part.push(member.clone());
        }
        let next = part.last().filter(|_| !is_complete).map(|member| member.id.clone());
        let bytes = self.message_bytes(&part);
        self.part_budget.spend(bytes);
        let body = GossipBody::Part { next };
        self.outgoing.push((to, GossipMessage { from: self.local.clone(), body, updates: part }));
    }

    fn on_part(&mut self, now: Instant, next: Option<InstanceId>) {
        let is_whole = next.is_none();
        self.has_joined |= is_whole;
        self.sync_cursor = next.unwrap_or_default();
        if !is_whole && self.syncs <= INITIAL_SYNCS {
            self.pull(now);
        }
    }

    /// Pings a random dead member or unknown seed, so that a healed partition merges again.
    fn reconnect(&mut self, now: Instant) {
        if self.next_reconnect.is_some_and(|at| now < at) {
            return;
        }
        self.next_reconnect = Some(now + self.jittered(RECONNECT_INTERVAL));
        let roster = &self.roster;
        let is_unreachable =
            |id: &str| roster.get(id).is_none_or(|member| member.state == MemberState::Dead);
        let seeds = self.seeds.iter().filter(|(id, _)| is_unreachable(id)).map(|(_, peer)| *peer);
        let lost: Vec<_> = seeds.chain(roster.dead().map(|member| member.peer)).collect();
        if lost.is_empty() {
            return;
        }
        let peer = lost[self.random.below(lost.len() as u64) as usize];
        let record = roster.dead().find(|member| member.peer == peer).cloned();
        self.ping(now, peer, record);
    }

    /// Adds jitter, so that instances that start together do not synchronise at the same time.
    fn jittered(&self, interval: Duration) -> Duration {
        interval + Duration::from_millis(self.random.below(INTERVAL_JITTER_MS))
    }

    fn random_peers(&self, count: usize, excluded: &str) -> Vec<SocketAddr> {
        let others = self.roster.live().filter(|member| member.id != excluded);
        let mut peers: Vec<_> = others.map(|member| member.peer).collect();
        let count = count.min(peers.len());
        for index in 0..count {
            let other = index as u64 + self.random.below((peers.len() - index) as u64);
            peers.swap(index, other as usize);
        }
        peers.truncate(count);
        peers
    }

    fn ping(&mut self, now: Instant, to: SocketAddr, record: Option<Member>) -> u64 {
        let seq = self.prober.allocate_sequence();
        self.send(now, to, GossipBody::Ping { seq }, record);
        seq
    }

    /// Sends a message with `record`, which is never left out, and with queued updates if the budget
    /// allows.
    fn send(&mut self, now: Instant, to: SocketAddr, body: GossipBody, record: Option<Member>) {
        let mut updates: Vec<_> = record.into_iter().collect();
        if self.budget.has_available_bytes(now) {
            let broadcasts = self.broadcasts.take(self.view.members().len());
            updates.extend(broadcasts);
        }
        self.send_records(now, to, body, updates);
    }

    fn send_records(
        &mut self,
        now: Instant,
        to: SocketAddr,
        body: GossipBody,
        updates: Vec<Member>,
    ) {
        let bytes = self.message_bytes(&updates);
        self.budget.refill(now);
        self.budget.spend(bytes);
        self.outgoing.push((to, GossipMessage { from: self.local.clone(), body, updates }));
    }

    fn message_bytes(&self, updates: &[Member]) -> u64 {
        let records: usize = updates.iter().map(Member::wire_bytes).sum();
        (MESSAGE_OVERHEAD_BYTES + self.local.wire_bytes() + records) as u64
    }

    fn refresh_view(&mut self) {
        if self.roster.take_changed() {
            self.rebuild_view();
        }
    }

    fn rebuild_view(&mut self) {
        let known = self.roster.live().cloned();
        let view = View::new(known.chain([self.local.clone()]).collect());
        if view != *self.view {
            self.view = Arc::new(view);
        }
    }
}
