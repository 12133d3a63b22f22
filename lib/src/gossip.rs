//! Membership of a region by gossip: probes, suspicion before death, and updates that ride along.

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

/// Gap between two ticks from which an instance counts as frozen.
pub const FREEZE_GAP: Duration = Duration::from_secs(1);
/// Silence of all members after which an instance stops trusting its view.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(3);
/// Time after its start in which an instance that has not joined others decides nothing.
pub const START_GRACE: Duration = Duration::from_secs(3);
/// Bytes a second that membership may send for longer than a burst.
pub const BYTES_PER_SECOND: u64 = 1_500;
/// Bytes that membership may send at once.
pub const BURST_BYTES: u64 = 6_000;
/// Bytes a second of parts of the list of members that are sent for longer than a burst. They have a
/// budget of their own: answers to probes of many fresh members must not use it up, since those
/// probe the few members that they know until they are told of others.
pub const PART_BYTES_PER_SECOND: u64 = 2_000;
/// Bytes of parts that may be sent at once.
pub const PART_BURST_BYTES: u64 = 96_000;
const MESSAGE_OVERHEAD_BYTES: usize = 80;
const PART_BYTES: usize = 1_000;
const HELPERS: usize = 3;
const JOIN_RETRY: Duration = Duration::from_millis(500);
/// Number of synchronisations at the start that read all parts; later ones read one part each.
const FRESH_SYNCS: u32 = 7;
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
const INTERVAL_JITTER_MS: u64 = 500;
const DIRECT_NOTICE_MEMBERS: usize = 16;
const FORWARDED_PROBES: usize = 64;

#[derive(Debug)]
struct Forwarded {
    requester: SocketAddr,
    seq: u64,
}

/// Membership as one instance sees it.
pub struct Gossip {
    me: Member,
    random: Arc<dyn Random>,
    roster: Roster,
    broadcasts: BroadcastQueue,
    prober: Prober,
    budget: ByteBudget,
    part_budget: ByteBudget,
    seeds: BTreeMap<InstanceId, SocketAddr>,
    forwarded: BTreeMap<u64, Forwarded>,
    cursor: InstanceId,
    has_joined: bool,
    is_listed_alone: bool,
    started: Option<Instant>,
    has_list: bool,
    next_sync: Option<Instant>,
    syncs: u32,
    next_reconnect: Option<Instant>,
    last_tick: Option<Instant>,
    last_ack: Option<Instant>,
    is_settled: bool,
    settling_seq: u64,
    view: Arc<View>,
    outgoing: Vec<Outgoing>,
}

impl Gossip {
    /// Creates the membership of a fresh instance, which knows only itself.
    pub fn new(me: Member, random: Arc<dyn Random>) -> Self {
        let view = Arc::new(View::new(vec![me.clone()]));
        Self {
            me,
            prober: Prober::new(Arc::clone(&random)),
            random,
            roster: Roster::default(),
            broadcasts: BroadcastQueue::default(),
            budget: ByteBudget::new(BYTES_PER_SECOND, BURST_BYTES).with_max_debt(BURST_BYTES),
            part_budget: ByteBudget::new(PART_BYTES_PER_SECOND, PART_BURST_BYTES),
            seeds: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            cursor: InstanceId::default(),
            has_joined: false,
            is_listed_alone: false,
            started: None,
            has_list: false,
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

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns the number of this run.
    pub fn epoch(&self) -> Epoch {
        self.me.epoch
    }

    /// Tells whether the instance may decide: it is not just back from a freeze, and has exchanged
    /// messages with another member lately or knows of none.
    pub fn is_settled(&self, now: Instant) -> bool {
        let is_fresh = self.last_tick.is_some_and(|last| now < last + FREEZE_GAP);
        is_fresh && self.has_started(now) && (self.is_settled || self.is_alone())
    }

    /// Tells whether the instance knows who else there is, as far as it can find out.
    fn has_started(&self, now: Instant) -> bool {
        let is_overdue = self.started.is_some_and(|started| now >= started + START_GRACE);
        self.has_joined || self.is_listed_alone || is_overdue
    }

    /// Returns the number of instances of a data centre that may be running, heard or not; `None`
    /// before anything was heard of other instances.
    pub fn expected_in(&self, data_centre: &str, now: Instant) -> Option<usize> {
        if !self.has_list && self.is_alone() {
            return None;
        }
        let me = usize::from(self.me.data_centre == data_centre && self.me.is_eligible());
        Some(me + self.roster.expected_in(data_centre, now))
    }

    /// Takes the platform's lagging list as a hint where instances may be.
    pub fn seed(&mut self, listed: &[ListedInstance]) {
        self.has_list |= !listed.is_empty();
        let others: Vec<_> =
            listed.iter().filter(|instance| instance.name != self.me.id).cloned().collect();
        self.is_listed_alone = others.is_empty() && listed.len() == 1;
        self.seeds = others.iter().map(|other| (other.name.clone(), other.peer)).collect();
        if listed.len() > others.len() {
            self.roster.reconcile(&others);
        }
    }

    /// Takes a larger run number than one that other members know of this instance.
    pub fn raise_epoch(&mut self, known: Epoch) {
        if known > self.me.epoch {
            self.me.epoch = known + 1;
            self.announce_me();
        }
    }

    /// Announces the planned stop of this instance.
    pub fn leave(&mut self, now: Instant) -> Vec<Outgoing> {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
        self.announce_me();
        let mut peers: Vec<_> = self.roster.live().map(|member| member.peer).collect();
        shuffle(&mut peers, &*self.random);
        peers.truncate(DIRECT_NOTICE_MEMBERS);
        for peer in peers {
            self.ping(now, peer, None);
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Does what is due, and returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.notice_freeze(now);
        self.last_tick = Some(now);
        self.started.get_or_insert(now);
        self.last_ack.get_or_insert(now);
        self.notice_isolation(now);
        self.ask_helpers(now);
        if self.prober.is_due(now) {
            self.judge_probe(now);
            self.probe(now);
        }
        self.bury(now);
        self.synchronise(now);
        self.reconnect(now);
        self.refresh_view();
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a message, and returns the messages to send.
    pub fn handle(&mut self, now: Instant, message: GossipMessage) -> Vec<Outgoing> {
        if message.from.id == self.me.id {
            return Vec::new();
        }
        self.notice_freeze(now);
        let GossipMessage { from, body, updates } = message;
        let is_part = matches!(body, GossipBody::Part { .. });
        self.learn(now, &from, true);
        for update in &updates {
            self.learn(now, update, !is_part);
        }
        self.answer(now, &from, body);
        self.refresh_view();
        std::mem::take(&mut self.outgoing)
    }

    fn is_alone(&self) -> bool {
        self.roster.live_count() == 0
    }

    fn announce_me(&mut self) {
        self.broadcasts.push(self.me.clone());
        self.rebuild_view();
    }

    fn notice_freeze(&mut self, now: Instant) {
        if self.last_tick.is_none_or(|last| now < last + FREEZE_GAP) {
            return;
        }
        self.last_tick = Some(now);
        self.last_ack = Some(now);
        self.is_settled = false;
        self.settling_seq = self.prober.next_sequence();
        self.prober.current = None;
        self.roster.restart_suspicions(now);
        for peer in self.some_peers(HELPERS, &self.me.id.clone()) {
            self.ping(now, peer, None);
        }
    }

    fn notice_isolation(&mut self, now: Instant) {
        if self.last_ack.is_none_or(|last| now < last + ISOLATED_AFTER) {
            return;
        }
        self.is_settled = false;
        let ids: Vec<_> = self.roster.live().map(|member| member.id.clone()).collect();
        for id in ids {
            self.roster.set_state(&id, MemberState::Suspect, now);
        }
    }

    fn learn(&mut self, now: Instant, member: &Member, spreads: bool) {
        if member.id == self.me.id {
            return self.learn_of_me(member);
        }
        let was_suspect = self.is_suspect(&member.id);
        if !self.roster.merge(member, now) {
            return;
        }
        if spreads {
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

    fn learn_of_me(&mut self, record: &Member) {
        if record.epoch > self.me.epoch {
            return self.raise_epoch(record.epoch);
        }
        let accuses = matches!(record.state, MemberState::Suspect | MemberState::Dead);
        let is_current = record.epoch == self.me.epoch;
        if is_current && accuses && record.incarnation >= self.me.incarnation {
            self.me.incarnation = record.incarnation + 1;
            self.announce_me();
        }
    }

    fn answer(&mut self, now: Instant, from: &Member, body: GossipBody) {
        match body {
            GossipBody::Ping { seq } => {
                let accusation = self.accusation(&from.id);
                self.send(now, from.peer, GossipBody::Ack { seq }, accusation);
            }
            GossipBody::Ack { seq } => self.on_ack(now, seq),
            GossipBody::PingRequest { seq, target } => {
                self.forward_probe(now, from.peer, seq, &target);
            }
            GossipBody::Pull { after } => self.send_part(now, from.peer, &after),
            GossipBody::Part { next } => self.on_part(now, next),
        }
    }

    /// Returns the record of a member that it has to refute or outbid.
    fn accusation(&self, id: &str) -> Option<Member> {
        let known = self.roster.get(id)?;
        let accuses = matches!(known.state, MemberState::Suspect | MemberState::Dead);
        accuses.then(|| known.clone())
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
        let own_seq = self.ping(now, peer, self.accusation(target));
        self.forwarded.insert(own_seq, Forwarded { requester, seq });
        if self.forwarded.len() > FORWARDED_PROBES {
            self.forwarded.pop_first();
        }
    }

    fn probe(&mut self, now: Instant) {
        let roster = &self.roster;
        let members = || roster.live().map(|member| member.id.clone()).collect();
        let accept =
            |id: &str| roster.get(id).is_some_and(|member| member.state != MemberState::Dead);
        let Some(probe) = self.prober.start(now, members, accept) else { return };
        let Some(peer) = self.roster.get(&probe.target).map(|member| member.peer) else { return };
        let accusation = self.accusation(&probe.target);
        self.send(now, peer, GossipBody::Ping { seq: probe.seq }, accusation);
    }

    fn ask_helpers(&mut self, now: Instant) {
        let Some(Probe { seq, target, .. }) = self.prober.take_indirect(now) else { return };
        for peer in self.some_peers(HELPERS, &target) {
            if self.budget.has_room(now) {
                let body = GossipBody::PingRequest { seq, target: target.clone() };
                self.send(now, peer, body, None);
            }
        }
    }

    fn judge_probe(&mut self, now: Instant) {
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

    fn bury(&mut self, now: Instant) {
        for id in self.roster.overdue(now) {
            if let Some(member) = self.roster.set_state(&id, MemberState::Dead, now) {
                self.broadcasts.push(member);
            }
        }
        self.roster.forget(now);
    }

    fn synchronise(&mut self, now: Instant) {
        if self.next_sync.is_some_and(|at| now < at) {
            return;
        }
        // Members that start together know little of each other at first, so a fresh one asks again
        // soon.
        let is_fresh = !self.has_joined || self.syncs < FRESH_SYNCS;
        let interval = if is_fresh { JOIN_RETRY } else { SYNC_INTERVAL };
        self.syncs = self.syncs.saturating_add(1);
        self.next_sync = Some(now + self.jittered(interval));
        self.pull(now);
    }

    fn pull(&mut self, now: Instant) {
        let mut peers = self.some_peers(1, &self.me.id);
        if peers.is_empty() {
            peers = self.seeds.values().copied().collect();
            shuffle(&mut peers, &*self.random);
            peers.truncate(HELPERS);
        }
        for peer in peers {
            if self.budget.has_room(now) {
                self.send(now, peer, GossipBody::Pull { after: self.cursor.clone() }, None);
            }
        }
    }

    fn send_part(&mut self, now: Instant, to: SocketAddr, after: &str) {
        if !self.part_budget.has_room(now) {
            return;
        }
        let mut room = PART_BYTES;
        let mut part: Vec<Member> = Vec::new();
        let mut is_complete = true;
        for member in self.roster.after(after) {
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
        self.outgoing.push((to, GossipMessage { from: self.me.clone(), body, updates: part }));
    }

    fn on_part(&mut self, now: Instant, next: Option<InstanceId>) {
        let is_whole = next.is_none();
        self.has_joined |= is_whole;
        self.cursor = next.unwrap_or_default();
        if !is_whole && self.syncs <= FRESH_SYNCS {
            self.pull(now);
        }
    }

    fn reconnect(&mut self, now: Instant) {
        if self.next_reconnect.is_some_and(|at| now < at) {
            return;
        }
        self.next_reconnect = Some(now + self.jittered(RECONNECT_INTERVAL));
        let roster = &self.roster;
        let is_lost =
            |id: &str| roster.get(id).is_none_or(|member| member.state == MemberState::Dead);
        let seeds = self.seeds.iter().filter(|(id, _)| is_lost(id)).map(|(_, peer)| *peer);
        let lost: Vec<_> = seeds.chain(roster.dead().map(|member| member.peer)).collect();
        if lost.is_empty() {
            return;
        }
        let peer = lost[self.random.below(lost.len() as u64) as usize];
        let record = roster.dead().find(|member| member.peer == peer).cloned();
        self.ping(now, peer, record);
    }

    fn jittered(&self, interval: Duration) -> Duration {
        interval + Duration::from_millis(self.random.below(INTERVAL_JITTER_MS))
    }

    fn some_peers(&self, count: usize, without: &str) -> Vec<SocketAddr> {
        let others = self.roster.live().filter(|member| member.id != without);
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
        let seq = self.prober.sequence();
        self.send(now, to, GossipBody::Ping { seq }, record);
        seq
    }

    /// Sends a message with a record that the receiver must see, and with updates while the budget
    /// has room for them.
    fn send(&mut self, now: Instant, to: SocketAddr, body: GossipBody, record: Option<Member>) {
        let mut updates: Vec<_> = record.into_iter().collect();
        if self.budget.has_room(now) {
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
        self.outgoing.push((to, GossipMessage { from: self.me.clone(), body, updates }));
    }

    fn message_bytes(&self, updates: &[Member]) -> u64 {
        let records: usize = updates.iter().map(Member::wire_bytes).sum();
        (MESSAGE_OVERHEAD_BYTES + self.me.wire_bytes() + records) as u64
    }

    fn refresh_view(&mut self) {
        if self.roster.take_changed() {
            self.rebuild_view();
        }
    }

    fn rebuild_view(&mut self) {
        let known = self.roster.live().cloned();
        let view = View::new(known.chain([self.me.clone()]).collect());
        if view != *self.view {
            self.view = Arc::new(view);
        }
    }
}
