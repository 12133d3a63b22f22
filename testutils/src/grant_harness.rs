//! Harness for tests of grants: a fleet of eight instances with one service, a simulated load, and
//! the capacity that the instances may use together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyhead::fleet::Fleet;
use hollyhead::owner::allocator_of;
use hollyhead::record::ColdStart;
use hollyhead::target::TargetHandle;
use tokio::time::Instant;

use crate::records;

/// Data centre of all instances and targets of the fleet.
pub const DATA_CENTRE: &str = "horn-east-a";
/// The only service of the fleet.
pub const SERVICE: &str = "quaydesk";
/// Names of the fleet's instances.
pub const INSTANCES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Slots of a target at full capacity.
pub const SLOTS: u32 = 2;
/// Connections of a target at full capacity.
pub const CONNECTIONS: u32 = 2_000;
const STEP: Duration = Duration::from_millis(10);

/// Capacity of one target that the instances of a fleet may use together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableCapacity {
    /// Sum of the slots of all grants in force.
    pub slots: u32,
    /// Sum of the connections of all grants in force.
    pub connections: u32,
    /// Number of requests that are running on the target.
    pub running: u32,
}

/// Fleet of instances under a load of simulated requests.
pub struct GrantHarness {
    /// Fleet that runs the instances, started with all of [`INSTANCES`].
    pub fleet: Fleet,
    /// Number of targets; [`target_name`] numbers them from 1.
    pub targets: usize,
    /// Number of requests that are queued for each target, by instance.
    pub waiting: BTreeMap<String, u32>,
    /// Time for which a request runs on a target.
    pub service_time: Duration,
    /// Name of a target on which all requests fail.
    pub failing_target: Option<String>,
    /// Number of requests started so far.
    pub started: u64,
    running: BTreeMap<(Instant, u64), Arc<TargetHandle>>,
}

impl GrantHarness {
    /// Creates a fleet whose targets take `ramp` to warm up from cold to full capacity.
    pub fn new(seed: u64, targets: usize, ramp: Duration) -> Self {
        let mut fleet = Fleet::new(seed);
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
        let mut service = records::service(SERVICE, address);
        let cold = ColdStart { slots: 1, connections: 50, ramp };
        service["cold_start"] = serde_json::to_value(cold).unwrap_or_default();
        let mut objects = vec![records::object("service", 1, service)];
        objects.extend((1..=targets).map(|number| target_object(number, 1 + number as u64)));
        fleet.apply(&objects);
        for name in INSTANCES {
            fleet.start(name, DATA_CENTRE);
        }
        Self {
            fleet,
            targets,
            waiting: BTreeMap::new(),
            service_time: Duration::from_millis(200),
            failing_target: None,
            started: 0,
            running: BTreeMap::new(),
        }
    }

    /// Queues `waiting` requests for each target at every instance.
    pub fn load_all(&mut self, waiting: u32) {
        self.waiting = INSTANCES.iter().map(|name| ((*name).to_owned(), waiting)).collect();
    }

    /// Returns the service's allocator according to the view of an instance, or an empty string
    /// when there is none.
    ///
    /// # Panics
    ///
    /// Panics if the instance is not running.
    pub fn allocator(&self, instance: &str) -> String {
        let view = self.fleet.kernel(instance).expect("a running instance").view();
        allocator_of(&view, SERVICE, DATA_CENTRE).unwrap_or_default().to_string()
    }

    /// Advances the fleet by `time`, and calls `check` with the usable capacity of every target
    /// after each step.
    pub async fn run_for(
        &mut self,
        time: Duration,
        mut check: impl FnMut(&Self, &[UsableCapacity]),
    ) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.finish_requests();
            self.start_requests();
            self.fleet.run_for(STEP).await;
            let usable: Vec<_> = (1..=self.targets).map(|number| self.usable(number)).collect();
            check(self, &usable);
        }
    }

    /// Returns the capacity of a target that all instances may use together.
    pub fn usable(&self, number: usize) -> UsableCapacity {
        let now = Instant::now();
        let mut sum = UsableCapacity::default();
        for kernel in self.fleet.kernels() {
            let Some(handle) = kernel.target(&target_name(number)) else { continue };
            sum.running += handle.running_requests();
            if handle.accepts_new_work(now) {
                sum.slots += handle.slots();
                sum.connections += handle.connections();
            }
        }
        sum
    }

    /// Returns the number of slots that one instance may use on all targets.
    pub fn slots_of(&self, name: &str) -> u32 {
        let now = Instant::now();
        let kernel = self.fleet.kernel(name);
        let handles = (1..=self.targets).filter_map(|number| kernel?.target(&target_name(number)));
        handles.filter(|handle| handle.accepts_new_work(now)).map(|handle| handle.slots()).sum()
    }

    fn start_requests(&mut self) {
        let now = Instant::now();
        for (name, waiting) in &self.waiting {
            let Some(kernel) = self.fleet.kernel(name) else { continue };
            for number in 1..=self.targets {
                let Some(handle) = kernel.target(&target_name(number)) else { continue };
                handle.set_waiting_requests(*waiting);
                while *waiting > 0 && handle.try_acquire_slot(now) {
                    self.started += 1;
                    let end = (now + self.service_time, self.started);
                    self.running.insert(end, Arc::clone(&handle));
                }
            }
        }
    }

    fn finish_requests(&mut self) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > Instant::now() {
                return;
            }
            let handle = entry.remove();
            handle.release_slot();
            if self.failing_target.as_deref() == Some(handle.id().as_str()) {
                handle.record_failure();
            } else {
                handle.record_answer(self.service_time);
            }
        }
    }
}

/// Returns the name of the target with a number.
pub fn target_name(number: usize) -> String {
    format!("{SERVICE}-{number}")
}

/// Returns the record of the target with a number, as an object of the platform's object store.
pub fn target_object(number: usize, version: u64) -> hollyhead::platform::Object {
    let address = SocketAddr::from(([10, 7, 0, number as u8], 6_080));
    let body = records::target(&target_name(number), SERVICE, DATA_CENTRE, address, address);
    records::object("target", version, body)
}
