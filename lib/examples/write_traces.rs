//! Writes the trace files of both deployments to the `traces` directory.
//!
//! Run it with `cargo run -p hollyhead --example write_traces`.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::Result;
use hollyhead::flow::Protocol;
use hollyhead::trace_file::{
    CloseEvent, InstanceEvent, NetworkEvent, OpenEvent, PutEvent, StartEvent, Trace, TraceEvent,
    TraceHeader, TraceLine, TRACE_FORMAT, TRACE_VERSION,
};
use serde_json::{json, Value};
use testutils::records;

const SEED: u64 = 7;
const KEEP_ALIVE_MS: u64 = 4_000;
/// Time within which a change reaches all instances.
const SPREAD_MS: u64 = 2_000;

/// A service with the number of its targets in each data centre and the third octet of their
/// addresses.
struct ServiceSpec {
    name: &'static str,
    address: SocketAddr,
    counts: [u8; 3],
    subnet: u8,
}

/// A deployment with three data centres and two services.
struct Deployment {
    region: &'static str,
    data_centres: [&'static str; 3],
    services: [ServiceSpec; 2],
}

/// Number of entry instances in each data centre.
const INSTANCES: [u8; 3] = [3, 3, 2];

struct Writer {
    deployment: Deployment,
    lines: Vec<TraceLine>,
}

impl Writer {
    fn new(deployment: Deployment) -> Self {
        let mut writer = Self { deployment, lines: Vec::new() };
        writer.put_all();
        writer.start_all();
        writer
    }

    fn push_event(&mut self, at_ms: u64, event: TraceEvent) {
        self.lines.push(TraceLine { at_ms, event });
    }

    fn put(&mut self, at_ms: u64, kind: &str, body: Value, spread_ms: u64) {
        self.push_event(at_ms, TraceEvent::Put(PutEvent { kind: kind.into(), body, spread_ms }));
    }

    fn put_all(&mut self) {
        for data_centre in self.deployment.data_centres {
            self.put_data_centre(0, data_centre, "in");
        }
        for service in 0..self.deployment.services.len() {
            let spec = &self.deployment.services[service];
            let body = records::service(spec.name, spec.address);
            self.put(0, "service", body, 0);
            for data_centre in 0..self.deployment.data_centres.len() {
                for number in 0..self.deployment.services[service].counts[data_centre] {
                    self.put_target(0, (service, data_centre, number), "active");
                }
            }
        }
    }

    fn put_data_centre(&mut self, at_ms: u64, name: &str, state: &str) {
        let spread = if at_ms == 0 { 0 } else { SPREAD_MS };
        let body = records::data_centre(name, self.deployment.region, state);
        self.put(at_ms, "data_centre", body, spread);
    }

    /// Writes a target, given by the index of its service, the index of its data centre, and its
    /// number within both.
    fn put_target(&mut self, at_ms: u64, target: (usize, usize, u8), state: &str) {
        let (service, data_centre, number) = target;
        let spec = &self.deployment.services[service];
        let place = self.deployment.data_centres[data_centre];
        let host = data_centre as u8 * 50 + number + 1;
        let tunnel = SocketAddr::from(([10, 7, spec.subnet, host], 6_080));
        let address = SocketAddr::from(([10, 7, spec.subnet, host], 8_000));
        let name = format!("{}-{place}-{number}", spec.name);
        let mut body = records::target(&name, spec.name, place, tunnel, address);
        body["state"] = json!(state);
        self.put(at_ms, "target", body, if at_ms == 0 { 0 } else { SPREAD_MS });
    }

    fn start_all(&mut self) {
        let quality = NetworkEvent {
            latency_us: 500,
            jitter_us: 200,
            loss_per_mille: 0,
            duplicates_per_mille: 0,
        };
        self.push_event(0, TraceEvent::Network(quality));
        for (data_centre, number) in instances() {
            self.start(0, data_centre, number, 1);
        }
    }

    fn instance(&self, data_centre: usize, number: u8, run: u8) -> String {
        format!("entry-{}-{number}-{run}", self.deployment.data_centres[data_centre])
    }

    fn start(&mut self, at_ms: u64, data_centre: usize, number: u8, run: u8) {
        let instance = self.instance(data_centre, number, run).into();
        let data_centre = self.deployment.data_centres[data_centre].into();
        self.push_event(at_ms, TraceEvent::Start(StartEvent { instance, data_centre }));
    }

    fn leave(&mut self, at_ms: u64, data_centre: usize, number: u8, run: u8) {
        let instance = self.instance(data_centre, number, run).into();
        self.push_event(at_ms, TraceEvent::Leave(InstanceEvent { instance }));
    }

    fn open(&mut self, at_ms: u64, group: &str, service: usize, count: u32, over_ms: u64) {
        let opened = self.lines.iter().filter(|line| matches!(line.event, TraceEvent::Open(_)));
        let first_caller = SocketAddr::from(([192, 168, opened.count() as u8 * 10, 1], 20_000));
        let event = OpenEvent {
            group: group.into(),
            protocol: Protocol::Tcp,
            service: self.deployment.services[service].address,
            first_caller,
            count,
            over_ms,
            keep_alive_ms: KEEP_ALIVE_MS,
        };
        self.push_event(at_ms, TraceEvent::Open(event));
    }

    fn close(&mut self, at_ms: u64, group: &str, over_ms: u64) {
        self.push_event(at_ms, TraceEvent::Close(CloseEvent { group: group.into(), over_ms }));
    }

    fn write(mut self, path: &Path, title: &str) -> Result<()> {
        self.lines.sort_by_key(|line| line.at_ms);
        let header = TraceHeader {
            format: TRACE_FORMAT.into(),
            version: TRACE_VERSION,
            seed: SEED,
            title: title.into(),
        };
        let trace = Trace { header, lines: self.lines };
        Ok(std::fs::write(path, trace.render())?)
    }
}

fn instances() -> impl Iterator<Item = (usize, u8)> {
    let places = INSTANCES.into_iter().enumerate();
    places.flat_map(|(data_centre, count)| (0..count).map(move |number| (data_centre, number)))
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn service(name: &'static str, host: u8, counts: [u8; 3], subnet: u8) -> ServiceSpec {
    ServiceSpec { name, address: address(host), counts, subnet }
}

/// Returns a shift change: all instances are replaced and some targets drain while feeds stay open.
fn shift_change() -> Writer {
    let mut writer = Writer::new(Deployment {
        region: "horn-east",
        data_centres: ["horn-east-a", "horn-east-b", "horn-east-c"],
        services: [service("quaydesk", 1, [5, 5, 5], 0), service("rosterbook", 2, [2, 1, 1], 1)],
    });
    writer.open(5_000, "night-feeds", 0, 6_000, 8_000);
    writer.open(5_000, "night-rosters", 1, 600, 8_000);
    for (index, (data_centre, number)) in instances().enumerate() {
        let start_ms = 20_000 + 4_000 * index as u64;
        writer.start(start_ms, data_centre, number, 2);
        writer.leave(start_ms + 2_000, data_centre, number, 1);
    }
    writer.put_target(21_000, (0, 0, 1), "leaving");
    writer.put_target(23_000, (1, 0, 1), "leaving");
    writer.put_target(25_000, (0, 1, 2), "leaving");
    writer.open(31_000, "morning-feeds", 0, 6_000, 12_000);
    writer.open(31_000, "morning-rosters", 1, 600, 12_000);
    writer.put_target(46_000, (0, 2, 5), "active");
    writer.close(58_000, "night-feeds", 4_000);
    writer.close(58_000, "night-rosters", 4_000);
    writer
}

/// Returns a departure: a data centre goes out of service and returns while watches stay open and
/// downloads continue.
fn departure() -> Writer {
    let mut writer = Writer::new(Deployment {
        region: "gnr",
        data_centres: ["gnr-sec10", "gnr-infocity", "gnr-gift"],
        services: [service("mailroom", 1, [5, 5, 5], 0), service("bundler", 2, [2, 1, 1], 1)],
    });
    writer.open(5_000, "watches", 0, 6_000, 8_000);
    writer.open(5_000, "downloads", 1, 600, 8_000);
    writer.put_data_centre(20_000, "gnr-infocity", "out");
    writer.open(26_000, "watches-meanwhile", 0, 3_000, 6_000);
    writer.put_data_centre(45_000, "gnr-infocity", "in");
    writer.open(50_000, "watches-after", 0, 6_000, 8_000);
    writer.close(62_000, "downloads", 2_000);
    writer
}

fn main() -> Result<()> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces");
    shift_change().write(
        &dir.join("abay-shift-change.jsonl"),
        "Hollyhead Acceptance for Crane Scheduling Platform: shift change",
    )?;
    departure().write(
        &dir.join("archive-departure.jsonl"),
        "Solicitor Mail Archive Balancing, Gandhinagar Region: gnr-infocity leaves and returns",
    )
}
