//! Measures how long the packet forwarder takes to decide on one packet, compared with a plain hash
//! map lookup in the same run.

#![allow(missing_docs)]

use std::collections::HashMap as StdHashMap;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use hollyhead::collections::HashMap;
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::packet::{self, Control, PacketInfo};
use hollyhead::steering::Arrival;
use testutils::flow_fleet::{one_data_centre, service_address, tunnel, INSTANCES};
use testutils::flow_probe::FlowProbe;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

/// Number of open flows of all instances together.
const FLOWS: usize = 100_000;

fn runtime() -> Runtime {
    let builder = Builder::new_current_thread().enable_time().start_paused(true).build();
    builder.unwrap_or_else(|err| panic!("cannot start the runtime: {err}"))
}

fn packet_info(key: FlowKey, control: Control) -> PacketInfo {
    PacketInfo { key, control }
}

/// Splits packets of the open flows into those that an instance delivers itself and those that it
/// relays.
fn split_by_owner(probe: &FlowProbe, name: &str) -> (Vec<PacketInfo>, Vec<PacketInfo>) {
    let Some(kernel) = probe.fleet.kernel(name) else { return Default::default() };
    let now = Instant::now();
    let arrival = Arrival::from_fabric(service_address());
    let infos = probe.flows.iter().map(|flow| packet_info(flow.key, Control::default()));
    infos.partition(|info| {
        let verdict = kernel.steering.on_packet(now, info, &arrival);
        matches!(verdict, hollyhead::verdict::Verdict::Deliver { .. })
    })
}

fn unknown_flow(number: u32) -> FlowKey {
    let [_, b, c, d] = number.to_be_bytes();
    let caller = SocketAddr::from(([198, b, c, d], 40_000));
    FlowKey { protocol: Protocol::Tcp, caller, service: service_address() }
}

fn bench_flow(c: &mut Criterion) {
    let runtime = runtime();
    let _guard = runtime.enter();
    let probe = runtime.block_on(async {
        let mut probe = one_data_centre(1).await;
        probe.open(service_address(), FLOWS).await;
        probe
    });
    let (owned, others) = split_by_owner(&probe, INSTANCES[0]);
    let Some(kernel) = probe.fleet.kernel(INSTANCES[0]) else { return };
    let arrival = Arrival::from_fabric(service_address());
    let now = Instant::now();
    let mut group = c.benchmark_group("flow");
    group.measurement_time(Duration::from_secs(3)).warm_up_time(Duration::from_secs(1));

    let bindings: HashMap<FlowKey, SocketAddr> =
        owned.iter().map(|info| (info.key, tunnel(0, 1))).collect();
    let mut infos = owned.iter().cycle();
    group.bench_function("bare_lookup", |b| b.iter(|| infos.next().map(|i| bindings.get(&i.key))));

    let std_bindings: StdHashMap<FlowKey, SocketAddr> =
        owned.iter().map(|info| (info.key, tunnel(0, 1))).collect();
    let mut infos = owned.iter().cycle();
    group.bench_function("bare_lookup_std", |b| {
        b.iter(|| infos.next().map(|i| std_bindings.get(&i.key)));
    });

    let mut infos = owned.iter().cycle();
    group.bench_function("owner_hit", |b| {
        b.iter(|| infos.next().map(|info| kernel.steering.on_packet(now, info, &arrival)));
    });

    let mut infos = others.iter().cycle();
    group.bench_function("relay", |b| {
        b.iter(|| infos.next().map(|info| kernel.steering.on_packet(now, info, &arrival)));
    });

    let mut number = 0;
    group.bench_function("miss", |b| {
        b.iter_batched(
            || {
                number += 1;
                packet_info(unknown_flow(number), Control::default())
            },
            |info| kernel.steering.on_packet(now, &info, &arrival),
            BatchSize::SmallInput,
        );
    });

    let buf = packet::build(&owned[0].key, Control::default(), &[0; 100]).unwrap_or_default();
    group.bench_function("parse", |b| b.iter(|| packet::parse(&buf)));
    group.finish();
}

criterion_group!(benches, bench_flow);
criterion_main!(benches);
