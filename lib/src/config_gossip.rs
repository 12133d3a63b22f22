//! Passing on of configuration between instances: a tree for new changes, and comparison with a
//! random peer every round for whatever the tree did not bring.

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

/// Time between two comparisons with a random peer.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two comparisons while this instance lacks something.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a push that was not acknowledged is sent again.
pub const RESEND_AFTER: Duration = Duration::from_millis(200);
/// Times that a push is sent before the instances below a silent one get it directly.
pub const MAX_SENDS: u32 = 3;
/// Largest number of changes that are pushed at once; more are left to comparisons.
pub const MAX_PUSHED_OBJECTS: usize = 256;
/// Largest number of bytes of records in answer to one message.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024;
const MAX_COMPARED: usize = 8;
const MAX_PENDING: usize = 1_024;
const SEEN_PUSHES: usize = 256;

/// A message and where to send it.
pub type Outgoing = (SocketAddr, ConfigMessage);

/// What follows from a message.
#[derive(Debug, Default)]
pub struct Handled {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// Objects to apply.
    pub objects: Vec<Object>,
    /// Summary of the sender, to be learned after the objects were applied.
    pub summary: Option<Summary>,
    /// Whether changes among the objects are to be pushed to the own data centre.
    pub push: bool,
}

#[derive(Debug)]
struct Pending {
    child: Child,
    push: Arc<Push>,
    sends: u32,
    due: Instant,
}

/// State of the passing on of configuration at one instance.
pub struct ConfigGossip {
    me: InstanceId,
    data_centre: DataCentreId,
    random: Arc<dyn Random>,
    complete: Version,
    confirmed: Option<Instant>,
    next_number: u64,
    next_compare: Option<Instant>,
    seen: VecDeque<(InstanceId, u64)>,
    pending: BTreeMap<(InstanceId, InstanceId, u64), Pending>,
}

impl ConfigGossip {
    /// Creates the state of an instance; `epoch` numbers its run, and its pushes start there.
    pub fn new(
        me: InstanceId,
        data_centre: DataCentreId,
        epoch: u64,
        random: Arc<dyn Random>,
    ) -> Self {
        Self {
            me,
            data_centre,
            random,
            complete: 0,
            confirmed: None,
            next_number: epoch.wrapping_shl(16),
            next_compare: None,
            seen: VecDeque::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Returns the version up to which this instance has every change.
    pub fn complete(&self) -> Version {
        self.complete
    }

    /// Returns the time since a watcher heard the platform, as far as this instance knows.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Notes that this instance heard the platform, and has every change up to a version.
    pub fn record_platform_contact(&mut self, now: Instant, complete: Version) {
        self.complete = self.complete.max(complete);
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Learns from a peer's summary: with equal digests, what is complete there is complete here.
    pub fn merge_summary(&mut self, now: Instant, summary: &Summary, config: &Config) {
        if summary.total != config.digest().total() {
            return;
        }
        self.complete = self.complete.max(summary.complete);
        let heard = now.checked_sub(Duration::from_millis(summary.age_ms));
        self.confirmed = self.confirmed.max(heard);
    }

    /// Starts a push of new objects to the other instances of the data centre.
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
            self.next_number += 1;
            let (root, number, summary) = (self.me.clone(), self.next_number, summary.clone());
            let push = Push { root, number, summary, objects };
            outgoing.extend(self.pass_on(now, view, &Arc::new(push), &self.me.clone()));
        }
        outgoing
    }

    /// Handles a message of another instance.
    pub fn handle(
        &mut self,
        now: Instant,
        view: &View,
        config: &Config,
        sender: &InstanceId,
        from: SocketAddr,
        message: ConfigMessage,
    ) -> Handled {
        match message {
            ConfigMessage::Push(push) => self.on_push(now, view, from, push),
            ConfigMessage::Ack { root, number } => {
                self.pending.remove(&(sender.clone(), root, number));
                Handled::default()
            }
            ConfigMessage::Compare(summary) => self.on_compare(now, config, from, summary),
            ConfigMessage::Groups { summary, digests } => {
                let outgoing = self.on_groups(config, from, &digests);
                Handled { outgoing, summary: Some(summary), ..Handled::default() }
            }
            ConfigMessage::Group { group, digests } => on_group(config, from, group, &digests),
            ConfigMessage::Leaves { leaves, is_answer } => {
                on_leaves(config, from, &leaves, is_answer)
            }
            ConfigMessage::Objects(objects) => {
                let objects = objects.iter().filter_map(WireObject::object).collect();
                let is_foreign =
                    view.get(sender).is_some_and(|peer| peer.data_centre != self.data_centre);
                Handled { objects, push: is_foreign, ..Handled::default() }
            }
        }
    }

    /// Does what is due, and returns the messages to send.
    pub fn tick(&mut self, now: Instant, view: &View, config: &Config) -> Vec<Outgoing> {
        let mut outgoing = self.resend(now, view);
        if self.next_compare.is_some_and(|at| now < at) {
            return outgoing;
        }
        let partners = self.partners(view);
        let interval = if partners.is_empty() { CATCH_UP_INTERVAL } else { COMPARE_INTERVAL };
        self.next_compare = Some(now + interval);
        let compare = ConfigMessage::Compare(self.summary(now, config));
        outgoing.extend(partners.into_iter().map(|peer| (peer, compare.clone())));
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

    /// Brings the next comparison forward, because this instance lacks something.
    pub fn advance_compare(&mut self, now: Instant) {
        let soon = now + CATCH_UP_INTERVAL;
        self.next_compare = Some(self.next_compare.map_or(soon, |at| at.min(soon)));
    }

    /// Returns one random peer of the own data centre and one of all others.
    fn partners(&self, view: &View) -> Vec<SocketAddr> {
        let others = view.members().iter().filter(|member| member.id != self.me);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.data_centre == self.data_centre);
        [near, far].iter().filter_map(|peers| self.choose(peers)).collect()
    }

    fn choose(&self, peers: &[&Member]) -> Option<SocketAddr> {
        let index = self.random.below(peers.len() as u64) as usize;
        peers.get(index).map(|member| member.peer)
    }

    fn on_push(&mut self, now: Instant, view: &View, from: SocketAddr, push: Push) -> Handled {
        let (root, number) = (push.root.clone(), push.number);
        let mut outgoing = vec![(from, ConfigMessage::Ack { root: root.clone(), number })];
        if self.seen.contains(&(root.clone(), number)) {
            return Handled { outgoing, ..Handled::default() };
        }
        self.seen.push_back((root, number));
        if self.seen.len() > SEEN_PUSHES {
            self.seen.pop_front();
        }
        let objects = push.objects.iter().filter_map(WireObject::object).collect();
        let summary = Some(push.summary.clone());
        outgoing.extend(self.pass_on(now, view, &Arc::new(push), &self.me.clone()));
        Handled { outgoing, objects, summary, push: false }
    }

    /// Sends a push to the instances below `above`.
    fn pass_on(
        &mut self,
        now: Instant,
        view: &View,
        push: &Arc<Push>,
        above: &str,
    ) -> Vec<Outgoing> {
        let (data_centre, number) =
            (Some(self.data_centre.as_str()), (push.root.as_str(), push.number));
        let below = children(view, data_centre, number, TREE_FAN_OUT, above);
        let mut outgoing = Vec::new();
        for child in below {
            outgoing.push((child.peer, ConfigMessage::Push(Push::clone(push))));
            let key = (child.id.clone(), push.root.clone(), push.number);
            if self.pending.len() < MAX_PENDING {
                let (push, due) = (Arc::clone(push), now + RESEND_AFTER);
                self.pending.insert(key, Pending { child, push, sends: 1, due });
            }
        }
        outgoing
    }

    fn resend(&mut self, now: Instant, view: &View) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let mut silent = Vec::new();
        for (key, pending) in self.pending.iter_mut().filter(|(_, pending)| pending.due <= now) {
            if pending.sends >= MAX_SENDS {
                silent.push(key.clone());
                continue;
            }
            pending.sends += 1;
            pending.due = now + RESEND_AFTER;
            let message = ConfigMessage::Push(Push::clone(&pending.push));
            outgoing.push((pending.child.peer, message));
        }
        for key in silent {
            if let Some(pending) = self.pending.remove(&key) {
                outgoing.extend(self.pass_on(now, view, &pending.push, &pending.child.id));
            }
        }
        outgoing
    }

    fn on_compare(
        &mut self,
        now: Instant,
        config: &Config,
        from: SocketAddr,
        summary: Summary,
    ) -> Handled {
        let digest = config.digest();
        if digest.total() == summary.total {
            return Handled { summary: Some(summary), ..Handled::default() };
        }
        let (mine, digests) = (self.summary(now, config), digest.groups());
        let answer = ConfigMessage::Groups { summary: mine, digests };
        Handled { outgoing: vec![(from, answer)], ..Handled::default() }
    }

    fn on_groups(&self, config: &Config, from: SocketAddr, digests: &[u64]) -> Vec<Outgoing> {
        let mine = config.digest().groups();
        let differing = differing(&mine, digests);
        let start = self.random.below(differing.len() as u64) as usize;
        let chosen = differing.iter().cycle().skip(start).take(differing.len().min(MAX_COMPARED));
        let group = |group: &usize| {
            let group = *group as u8;
            let digests = config.digest().group(group).to_vec();
            (from, ConfigMessage::Group { group, digests })
        };
        chosen.map(group).collect()
    }
}

fn differing(mine: &[u64], theirs: &[u64]) -> Vec<usize> {
    let pairs = mine.iter().zip(theirs).enumerate();
    pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(index, _)| index).collect()
}

fn on_group(config: &Config, from: SocketAddr, group: u8, digests: &[u64]) -> Handled {
    let differing = differing(config.digest().group(group), digests);
    let leaf = |index: usize| u16::from(group) * FAN_OUT as u16 + index as u16;
    let wanted: BTreeSet<u16> = differing.into_iter().map(leaf).collect();
    if wanted.is_empty() {
        return Handled::default();
    }
    let leaves = leaves_of(config, &wanted);
    let outgoing = vec![(from, ConfigMessage::Leaves { leaves, is_answer: false })];
    Handled { outgoing, ..Handled::default() }
}

fn leaves_of(config: &Config, wanted: &BTreeSet<u16>) -> Vec<Leaf> {
    let mut leaves: BTreeMap<u16, Leaf> =
        wanted.iter().map(|number| (*number, Leaf { number: *number, entries: vec![] })).collect();
    for record in config.records_in(wanted) {
        if let Some(leaf) = leaves.get_mut(&leaf_of(record.key)) {
            leaf.entries.push((record.key, record.version));
        }
    }
    leaves.into_values().collect()
}

fn on_leaves(config: &Config, from: SocketAddr, leaves: &[Leaf], is_answer: bool) -> Handled {
    let wanted: BTreeSet<u16> = leaves.iter().map(|leaf| leaf.number).collect();
    let theirs: BTreeMap<_, _> =
        leaves.iter().flat_map(|leaf| leaf.entries.iter().copied()).collect();
    let mine = config.records_in(&wanted);
    let versions: BTreeMap<_, _> = mine.iter().map(|record| (record.key, record.version)).collect();
    let known = |key| theirs.get(key).copied().unwrap_or_default();
    let newer = mine.iter().filter(|record| record.version > known(&record.key));
    let mut outgoing = send_records(from, newer);
    let lacks =
        |(key, version): (&_, &Version)| versions.get(key).is_none_or(|mine| mine < version);
    if !is_answer && theirs.iter().any(lacks) {
        let leaves = leaves_of(config, &wanted);
        outgoing.push((from, ConfigMessage::Leaves { leaves, is_answer: true }));
    }
    Handled { outgoing, ..Handled::default() }
}

fn send_records<'a>(
    to: SocketAddr,
    records: impl Iterator<Item = &'a StoredRecord>,
) -> Vec<Outgoing> {
    let mut room = MAX_ANSWER_BYTES;
    let mut sent = Vec::new();
    for object in records.map(WireObject::from_record) {
        room = room.saturating_sub(object.bytes());
        sent.push(object);
        if room == 0 {
            break;
        }
    }
    chunks(sent).into_iter().map(|objects| (to, ConfigMessage::Objects(objects))).collect()
}
