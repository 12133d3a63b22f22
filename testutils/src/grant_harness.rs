//! A fleet of eight instances with one service, and the sums of what its instances may use.

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

/// Data centre of the fleet.
pub const DATA_CENTRE: &str = "horn-east-a";
/// Service of the fleet.
pub const SERVICE: &str = "quaydesk";
/// Instances of the fleet.
pub const INSTANCES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Slots of a target.
pub const SLOTS: u32 = 2;
/// Connections of a target.
pub const CONNECTIONS: u32 = 2_000;
const STEP: Duration = Duration::from_millis(10);

/// What the instances of a fleet may use of one target together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableCapacity {
    /// Slots under grants in force.
    pub slots: u32,
    /// Connections under grants in force.
    pub connections: u32,
    /// Running requests.
    pub running: u32,
}

/// A fleet, and requests that hold slots.
pub struct GrantHarness {
    /// The fleet.
    pub fleet: Fleet,
    /// Number of targets.
    pub targets: usize,
    /// Requests that wait at each instance.
    pub waiting: BTreeMap<String, u32>,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Target whose requests all fail.
    pub failing_target: Option<String>,
    /// Requests that were started.
    pub started: u64,
    running: BTreeMap<(Instant, u64), Arc<TargetHandle>>,
}

impl GrantHarness {
    /// Creates a fleet whose targets need `ramp` from cold to full.
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

    /// Gives every instance requests that wait.
    pub fn load_all(&mut self, waiting: u32) {
        self.waiting = INSTANCES.iter().map(|name| ((*name).to_owned(), waiting)).collect();
    }

    /// Returns the allocator in the view of an instance.
    ///
    /// # Panics
    ///
    /// Panics when the instance does not run.
    pub fn allocator(&self, instance: &str) -> String {
        let view = self.fleet.kernel(instance).expect("a running instance").view();
        allocator_of(&view, SERVICE, DATA_CENTRE).unwrap_or_default().to_string()
    }

    /// Lets time pass, and calls `check` with every target's sums after each step.
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

    /// Returns what all instances may use of a target together.
    pub fn usable(&self, number: usize) -> UsableCapacity {
        let now = Instant::now();
        let mut sum = UsableCapacity::default();
        for kernel in self.fleet.kernels() {
            let Some(handle) = kernel.target(&target_name(number)) else { continue };
            sum.running += handle.running();
            if handle.takes_new(now) {
                sum.slots += handle.slots();
                sum.connections += handle.connections();
            }
        }
        sum
    }

    /// Returns the slots that one instance may use.
    pub fn slots_of(&self, name: &str) -> u32 {
        let now = Instant::now();
        let kernel = self.fleet.kernel(name);
        let handles = (1..=self.targets).filter_map(|number| kernel?.target(&target_name(number)));
        handles.filter(|handle| handle.takes_new(now)).map(|handle| handle.slots()).sum()
    }

    fn start_requests(&mut self) {
        let now = Instant::now();
        for (name, waiting) in &self.waiting {
            let Some(kernel) = self.fleet.kernel(name) else { continue };
            for number in 1..=self.targets {
                let Some(handle) = kernel.target(&target_name(number)) else { continue };
                handle.set_waiting(*waiting);
                while *waiting > 0 && handle.try_start(now) {
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
            handle.finish();
            if self.failing_target.as_deref() == Some(handle.id().as_str()) {
                handle.note_failed();
            } else {
                handle.note_answered(self.service_time);
            }
        }
    }
}

/// Returns the name of a target.
pub fn target_name(number: usize) -> String {
    format!("{SERVICE}-{number}")
}

/// Returns a target as an object of the platform.
pub fn target_object(number: usize, version: u64) -> hollyhead::platform::Object {
    let address = SocketAddr::from(([10, 7, 0, number as u8], 6_080));
    let body = records::target(&target_name(number), SERVICE, DATA_CENTRE, address, address);
    records::object("target", version, body)
}
