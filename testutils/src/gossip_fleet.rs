//! Memberships of many instances, joined by a lossy network in memory and a simulated clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hollyhead::entry::TICK_INTERVAL;
use hollyhead::envelope::overhead_bytes;
use hollyhead::gossip::{Gossip, GossipMessage, Outgoing};
use hollyhead::message::{Frame, Message};
use hollyhead::platform::ListedInstance;
use hollyhead::random::{Random, SeededRandom};
use hollyhead::view::{Member, MemberState};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

/// Data centre of every member.
pub const DATA_CENTRE: &str = "horn-east-a";
const LATENCY: Duration = Duration::from_millis(1);

/// Memberships of many instances on a simulated network and clock.
pub struct GossipFleet {
    now: Instant,
    random: SeededRandom,
    members: Vec<Option<Gossip>>,
    frozen: BTreeSet<usize>,
    cuts: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Instant, u64), (usize, GossipMessage)>,
    sequence: u64,
    /// Share of messages that the network loses, in thousandths.
    pub loss_per_mille: u64,
    /// Bytes that each member has sent, including envelopes.
    pub sent_bytes: Vec<u64>,
}

impl GossipFleet {
    /// Creates `count` members, each of which receives the complete instance list.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            random: SeededRandom::new(seed),
            members: Vec::new(),
            frozen: BTreeSet::new(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            loss_per_mille: 0,
            sent_bytes: vec![0; count],
        };
        for index in 0..count {
            fleet.members.push(None);
            fleet.start(index, 1_000);
        }
        fleet.update_instances();
        fleet
    }

    /// Starts a member with the given epoch, in place of its current run, if any.
    pub fn start(&mut self, index: usize, epoch: u64) {
        let random = Arc::new(SeededRandom::new(self.random.next()));
        self.members[index] = Some(Gossip::new(record(index, epoch), random));
        self.update_instances();
    }

    /// Gives every running member the list of running members.
    pub fn update_instances(&mut self) {
        let listed: Vec<_> = (0..self.members.len())
            .filter(|index| self.members[*index].is_some())
            .map(listed)
            .collect();
        for member in self.members.iter_mut().flatten() {
            member.seed(&listed);
        }
    }

    /// Restarts all members at the same time, each with only the addresses of the first `seeds`
    /// members.
    pub fn restart_with_seeds(&mut self, seeds: usize) {
        let listed: Vec<_> = (0..seeds)
            .map(|index| {
                let listed = listed(index);
                ListedInstance { name: format_smolstr!("seed-{}", listed.peer), ..listed }
            })
            .collect();
        for index in 0..self.members.len() {
            let random = Arc::new(SeededRandom::new(self.random.next()));
            let mut member = Gossip::new(record(index, 2_000), random);
            let me = record(index, 2_000).peer;
            let others: Vec<_> = listed.iter().filter(|seed| seed.peer != me).cloned().collect();
            member.seed(&others);
            self.members[index] = Some(member);
        }
    }

    /// Returns a running member.
    ///
    /// # Panics
    ///
    /// Panics if the member is not running.
    pub fn member(&mut self, index: usize) -> &mut Gossip {
        self.members[index].as_mut().expect("member is running")
    }

    /// Returns the running members.
    pub fn running(&self) -> impl Iterator<Item = &Gossip> {
        self.members.iter().flatten()
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Ends a member without a notice to the others.
    pub fn kill(&mut self, index: usize) {
        self.members[index] = None;
    }

    /// Suspends a member; messages to it are lost.
    pub fn freeze(&mut self, index: usize) {
        self.frozen.insert(index);
    }

    /// Resumes a frozen member.
    pub fn thaw(&mut self, index: usize) {
        self.frozen.remove(&index);
    }

    /// Partitions the network between the members below `boundary` and the others.
    pub fn split(&mut self, boundary: usize) {
        for (a, b) in
            (0..boundary).flat_map(|a| (boundary..self.members.len()).map(move |b| (a, b)))
        {
            self.cuts.insert((a, b));
            self.cuts.insert((b, a));
        }
    }

    /// Removes all network partitions.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Makes a member announce its planned stop.
    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        let outgoing = self.member(index).leave(now);
        self.send(index, outgoing);
    }

    /// Advances the clock by `time`, with ticks and message deliveries.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Advances the clock until `is_done` holds, and returns the elapsed time; `None` if the
    /// condition did not hold within `time`.
    pub fn run_until(
        &mut self,
        time: Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + time {
            if is_done(self) {
                return Some(self.now - start);
            }
            self.now += TICK_INTERVAL;
            self.deliver();
            for index in 0..self.members.len() {
                self.tick(index);
            }
        }
        is_done(self).then(|| self.now - start)
    }

    fn tick(&mut self, index: usize) {
        if self.frozen.contains(&index) {
            return;
        }
        let now = self.now;
        if let Some(member) = &mut self.members[index] {
            let outgoing = member.tick(now);
            self.send(index, outgoing);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > self.now {
                return;
            }
            let (index, message) = entry.remove();
            if self.frozen.contains(&index) {
                continue;
            }
            if let Some(member) = &mut self.members[index] {
                let outgoing = member.handle(at, message);
                self.send_at(at, index, outgoing);
            }
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        self.send_at(self.now, from, outgoing);
    }

    fn send_at(&mut self, at: Instant, from: usize, outgoing: Vec<Outgoing>) {
        for (peer, message) in outgoing {
            let to = index_of(peer);
            self.sent_bytes[from] += wire_bytes(&name(from), &message);
            let is_lost = self.random.below(1_000) < self.loss_per_mille;
            if is_lost || self.cuts.contains(&(from, to)) {
                continue;
            }
            self.sequence += 1;
            self.queue.insert((at + LATENCY, self.sequence), (to, message));
        }
    }
}

/// Returns the name of a member.
pub fn name(index: usize) -> SmolStr {
    format_smolstr!("entry-{index:04}")
}

/// Returns the record of a member that is alive.
pub fn record(index: usize, epoch: u64) -> Member {
    Member {
        id: name(index),
        data_centre: DATA_CENTRE.into(),
        peer: address(index, 6081),
        request: address(index, 8080),
        epoch,
        incarnation: 0,
        state: MemberState::Alive,
    }
}

/// Returns the size of a message including its envelope, in bytes.
///
/// # Panics
///
/// Panics if the message cannot be encoded.
pub fn wire_bytes(sender: &str, message: &GossipMessage) -> u64 {
    let frame = Frame::Control(Message::Gossip(message.clone()));
    let body = frame.encode().expect("message can be encoded");
    (body.len() + overhead_bytes(sender.len())) as u64
}

fn listed(index: usize) -> ListedInstance {
    ListedInstance {
        name: name(index),
        data_centre: DATA_CENTRE.into(),
        peer: address(index, 6081),
        leaving: false,
    }
}

fn address(index: usize, port: u16) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 8, high, low)), port)
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(u16::from_be_bytes([ip.octets()[2], ip.octets()[3]])),
        IpAddr::V6(_) => usize::MAX,
    }
}
