//! Measures how time and memory grow with the size of a deployment; docs/CAPACITY.md is computed
//! from these figures.
//!
//! `cargo bench -p hollyhead-benches --bench slopes`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::binding::{Binding, Bindings, SHARD_COUNT};
use hollyhead::capacity_allocator::{CapacityAllocator, ClusterState};
use hollyhead::config::Config;
use hollyhead::data_centre_transitions::DataCentreTransitions;
use hollyhead::default_table::{BoundedRendezvous, Picker, WeightedTarget};
use hollyhead::envelope::Sealer;
use hollyhead::fleet::Fleet;
use hollyhead::flow::{FlowHasher, Protocol};
use hollyhead::flow_messages::Step;
use hollyhead::grant::{GrantRequest, Holding};
use hollyhead::grant_ledger::Requester;
use hollyhead::ids::ServiceId;
use hollyhead::key_claim::KeyMessage;
use hollyhead::key_ledger::{key_digest, KeyLedger};
use hollyhead::message::{Frame, Message, RelayedPacket};
use hollyhead::owner::{allocator_of, Home, OwnerSet};
use hollyhead::packet::{self, Control};
use hollyhead::path_failure::TrackedTarget;
use hollyhead::plan::{Plan, Planner};
use hollyhead::record::Target;
use hollyhead::steering::{Arrival, Steering};
use hollyhead::target::Signals;
use hollyhead::target::{Allowance, TargetHandle, TargetRegistry};
use hollyhead::verdict::Verdict;
use hollyhead::view::View;
use hollyhead_benches::fixtures;
use hollyhead_benches::measure::{
    measure_growth, measure_once, median_nanos, print_heading, print_row,
};
use tokio::time::Instant;

const OWNERS: usize = 8;
/// Numbers of instances in a data centre; the last one is that of an entire region of the design
/// size.
const SIZES: [usize; 4] = [8, 64, 512, 1_775];
const HASHER: fn() -> FlowHasher = || FlowHasher::new([7; 16]);

fn main() {
    print_heading();
    measure_memory(Instant::now());
    measure_baseline();
    measure_views();
    measure_tables();
    measure_configs();
    measure_plans();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    match runtime {
        Ok(runtime) => runtime.block_on(measure_in_runtime()),
        Err(err) => eprintln!("cannot start the runtime: {err}"),
    }
}

async fn measure_in_runtime() {
    measure_flows();
    measure_packets();
    measure_ticks();
    measure_allocators();
    measure_keys();
    for instances in [8, 64, 512] {
        measure_control(instances, 0, 0).await;
    }
    for (services, targets) in [(8, 3), (32, 3), (32, 6), (96, 3)] {
        measure_control(8, services, targets).await;
    }
    measure_control(64, 64, 3).await;
}

/// Measures the resident memory of each structure.
///
/// All structures are kept until the end, because a structure that reused freed memory of another
/// one would seem too small.
fn measure_memory(now: Instant) {
    let objects = fixtures::objects(4_500, 46_000, fixtures::DATA_CENTRES);
    let (config, bytes) = measure_growth(|| fixtures::config(&objects));
    print_row("memory: Config, by records", objects.len(), 0.0, Some(bytes / objects.len() as f64));
    let (view, bytes) = measure_growth(|| fixtures::view(1_775, fixtures::DATA_CENTRES));
    print_row("memory: View, by members", 1_775, 0.0, Some(bytes / 1_775.0));
    let registry = TargetRegistry::new(now);
    let (plan, bytes) = measure_growth(|| first_plan(view, &config, &registry));
    print_row("memory: Plan, by services", 4_500, 0.0, Some(bytes / 4_500.0));
    let target = WeightedTarget { id: "target".into(), weight: 1 };
    let make = || (0..1_000).map(|_| BoundedRendezvous.build("q", std::slice::from_ref(&target)));
    let (tables, bytes) = measure_growth(|| make().collect::<Vec<_>>());
    print_row("memory: Table", 1, 0.0, Some(bytes / tables.len() as f64));
    let bindings: Vec<_> = [12_000, 400_000]
        .into_iter()
        .map(|count| measure_flow_memory(count, &config, &registry))
        .collect();
    black_box((objects, plan, tables, bindings, measure_key_memory(now)));
}

fn measure_flow_memory(
    count: usize,
    config: &Config,
    registry: &TargetRegistry,
) -> Option<Bindings> {
    let now = Instant::now();
    let target =
        Arc::new(TrackedTarget::new(registry.get_or_create_handle(config.targets().next()?)));
    let (bindings, bytes) = measure_growth(|| {
        let bindings = Bindings::new(2 * count, now);
        for number in 0..count {
            bindings.insert_open(HASHER().hash(&fixtures::flow(number)), binding(&target));
        }
        bindings
    });
    print_row("memory: Bindings, by flows", count, 0.0, Some(bytes / count as f64));
    Some(bindings)
}

fn measure_baseline() {
    let hasher = HASHER();
    let hash = median_nanos(1_000_000, |number| {
        black_box(hasher.hash(&fixtures::flow(number)));
    });
    print_row("baseline: hash of a flow", 1, hash, None);
}

fn measure_views() {
    for size in SIZES {
        let view = fixtures::view(size, 1);
        let members = view.members().to_vec();
        let calls = 2_000_000 / size / 20;
        let build = median_nanos(calls, |_| {
            black_box(View::new(members.clone()));
        });
        print_row("View::new", size, build, None);
        let owners = median_nanos(calls, |_| {
            black_box(OwnerSet::new(&view, "quaydesk", "dc-0", OWNERS));
        });
        print_row("OwnerSet::new", size, owners, None);
    }
    let owners = OwnerSet::new(&fixtures::view(512, 1), "quaydesk", "dc-0", OWNERS);
    let owner = median_nanos(1_000_000, |bucket| {
        black_box(owners.owner(bucket as u16));
    });
    print_row("OwnerSet::owner", OWNERS, owner, None);
}

fn measure_tables() {
    for count in [4, 15, 64] {
        let target = |number| WeightedTarget { id: format!("target-{number}").into(), weight: 1 };
        let targets: Vec<_> = (0..count).map(target).collect();
        let build = median_nanos(200, |_| {
            black_box(BoundedRendezvous.build("quaydesk", &targets));
        });
        print_row("Picker::build, by targets", count, build, None);
    }
}

fn measure_configs() {
    for (services, targets) in [(2, 19), (450, 4_600), (4_500, 46_000)] {
        let objects = fixtures::objects(services, targets, fixtures::DATA_CENTRES);
        let (nanos, config) = measure_once(|| Config::default().apply(&objects).0);
        let each = 1.0 / objects.len() as f64;
        print_row("Config::apply of everything, by records", objects.len(), nanos * each, None);
        let mut change = objects[0].clone();
        change.version = 1_000_000;
        let (nanos, _) = measure_once(|| black_box(config.apply(&[change])));
        print_row("Config::apply of one record, by records", objects.len(), nanos, None);
    }
}

fn measure_plans() {
    let sizes = [(8, 2, 19), (64, 64, 640), (512, 512, 5_120), (1_775, 4_500, 46_000)];
    for (instances, services, targets) in sizes {
        let view = fixtures::view(instances, fixtures::DATA_CENTRES);
        let config =
            fixtures::config(&fixtures::objects(services, targets, fixtures::DATA_CENTRES));
        let (planner, registry) = (planner(), TargetRegistry::new(Instant::now()));
        let make = |last: &Plan| {
            measure_once(|| planner.plan(Arc::clone(&view), Arc::clone(&config), &registry, last))
        };
        let (nanos, plan) = make(&Plan::default());
        let what = format!("Planner::plan, {instances} instances, by services");
        print_row(&what, services, nanos / services as f64, None);
        let owned = plan.services().iter().filter(|service| service.is_owner).count();
        let (again, _) = make(&plan);
        println!("    whole plan {:.1} ms; entry-00000 owns {owned}", nanos / 1e6);
        let members = view.members().iter().filter(|member| member.id != "entry-00005");
        let smaller = Arc::new(View::new(members.cloned().collect()));
        let after = || planner.plan(smaller, Arc::clone(&config), &registry, &plan);
        let (after_loss, _) = measure_once(after);
        println!("    after itself {:.1} ms", again / 1e6);
        println!("    after the loss of an instance {:.1} ms", after_loss / 1e6);
    }
}

fn first_plan(view: Arc<View>, config: &Arc<Config>, registry: &TargetRegistry) -> Plan {
    planner().plan(view, Arc::clone(config), registry, &Plan::default())
}

fn steering(me: &str, capacity: usize, now: Instant) -> Steering {
    let picker = Arc::new(BoundedRendezvous);
    Steering::new(me.into(), "dc-0".into(), HASHER(), capacity, picker, now)
}

fn binding(target: &Arc<TrackedTarget>) -> Binding {
    Binding::new(Arc::clone(target), Protocol::Tcp, 0)
}

/// Measures the periodic work of an idle instance, which runs 20 times per second.
fn measure_ticks() {
    let now = Instant::now();
    let config = fixtures::config(&fixtures::objects(4_500, 46_000, fixtures::DATA_CENTRES));
    let registry = TargetRegistry::new(now);
    let plan = first_plan(fixtures::view(1_775, fixtures::DATA_CENTRES), &config, &registry);
    let plan = Arc::new(plan);
    let steering = steering("entry-00000", 1_000, now);
    steering.set_plan(Arc::clone(&plan));
    let total = median_nanos(20, |_| {
        black_box(steering.tick(now));
    });
    print_row("Steering::tick, by services", 4_500, total, None);
    let homes = DataCentreTransitions::default();
    let update = median_nanos(20, |_| homes.update(&plan, now));
    print_row("of this, DataCentreTransitions::update", 4_500, update, None);
    let allocator = median_nanos(200, |_| {
        black_box(allocator_of(&plan.view, "quaydesk", "dc-0"));
    });
    print_row("allocator_of, by members", 1_775, allocator, None);
}

fn planner() -> Planner {
    Planner::new("entry-00000".into(), "dc-0".into(), OWNERS, Arc::new(BoundedRendezvous))
}

fn handles(count: usize, now: Instant) -> (Arc<Config>, TargetRegistry) {
    let config = fixtures::config(&fixtures::objects(1, count, 1));
    let registry = TargetRegistry::new(now);
    for target in config.targets() {
        grant_all(&registry.get_or_create_handle(target), now);
    }
    (config, registry)
}

fn grant_all(handle: &TargetHandle, now: Instant) {
    let until = now + Duration::from_secs(3_600);
    handle.allow(&Allowance {
        connections: u32::MAX,
        slots: 2,
        new_until: until,
        open_until: until,
    });
}

fn measure_flows() {
    let now = Instant::now();
    let (config, registry) = handles(15, now);
    let Some(target) = config.targets().next().map(|target| registry.get_or_create_handle(target))
    else {
        return;
    };
    let target = Arc::new(TrackedTarget::new(target));
    let hasher = HASHER();
    for count in [12_000, 100_000, 400_000] {
        let bindings = Bindings::new(2 * count, now);
        let (nanos, ()) = {
            let insert = |number| {
                bindings.insert_open(hasher.hash(&fixtures::flow(number)), binding(&target));
            };
            measure_once(|| (0..count).for_each(insert))
        };
        print_row("Bindings::insert", count, nanos / count as f64, None);
        let expire = || (0..SHARD_COUNT).map(|shard| bindings.expire(shard, now).len()).sum();
        let (nanos, _ended): (f64, usize) = measure_once(expire);
        print_row("Bindings::expire, each flow", count, nanos / count as f64, None);
    }
}

fn measure_packets() {
    let now = Instant::now();
    let (config, registry) = handles(15, now);
    let steering = steering("entry-00000", 4_000_000, now);
    steering.set_plan(Arc::new(first_plan(fixtures::view(1, 1), &config, &registry)));
    steering.set_settled(true);
    steering.tick(now);
    let arrival = Arrival::from_fabric(fixtures::address(9, 1, 6_080));
    let miss = median_nanos(100_000, |number| {
        black_box(steering.on_packet(now, &fixtures::packet(number), &arrival));
    });
    print_row("Steering::on_packet, new and known mixed", 1, miss, None);
    let hit = median_nanos(100_000, |number| {
        black_box(steering.on_packet(now, &fixtures::packet(number), &arrival));
    });
    let known = steering.on_packet(now, &fixtures::packet(1), &arrival);
    assert!(matches!(known, Verdict::Deliver { .. }), "{known:?}");
    print_row("Steering::on_packet, known flow at its owner", 1, hit, None);
    let fresh = median_nanos(100_000, {
        let mut next = 1_000_000;
        move |_| {
            next += 1;
            black_box(steering.on_packet(now, &fixtures::packet(next), &arrival));
        }
    });
    print_row("Steering::on_packet, new flow at its owner", 1, fresh, None);
    measure_relays(now, &config, &registry);
    measure_seals();
}

fn measure_relays(now: Instant, config: &Arc<Config>, registry: &TargetRegistry) {
    let arrival = Arrival::from_fabric(fixtures::address(9, 1, 6_080));
    for instances in SIZES {
        let view = fixtures::view(instances, 1);
        let home = Home::is_available;
        let steering = steering("entry-x", 1_000, now);
        let plan = first_plan(Arc::clone(&view), config, registry);
        assert!(plan.services().iter().all(|service| service.homes.all().iter().all(home)));
        steering.set_plan(Arc::new(plan));
        let relay = median_nanos(100_000, |number| {
            black_box(steering.on_packet(now, &fixtures::packet(number), &arrival));
        });
        print_row("Steering::on_packet, relayed, by instances", instances, relay, None);
    }
}

fn measure_seals() {
    for payload in [100, 1_400] {
        let Ok(packet) = packet::build(&fixtures::flow(1), Control::default(), &vec![7; payload])
        else {
            return;
        };
        let parse = median_nanos(200_000, |_| {
            black_box(packet::parse(&packet).is_ok());
        });
        print_row("packet::parse, by payload bytes", payload, parse, None);
        let sealer = Sealer::new("entry-00000".into(), 1, vec![(1, [9; 32])]);
        let frame =
            Frame::Relay(RelayedPacket { hops: 1, view: 7, step: Step::Steer, packet: &packet });
        let mut bytes = 0;
        let seal = median_nanos(100_000, |_| {
            let body = frame.encode().unwrap_or_default();
            bytes = black_box(sealer.seal(&body)).len();
        });
        let added = (bytes - packet.len()) as f64;
        print_row("encode and seal a relayed packet", payload, seal, Some(added));
    }
}

/// Measures the answers of a capacity allocator to the owners of one service, with the complete
/// configuration loaded.
fn measure_allocators() {
    let now = Instant::now();
    for (services, targets) in [(450, 4_600), (4_500, 46_000)] {
        let config =
            fixtures::config(&fixtures::objects(services, targets, fixtures::DATA_CENTRES));
        let view = fixtures::view(1_775, fixtures::DATA_CENTRES);
        let Some(name) = config.services().map(|service| service.name.clone()).next() else {
            return;
        };
        let Some(me) = allocator_of(&view, &name, "dc-0") else { return };
        let mut allocator = CapacityAllocator::new(me, "dc-0".into(), OWNERS);
        let mut nonce = 0;
        let mut request_all = || {
            nonce += 1;
            count_answers(&mut allocator, &view, &config, &name, nonce, now)
        };
        assert_eq!(request_all(), OWNERS);
        let all = median_nanos(100, |_| {
            black_box(request_all());
        });
        print_row("CapacityAllocator::answer, by targets", targets, all / OWNERS as f64, None);
    }
}

/// Sends one grant request for each owner of a service to the allocator and returns the number of
/// answers.
fn count_answers(
    allocator: &mut CapacityAllocator,
    view: &View,
    config: &Config,
    service: &ServiceId,
    nonce: u64,
    now: Instant,
) -> usize {
    let cluster = ClusterState { view, config, expected: Some(OWNERS), is_settled: true };
    let targets = config.targets_of(service).iter();
    let holdings: Vec<_> =
        targets.filter(|target| target.data_centre == "dc-0").map(holding).collect();
    let req = GrantRequest {
        service: service.clone(),
        nonce,
        first_nonce: 1,
        answered_nonce: None,
        steady_for: Duration::ZERO,
        holdings,
    };
    let owners = OwnerSet::new(view, service, "dc-0", OWNERS);
    let requesters = owners.members().map(|id| Requester { id: id.clone(), epoch: 1 });
    requesters.filter_map(|requester| allocator.answer(&requester, &req, &cluster, now)).count()
}

fn holding(target: &Arc<Target>) -> Holding {
    Holding {
        target: target.name.clone(),
        connections: 100,
        slots: 2,
        open: 10,
        running: 1,
        waiting: 0,
        warm_up_per_mille: None,
        signals: Signals::default(),
    }
}

fn measure_key_memory(now: Instant) -> KeyLedger {
    const KEYS: usize = 50_000;
    let service = ServiceId::from("quaydesk");
    let digest = |number: usize| key_digest(&service, &number.to_be_bytes());
    let (ledger, bytes) = measure_growth(|| {
        let mut ledger = KeyLedger::default();
        for number in 0..KEYS {
            black_box(ledger.begin(now, &service, digest(number), 1));
        }
        ledger
    });
    print_row("memory: KeyLedger, by keys", ledger.len(), 0.0, Some(bytes / KEYS as f64));
    ledger
}

/// Measures the bytes of the messages that claim an idempotency key.
fn measure_keys() {
    let service = ServiceId::from("quaydesk");
    let digest = key_digest(&service, b"1");
    let claim = KeyMessage::Claim { nonce: 1 << 40, service, digest };
    let claimed = KeyMessage::Claimed { nonce: 1 << 40, is_known: false, covers: true };
    let sealer = Sealer::new("entry-00000".into(), 1, vec![(1, [9; 32])]);
    let bytes = |message| {
        let body = Frame::Control(Message::Key(message)).encode().unwrap_or_default();
        sealer.seal(&body).len() as f64
    };
    print_row("claim of a key and its answer", 1, 0.0, Some(bytes(claim) + bytes(claimed)));
}

/// Measures the run time and control traffic per second of each idle instance in one data centre.
async fn measure_control(instances: usize, services: usize, targets: usize) {
    const WARM_UP: Duration = Duration::from_secs(12);
    let length = Duration::from_secs(if instances > 100 { 4 } else { 10 });
    let mut fleet = Fleet::new(7);
    fleet.apply(&fixtures::objects(services, services * targets, 1));
    for number in 0..instances {
        fleet.start(&format!("entry-{number:05}"), "dc-0");
    }
    fleet.run_for(WARM_UP).await;
    let before: u64 = control_bytes(&fleet);
    let start = std::time::Instant::now();
    fleet.run_for(length).await;
    let seconds = length.as_secs_f64() * instances as f64;
    let nanos = start.elapsed().as_secs_f64() * 1e9 / seconds;
    let bytes = (control_bytes(&fleet) - before) as f64 / seconds;
    let what = format!("control a second, {services} services of {targets}, by instances");
    print_row(&what, instances, nanos, Some(bytes));
}

fn control_bytes(fleet: &Fleet) -> u64 {
    let ips = fleet.kernels().filter_map(|kernel| fleet.ip(kernel.id()));
    ips.map(|ip| fleet.network().control_bytes(ip)).sum()
}
