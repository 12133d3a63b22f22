//! Compares how many flows break with three designs under the same schedules of changes.
//!
//! `cargo run --release -p hollyhead-benches --example flow_compare`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::binding::Binding;
use hollyhead::flow::FlowHasher;
use hollyhead::ids::{InstanceId, TargetId};
use hollyhead::owner::bucket_of;
use hollyhead::plan::{Plan, ServicePlan};
use testutils::flow_fleet::{
    leaving_target, one_data_centre, service_address, DATA_CENTRE, INSTANCES, SERVICE,
};
use testutils::flow_probe::FlowProbe;
use tokio::runtime::Builder;
use tokio::time::Instant;

const FLOWS: usize = 20_000;
/// Number of flows to which counts of broken flows are scaled.
const NORMALISED_FLOWS: usize = 100_000;
const SEED: u64 = 1;
/// Key with which in-memory fleets hash flows.
const FLOW_KEY: [u8; 16] = [7; 16];

/// Model of a design in which instances exchange no state.
///
/// A flow keeps its target while its owner stays the same, if `keeps_bindings` is set, and
/// otherwise uses the default target of the current plan.
#[derive(Default)]
struct Model {
    keeps_bindings: bool,
    bindings: BTreeMap<usize, (InstanceId, TargetId)>,
    first_targets: BTreeMap<usize, TargetId>,
    broken_flows: std::collections::BTreeSet<usize>,
}

impl Model {
    fn send(&mut self, probe: &FlowProbe, service: &ServicePlan) {
        let hasher = FlowHasher::new(FLOW_KEY);
        for (number, flow) in probe.flows.iter().enumerate() {
            let hash = hasher.hash(&flow.key);
            let owner = service.owners().and_then(|owners| owners.owner(bucket_of(hash)));
            let default = service.default_target(hash).map(|target| target.id().clone());
            let (Some(owner), Some(default)) = (owner, default) else { continue };
            let held = self
                .bindings
                .get(&number)
                .filter(|(holder, _)| self.keeps_bindings && holder == owner);
            let target = held.map_or(default, |(_, target)| target.clone());
            if *self.first_targets.entry(number).or_insert_with(|| target.clone()) != target {
                self.broken_flows.insert(number);
            }
            self.bindings.insert(number, (owner.clone(), target));
        }
    }
}

struct Comparison {
    probe: FlowProbe,
    stateless: Model,
    owner_only: Model,
    started: Instant,
    initial_control_bytes: BTreeMap<InstanceId, u64>,
}

impl Comparison {
    async fn new() -> Self {
        let probe = one_data_centre(SEED).await;
        let owner_only = Model { keeps_bindings: true, ..Model::default() };
        let mut comparison = Self {
            probe,
            stateless: Model::default(),
            owner_only,
            started: Instant::now(),
            initial_control_bytes: BTreeMap::new(),
        };
        comparison.open().await;
        comparison.initial_control_bytes = comparison.control_bytes();
        comparison.started = Instant::now();
        comparison
    }

    async fn open(&mut self) {
        self.probe.open(service_address(), FLOWS).await;
        self.send().await;
    }

    async fn send(&mut self) {
        let plan = self.probe.fleet.kernels().find_map(owner_plan);
        if let Some(service) = plan.as_ref().and_then(|plan| plan.service(SERVICE)) {
            self.stateless.send(&self.probe, service);
            self.owner_only.send(&self.probe, service);
        }
        for _ in 0..4 {
            self.probe.send_all().await;
            self.probe.run_for(Duration::from_millis(500)).await;
        }
    }

    fn control_bytes(&self) -> BTreeMap<InstanceId, u64> {
        let sent = |kernel: &Arc<hollyhead::kernel::Kernel>| {
            (kernel.id().clone(), kernel.metrics.control_bytes.get())
        };
        self.probe.fleet.kernels().map(sent).collect()
    }

    async fn drain_target(&mut self, number: u8) {
        self.probe.fleet.apply(&[leaving_target(number, 100)]);
        self.open().await;
        self.probe.run_for(Duration::from_secs(15)).await;
    }

    async fn kill_owner(&mut self) {
        self.probe.fleet.kill(INSTANCES[2]);
        self.probe.run_for(Duration::from_secs(4)).await;
    }

    async fn replace_instance(&mut self, name: &str) {
        self.probe.fleet.start(&format!("{name}2"), DATA_CENTRE);
        self.probe.run_for(Duration::from_secs(2)).await;
        if let Some(kernel) = self.probe.fleet.kernel(name) {
            kernel.leave(Instant::now());
        }
        self.probe.run_for(Duration::from_secs(3)).await;
        self.probe.fleet.kill(name);
    }

    fn print(&self, schedule: &str) {
        let flows = self.probe.opened();
        let normalise = |broken: usize| broken * NORMALISED_FLOWS / flows;
        let seconds = self.started.elapsed().as_secs().max(1);
        let rates = self.control_bytes().into_iter().filter_map(|(id, sent)| {
            let before = self.initial_control_bytes.get(&id)?;
            Some((sent - before) / seconds)
        });
        let most = rates.max().map_or("-".to_owned(), |rate| rate.to_string());
        println!(
            "{schedule:<34} {:>9} {:>10} {:>11} {:>14}",
            normalise(self.stateless.broken_flows.len()),
            normalise(self.owner_only.broken_flows.len()),
            normalise(self.probe.broken()),
            most,
        );
    }
}

fn owner_plan(kernel: &Arc<hollyhead::kernel::Kernel>) -> Option<Arc<Plan>> {
    let plan = kernel.plan();
    let is_owner = plan.service(SERVICE).is_some_and(|service| service.is_owner);
    is_owner.then_some(plan)
}

fn imbalance(load: &BTreeMap<std::net::SocketAddr, usize>) -> f64 {
    let most = load.values().max().copied().unwrap_or_default();
    let sum: usize = load.values().sum();
    most as f64 * load.len() as f64 / sum.max(1) as f64
}

async fn compare() {
    println!("broken flows per {NORMALISED_FLOWS}; control bytes per second of the busiest instance, all messages, of those that ran throughout");
    println!(
        "{:<34} {:>9} {:>10} {:>11} {:>14}",
        "schedule", "stateless", "owner-only", "this design", "control B/s"
    );
    let mut run = Comparison::new().await;
    let load = imbalance(&run.probe.load());
    run.probe.run_for(Duration::from_secs(20)).await;
    run.print("nothing");

    run = Comparison::new().await;
    run.kill_owner().await;
    run.send().await;
    run.print("owner killed");

    run = Comparison::new().await;
    for name in INSTANCES {
        run.replace_instance(name).await;
    }
    run.send().await;
    run.print("all replaced in turn");

    run = Comparison::new().await;
    run.drain_target(1).await;
    run.kill_owner().await;
    run.send().await;
    run.print("target drained, owner killed");

    run = Comparison::new().await;
    for (number, name) in (1..).zip(INSTANCES) {
        run.probe.fleet.apply(&[leaving_target(number, 100)]);
        run.replace_instance(name).await;
        run.send().await;
    }
    run.print("8 targets drained, all replaced");

    println!("imbalance (max/mean) of {FLOWS} flows over 15 targets: {load:.3}");
    let entry = size_of::<(u64, Binding)>() + 1;
    println!("bytes of a flow in its table: {} to {}", entry * 8 / 7, entry * 16 / 7);
}

fn main() -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build()?;
    runtime.block_on(compare());
    Ok(())
}
