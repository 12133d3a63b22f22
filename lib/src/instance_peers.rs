//! Sending and handling of messages between instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use crate::config_tree::children;
use crate::cookie_forwarder::ConditionChange;
use crate::cookie_instance::CookieInstance;
use crate::demand_exchange::Receiver;
use crate::directory_message::{DirectoryMessage, RecordsMessage};
use crate::directory_replication::{RecordsOutcome, FIRST_START_PULL_INTERVAL, PULL_INTERVAL};
use crate::directory_state::DirectoryState;
use crate::envelope::EnvelopeError;
use crate::failing_targets::BreakerMessage;
use crate::gossip::{GossipMessage, Outgoing};
use crate::ids::{DataCentreId, InstanceId};
use crate::message::{EpochNotice, Frame, Message};
use crate::metrics::Metrics;
use crate::reader_election::KnownReader;
use crate::slow_targets::WeightMessage;
use crate::view::{Member, View};

/// Number of instances to which an instance relays a change of several datagrams. It is small,
/// since each one costs the link as much as receiving the change.
const TREE_FAN_OUT: usize = 2;
/// One in this many pulls goes to the reader, the others to a random instance.
const READER_PULL_DIVISOR: u64 = 3;

/// Identifies the tree of instances along which a change is relayed.
#[derive(Debug)]
pub(crate) struct BroadcastTree {
    view: Arc<View>,
    root: InstanceId,
    version: u64,
}

impl BroadcastTree {
    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.view, &other.view)
            && self.root == other.root
            && self.version == other.version
    }
}

fn records_message(records: RecordsMessage) -> Message {
    Message::Directory(DirectoryMessage::Records(records))
}

impl CookieInstance {
    /// Pulls the directory from the seeds, or when the whole deployment starts from one random seed or
    /// member.
    pub fn pull_directory(&self, now: Instant) {
        let mut state = self.directory_state.lock();
        let DirectoryState { directory, replication, .. } = &mut *state;
        let is_first_start = self.is_first_start(now);
        let interval = if is_first_start { FIRST_START_PULL_INTERVAL } else { PULL_INTERVAL };
        let Some(pull) = replication.pull_after(directory, interval, now) else { return };
        drop(state);
        if is_first_start {
            self.link.send(self.random_contact(), Message::Directory(pull));
        } else {
            self.link.send(self.seeds.iter().copied(), Message::Directory(pull));
        }
    }

    /// Returns a random seed or member. When a whole deployment starts, the seeds alone could not
    /// answer all instances in time, and those that have the directory answer too.
    pub(crate) fn random_contact(&self) -> Option<SocketAddr> {
        let view = self.view();
        let members = view.members().iter().filter(|member| member.id != self.id);
        let members = members.map(|member| member.peer);
        let contacts: BTreeSet<_> = self.seeds.iter().copied().chain(members).collect();
        let index = self.random.below(contacts.len().max(1) as u64) as usize;
        contacts.into_iter().nth(index)
    }

    /// Handles a datagram from another instance.
    pub fn on_peer_datagram(&self, now: Instant, from: SocketAddr, buf: &[u8]) {
        let (origin, body) = match self.link.open(buf) {
            Ok(opened) => opened,
            Err(err) => return self.refuse_datagram(from, &err),
        };
        match Frame::decode(body) {
            Ok(Frame::Control(Message::Gossip(message))) => self.on_gossip(now, message),
            Ok(Frame::Control(Message::Directory(message))) => {
                self.on_directory(now, &origin.sender, from, message);
                self.release_held_packets(now);
            }
            Ok(Frame::Control(Message::EpochNotice(notice))) if notice.instance == self.id => {
                self.link.raise_epoch(notice.known + 1);
                self.gossip.lock().raise_epoch(notice.known);
            }
            Ok(_) => Metrics::count(&self.metrics.refused_datagrams, "unexpected"),
            Err(err) => {
                log::debug!("malformed message from {from} refused: {err}");
                Metrics::count(&self.metrics.refused_datagrams, "malformed");
            }
        }
    }

    /// Relays a datagram of a change to this instance's children in the broadcast tree.
    pub(crate) fn relay(&self, message: RecordsMessage, now: Instant) {
        let Some(root) = message.root.clone() else { return };
        let tree = BroadcastTree { view: self.view(), root, version: message.status.complete };
        self.link.send_paced(self.tree_children(tree), records_message(message), now);
    }

    /// Returns the addresses of this instance's children in a broadcast tree. The last result is
    /// cached, since all datagrams of a change take the same tree.
    fn tree_children(&self, tree: BroadcastTree) -> Vec<SocketAddr> {
        let mut last = self.broadcast_children.lock();
        if let Some((_, addresses)) = last.as_ref().filter(|(it, _)| it.is_same(&tree)) {
            return addresses.clone();
        }
        let change = (tree.root.as_str(), tree.version);
        let addresses = children(&tree.view, None, change, TREE_FAN_OUT, &self.id);
        let addresses: Vec<_> = addresses.iter().map(|child| child.peer).collect();
        *last = Some((tree, addresses.clone()));
        addresses
    }

    pub(crate) fn send_repair_requests(&self, now: Instant) {
        let requests = self.directory_state.lock().replication.due_repair_requests(now);
        for request in requests {
            let (origin, batch) = request.batch;
            let message = DirectoryMessage::Missing { origin, batch, indexes: request.missing };
            self.send_to(request.to, message);
        }
    }

    pub(crate) fn broadcast_pull(&self, now: Instant) {
        let pull = {
            let mut state = self.directory_state.lock();
            let DirectoryState { directory, replication, .. } = &mut *state;
            replication.pull(directory, now)
        };
        if let Some(pull) = pull {
            self.broadcast(pull);
        }
    }

    fn on_gossip(&self, now: Instant, message: GossipMessage) {
        let outgoing = self.gossip.lock().handle(now, message);
        self.send_gossip(outgoing);
    }

    fn on_directory(
        &self,
        now: Instant,
        sender: &InstanceId,
        from: SocketAddr,
        message: DirectoryMessage,
    ) {
        match message {
            DirectoryMessage::Heartbeat { parts } => {
                self.on_heartbeat(now, sender, from, &parts);
            }
            DirectoryMessage::Reading { .. } => {
                Metrics::count(&self.metrics.refused_datagrams, "heartbeat_without_era");
            }
            DirectoryMessage::Pull { complete } => {
                let answers = {
                    let mut state = self.directory_state.lock();
                    let DirectoryState { directory, replication, .. } = &mut *state;
                    replication.answer(directory, &complete, now)
                };
                self.send_answers(from, answers, now);
                if complete.is_empty() || complete.contains(&0) {
                    self.send_reader_hint(sender, from, now);
                }
            }
            DirectoryMessage::ReaderHint { reader, peer, parts, age } => {
                let heard_at = now.checked_sub(age).unwrap_or(now);
                self.on_reader_hint(now, KnownReader { id: reader, peer, parts, heard_at });
            }
            DirectoryMessage::Missing { origin, batch, indexes } => {
                let messages = self
                    .directory_state
                    .lock()
                    .replication
                    .retransmissions(&(origin, batch), &indexes);
                for message in messages {
                    self.link.send_paced([from], records_message(message), now);
                }
            }
            DirectoryMessage::Records(records) => self.on_records(now, sender, from, records),
            DirectoryMessage::Condition { target, condition } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_condition(member, &target, condition, now);
            }
            DirectoryMessage::AnswerReport { targets } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_answer_report(member, &targets, now);
            }
            DirectoryMessage::WeightReport { targets } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_weight_report(member, &targets, now);
            }
            DirectoryMessage::OutcomeReport { targets } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_outcome_report(member, &targets, now);
            }
            DirectoryMessage::BreakerReport { targets } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_breaker_report(member, &targets, now);
            }
            DirectoryMessage::Demand(report) => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_demand_report(member, &report, now);
            }
            DirectoryMessage::Refused { target } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.forwarder.lock().on_refused(member, &target, now);
            }
        }
    }

    /// Sends a report on the demand of callers to a random instance, if one is due.
    pub(crate) fn send_demand_report(&self, now: Instant) {
        let interval = self.forwarder.lock().demand_report_interval();
        let Some(receiver) = self.report_schedule.lock().take_due(interval, now) else { return };
        let view = self.view();
        let is_receiver = |it: &&Member| match receiver {
            Receiver::OwnDataCentre => it.data_centre == self.data_centre && it.id != self.id,
            Receiver::OtherDataCentre => it.data_centre != self.data_centre,
        };
        let receivers: Vec<_> = view.members().iter().filter(is_receiver).collect();
        let index = self.random.below(receivers.len() as u64) as usize;
        let Some(member) = receivers.get(index) else { return };
        let report = self.forwarder.lock().demand_report(&member.data_centre, now);
        self.send_to(member.peer, DirectoryMessage::Demand(report));
    }

    /// Sends the answers to a pull within their byte budget. A requester that gets no answer pulls
    /// from other instances or lists the store.
    fn send_answers(&self, to: SocketAddr, answers: Vec<RecordsMessage>, now: Instant) {
        if !self.answer_budget.lock().has_available_bytes(now) {
            return Metrics::count(&self.metrics.refused_datagrams, "answer_budget");
        }
        for answer in answers {
            self.answer_budget.lock().spend(answer.wire_bytes());
            self.link.send_paced([to], records_message(answer), now);
        }
    }

    fn on_records(
        &self,
        now: Instant,
        sender: &InstanceId,
        from: SocketAddr,
        records: RecordsMessage,
    ) {
        let part = records.part;
        let (pull, relay) = {
            let mut state = self.directory_state.lock();
            let DirectoryState { directory, replication, .. } = &mut *state;
            let before = directory.complete_version(part);
            let received = replication.on_records(directory, sender, from, records, now);
            self.note_era(before, directory.complete_version(part));
            let pull = match received.outcome {
                RecordsOutcome::Unchanged => None,
                RecordsOutcome::Behind => replication.pull(directory, now),
                RecordsOutcome::Changed => {
                    self.apply(directory, part, now);
                    None
                }
            };
            (pull, received.relay)
        };
        if let Some(pull) = pull {
            self.send_pull(from, pull);
        }
        if let Some(message) = relay {
            self.relay(message, now);
        }
    }

    /// Reports changed conditions of targets to the instances that accept the reports: those in
    /// this data centre and in the target's, and all instances if these are the same.
    pub(crate) fn announce_condition_changes(&self) {
        let (changes, refusals) = {
            let mut forwarder = self.forwarder.lock();
            (forwarder.take_condition_changes(), forwarder.take_refusals())
        };
        for ConditionChange { target, condition, data_centre } in changes {
            let message = DirectoryMessage::Condition { target, condition };
            self.report_on_target(&data_centre, message);
        }
        for (target, data_centre) in refusals {
            self.report_on_target(&data_centre, DirectoryMessage::Refused { target });
        }
    }

    /// Sends a report on a target in a data centre to the instances that accept it.
    fn report_on_target(&self, data_centre: &DataCentreId, message: DirectoryMessage) {
        let is_local = *data_centre == self.data_centre;
        let accepts_report = |it: &&Member| {
            is_local || it.data_centre == self.data_centre || it.data_centre == *data_centre
        };
        let view = self.view();
        let others = view.members().iter().filter(|it| it.id != self.id);
        let to = others.filter(accepts_report).map(|member| member.peer);
        self.link.send(to, Message::Directory(message));
    }

    /// Sends the messages on slow targets, and logs the weights that this instance changed.
    pub(crate) fn send_weight_messages(&self, now: Instant) {
        let messages = {
            let mut forwarder = self.forwarder.lock();
            for change in forwarder.take_weight_changes() {
                let outcome = if change.to > change.from { "lowered" } else { "raised" };
                Metrics::count(&self.metrics.weight_changes, outcome);
                self.log.log_weight_change(&change, &forwarder, now);
            }
            forwarder.take_weight_messages()
        };
        for WeightMessage { to, message } in messages {
            self.link.send(to, Message::Directory(message));
        }
    }

    /// Sends the messages on failing targets, and logs the breakers whose state this instance changed.
    pub(crate) fn send_breaker_messages(&self, now: Instant) {
        let messages = {
            let mut forwarder = self.forwarder.lock();
            for change in forwarder.take_breaker_changes() {
                Metrics::count(&self.metrics.breaker_changes, change.to.label());
                self.log.log_breaker_change(&change, &forwarder, now);
            }
            forwarder.take_breaker_messages()
        };
        for BreakerMessage { to, message } in messages {
            self.link.send(to, Message::Directory(message));
        }
    }

    pub(crate) fn broadcast(&self, message: DirectoryMessage) {
        self.link.broadcast(&self.view(), Message::Directory(message));
    }

    /// Sends a pull to a random instance, or to the reader in one of [`READER_PULL_DIVISOR`] cases.
    /// Many instances soon have a change, and one that has run for long knows the history, so that
    /// its answer is smaller than that of a fresh reader.
    pub(crate) fn send_pull(&self, reader: SocketAddr, pull: DirectoryMessage) {
        let view = self.view();
        let others: Vec<_> = view.members().iter().filter(|member| member.id != self.id).collect();
        let is_for_reader = others.is_empty() || self.random.below(READER_PULL_DIVISOR) == 0;
        let to = if is_for_reader {
            reader
        } else {
            others[self.random.below(others.len() as u64) as usize].peer
        };
        self.send_to(to, pull);
    }

    pub(crate) fn send_to(&self, to: SocketAddr, message: DirectoryMessage) {
        self.link.send([to], Message::Directory(message));
    }

    pub(crate) fn send_gossip(&self, outgoing: Vec<Outgoing>) {
        for (to, message) in outgoing {
            self.link.send([to], Message::Gossip(message));
        }
    }

    fn refuse_datagram(&self, from: SocketAddr, err: &EnvelopeError) {
        log::debug!("datagram from {from} refused: {err}");
        Metrics::count(&self.metrics.refused_datagrams, "envelope");
        if let EnvelopeError::Outdated { sender, known } = err {
            let notice = EpochNotice { instance: sender.clone(), known: *known };
            self.link.send([from], Message::EpochNotice(notice));
        }
    }
}
