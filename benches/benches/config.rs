//! Measures the cost of a configuration with 4,500 services and 46,000 targets.
//!
//! Compares applying a change to one record with building the complete snapshot, and prints the
//! resident memory of the snapshot.

#![allow(missing_docs)]

use std::net::SocketAddr;

use criterion::{criterion_group, criterion_main, Criterion};
use hollyhead::config::Config;
use hollyhead::platform::Object;
use serde_json::Value;
use testutils::records;

const SERVICES: u32 = 4_500;
const TARGETS: u32 = 46_000;
const DATA_CENTRES: u32 = 15;
const CONTROL_PORT: u16 = 7_000;
const KIB_PER_MIB: f64 = 1_024.0;

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(((0x0a00_0000 + number).to_be_bytes(), CONTROL_PORT))
}

fn target(number: u32) -> Value {
    let service = format!("service-{}", number % SERVICES);
    let data_centre = format!("data-centre-{}", number % DATA_CENTRES);
    let name = format!("target-{number}");
    records::target(&name, &service, &data_centre, address(number), address(number))
}

fn objects() -> Vec<Object> {
    let services =
        (0..SERVICES).map(|i| ("service", records::service(&format!("service-{i}"), address(i))));
    let targets = (0..TARGETS).map(|number| ("target", target(number)));
    let all = services.chain(targets);
    (1..).zip(all).map(|(version, (kind, body))| records::object(kind, version, body)).collect()
}

/// Returns the resident memory of this process in KiB, or 0 on systems without `/proc/self/status`.
fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

/// Builds the snapshot record by record, so that hardly any memory besides the snapshot is
/// allocated.
fn build_incrementally() -> Config {
    let mut config = Config::default();
    for number in 0..SERVICES {
        let body = records::service(&format!("service-{number}"), address(number));
        let object = records::object("service", u64::from(number) + 1, body);
        config = config.apply(&[object]).0;
    }
    for number in 0..TARGETS {
        let version = u64::from(SERVICES + number) + 1;
        config = config.apply(&[records::object("target", version, target(number))]).0;
    }
    config
}

fn bench(c: &mut Criterion) {
    let before = resident_kib();
    let config = build_incrementally();
    let mib = (resident_kib() - before) / KIB_PER_MIB;
    let leaves = (0..1_024).collect();
    let bodies = config.records_in(&leaves);
    let bytes: usize = bodies.iter().filter_map(|r| r.body.as_ref()).map(|body| body.len()).sum();
    println!("snapshot: {mib:.1} MiB resident, {bytes} bytes of JSON");
    drop(bodies);
    let objects = objects();
    let mut version = u64::from(SERVICES + TARGETS);
    let mut group = c.benchmark_group("config");
    group.sample_size(10);
    group.bench_function("apply_whole_baseline", |b| {
        b.iter(|| Config::default().apply(&objects).0.version());
    });
    group.bench_function("apply_one_change", |b| {
        b.iter(|| {
            version += 1;
            config.apply(&[records::object("target", version, target(77))]).0.version()
        });
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
