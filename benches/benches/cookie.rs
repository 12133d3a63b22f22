//! Cost of the cookie forwarder's verdict on one packet for several numbers of targets, compared with
//! a bare hash map lookup in the same run.

#![allow(missing_docs)]

use std::collections::HashMap as StdHashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use hollyhead::cold_start_limit::ColdStartLimit;
use hollyhead::cookie_forwarder::{CookieForwarder, CookieForwarderSetup};
use hollyhead::cookie_verdict::CookieVerdict;
use hollyhead::directory::Directory;
use hollyhead::ids::Cookie;
use hollyhead::route::{
    FlowLimits, Part, RecordBody, Registration, RegistrationState, Route, RoutedService, Routing,
    ServiceShare,
};
use hollyhead::segment::{Control, FlowEnds, Segment};
use smol_str::format_smolstr;
use tokio::time::Instant;

/// Numbers of targets: those of the first sites, of the sites after growth, and of the largest size.
const TARGET_COUNTS: [usize; 3] = [18, 150, 46_000];
const TARGETS_PER_SERVICE: usize = 10;
const FLOWS: u32 = 10_000;
const FIRST_PORT: u16 = 1_000;

fn address(service: usize) -> SocketAddrV4 {
    let port = FIRST_PORT + (service % 10_000) as u16;
    SocketAddrV4::new(Ipv4Addr::new(198, 18, (service / 10_000) as u8, 1), port)
}

fn routing(services: usize) -> Routing {
    let route = |number: usize| Route {
        name: format_smolstr!("r{number}"),
        address: address(number),
        services: vec![ServiceShare { service: format_smolstr!("s{number}"), weight: 1 }],
        precedence: 1,
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::ZERO,
    };
    let service = |number: usize| RoutedService {
        name: format_smolstr!("s{number}"),
        health_path: "/healthz".into(),
        cold_time: Duration::from_secs(2),
        cold_flows_per_second: 10,
    };
    let limits = FlowLimits { idle_timeout: Duration::from_secs(15) };
    Routing {
        version: 1,
        routes: (0..services).map(route).collect(),
        services: (0..services).map(service).collect(),
        limits,
    }
}

fn registration(number: usize, services: usize) -> Registration {
    Registration {
        target: format_smolstr!("i-{number:06x}"),
        token: number as u64,
        service: format_smolstr!("s{}", number % services),
        address: SocketAddr::from(([10, 128, 0, 1], 8_000)),
        data_centre: format_smolstr!("dc-{}", number % 3),
        state: RegistrationState::Ready,
        slots: 2,
        cold_left: Duration::ZERO,
        started: 1,
    }
}

fn forwarder(targets: usize, services: usize, now: Instant) -> CookieForwarder {
    let mut directory = Directory::default();
    let listed = routing(services).into_records().into_iter();
    let listed = listed.map(|(name, body)| (name, 1, body)).collect();
    let records = directory.differences(Part::Routing, 1, listed);
    directory.merge(Part::Routing, records, now);
    let registered = (0..targets).map(|number| {
        let registration = registration(number, services);
        (registration.target.clone(), 1, RecordBody::Registration(registration))
    });
    let records = directory.differences(Part::Targets, 1, registered.collect());
    directory.merge(Part::Targets, records, now);
    let mut forwarder = CookieForwarder::new(CookieForwarderSetup {
        id: "entry-1".into(),
        data_centre: "dc-0".into(),
        flow_key: [7; 16],
        cold_start_limit: ColdStartLimit { multiplier: 1.5, slack: 5 },
        outage_bound: Duration::from_secs(5),
    });
    forwarder.update(&directory, Part::Routing, now);
    forwarder.update(&directory, Part::Targets, now);
    forwarder.set_routing_confirmed(Some(now));
    forwarder
}

fn segment(flow: u32, services: usize, cookie: Cookie) -> Segment {
    let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + flow), 40_000);
    let ends = FlowEnds { caller, service: address(flow as usize % services) };
    let opens = cookie == 0;
    let control = Control { opens, acknowledges: !opens, ..Control::default() };
    Segment { ends, control, seq: 100, ack: 0, data_len: 0, cookie }
}

fn bench_cookie(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("cookie");
    group.measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    for targets in TARGET_COUNTS {
        let services = (targets / TARGETS_PER_SERVICE).max(2);
        let mut forwarder = forwarder(targets, services, now);
        let open: Vec<_> = (0..FLOWS)
            .filter_map(|flow| match forwarder.on_segment(&segment(flow, services, 0), now) {
                CookieVerdict::Forward { cookie, .. } => Some(segment(flow, services, cookie)),
                _ => None,
            })
            .collect();
        assert_eq!(open.len(), FLOWS as usize);
        let std_map: StdHashMap<FlowEnds, Cookie> =
            open.iter().map(|segment| (segment.ends, segment.cookie)).collect();
        let mut segments = open.iter().cycle();
        group.bench_function(BenchmarkId::new("bare_lookup_std", targets), |b| {
            b.iter(|| segments.next().map(|segment| std_map.get(&segment.ends)));
        });
        let mut segments = open.iter().cycle();
        group.bench_function(BenchmarkId::new("carry", targets), |b| {
            b.iter(|| {
                let verdict = segments.next().map(|segment| forwarder.on_segment(segment, now));
                forwarder.take_timings();
                verdict
            });
        });
        // Every flow has been answered by then, so no target is suspected of being unresponsive.
        let later = now + Duration::from_millis(30);
        group.bench_function(BenchmarkId::new("tick", targets), |b| {
            b.iter(|| forwarder.tick(later));
        });
        let mut flow = FLOWS;
        group.bench_function(BenchmarkId::new("open", targets), |b| {
            b.iter(|| {
                flow = flow.wrapping_add(1) & 0x003f_ffff;
                forwarder.on_segment(&segment(flow, services, 0), now)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_cookie);
criterion_main!(benches);
