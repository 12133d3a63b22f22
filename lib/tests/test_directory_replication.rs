//! Replication of the directory between instances, without a network.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use hollyhead::directory::Directory;
use hollyhead::directory_message::{DirectoryMessage, RecordsMessage};
use hollyhead::directory_replication::DirectoryReplication;
use hollyhead::ids::Version;
use hollyhead::route::{Part, RecordBody, Registration, RegistrationState, Route};
use smol_str::SmolStr;
use tokio::time::Instant;

const PEER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9)), 7_720);

type NamedRecord = (SmolStr, Version, RecordBody);

fn route(number: u16, version: Version) -> NamedRecord {
    let name = SmolStr::new(format!("route/r{number:04}"));
    let body = RecordBody::AimedRoute(Route {
        name: format!("r{number:04}").into(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 1_000 + number),
        services: Vec::new(),
        precedence: 0,
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::ZERO,
    });
    (name, version, body)
}

fn target(name: &str, version: Version) -> NamedRecord {
    let registration = Registration {
        target: name.into(),
        token: 1,
        service: "quaydesk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        state: RegistrationState::Ready,
        slots: 2,
        cold_left: Duration::ZERO,
        started: 0,
    };
    (name.into(), version, RecordBody::Registration(registration))
}

/// An instance's directory with its replication.
#[derive(Default)]
struct Instance {
    directory: Directory,
    replication: DirectoryReplication,
}

impl Instance {
    /// Merges a listing of the store, and returns the messages with the changes for the others.
    fn list(
        &mut self,
        part: Part,
        version: Version,
        listed: Vec<NamedRecord>,
    ) -> Vec<RecordsMessage> {
        let now = Instant::now();
        let before = self.directory.complete_version(part);
        let differences = self.directory.differences(part, version, listed);
        self.directory.merge(part, differences, now);
        self.directory.confirm(part, version, now);
        self.replication.changes(&self.directory, part, before, now)
    }

    fn receive(&mut self, from: &str, messages: Vec<RecordsMessage>) {
        for message in messages {
            let (sender, now) = (from.into(), Instant::now());
            self.replication.on_records(&mut self.directory, &sender, PEER, message, now);
        }
    }

    fn names(&self, part: Part) -> Vec<&str> {
        self.directory.records(part).map(|(name, _)| name.as_str()).collect()
    }

    fn state_of(&self, target: &str) -> Option<RegistrationState> {
        let mut records = self.directory.records(Part::Targets);
        let (_, body) = records.find(|(name, _)| *name == target)?;
        match body {
            RecordBody::Registration(registration) => Some(registration.state),
            _ => None,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn changes_of_a_fresh_reader_remove_what_it_never_knew() {
    let mut old = Instance::default();
    old.list(Part::Routing, 22, vec![route(1, 10), route(2, 10)]);
    let mut fresh = Instance::default();
    let sent = fresh.list(Part::Routing, 26, vec![route(1, 10)]);
    old.receive("fresh", sent);
    assert_eq!(old.names(Part::Routing), ["route/r0001"]);
    assert_eq!(old.directory.complete_version(Part::Routing), 26);
}

#[tokio::test(start_paused = true)]
async fn changes_of_a_fresh_reader_keep_what_is_newer() {
    let mut ahead = Instance::default();
    ahead.list(Part::Routing, 30, vec![route(1, 10), route(2, 29)]);
    let mut fresh = Instance::default();
    let sent = fresh.list(Part::Routing, 26, vec![route(1, 10)]);
    ahead.receive("fresh", sent);
    assert_eq!(ahead.names(Part::Routing), ["route/r0001", "route/r0002"]);
    assert_eq!(ahead.directory.complete_version(Part::Routing), 30);
}

#[tokio::test(start_paused = true)]
async fn changes_of_a_fresh_reader_keep_a_missing_target_for_its_open_flows() {
    let mut old = Instance::default();
    old.list(Part::Targets, 22, vec![target("i-1", 3), target("i-2", 4)]);
    let mut fresh = Instance::default();
    let sent = fresh.list(Part::Targets, 26, vec![target("i-1", 3)]);
    old.receive("fresh", sent);
    assert_eq!(old.state_of("i-2"), Some(RegistrationState::Gone));
}

#[tokio::test(start_paused = true)]
async fn changes_with_a_lost_datagram_leave_the_receiver_behind() {
    let mut old = Instance::default();
    old.list(Part::Routing, 22, (0..200).map(|number| route(number, 10)).collect());
    let mut fresh = Instance::default();
    let mut sent = fresh.list(Part::Routing, 26, (1..200).map(|n| route(n, 10)).collect());
    assert!(sent.len() > 2, "does not fit one datagram");
    sent.remove(1);
    old.receive("fresh", sent);
    assert_eq!(old.directory.complete_version(Part::Routing), 22);
    assert_eq!(old.names(Part::Routing).len(), 200);

    let complete = old.directory.complete_versions();
    let answer = fresh.replication.answer(&fresh.directory, &complete, Instant::now());
    old.receive("fresh", answer);
    assert_eq!(old.directory.complete_version(Part::Routing), 26);
    assert_eq!(old.names(Part::Routing).len(), 199);
}

#[tokio::test(start_paused = true)]
async fn changes_with_a_lost_datagram_are_not_in_force_in_part() {
    let mut reader = Instance::default();
    let old: Vec<_> = (0..200).map(|number| route(number, 10)).collect();
    let mut peer = Instance::default();
    peer.receive("reader", reader.list(Part::Routing, 22, old));
    let mut sent = reader.list(Part::Routing, 26, (100..400).map(|n| route(n, 26)).collect());
    assert!(sent.len() > 2, "does not fit one datagram");
    sent.pop();
    peer.receive("reader", sent);
    let numbers: Vec<_> = (0..200).map(|number| format!("route/r{number:04}")).collect();
    assert_eq!(peer.names(Part::Routing), numbers);
}

#[tokio::test(start_paused = true)]
async fn changes_after_a_lost_change_wait_for_it() {
    let mut reader = Instance::default();
    let mut peer = Instance::default();
    peer.receive("reader", reader.list(Part::Routing, 22, vec![route(1, 10)]));
    let lost = reader.list(Part::Routing, 26, vec![route(1, 10), route(2, 26)]);
    assert!(!lost.is_empty());
    let listed = vec![route(1, 10), route(2, 26), route(3, 28)];
    peer.receive("reader", reader.list(Part::Routing, 28, listed));
    assert_eq!(peer.names(Part::Routing), ["route/r0001"]);

    let complete = peer.directory.complete_versions();
    let answer = reader.replication.answer(&reader.directory, &complete, Instant::now());
    peer.receive("reader", answer);
    assert_eq!(peer.names(Part::Routing), ["route/r0001", "route/r0002", "route/r0003"]);
}

#[tokio::test(start_paused = true)]
async fn changes_of_two_runs_of_a_reader_are_not_taken_for_one() {
    let mut peer = Instance::default();
    let listing = |count: u16| (0..count).map(|number| route(number, 10)).collect();
    let mut sent = Instance::default().list(Part::Routing, 20, listing(100));
    let lost = sent.pop();
    assert!(lost.is_some() && !sent.is_empty());
    peer.receive("reader", sent);

    let replication = DirectoryReplication::new("reader".into(), 1 << 32);
    let mut restarted = Instance { replication, ..Instance::default() };
    let sent = restarted.list(Part::Routing, 26, listing(100));
    let last = sent.into_iter().last().into_iter().collect();
    peer.receive("reader", last);
    assert_eq!(peer.directory.complete_version(Part::Routing), 0);
}

#[tokio::test(start_paused = true)]
async fn answer_of_an_instance_that_forgot_removals_is_the_whole_part() {
    let mut reader = Instance::default();
    reader.list(Part::Routing, 10, vec![route(1, 5), route(2, 5)]);
    let mut behind = Instance::default();
    let sent = reader.replication.changes(&reader.directory, Part::Routing, 0, Instant::now());
    behind.receive("reader", sent);
    reader.list(Part::Routing, 20, vec![route(1, 5)]);
    tokio::time::advance(Duration::from_secs(601)).await;
    reader.directory.purge_tombstones(Instant::now());

    let complete = behind.directory.complete_versions();
    let answer = reader.replication.answer(&reader.directory, &complete, Instant::now());
    behind.receive("reader", answer);
    assert_eq!(behind.names(Part::Routing), ["route/r0001"]);
}

#[tokio::test(start_paused = true)]
async fn changes_after_a_time_without_any_need_no_question() {
    let mut reader = Instance::default();
    let mut peer = Instance::default();
    peer.receive("reader", reader.list(Part::Routing, 22, vec![route(1, 10)]));
    // The store's version also rises with changes to other parts.
    reader.list(Part::Routing, 40, vec![route(1, 10)]);
    let sent = reader.list(Part::Routing, 41, vec![route(1, 10), route(2, 41)]);
    peer.receive("reader", sent);
    assert_eq!(peer.names(Part::Routing), ["route/r0001", "route/r0002"]);
    assert_eq!(peer.directory.complete_version(Part::Routing), 41);
}

#[tokio::test(start_paused = true)]
async fn heartbeat_after_a_time_without_changes_needs_no_question() {
    let mut reader = Instance::default();
    let mut peer = Instance::default();
    for part in Part::ALL {
        peer.receive("reader", reader.list(part, 22, Vec::new()));
    }
    reader.list(Part::Routing, 40, Vec::new());
    for _ in 0..2 {
        tokio::time::advance(Duration::from_secs(1)).await;
        let now = Instant::now();
        let heartbeat = DirectoryReplication::heartbeat(&reader.directory, now);
        let DirectoryMessage::Heartbeat { parts } = heartbeat else { panic!("heartbeat expected") };
        let pull = peer.replication.on_heartbeat(&mut peer.directory, &parts, now);
        assert_eq!(pull, None);
    }
    assert_eq!(peer.directory.complete_version(Part::Routing), 40);
}

#[tokio::test(start_paused = true)]
async fn removal_that_comes_after_a_newer_registration_is_ignored() {
    let mut reader = Instance::default();
    reader.list(Part::Targets, 58, vec![target("i-1", 58)]);
    let removal = reader.directory.removal(Part::Targets, "i-1", 55);
    reader.directory.merge(Part::Targets, vec![removal], Instant::now());
    assert_eq!(reader.state_of("i-1"), Some(RegistrationState::Ready));
}

#[tokio::test(start_paused = true)]
async fn removal_that_tells_the_last_version_reaches_the_others() {
    let mut reader = Instance::default();
    let mut peer = Instance::default();
    peer.receive("reader", reader.list(Part::Targets, 50, vec![target("i-1", 10)]));
    let before = reader.directory.complete_version(Part::Targets);
    let now = Instant::now();
    let removal = reader.directory.removal(Part::Targets, "i-1", 10);
    reader.directory.merge(Part::Targets, vec![removal], now);
    reader.directory.confirm(Part::Targets, 60, now);
    let sent = reader.replication.changes(&reader.directory, Part::Targets, before, now);
    peer.receive("reader", sent);
    assert_eq!(peer.state_of("i-1"), Some(RegistrationState::Gone));
}
