//! Instance that forwards packets by their target's cookie. It connects the packet forwarder with the
//! directory from the object store and with the other instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::circuit_breaker::BreakerState;
use crate::cold_start_limit::ColdStartLimit;
use crate::cookie_forwarder::{CookieForwarder, CookieForwarderSetup, DueCheck, FlowTiming};
use crate::cookie_verdict::{CookieVerdict, DropReason, ResetReason};
use crate::demand_exchange::ReportSchedule;
use crate::directory::Directory;
use crate::directory_replication::DirectoryReplication;
use crate::directory_state::DirectoryState;
use crate::envelope::PeerKey;
use crate::flow_log::FlowLog;
use crate::gossip::Gossip;
use crate::health_check::CheckOutcome;
use crate::ids::{DataCentreId, Epoch, InstanceId};
use crate::instance_peers::BroadcastTree;
use crate::logging;
use crate::metrics::{Metrics, OutageLabel, OutcomeLabel, PartLabel, WeightLabel};
use crate::network::Network;
use crate::opening_admission::{OpeningOutcome, Rooms};
use crate::outage_losses::OutageLoss;
use crate::packet_hold::PacketHold;
use crate::peer_link::{PeerLink, PeerLinkSetup};
use crate::platform::ListedInstance;
use crate::random::Random;
use crate::reader_election::{
    ReaderElection, StartDelays, FIRST_START_MAX_JITTER, FIRST_START_PULL_TIMEOUT,
    INITIAL_PULL_TIMEOUT, UNHEARD_READER_DELAY, UNHEARD_READER_MAX_JITTER,
};
use crate::route::{Part, Routing};
use crate::segment::{Segment, SegmentFormat};
use crate::settings::Settings;
use crate::store_version::Era;
use crate::target_weight::WeightClass;
use crate::view::{Member, MemberState, View};

/// Time that the first start of a whole deployment takes.
const FIRST_START_TIME: Duration = Duration::from_secs(9);
/// Share of the instance's link that answers to instances which request the directory may use. It is
/// small, because the answers share the link's queue with callers' packets.
const ANSWER_LINK_SHARE: f64 = 0.05;
/// Largest burst of such answers.
const ANSWER_BURST_BYTES: u64 = 60_000;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Configuration and dependencies of a [`CookieInstance`].
pub struct CookieInstanceSetup {
    /// Settings of the packet forwarder.
    pub forwarder: CookieForwarderSetup,
    /// Number of the instance's run, which increases with each start.
    pub epoch: Epoch,
    /// Whether the whole deployment starts for the first time, so that no other instance has the
    /// directory.
    pub is_first_start: bool,
    /// Address that receives messages from other instances.
    pub peer: SocketAddr,
    /// Port that receives packets of flows.
    pub flow_port: u16,
    /// Keys of messages between instances, with their identifiers. The first key seals messages.
    pub peer_keys: Vec<(u8, PeerKey)>,
    /// Bandwidth of the instance's link, in megabits per second.
    pub link_mbps: f64,
    /// Addresses of instances from which this one requests the membership and the directory.
    pub seeds: Vec<SocketAddr>,
    /// Wire format of the packets of flows.
    pub format: Arc<dyn SegmentFormat>,
    /// Source of randomness.
    pub random: Arc<dyn Random>,
    /// Network for packets to targets and callers.
    pub flow_network: Arc<dyn Network>,
    /// Network for messages to other instances.
    pub peer_network: Arc<dyn Network>,
}

/// Instance that forwards packets by their target's cookie.
pub struct CookieInstance {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: DataCentreId,
    /// Address at which other instances reach this one.
    pub(crate) peer: SocketAddr,
    pub(crate) flow_port: u16,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) format: Arc<dyn SegmentFormat>,
    pub(crate) random: Arc<dyn Random>,
    pub(crate) flow_network: Arc<dyn Network>,
    pub(crate) link: PeerLink,
    pub(crate) gossip: Mutex<Gossip>,
    pub(crate) directory_state: Mutex<DirectoryState>,
    pub(crate) forwarder: Mutex<CookieForwarder>,
    /// Packets of callers that arrived before the directory was complete; `None` from then on.
    held_packets: Mutex<Option<PacketHold>>,
    /// Latest era of the store that this instance has learnt of.
    pub(crate) latest_era: Mutex<Option<Era>>,
    /// End of the first start of the whole deployment; `None` if only this instance started.
    first_start_until: Option<Instant>,
    /// Whether the other instances contact this one first when they start.
    pub(crate) is_seed: bool,
    pub(crate) is_leaving: AtomicBool,
    pub(crate) last_packet: Mutex<Instant>,
    pub(crate) log: FlowLog,
    pub(crate) answer_budget: Mutex<ByteBudget>,
    pub(crate) report_schedule: Mutex<ReportSchedule>,
    /// Tree that was last used to relay a change, and the addresses of this instance's children in
    /// it.
    pub(crate) broadcast_children: Mutex<Option<(BroadcastTree, Vec<SocketAddr>)>>,
    /// Metrics of the instance.
    pub metrics: Metrics,
}

impl CookieInstance {
    /// Creates an instance with an empty directory.
    pub fn new(setup: CookieInstanceSetup, now: Instant) -> Self {
        let (id, data_centre) = (setup.forwarder.id.clone(), setup.forwarder.data_centre.clone());
        let own_member = Member {
            id: id.clone(),
            data_centre: data_centre.clone(),
            peer: setup.peer,
            request: setup.peer,
            epoch: setup.epoch,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let mut gossip = Gossip::new(own_member, Arc::clone(&setup.random));
        gossip.seed(&seed_instances(&setup.seeds, setup.peer));
        let is_seed = is_seed(&setup);
        let delays = start_delays(&setup, is_seed);
        let directory_state = DirectoryState {
            directory: Directory::default(),
            replication: DirectoryReplication::new(id.clone(), setup.random.next()),
            election: ReaderElection::new(delays, now),
            heartbeat_sent_at: None,
            purged_at: None,
        };
        let metrics = Metrics::new();
        let mut forwarder = CookieForwarder::new(setup.forwarder);
        forwarder.set_link_mbps(setup.link_mbps);
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
            peer: setup.peer,
            flow_port: setup.flow_port,
            seeds: setup.seeds.into_iter().filter(|seed| *seed != setup.peer).collect(),
            format: setup.format,
            random: setup.random,
            flow_network: setup.flow_network,
            gossip: Mutex::new(gossip),
            directory_state: Mutex::new(directory_state),
            forwarder: Mutex::new(forwarder),
            held_packets: Mutex::new(Some(PacketHold::default())),
            latest_era: Mutex::new(None),
            first_start_until: setup.is_first_start.then(|| now + FIRST_START_TIME),
            is_seed,
            is_leaving: AtomicBool::new(false),
            last_packet: Mutex::new(now),
            log: FlowLog::default(),
            broadcast_children: Mutex::new(None),
            report_schedule: Mutex::default(),
            answer_budget: Mutex::new(ByteBudget::new(
                (setup.link_mbps * BYTES_PER_MEGABIT * ANSWER_LINK_SHARE) as u64,
                ANSWER_BURST_BYTES,
            )),
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

    /// Returns whether the whole deployment starts for the first time, so that there are no callers
    /// yet and no other instance has the directory.
    pub(crate) fn is_first_start(&self, now: Instant) -> bool {
        self.first_start_until.is_some_and(|until| now < until)
    }

    /// Returns the instances that are live according to gossip.
    pub fn view(&self) -> Arc<View> {
        self.gossip.lock().view()
    }

    /// Calls `f` with the packet forwarder, which stays locked during the call.
    pub fn with_forwarder<T>(&self, f: impl FnOnce(&CookieForwarder) -> T) -> T {
        f(&self.forwarder.lock())
    }

    /// Sets the room of the services, which replaces the former figures.
    pub fn set_rooms(&self, rooms: Rooms) {
        self.forwarder.lock().set_rooms(rooms);
    }

    /// Applies those changed settings that can change without a restart.
    pub fn reload(&self, settings: &Settings) {
        {
            let mut forwarder = self.forwarder.lock();
            forwarder.set_bounds(cold_start_limit(settings), settings.outage_bound);
            forwarder.set_link_mbps(settings.link_mbps);
        }
        self.link.set_link_mbps(settings.link_mbps);
    }

    /// Returns whether the instance can serve: it has the whole directory, reaches targets, and is not
    /// leaving. The network fabric routes callers of an instance that is not ready to others.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed)
            && self.has_directory()
            && self.forwarder.lock().reaches_any_target()
    }

    /// Returns whether the instance has every part of the directory, from the store or from another
    /// instance.
    pub fn has_directory(&self) -> bool {
        self.directory_state.lock().directory.is_complete()
    }

    /// Returns the routing document in force, or `None` before the first.
    pub fn routing(&self) -> Option<Routing> {
        self.with_directory(|directory| {
            Routing::from_records(directory.records(Part::Routing).map(|(_, body)| body))
        })
    }

    /// Returns the status of the instance for operators, as JSON.
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let view = self.view();
        let directory_state = self.directory_state.lock();
        let forwarder = self.forwarder.lock();
        let age_ms = |part| directory_state.directory.age(part, now).map(|age| age.as_millis());
        json!({
            "instance": self.id,
            "data_centre": self.data_centre,
            "config_version": forwarder.routes().version(),
            "routes": forwarder.routes().len(),
            "targets": forwarder.targets().indices().len(),
            "routing_age_ms": age_ms(Part::Routing),
            "targets_age_ms": age_ms(Part::Targets),
            "outages_age_ms": age_ms(Part::Outages),
            "store_era": directory_state.directory.era(),
            "is_reading": directory_state.election.is_reading(),
            "flows": forwarder.watch().len(),
            "members": view.members(),
        })
    }

    /// Handles a datagram from the network fabric. `out` is a buffer for the datagram that is sent.
    pub fn on_flow_datagram(&self, now: Instant, buf: &[u8], out: &mut Vec<u8>) {
        let segment = match self.format.decode(buf) {
            Ok(segment) => segment,
            Err(err) => {
                log::debug!("datagram of a flow refused: {err}");
                return Metrics::count(&self.metrics.packets, "malformed");
            }
        };
        *self.last_packet.lock() = now;
        if !self.hold_packet(now, &segment, buf) {
            self.forward(now, &segment, buf, out);
        }
    }

    /// Holds a packet, or drops it if too many are held. Returns `false` and does neither once the
    /// directory has been complete.
    fn hold_packet(&self, now: Instant, segment: &Segment, buf: &[u8]) -> bool {
        let mut held_packets = self.held_packets.lock();
        let Some(hold) = held_packets.as_mut() else { return false };
        let outcome = if hold.push(segment, buf, now) { "held" } else { "hold_full" };
        Metrics::count(&self.metrics.packets, outcome);
        true
    }

    /// Decides on the held packets once the directory is complete, and on those that were held for
    /// too long.
    pub(crate) fn release_held_packets(&self, now: Instant) {
        let packets = {
            let mut held_packets = self.held_packets.lock();
            let Some(hold) = held_packets.as_mut() else { return };
            if self.has_directory() {
                held_packets.take().map_or_else(Vec::new, |mut hold| hold.take_all())
            } else {
                hold.take_expired(now)
            }
        };
        let mut out = Vec::new();
        for packet in &packets {
            self.forward(now, &packet.segment, &packet.datagram, &mut out);
        }
    }

    /// Decides on a packet of a caller and carries the decision out.
    fn forward(&self, now: Instant, segment: &Segment, buf: &[u8], out: &mut Vec<u8>) {
        let (verdict, timings, openings) = {
            let mut forwarder = self.forwarder.lock();
            let verdict = forwarder.on_packet(segment, buf, now);
            if let Some(decision) = verdict.decision() {
                self.log.log_decision(decision, segment, &forwarder, now);
            }
            let openings = self.take_opening_outcomes(&mut forwarder, now);
            (verdict, forwarder.take_timings(), openings)
        };
        self.record_timings(&timings);
        self.carry_out_openings(now, &openings, out);
        self.carry_out(now, verdict, segment, buf, out);
    }

    /// Returns the outcomes of openings since the last call, and logs them.
    fn take_opening_outcomes(
        &self,
        forwarder: &mut CookieForwarder,
        now: Instant,
    ) -> Vec<OpeningOutcome> {
        let outcomes = forwarder.take_opening_outcomes();
        for outcome in &outcomes {
            self.log.log_opening(outcome, now);
            let Some(packet) = &outcome.packet else { continue };
            if let Some(decision) = packet.verdict.decision() {
                self.log.log_decision(decision, &packet.segment, forwarder, now);
            }
        }
        outcomes
    }

    /// Carries out the verdicts on openings that are no longer held.
    fn carry_out_openings(&self, now: Instant, outcomes: &[OpeningOutcome], out: &mut Vec<u8>) {
        for outcome in outcomes {
            Metrics::count(&self.metrics.openings, outcome.outcome);
            let Some(packet) = &outcome.packet else { continue };
            self.metrics.opening_wait.observe(outcome.waited.as_secs_f64());
            self.carry_out(now, packet.verdict, &packet.segment, &packet.datagram, out);
        }
    }

    /// Carries out the verdict on a packet of a caller.
    fn carry_out(
        &self,
        now: Instant,
        verdict: CookieVerdict,
        segment: &Segment,
        buf: &[u8],
        out: &mut Vec<u8>,
    ) {
        match verdict {
            CookieVerdict::Hold => Metrics::count(&self.metrics.packets, "waits_for_room"),
            CookieVerdict::Forward { to, token, cookie, opens } => {
                out.clear();
                self.format.encode_for_target(buf, token, cookie, out);
                self.flow_network.send(to, out);
                let outcome = match (opens, segment.ack) {
                    (false, _) => "forwarded",
                    (true, 0) => "opened",
                    (true, _) => "opened_again",
                };
                Metrics::count(&self.metrics.packets, outcome);
            }
            CookieVerdict::Reset(reason) => {
                self.send_reset(segment, out);
                Metrics::count(&self.metrics.packets, reason.label());
            }
            CookieVerdict::Drop(reason) => {
                Metrics::count(&self.metrics.packets, reason.label());
                if reason == DropReason::UnknownCookie || reason == DropReason::RouteInDoubt {
                    self.broadcast_pull(now);
                }
            }
        }
    }

    fn record_timings(&self, timings: &[FlowTiming]) {
        for timing in timings {
            match timing {
                FlowTiming::Opened(time) => self.metrics.flow_open.observe(time.as_secs_f64()),
                FlowTiming::Answered(time) => {
                    self.metrics.request_answer.observe(time.as_secs_f64());
                }
            }
        }
    }

    /// Returns the metrics as text, after an update of the gauges that are only computed on request.
    pub fn render_metrics(&self, now: Instant) -> String {
        let metrics = &self.metrics;
        {
            let directory_state = self.directory_state.lock();
            for part in Part::ALL {
                let age = directory_state
                    .directory
                    .age(part, now)
                    .map_or(-1, |age| age.as_millis() as i64);
                metrics.directory_age.get_or_create(&PartLabel { part: part.kind() }).set(age);
            }
            metrics.is_reading.set(directory_state.election.is_reading().into());
        }
        {
            let forwarder = self.forwarder.lock();
            metrics.flows.set(forwarder.watch().len() as i64);
            metrics.waiting_flows.set(forwarder.watch().waiting().len() as i64);
            metrics.untracked_packets.set(forwarder.watch().untracked_packets() as i64);
            metrics.targets_down.set(forwarder.count_down_targets() as i64);
            for class in [WeightClass::Half, WeightClass::Quarter] {
                let label = WeightLabel { weight: class.label() };
                let count = forwarder.count_targets_by_weight(class) as i64;
                metrics.targets_lowered.get_or_create(&label).set(count);
            }
            for state in [BreakerState::Probation, BreakerState::HalfOpen, BreakerState::Open] {
                let label = OutcomeLabel { outcome: state.label() };
                let count = forwarder.count_targets_by_breaker(state) as i64;
                metrics.targets_withheld.get_or_create(&label).set(count);
            }
            metrics.set_rooms(forwarder.rooms_with_demand());
        }
        metrics.members.set(self.view().members().len() as i64);
        metrics.log_lines_lost.set(logging::lost_lines() as i64);
        metrics.render()
    }

    /// Sends messages that are due, expires old state, and returns the health checks that are due.
    pub fn tick(&self, now: Instant) -> Vec<DueCheck> {
        let outgoing = self.gossip.lock().tick(now);
        self.send_gossip(outgoing);
        let view = self.view();
        let [routing_confirmed, targets_confirmed] = {
            let mut directory_state = self.directory_state.lock();
            directory_state.purge(now);
            [Part::Routing, Part::Targets].map(|part| directory_state.directory.confirmed_at(part))
        };
        let (checks, openings) = {
            let mut forwarder = self.forwarder.lock();
            forwarder.set_view(view);
            forwarder.set_routing_confirmed(routing_confirmed);
            forwarder.set_targets_confirmed(targets_confirmed);
            if forwarder.refresh_rooms(now) {
                self.log.log_spillovers(&forwarder, now);
            }
            if let Ok(unix_time) = SystemTime::now().duration_since(UNIX_EPOCH) {
                forwarder.set_unix_time(now, unix_time);
            }
            (forwarder.tick(now), self.take_opening_outcomes(&mut forwarder, now))
        };
        self.carry_out_openings(now, &openings, &mut Vec::new());
        self.reset_waiting_flows(now);
        self.announce_condition_changes();
        self.send_weight_messages(now);
        self.send_breaker_messages(now);
        self.send_heartbeat(now);
        self.send_repair_requests(now);
        self.link.send_queued(now);
        self.release_held_packets(now);
        if self.has_directory() {
            self.ask_for_reader(now);
            self.send_demand_report(now);
        } else {
            self.pull_directory(now);
        }
        checks
    }

    /// Sends the resets that are due to callers that wait for a target which has ended, and reports
    /// what gets no response.
    fn reset_waiting_flows(&self, now: Instant) {
        let (resets, ended, losses) = {
            let mut forwarder = self.forwarder.lock();
            let resets = forwarder.take_due_resets(now);
            if let Some(decision) = CookieVerdict::Reset(ResetReason::WaitingForEnded).decision() {
                for segment in &resets {
                    self.log.log_decision(decision, segment, &forwarder, now);
                }
            }
            (resets, forwarder.take_ended(), forwarder.take_outage_losses(now))
        };
        self.log.log_ended(&ended, now);
        self.log.log_outage_losses(&losses, now);
        self.count_outage_losses(&losses);
        let mut out = Vec::new();
        for segment in &resets {
            self.send_reset(segment, &mut out);
            Metrics::count(&self.metrics.packets, ResetReason::WaitingForEnded.label());
        }
    }

    fn count_outage_losses(&self, losses: &[OutageLoss]) {
        for loss in losses {
            let label = OutageLabel {
                data_centre: loss.data_centre.to_string(),
                service: loss.service.to_string(),
            };
            self.metrics.outage_packets.get_or_create(&label).inc_by(loss.packets);
            self.metrics.outage_flows.get_or_create(&label).inc_by(loss.flows);
        }
    }

    /// Records the outcome of a health check, and reports a changed condition to other instances.
    pub fn on_check(&self, target: &str, outcome: CheckOutcome, now: Instant) {
        self.forwarder.lock().on_check(target, outcome, now);
        self.announce_condition_changes();
    }

    /// Places held openings, and announces to other instances that this one is leaving. From then on
    /// it is not ready.
    pub fn leave(&self, now: Instant) {
        self.is_leaving.store(true, Ordering::Relaxed);
        let openings = {
            let mut forwarder = self.forwarder.lock();
            forwarder.close_openings(now);
            self.take_opening_outcomes(&mut forwarder, now)
        };
        self.carry_out_openings(now, &openings, &mut Vec::new());
        let outgoing = self.gossip.lock().leave(now);
        self.send_gossip(outgoing);
    }

    /// Returns the time since the last valid packet from a caller.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.last_packet.lock())
    }

    pub(crate) fn apply(&self, directory: &Directory, part: Part, now: Instant) {
        let mut forwarder = self.forwarder.lock();
        forwarder.update(directory, part, now);
        let registrations = forwarder.take_registration_changes();
        self.log.log_directory_update(part, directory, &forwarder, &registrations, now);
        let version = i64::try_from(forwarder.routes().version()).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
    }

    fn send_reset(&self, segment: &Segment, out: &mut Vec<u8>) {
        out.clear();
        self.format.encode_reset(segment, out);
        let to = self.format.caller_address(*segment.ends.caller.ip(), self.flow_port);
        self.flow_network.send(SocketAddr::V4(to), out);
    }
}

/// Returns the configured limit on new flows to cold targets.
pub fn cold_start_limit(settings: &Settings) -> ColdStartLimit {
    ColdStartLimit { multiplier: settings.cold_multiplier, slack: settings.cold_slack }
}

/// Returns whether an instance is a seed, or has no seeds to contact.
fn is_seed(setup: &CookieInstanceSetup) -> bool {
    setup.seeds.is_empty() || setup.seeds.contains(&setup.peer)
}

/// Returns how long the instance leaves the first calls of the store to others. A seed does not
/// wait.
fn start_delays(setup: &CookieInstanceSetup, is_seed: bool) -> StartDelays {
    if is_seed {
        return StartDelays {
            initial_pull_timeout: INITIAL_PULL_TIMEOUT,
            unheard_reader_delay: Duration::ZERO,
        };
    }
    let jitter = |max: Duration| {
        let max_ms = u64::try_from(max.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(setup.random.below(max_ms))
    };
    let initial_pull_timeout = if setup.is_first_start {
        FIRST_START_PULL_TIMEOUT + jitter(FIRST_START_MAX_JITTER)
    } else {
        INITIAL_PULL_TIMEOUT
    };
    let unheard_reader_delay = UNHEARD_READER_DELAY + jitter(UNHEARD_READER_MAX_JITTER);
    StartDelays { initial_pull_timeout, unheard_reader_delay }
}

/// Returns the seeds other than this instance, named by address since the settings give no names.
fn seed_instances(seeds: &[SocketAddr], own_address: SocketAddr) -> Vec<ListedInstance> {
    let others = seeds.iter().filter(|seed| **seed != own_address);
    let instance = |seed: &SocketAddr| ListedInstance {
        name: SmolStr::new(format!("seed-{seed}")),
        data_centre: DataCentreId::default(),
        peer: *seed,
        leaving: false,
    };
    others.map(instance).collect()
}
