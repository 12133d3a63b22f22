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
use crate::cookie_door::{
    CookieDoor, CookieDoorSetup, CookieVerdict, DropReason, DueCheck, FlowTiming,
};
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
use crate::metrics::{Metrics, PartLabel};
use crate::network::Network;
use crate::peer_link::{PeerLink, PeerLinkSetup};
use crate::platform::ListedInstance;
use crate::random::Random;
use crate::reader_election::{ReaderElection, FIRST_START_MAX_JITTER, INITIAL_PULL_TIMEOUT};
use crate::route::Part;
use crate::segment::{Segment, SegmentForm};
use crate::settings::Settings;
use crate::view::{Member, MemberState, View};

/// Bytes a second of answers to instances that ask for the directory: a small part of the slowest
/// link, since the answers wait in line with the callers' packets.
const ANSWER_BYTES_PER_SECOND: u64 = 60_000;
/// Bytes of such answers that may be sent at once.
const ANSWER_BURST_BYTES: u64 = 60_000;

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

/// One instance of the flow door with cookies.
pub struct CookieInstance {
    pub(crate) id: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) flow_port: u16,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) form: Arc<dyn SegmentForm>,
    pub(crate) random: Arc<dyn Random>,
    pub(crate) flow_network: Arc<dyn Network>,
    pub(crate) link: PeerLink,
    pub(crate) gossip: Mutex<Gossip>,
    pub(crate) directory_state: Mutex<DirectoryState>,
    pub(crate) door: Mutex<CookieDoor>,
    pub(crate) is_first_start: bool,
    pub(crate) is_leaving: AtomicBool,
    pub(crate) last_packet: Mutex<Instant>,
    pub(crate) log: FlowLog,
    pub(crate) answers: Mutex<ByteBudget>,
    /// Broadcast tree of the last relayed datagram, and the addresses to relay to in it.
    pub(crate) broadcast_children: Mutex<Option<(BroadcastTree, Vec<SocketAddr>)>>,
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
            let longest = u64::try_from(FIRST_START_MAX_JITTER.as_millis()).unwrap_or(u64::MAX);
            INITIAL_PULL_TIMEOUT + Duration::from_millis(setup.random.below(longest))
        } else {
            INITIAL_PULL_TIMEOUT
        };
        let directory_state = DirectoryState {
            directory: Directory::default(),
            replication: DirectoryReplication::new(id.clone(), setup.random.next()),
            election: ReaderElection::new(start_wait, now),
            heartbeat_sent_at: None,
            purged_at: None,
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
            directory_state: Mutex::new(directory_state),
            door: Mutex::new(CookieDoor::new(setup.door)),
            is_first_start: setup.is_first_start,
            is_leaving: AtomicBool::new(false),
            last_packet: Mutex::new(now),
            log: FlowLog::default(),
            broadcast_children: Mutex::new(None),
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
        self.link.set_link_mbps(settings.link_mbps);
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
        self.directory_state.lock().directory.is_complete()
    }

    /// Returns what the instance knows and believes, for operators.
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let view = self.view();
        let directory_state = self.directory_state.lock();
        let door = self.door.lock();
        let age_ms = |part| directory_state.directory.age(part, now).map(|age| age.as_millis());
        json!({
            "instance": self.id,
            "data_centre": self.data_centre,
            "config_version": door.routes().version(),
            "routes": door.routes().len(),
            "targets": door.targets().indices().len(),
            "routing_age_ms": age_ms(Part::Routing),
            "targets_age_ms": age_ms(Part::Targets),
            "outages_age_ms": age_ms(Part::Outages),
            "is_reading": directory_state.election.is_reading(),
            "flows": door.watch().len(),
            "members": view.members(),
        })
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
            let verdict = door.on_segment(&segment, now);
            if let Some(decision) = verdict.decision() {
                self.log.decision(decision, &segment, &door, now);
            }
            (verdict, door.take_timings())
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
            }
            CookieVerdict::Reset(reason) => {
                self.reset(&segment, out);
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
            let door = self.door.lock();
            metrics.flows.set(door.watch().len() as i64);
            metrics.targets_down.set(door.count_down() as i64);
        }
        metrics.members.set(self.view().members().len() as i64);
        metrics.log_lines_lost.set(logging::lost_lines() as i64);
        metrics.render()
    }

    /// Does what is due, and returns the health checks to make.
    pub fn tick(&self, now: Instant) -> Vec<DueCheck> {
        let outgoing = self.gossip.lock().tick(now);
        self.send_gossip(outgoing);
        let view = self.view();
        let confirmed = {
            let mut directory_state = self.directory_state.lock();
            directory_state.purge(now);
            directory_state.directory.confirmed_at(Part::Routing)
        };
        let checks = {
            let mut door = self.door.lock();
            door.set_view(view);
            door.set_routing_confirmed(confirmed);
            door.tick(now)
        };
        self.announce_condition_changes();
        self.send_heartbeat(now);
        self.send_repair_requests(now);
        self.link.send_queued(now);
        if !self.has_directory() {
            self.pull_from_seeds(now);
        }
        checks
    }

    /// Takes the outcome of a health check.
    pub fn on_check(&self, target: &str, outcome: CheckOutcome, now: Instant) {
        self.door.lock().on_check(target, outcome, now);
        self.announce_condition_changes();
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

    pub(crate) fn apply(&self, directory: &Directory, part: Part, now: Instant) {
        let mut door = self.door.lock();
        door.update(directory, part, now);
        let registrations = door.take_registrations();
        self.log.applied(part, directory, &door, &registrations, now);
        let version = i64::try_from(door.routes().version()).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
    }

    fn reset(&self, segment: &Segment, out: &mut Vec<u8>) {
        out.clear();
        self.form.reset(segment, out);
        let to = self.form.caller_address(*segment.ends.caller.ip(), self.flow_port);
        self.flow_network.send(SocketAddr::V4(to), out);
    }
}

/// Returns the bound of cold targets that settings tell.
pub fn cold_bound(settings: &Settings) -> ColdBound {
    ColdBound { multiplier: settings.cold_multiplier, slack: settings.cold_slack }
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
