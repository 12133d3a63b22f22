//! Configuration propagation between instances: new changes are pushed along a tree, and periodic
//! anti-entropy with random peers repairs whatever the pushes missed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::{Config, StoredRecord};
use crate::config_digest::{leaf_of, FAN_OUT};
use crate::config_message::{chunks, ConfigMessage, Leaf, Push, Summary, WireObject};
use crate::config_tree::{children, Child, TREE_FAN_OUT};
use crate::ids::{DataCentreId, InstanceId, Version};
use crate::platform::Object;
use crate::random::Random;
use crate::view::{Member, View};

/// Time between two comparisons with random peers.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Time to the next comparison after one that found no peer, or after a message that brought newer
/// records.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unacknowledged push is retransmitted.
pub const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of times that a push is sent to a child. If the child acknowledges none of them, the push
/// goes directly to the child's own children in the tree.
pub const MAX_PUSH_TRANSMISSIONS: u32 = 3;
/// Largest number of objects that are pushed at once. Larger sets of changes spread by comparisons
/// only.
pub const MAX_PUSHED_OBJECTS: usize = 256;
/// Size of the records sent in reply to one message after which no further record is added, in
/// bytes.
pub const MAX_REPLY_BYTES: usize = 32 * 1024;
/// Largest number of groups whose leaf digests are sent in one comparison.
const MAX_COMPARED_GROUPS: usize = 8;
/// Largest number of unacknowledged pushes that are tracked for retransmission. Pushes beyond it
/// are sent only once.
const MAX_PENDING_PUSHES: usize = 1_024;
/// Number of recently received pushes that are remembered, so that duplicates are not forwarded
/// again.
const MAX_SEEN_PUSHES: usize = 256;

/// A message with the address of its receiver.
pub type Outgoing = (SocketAddr, ConfigMessage);

/// Effects of a received message, which the caller carries out.
#[derive(Debug, Default)]
pub struct MessageEffects {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// Objects to apply to the configuration.
    pub objects: Vec<Object>,
    /// Summary of the sender, to pass to [`ConfigGossip::merge_summary`] after the objects are
    /// applied.
    pub summary: Option<Summary>,
    /// Whether to push the newer ones of the objects within the own data centre.
    pub push: bool,
}

#[derive(Debug)]
struct PendingPush {
    child: Child,
    push: Arc<Push>,
    transmissions: u32,
    retransmit_at: Instant,
}

/// Configuration propagation at one instance.
pub struct ConfigGossip {
    id: InstanceId,
    data_centre: DataCentreId,
    random: Arc<dyn Random>,
    complete: Version,
    last_platform_contact: Option<Instant>,
    last_push_number: u64,
    next_compare: Option<Instant>,
    seen_pushes: VecDeque<(InstanceId, u64)>,
    pending_pushes: BTreeMap<(InstanceId, InstanceId, u64), PendingPush>,
}

impl ConfigGossip {
    /// Creates the state of an instance without any configuration. Push numbers start at a value
    /// derived from `epoch`, the number of the instance's run, so that they keep growing across
    /// restarts.
    pub fn new(
        id: InstanceId,
        data_centre: DataCentreId,
        epoch: u64,
        random: Arc<dyn Random>,
    ) -> Self {
        Self {
            id,
            data_centre,
            random,
            complete: 0,
            last_platform_contact: None,
            last_push_number: epoch.wrapping_shl(16),
            next_compare: None,
            seen_pushes: VecDeque::new(),
            pending_pushes: BTreeMap::new(),
        }
    }

    /// Returns the version up to which this instance has received every change.
    pub fn complete(&self) -> Version {
        self.complete
    }

    /// Returns the time since the last contact between a watcher and the platform that this
    /// instance knows of, or `None` if it knows of none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_platform_contact.map(|at| now.saturating_duration_since(at))
    }

    /// Records that the platform answered this instance, which now has every change up to
    /// `complete`.
    pub fn record_platform_contact(&mut self, now: Instant, complete: Version) {
        self.complete = self.complete.max(complete);
        self.last_platform_contact = self.last_platform_contact.max(Some(now));
    }

    /// Takes over a peer's complete version and platform contact from its summary if both instances
    /// have equal digests, and so the same records. Ignores the summary otherwise.
    pub fn merge_summary(&mut self, now: Instant, summary: &Summary, config: &Config) {
        if summary.total != config.digest().total() {
            return;
        }
        self.complete = self.complete.max(summary.complete);
        let contact = now.checked_sub(Duration::from_millis(summary.age_ms));
        self.last_platform_contact = self.last_platform_contact.max(contact);
    }

    /// Starts a push of new objects to the other instances of the data centre. Returns no messages
    /// for more than [`MAX_PUSHED_OBJECTS`] objects.
    pub fn push(
        &mut self,
        now: Instant,
        view: &View,
        config: &Config,
        objects: &[Object],
    ) -> Vec<Outgoing> {
        if objects.len() > MAX_PUSHED_OBJECTS {
            return Vec::new();
        }
        let summary = self.summary(now, config);
        let objects = objects.iter().map(WireObject::new).collect();
        let mut outgoing = Vec::new();
        for objects in chunks(objects) {
            self.last_push_number += 1;
            let (root, number, summary) = (self.id.clone(), self.last_push_number, summary.clone());
            let push = Push { root, number, summary, objects };
            outgoing.extend(self.forward_push(now, view, &Arc::new(push), &self.id.clone()));
        }
        outgoing
    }

    /// Handles a message from another instance.
    pub fn handle(
        &mut self,
        now: Instant,
        view: &View,
        config: &Config,
        sender: &InstanceId,
        from: SocketAddr,
        message: ConfigMessage,
    ) -> MessageEffects {
        match message {
            ConfigMessage::Push(push) => self.handle_push(now, view, from, push),
            ConfigMessage::Ack { root, number } => {
                self.pending_pushes.remove(&(sender.clone(), root, number));
                MessageEffects::default()
            }
            ConfigMessage::Compare(summary) => self.handle_compare(now, config, from, summary),
            ConfigMessage::Groups { summary, digests } => {
                let outgoing = self.handle_groups(config, from, &digests);
                MessageEffects { outgoing, summary: Some(summary), ..MessageEffects::default() }
            }
            ConfigMessage::Group { group, digests } => handle_group(config, from, group, &digests),
            ConfigMessage::Leaves { leaves, is_answer } => {
                handle_leaves(config, from, &leaves, is_answer)
            }
            ConfigMessage::Objects(objects) => {
                let objects = objects.iter().filter_map(WireObject::object).collect();
                let is_remote =
                    view.get(sender).is_some_and(|peer| peer.data_centre != self.data_centre);
                MessageEffects { objects, push: is_remote, ..MessageEffects::default() }
            }
        }
    }

    /// Returns the retransmissions that are due at `now`, and requests for a comparison if the next
    /// one is due.
    pub fn tick(&mut self, now: Instant, view: &View, config: &Config) -> Vec<Outgoing> {
        let mut outgoing = self.retransmit(now, view);
        if self.next_compare.is_some_and(|at| now < at) {
            return outgoing;
        }
        let comparison_peers = self.comparison_peers(view);
        let interval =
            if comparison_peers.is_empty() { CATCH_UP_INTERVAL } else { COMPARE_INTERVAL };
        self.next_compare = Some(now + interval);
        let compare = ConfigMessage::Compare(self.summary(now, config));
        outgoing.extend(comparison_peers.into_iter().map(|peer| (peer, compare.clone())));
        outgoing
    }

    fn summary(&self, now: Instant, config: &Config) -> Summary {
        let age = self.age(now).map_or(u128::from(u64::MAX), |age| age.as_millis());
        Summary {
            complete: self.complete,
            total: config.digest().total(),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }

    /// Schedules the next comparison within [`CATCH_UP_INTERVAL`], since an instance that just
    /// received newer records probably lacks more.
    pub fn advance_compare(&mut self, now: Instant) {
        let soon = now + CATCH_UP_INTERVAL;
        self.next_compare = Some(self.next_compare.map_or(soon, |at| at.min(soon)));
    }

    /// Returns the address of one random peer in the own data centre and of one in the others,
    /// where there are any.
    fn comparison_peers(&self, view: &View) -> Vec<SocketAddr> {
        let others = view.members().iter().filter(|member| member.id != self.id);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.data_centre == self.data_centre);
        [near, far].iter().filter_map(|peers| self.random_peer(peers)).collect()
    }

    fn random_peer(&self, peers: &[&Member]) -> Option<SocketAddr> {
        let index = self.random.below(peers.len() as u64) as usize;
        peers.get(index).map(|member| member.peer)
    }

    fn handle_push(
        &mut self,
        now: Instant,
        view: &View,
        from: SocketAddr,
        push: Push,
    ) -> MessageEffects {
        let (root, number) = (push.root.clone(), push.number);
        let mut outgoing = vec![(from, ConfigMessage::Ack { root: root.clone(), number })];
        if self.seen_pushes.contains(&(root.clone(), number)) {
            return MessageEffects { outgoing, ..MessageEffects::default() };
        }
        self.seen_pushes.push_back((root, number));
        if self.seen_pushes.len() > MAX_SEEN_PUSHES {
            self.seen_pushes.pop_front();
        }
        let objects = push.objects.iter().filter_map(WireObject::object).collect();
        let summary = Some(push.summary.clone());
        outgoing.extend(self.forward_push(now, view, &Arc::new(push), &self.id.clone()));
        MessageEffects { outgoing, objects, summary, push: false }
    }

    /// Sends a push to the children of `parent` in its tree, and schedules the retransmissions.
    fn forward_push(
        &mut self,
        now: Instant,
        view: &View,
        push: &Arc<Push>,
        parent: &str,
    ) -> Vec<Outgoing> {
        let (data_centre, number) =
            (Some(self.data_centre.as_str()), (push.root.as_str(), push.number));
        let children = children(view, data_centre, number, TREE_FAN_OUT, parent);
        let mut outgoing = Vec::new();
        for child in children {
            outgoing.push((child.peer, ConfigMessage::Push(Push::clone(push))));
            let key = (child.id.clone(), push.root.clone(), push.number);
            if self.pending_pushes.len() < MAX_PENDING_PUSHES {
                let (push, retransmit_at) = (Arc::clone(push), now + RETRANSMIT_TIMEOUT);
                self.pending_pushes
                    .insert(key, PendingPush { child, push, transmissions: 1, retransmit_at });
            }
        }
        outgoing
    }

    fn retransmit(&mut self, now: Instant, view: &View) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let mut unresponsive = Vec::new();
        for (key, pending) in
            self.pending_pushes.iter_mut().filter(|(_, pending)| pending.retransmit_at <= now)
        {
            if pending.transmissions >= MAX_PUSH_TRANSMISSIONS {
                unresponsive.push(key.clone());
                continue;
            }
            pending.transmissions += 1;
            pending.retransmit_at = now + RETRANSMIT_TIMEOUT;
            let message = ConfigMessage::Push(Push::clone(&pending.push));
            outgoing.push((pending.child.peer, message));
        }
        for key in unresponsive {
            if let Some(pending) = self.pending_pushes.remove(&key) {
                outgoing.extend(self.forward_push(now, view, &pending.push, &pending.child.id));
            }
        }
        outgoing
    }

    fn handle_compare(
        &mut self,
        now: Instant,
        config: &Config,
        from: SocketAddr,
        summary: Summary,
    ) -> MessageEffects {
        let digest = config.digest();
        if digest.total() == summary.total {
            return MessageEffects { summary: Some(summary), ..MessageEffects::default() };
        }
        let (mine, digests) = (self.summary(now, config), digest.groups());
        let reply = ConfigMessage::Groups { summary: mine, digests };
        MessageEffects { outgoing: vec![(from, reply)], ..MessageEffects::default() }
    }

    fn handle_groups(&self, config: &Config, from: SocketAddr, digests: &[u64]) -> Vec<Outgoing> {
        let mine = config.digest().groups();
        let differing = differing_indices(&mine, digests);
        let start = self.random.below(differing.len() as u64) as usize;
        let chosen =
            differing.iter().cycle().skip(start).take(differing.len().min(MAX_COMPARED_GROUPS));
        let group = |group: &usize| {
            let group = *group as u8;
            let digests = config.digest().group(group).to_vec();
            (from, ConfigMessage::Group { group, digests })
        };
        chosen.map(group).collect()
    }
}

fn differing_indices(mine: &[u64], theirs: &[u64]) -> Vec<usize> {
    let pairs = mine.iter().zip(theirs).enumerate();
    pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(index, _)| index).collect()
}

fn handle_group(config: &Config, from: SocketAddr, group: u8, digests: &[u64]) -> MessageEffects {
    let differing = differing_indices(config.digest().group(group), digests);
    let leaf = |index: usize| u16::from(group) * FAN_OUT as u16 + index as u16;
    let wanted: BTreeSet<u16> = differing.into_iter().map(leaf).collect();
    if wanted.is_empty() {
        return MessageEffects::default();
    }
    let leaves = leaf_versions(config, &wanted);
    let outgoing = vec![(from, ConfigMessage::Leaves { leaves, is_answer: false })];
    MessageEffects { outgoing, ..MessageEffects::default() }
}

fn leaf_versions(config: &Config, wanted: &BTreeSet<u16>) -> Vec<Leaf> {
    let mut leaves: BTreeMap<u16, Leaf> =
        wanted.iter().map(|number| (*number, Leaf { number: *number, entries: vec![] })).collect();
    for record in config.records_in(wanted) {
        if let Some(leaf) = leaves.get_mut(&leaf_of(record.key)) {
            leaf.entries.push((record.key, record.version));
        }
    }
    leaves.into_values().collect()
}

fn handle_leaves(
    config: &Config,
    from: SocketAddr,
    leaves: &[Leaf],
    is_answer: bool,
) -> MessageEffects {
    let wanted: BTreeSet<u16> = leaves.iter().map(|leaf| leaf.number).collect();
    let theirs: BTreeMap<_, _> =
        leaves.iter().flat_map(|leaf| leaf.entries.iter().copied()).collect();
    let mine = config.records_in(&wanted);
    let versions: BTreeMap<_, _> = mine.iter().map(|record| (record.key, record.version)).collect();
    let their_version = |key| theirs.get(key).copied().unwrap_or_default();
    let newer = mine.iter().filter(|record| record.version > their_version(&record.key));
    let mut outgoing = record_messages(from, newer);
    let is_stale =
        |(key, version): (&_, &Version)| versions.get(key).is_none_or(|mine| mine < version);
    if !is_answer && theirs.iter().any(is_stale) {
        let leaves = leaf_versions(config, &wanted);
        outgoing.push((from, ConfigMessage::Leaves { leaves, is_answer: true }));
    }
    MessageEffects { outgoing, ..MessageEffects::default() }
}

fn record_messages<'a>(
    to: SocketAddr,
    records: impl Iterator<Item = &'a StoredRecord>,
) -> Vec<Outgoing> {
    let mut remaining_bytes = MAX_REPLY_BYTES;
    let mut objects = Vec::new();
    for object in records.map(WireObject::from_record) {
        remaining_bytes = remaining_bytes.saturating_sub(object.bytes());
        objects.push(object);
        if remaining_bytes == 0 {
            break;
        }
    }
    chunks(objects).into_iter().map(|objects| (to, ConfigMessage::Objects(objects))).collect()
}
