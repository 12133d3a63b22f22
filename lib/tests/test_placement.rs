//! Placement of new flows by many instances that cannot see each other's flows. Each case replays a
//! load with the choice of a target, and with a bare least-loaded choice as the baseline.

use hollyhead::ids::{DataCentreId, InstanceId};
use hollyhead::placement::{choose_target, Candidate, HealthRank};
use hollyhead::round_robin::{position, RoundRobin};
use smol_str::format_smolstr;

const INSTANCES: usize = 59;
const TARGETS: usize = 24;
/// Flows that each instance opens before the case begins.
const EARLIER_FLOWS: usize = 1_000;

/// State of an instance: how it chooses among targets of equal load.
struct Instance {
    id: InstanceId,
    rounds: RoundRobin,
    /// Turn of each target, or the number of flows sent to it for the baseline.
    counts: Vec<u64>,
    is_baseline: bool,
}

impl Instance {
    fn new(number: usize, is_baseline: bool) -> Self {
        let id = format_smolstr!("entry-{number}");
        Self { id, rounds: RoundRobin::default(), counts: Vec::new(), is_baseline }
    }

    /// Chooses a target for a new flow, among targets that all seem idle.
    fn open_flow(&mut self, targets: usize) -> usize {
        self.counts.resize(targets, 0);
        let data_centre = DataCentreId::from("horn-east-a");
        let candidate = |index: usize| Candidate {
            index,
            data_centre: &data_centre,
            health: HealthRank::Healthy,
            load_per_mille: 0,
            round: match self.is_baseline {
                true => self.counts[index],
                false => self.rounds.rounds_ahead(self.counts[index]),
            },
            position: match self.is_baseline {
                true => 0,
                false => position(&self.id, &format!("target-{index}")),
            },
        };
        let chosen = choose_target(&data_centre, (0..targets).map(candidate));
        let index = chosen.expect("all targets are healthy");
        self.counts[index] = match self.is_baseline {
            true => self.counts[index] + 1,
            false => self.rounds.record(self.counts[index]),
        };
        index
    }
}

fn fleet(is_baseline: bool) -> Vec<Instance> {
    (0..INSTANCES).map(|number| Instance::new(number, is_baseline)).collect()
}

/// Opens a number of flows at each instance, and returns how many each target got.
fn open_flows(fleet: &mut [Instance], flows: usize, targets: usize) -> Vec<usize> {
    let mut counts = vec![0; targets];
    for _ in 0..flows {
        for instance in &mut *fleet {
            counts[instance.open_flow(targets)] += 1;
        }
    }
    counts
}

/// All instances have just started, and each gets one flow at the same time, as when callers return
/// after an outage of all.
fn most_flows_after_common_start(is_baseline: bool) -> usize {
    let counts = open_flows(&mut fleet(is_baseline), 1, TARGETS);
    counts.into_iter().max().unwrap_or_default()
}

#[test]
fn choose_target_all_start_at_once_spreads_the_first_flows() {
    assert_eq!(most_flows_after_common_start(true), INSTANCES);
    let mean = INSTANCES.div_ceil(TARGETS);
    let most = most_flows_after_common_start(false);
    assert!(most <= 3 * mean, "{most} of {INSTANCES} flows at one target, mean {mean}");
}

/// A target is added while all instances have opened many flows.
fn flows_to_new_target(is_baseline: bool) -> usize {
    let mut fleet = fleet(is_baseline);
    open_flows(&mut fleet, EARLIER_FLOWS, TARGETS);
    open_flows(&mut fleet, TARGETS, TARGETS + 1)[TARGETS]
}

#[test]
fn choose_target_new_target_gets_its_share_only() {
    let fair = INSTANCES;
    assert!(flows_to_new_target(true) >= 20 * fair);
    let count = flows_to_new_target(false);
    assert!(count <= 2 * fair, "{count} flows to the new target, its share is {fair}");
    assert!(count >= fair / 2, "{count} flows to the new target, its share is {fair}");
}

#[test]
fn choose_target_long_run_is_even() {
    let mut fleet = fleet(false);
    let counts = open_flows(&mut fleet, 10 * TARGETS, TARGETS);
    assert!(counts.iter().all(|count| *count == 10 * INSTANCES), "{counts:?}");
}
