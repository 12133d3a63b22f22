//! One instance of the flow door with cookies: its decisions joined with what it hears from the
//! store and from other instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::cold_share::ColdBound;
use crate::config_tree::children;
use crate::cookie_door::{
    CookieDoor, CookieDoorSetup, CookieVerdict, DropReason, DueCheck, FlowTiming,
};
use crate::directory::Directory;
use crate::directory_exchange::{DirectoryExchange, RecordsOutcome};
use crate::directory_message::{DirectoryMessage, PartStatus, RecordsMessage};
use crate::envelope::{EnvelopeError, PeerKey};
use crate::flow_log::{Decision, FlowLog};
use crate::gossip::{Gossip, GossipMessage, Outgoing};
use crate::health_check::CheckOutcome;
use crate::ids::{DataCentreId, Epoch, InstanceId, Version};
use crate::logging;
use crate::message::{EpochNotice, Frame, Message};
use crate::metrics::{Metrics, PartLabel};
use crate::network::Network;
use crate::peer_link::{PeerLink, PeerLinkSetup};
use crate::platform::ListedInstance;
use crate::random::Random;
use crate::reader_choice::{rank, ReaderChoice, FIRST_START_WAIT, READING_INTERVAL, START_WAIT};
use crate::route::{DirectoryRecord, Part, RecordBody};
use crate::segment::{Segment, SegmentForm};
use crate::settings::Settings;
use crate::view::{Member, MemberState, View};

/// Instances to which an instance passes on a change of several datagrams; few, since each costs the
/// link as much as receiving the change.
const TREE_FAN_OUT: usize = 2;
/// One in this many questions for changes goes to the reader.
const READER_PULL_SHARE: u64 = 3;
/// Time between two clearings of what was removed long ago.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes a second of answers to instances that ask for the directory: a small part of the slowest
/// link, since the answers wait in line with the callers' packets.
const ANSWER_BYTES_PER_SECOND: u64 = 60_000;
/// Bytes of such answers that may be sent at once.
const ANSWER_BURST_BYTES: u64 = 60_000;
/// Largest jitter of the pause after a failed call to the store, in milliseconds.
const PAUSE_JITTER_MS: u64 = 200;

/// What an instance is created from.
pub struct CookieInstanceSetup {
    /// Settings of the door.
    pub door: CookieDoorSetup,
    /// Number of the run.
    pub epoch: Epoch,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Address for messages between instances.
    pub peer: SocketAddr,
    /// Port of the flow door.
    pub flow_port: u16,
    /// Keys of messages between instances; the first one seals.
    pub peer_keys: Vec<(u8, PeerKey)>,
    /// Speed of the instance's link, in megabits a second.
    pub link_mbps: f64,
    /// Addresses of instances to ask for others.
    pub seeds: Vec<SocketAddr>,
    /// Wire form of packets.
    pub form: Arc<dyn SegmentForm>,
    /// Source of randomness.
    pub random: Arc<dyn Random>,
    /// Sends to targets and callers.
    pub flow_network: Arc<dyn Network>,
    /// Sends to other instances.
    pub peer_network: Arc<dyn Network>,
}

/// Who is told what an instance read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The other instances.
    Others,
    /// Nobody: a fresh instance read what the others know already.
    Nobody,
}

/// What an instance knows from the store and from others.
struct Knowledge {
    directory: Directory,
    exchange: DirectoryExchange,
    choice: ReaderChoice,
    told_reading: Option<Instant>,
    forgotten_at: Option<Instant>,
}

/// One instance of the flow door with cookies.
pub struct CookieInstance {
    id: InstanceId,
    data_centre: DataCentreId,
    flow_port: u16,
    seeds: Vec<SocketAddr>,
    form: Arc<dyn SegmentForm>,
    random: Arc<dyn Random>,
    flow_network: Arc<dyn Network>,
    link: PeerLink,
    gossip: Mutex<Gossip>,
    knowledge: Mutex<Knowledge>,
    door: Mutex<CookieDoor>,
    is_first_start: bool,
    is_leaving: AtomicBool,
    last_packet: Mutex<Instant>,
    log: FlowLog,
    answers: Mutex<ByteBudget>,
    /// Metrics.
    pub metrics: Metrics,
}

impl CookieInstance {
    /// Creates an instance that knows nothing yet.
    pub fn new(setup: CookieInstanceSetup, now: Instant) -> Self {
        let (id, data_centre) = (setup.door.id.clone(), setup.door.data_centre.clone());
        let me = Member {
            id: id.clone(),
            data_centre: data_centre.clone(),
            peer: setup.peer,
            request: setup.peer,
            epoch: setup.epoch,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let mut gossip = Gossip::new(me, Arc::clone(&setup.random));
        gossip.seed(&listed(&setup.seeds, setup.peer));
        let start_wait = if setup.is_first_start {
            let longest = u64::try_from(FIRST_START_WAIT.as_millis()).unwrap_or(u64::MAX);
            START_WAIT + Duration::from_millis(setup.random.below(longest))
        } else {
            START_WAIT
        };
        let knowledge = Knowledge {
            directory: Directory::default(),
            exchange: DirectoryExchange::new(id.clone(), setup.random.next()),
            choice: ReaderChoice::new(start_wait, now),
            told_reading: None,
            forgotten_at: None,
        };
        let metrics = Metrics::new();
        let link = PeerLink::new(PeerLinkSetup {
            id: id.clone(),
            epoch: setup.epoch,
            keys: setup.peer_keys,
            network: setup.peer_network,
            link_mbps: setup.link_mbps,
            sent_bytes: metrics.control_bytes.clone(),
        });
        Self {
            link,
            id,
            data_centre,
            flow_port: setup.flow_port,
            seeds: setup.seeds.into_iter().filter(|seed| *seed != setup.peer).collect(),
            form: setup.form,
            random: setup.random,
            flow_network: setup.flow_network,
            gossip: Mutex::new(gossip),
            knowledge: Mutex::new(knowledge),
            door: Mutex::new(CookieDoor::new(setup.door)),
            is_first_start: setup.is_first_start,
            is_leaving: AtomicBool::new(false),
            last_packet: Mutex::new(now),
            log: FlowLog::default(),
            answers: Mutex::new(ByteBudget::new(ANSWER_BYTES_PER_SECOND, ANSWER_BURST_BYTES)),
            metrics,
        }
    }

    /// Returns the name of the instance.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns the data centre of the instance.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the live instances as far as is known.
    pub fn view(&self) -> Arc<View> {
        self.gossip.lock().view()
    }

    /// Runs `f` with the door.
    pub fn with_door<T>(&self, f: impl FnOnce(&CookieDoor) -> T) -> T {
        f(&self.door.lock())
    }

    /// Takes changed settings, as far as a running instance can.
    pub fn reload(&self, settings: &Settings) {
        self.door.lock().set_bounds(cold_bound(settings), settings.outage_bound);
        self.link.set_speed(settings.link_mbps);
    }

    /// Tells whether the instance can serve: it has a directory, reaches targets, and is not
    /// leaving. Callers of an instance that is not ready are sent to others.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed)
            && self.has_directory()
            && self.door.lock().reaches_any()
    }

    /// Tells whether every part of the directory was read or told.
    pub fn has_directory(&self) -> bool {
        self.knowledge.lock().directory.is_complete()
    }

    /// Returns what the instance knows and believes, for operators.
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let view = self.view();
        let knowledge = self.knowledge.lock();
        let door = self.door.lock();
        let age_ms = |part| knowledge.directory.age(part, now).map(|age| age.as_millis());
        json!({
            "instance": self.id,
            "data_centre": self.data_centre,
            "config_version": door.routes().version(),
            "routes": door.routes().len(),
            "targets": door.targets().indices().len(),
            "routing_age_ms": age_ms(Part::Routing),
            "targets_age_ms": age_ms(Part::Targets),
            "outages_age_ms": age_ms(Part::Outages),
            "is_reading": knowledge.choice.is_reading(),
            "flows": door.watch().len(),
            "members": view.members(),
        })
    }

    /// Asks other instances for the directory, as a fresh instance does.
    pub fn ask_seeds(&self, now: Instant) {
        let mut knowledge = self.knowledge.lock();
        let Knowledge { directory, exchange, .. } = &mut *knowledge;
        let Some(pull) = exchange.pull(directory, now) else { return };
        self.link.send(self.seeds.iter().copied(), Message::Directory(pull));
    }

    /// Handles a datagram from the fabric.
    pub fn on_flow_datagram(&self, now: Instant, buf: &[u8], out: &mut Vec<u8>) {
        let segment = match self.form.decode(buf) {
            Ok(segment) => segment,
            Err(err) => {
                log::debug!("datagram refused: {err}");
                return Metrics::count(&self.metrics.packets, "malformed");
            }
        };
        *self.last_packet.lock() = now;
        let (verdict, timings) = {
            let mut door = self.door.lock();
            (door.on_segment(&segment, now), door.take_timings())
        };
        self.observe(&timings);
        match verdict {
            CookieVerdict::Forward { to, token, cookie, opens } => {
                out.clear();
                self.form.hand_over(buf, token, cookie, out);
                self.flow_network.send(to, out);
                let outcome = match (opens, segment.ack) {
                    (false, _) => "forwarded",
                    (true, 0) => "opened",
                    (true, _) => "opened_again",
                };
                Metrics::count(&self.metrics.packets, outcome);
                if opens {
                    self.log_decision("placed", "opened", &segment, now);
                }
            }
            CookieVerdict::Reset(reason) => {
                self.reset(&segment, out);
                Metrics::count(&self.metrics.packets, reason.label());
                self.log_decision("reset", reason.label(), &segment, now);
            }
            CookieVerdict::Drop(reason) => {
                Metrics::count(&self.metrics.packets, reason.label());
                self.log_decision("dropped", reason.label(), &segment, now);
                if reason == DropReason::UnknownCookie || reason == DropReason::RouteInDoubt {
                    self.ask_anyone(now);
                }
            }
        }
    }

    fn observe(&self, timings: &[FlowTiming]) {
        for timing in timings {
            match timing {
                FlowTiming::Opened(time) => self.metrics.flow_open.observe(time.as_secs_f64()),
                FlowTiming::Answered(time) => {
                    self.metrics.request_answer.observe(time.as_secs_f64());
                }
            }
        }
    }

    /// Returns the metrics as text, with what is only counted when somebody asks.
    pub fn render_metrics(&self, now: Instant) -> String {
        let metrics = &self.metrics;
        {
            let knowledge = self.knowledge.lock();
            for part in Part::ALL {
                let age =
                    knowledge.directory.age(part, now).map_or(-1, |age| age.as_millis() as i64);
                metrics.directory_age.get_or_create(&PartLabel { part: part.kind() }).set(age);
            }
            metrics.is_reading.set(knowledge.choice.is_reading().into());
        }
        {
            let door = self.door.lock();
            metrics.flows.set(door.watch().len() as i64);
            metrics.targets_down.set(door.count_down() as i64);
        }
        metrics.members.set(self.view().members().len() as i64);
        metrics.log_lines_lost.set(logging::lost_lines() as i64);
        metrics.render()
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
            }
            Ok(Frame::Control(Message::EpochNotice(notice))) if notice.instance == self.id => {
                self.link.raise_epoch(notice.known + 1);
                self.gossip.lock().raise_epoch(notice.known);
            }
            Ok(_) => Metrics::count(&self.metrics.refused_datagrams, "unexpected"),
            Err(err) => {
                log::debug!("message from {from} refused: {err}");
                Metrics::count(&self.metrics.refused_datagrams, "malformed");
            }
        }
    }

    /// Does what is due, and returns the health checks to make.
    pub fn tick(&self, now: Instant) -> Vec<DueCheck> {
        let outgoing = self.gossip.lock().tick(now);
        self.send_gossip(outgoing);
        let view = self.view();
        let confirmed = {
            let mut knowledge = self.knowledge.lock();
            knowledge.forget(now);
            knowledge.directory.age(Part::Routing, now).and_then(|age| now.checked_sub(age))
        };
        let output = {
            let mut door = self.door.lock();
            door.set_view(view);
            door.set_routing_confirmed(confirmed);
            door.tick(now)
        };
        self.tell_conditions();
        self.tell_reading(now);
        self.ask_for_missing(now);
        self.link.send_waiting(now);
        if !self.has_directory() {
            self.ask_seeds(now);
        }
        output.checks
    }

    /// Takes the outcome of a health check.
    pub fn on_check(&self, target: &str, outcome: CheckOutcome, now: Instant) {
        self.door.lock().on_check(target, outcome, now);
        self.tell_conditions();
    }

    /// Announces the planned stop; from now on the instance is not ready.
    pub fn leave(&self, now: Instant) {
        self.is_leaving.store(true, Ordering::Relaxed);
        let outgoing = self.gossip.lock().leave(now);
        self.send_gossip(outgoing);
    }

    /// Returns the time since the last packet of a caller.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.last_packet.lock())
    }

    /// Tells whether the instance is to read everything once, since nobody told it.
    pub fn should_list(&self, now: Instant) -> bool {
        let knowledge = self.knowledge.lock();
        knowledge.choice.should_list(knowledge.directory.is_complete(), now)
    }

    /// Returns who is told what this instance reads before it follows the store: at the first start
    /// of all, the others know nothing yet.
    pub fn listing_audience(&self) -> Audience {
        if self.is_first_start {
            Audience::Others
        } else {
            Audience::Nobody
        }
    }

    /// Tells whether the instance is to begin to follow the store.
    pub fn should_read(&self, now: Instant) -> bool {
        let is_due = |rank| self.knowledge.lock().choice.should_start(rank, now);
        // Whether even the first in rank would is cheaper to know than the rank.
        is_due(0) && is_due(self.rank())
    }

    /// Tells whether the instance is to stop following the store.
    pub fn should_stop(&self, now: Instant) -> bool {
        self.knowledge.lock().choice.should_stop(now)
    }

    /// Notes that the instance follows the store.
    pub fn note_reading(&self) {
        self.knowledge.lock().choice.note_reading();
    }

    /// Notes that the instance no longer follows the store.
    pub fn note_stopped(&self) {
        self.knowledge.lock().choice.note_stopped();
    }

    /// Notes that the store failed.
    pub fn note_store_failed(&self, now: Instant) {
        let jitter = Duration::from_millis(self.random.below(PAUSE_JITTER_MS));
        let rank = self.rank();
        self.knowledge.lock().choice.note_failed(rank, jitter, now);
    }

    /// Returns the time since the store last confirmed a part.
    pub fn age(&self, part: Part, now: Instant) -> Option<Duration> {
        self.knowledge.lock().directory.age(part, now)
    }

    /// Compares a listing with what is known.
    pub fn differences(
        &self,
        part: Part,
        version: Version,
        listed: Vec<(SmolStr, Version, RecordBody)>,
    ) -> Vec<DirectoryRecord> {
        self.knowledge.lock().directory.differences(part, version, listed)
    }

    /// Returns the record that says that the store no longer has an entry.
    pub fn removal(&self, part: Part, name: &str, version: Version) -> DirectoryRecord {
        self.knowledge.lock().directory.removal(part, name, version)
    }

    /// Takes what was read from the store, and tells it to an audience.
    pub fn publish(
        &self,
        part: Part,
        records: Vec<DirectoryRecord>,
        version: Version,
        confirmed: Instant,
        audience: Audience,
    ) {
        let now = Instant::now();
        let messages = {
            let mut knowledge = self.knowledge.lock();
            let Knowledge { directory, exchange, .. } = &mut *knowledge;
            let before = directory.complete(part);
            let is_changed = directory.merge(part, records, now);
            directory.confirm(part, version, confirmed);
            if is_changed {
                self.apply(directory, part, now);
            }
            if is_changed && audience == Audience::Others {
                exchange.changes(directory, part, before, now)
            } else {
                Vec::new()
            }
        };
        for message in messages {
            if message.root.is_some() {
                self.pass_on(message, now);
            } else {
                self.broadcast(DirectoryMessage::Records(message));
            }
        }
    }

    /// Sends a datagram of a change to the instances below this one in its tree.
    fn pass_on(&self, message: RecordsMessage, now: Instant) {
        let Some(root) = &message.root else { return };
        let push = (root.as_str(), message.status.complete);
        let below = children(&self.view(), None, push, TREE_FAN_OUT, &self.id);
        let below = below.iter().map(|child| child.peer);
        self.link.send_paced(below, records_message(message), now);
    }

    fn ask_for_missing(&self, now: Instant) {
        let repairs = self.knowledge.lock().exchange.due_repairs(now);
        for repair in repairs {
            let (origin, batch) = repair.batch;
            let question = DirectoryMessage::Missing { origin, batch, indexes: repair.missing };
            self.send_to(repair.to, question);
        }
    }

    fn apply(&self, directory: &Directory, part: Part, now: Instant) {
        let mut door = self.door.lock();
        door.update(directory, part, now);
        let registrations = door.take_registrations();
        self.log.applied(part, directory, &door, &registrations, now);
        let version = i64::try_from(door.routes().version()).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
    }

    fn rank(&self) -> u32 {
        rank(&self.view(), &self.id)
    }

    fn log_decision(
        &self,
        outcome: &'static str,
        reason: &'static str,
        segment: &Segment,
        now: Instant,
    ) {
        self.log.decision(Decision { outcome, reason }, segment, &self.door.lock(), now);
    }

    fn reset(&self, segment: &Segment, out: &mut Vec<u8>) {
        out.clear();
        self.form.reset(segment, out);
        let to = self.form.caller_address(*segment.ends.caller.ip(), self.flow_port);
        self.flow_network.send(SocketAddr::V4(to), out);
    }

    fn ask_anyone(&self, now: Instant) {
        let pull = {
            let mut knowledge = self.knowledge.lock();
            let Knowledge { directory, exchange, .. } = &mut *knowledge;
            exchange.pull(directory, now)
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
            DirectoryMessage::Reading { parts } => self.on_reading(now, sender, from, &parts),
            DirectoryMessage::Pull { complete } => {
                let answers = {
                    let mut knowledge = self.knowledge.lock();
                    let Knowledge { directory, exchange, .. } = &mut *knowledge;
                    exchange.answer(directory, &complete, now)
                };
                self.send_answers(from, answers, now);
            }
            DirectoryMessage::Missing { origin, batch, indexes } => {
                let again = self.knowledge.lock().exchange.again(&(origin, batch), &indexes);
                for message in again {
                    self.link.send_paced([from], records_message(message), now);
                }
            }
            DirectoryMessage::Records(records) => self.on_records(now, sender, from, records),
            DirectoryMessage::Condition { target, condition } => {
                let view = self.view();
                let Some(member) = view.get(sender) else { return };
                self.door.lock().on_condition(member, &target, condition, now);
            }
        }
    }

    /// Sends answers while their budget lasts; whoever gets none asks others or the store.
    fn send_answers(&self, to: SocketAddr, answers: Vec<RecordsMessage>, now: Instant) {
        if !self.answers.lock().has_room(now) {
            return Metrics::count(&self.metrics.refused_datagrams, "answer_budget");
        }
        for answer in answers {
            self.answers.lock().spend(answer.wire_bytes());
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
        let message = records.root.is_some().then(|| records.clone());
        let (pull, is_passed_on) = {
            let mut knowledge = self.knowledge.lock();
            let Knowledge { directory, exchange, .. } = &mut *knowledge;
            let received = exchange.on_records(directory, sender, from, records, now);
            let pull = match received.outcome {
                RecordsOutcome::Unchanged => None,
                RecordsOutcome::Behind => exchange.pull(directory, now),
                RecordsOutcome::Changed => {
                    self.apply(directory, part, now);
                    None
                }
            };
            (pull, received.is_passed_on)
        };
        if let Some(pull) = pull {
            self.send_pull(from, pull);
        }
        if let Some(message) = message.filter(|_| is_passed_on) {
            self.pass_on(message, now);
        }
    }

    fn on_reading(
        &self,
        now: Instant,
        sender: &InstanceId,
        from: SocketAddr,
        parts: &[PartStatus],
    ) {
        let view = self.view();
        let is_first = rank(&view, sender) < rank(&view, &self.id);
        let answer = {
            let mut knowledge = self.knowledge.lock();
            let Knowledge { directory, exchange, choice, .. } = &mut *knowledge;
            choice.note_heard(is_first, now);
            exchange.on_reading(directory, parts, now)
        };
        if let Some(pull) = answer {
            self.send_pull(from, pull);
        }
    }

    fn tell_reading(&self, now: Instant) {
        let message = {
            let mut knowledge = self.knowledge.lock();
            let is_due = knowledge.told_reading.is_none_or(|at| now >= at + READING_INTERVAL);
            if !knowledge.choice.is_reading() || !is_due {
                return;
            }
            knowledge.told_reading = Some(now);
            DirectoryExchange::reading(&knowledge.directory, now)
        };
        self.broadcast(message);
    }

    fn tell_conditions(&self) {
        let changes = self.door.lock().take_changes();
        for change in changes {
            let (target, condition) = (change.target, change.condition);
            self.broadcast(DirectoryMessage::Condition { target, condition });
        }
    }

    fn broadcast(&self, message: DirectoryMessage) {
        self.link.broadcast(&self.view(), Message::Directory(message));
    }

    /// Asks the reader that told of a change, or mostly any other instance: those that have it are
    /// many soon, and one that has run for long answers with less than a fresh reader.
    fn send_pull(&self, reader: SocketAddr, pull: DirectoryMessage) {
        let view = self.view();
        let others: Vec<_> = view.members().iter().filter(|member| member.id != self.id).collect();
        let is_for_reader = others.is_empty() || self.random.below(READER_PULL_SHARE) == 0;
        let to = if is_for_reader {
            reader
        } else {
            others[self.random.below(others.len() as u64) as usize].peer
        };
        self.send_to(to, pull);
    }

    fn send_to(&self, to: SocketAddr, message: DirectoryMessage) {
        self.link.send([to], Message::Directory(message));
    }

    fn send_gossip(&self, outgoing: Vec<Outgoing>) {
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

impl Knowledge {
    /// Forgets now and then what was removed long ago.
    fn forget(&mut self, now: Instant) {
        if self.forgotten_at.is_none_or(|at| now >= at + FORGET_INTERVAL) {
            self.forgotten_at = Some(now);
            self.directory.forget(now);
            self.exchange.forget(now);
        }
    }
}

/// Returns the bound of cold targets that settings tell.
pub fn cold_bound(settings: &Settings) -> ColdBound {
    ColdBound { multiplier: settings.cold_multiplier, slack: settings.cold_slack }
}

fn records_message(records: RecordsMessage) -> Message {
    Message::Directory(DirectoryMessage::Records(records))
}

/// Names seeds by their addresses, since settings tell no names.
fn listed(seeds: &[SocketAddr], me: SocketAddr) -> Vec<ListedInstance> {
    let others = seeds.iter().filter(|seed| **seed != me);
    let instance = |seed: &SocketAddr| ListedInstance {
        name: SmolStr::new(format!("seed-{seed}")),
        data_centre: DataCentreId::default(),
        peer: *seed,
        leaving: false,
    };
    others.map(instance).collect()
}
