//! Spillover between three data centres. Cases with a load replay it request by request, with the
//! choice of the targets as instances make it, and with the rule without figures as the baseline: an
//! instance spills over by the running requests that it sees itself.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use hollyhead::ids::DataCentreId;
use hollyhead::placement::{choose_target, Candidate, HealthRank};
use hollyhead::random::{Random, SeededRandom};
use hollyhead::room::{DataCentreRoom, Demand, ServiceRoom};
use hollyhead::room_table::MIN_PASS_INTERVAL;
use hollyhead::round_robin::{position, RoundRobin};
use hollyhead::service_demand::Traffic;
use hollyhead::spillover::{is_near_limit, plan, SpillPlan, Spillover};
use smol_str::format_smolstr;
use tokio::time::Instant;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// Instances of each data centre.
const INSTANCES: usize = 29;
/// Targets of each data centre.
const TARGETS: usize = 20;
const SLOTS: usize = 2;
/// Requests that a target holds, running ones included.
const MAX_HELD: usize = 10;
const WORK: f64 = 0.030;
/// Requests per second that the slots of a data centre can serve.
const CAPACITY: f64 = (TARGETS * SLOTS) as f64 / WORK;
const STEP: f64 = 0.000_25;
/// Age of the figures that instances act on.
const FIGURES_AGE: f64 = 2.5;

fn room(figures: [(u32, Option<f64>); 3]) -> ServiceRoom {
    let room = |(name, (slots, demand)): (&str, (u32, Option<f64>))| DataCentreRoom {
        data_centre: name.into(),
        slots,
        demand: demand
            .map(|requests_per_second| Demand { requests_per_second, turned_away_per_second: 0.0 }),
    };
    let data_centres = DATA_CENTRES.into_iter().zip(figures).map(room).collect();
    ServiceRoom { data_centres, work: Some(Duration::from_secs_f64(WORK)), own_share: None }
}

#[derive(Default)]
struct Target {
    slots_free_at: [f64; SLOTS],
    held_until: VecDeque<f64>,
}

impl Target {
    /// Returns the time for which a request waits for a slot and the time of its answer; `None` if
    /// the target is full.
    fn accept(&mut self, now: f64, work: f64) -> Option<(f64, f64)> {
        self.held_until.retain(|until| *until > now);
        if self.held_until.len() >= MAX_HELD {
            return None;
        }
        let slot = self.slots_free_at.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        let start = slot.max(now);
        *slot = start + work;
        self.held_until.push_back(*slot);
        Some((start - now, *slot))
    }
}

struct Instance {
    /// Rounds of each data centre.
    rounds: [RoundRobin; 3],
    /// Round and position of each target.
    turns: Vec<(u64, u64)>,
    /// Answers that the instance waits for: their times and targets.
    running: Vec<(f64, usize)>,
}

/// Load of the data centres, by index of the data centre and time in seconds.
struct Load<'a> {
    demand: &'a dyn Fn(usize, f64) -> f64,
    /// Number of targets of a data centre that are there.
    targets: &'a dyn Fn(usize, f64) -> usize,
    seconds: f64,
    /// Whether figures pass between the instances. Without them the rule without figures decides.
    has_figures: bool,
    /// Time from which the outcome counts.
    counts_from: f64,
}

#[derive(Default, Debug)]
struct Outcome {
    requests: f64,
    turned_away: f64,
    waited: f64,
    remote: f64,
    /// Passes in which two data centres sent flows to each other.
    mutual: u32,
}

impl Outcome {
    fn turned_away_share(&self) -> f64 {
        self.turned_away / self.requests
    }

    fn mean_wait(&self) -> f64 {
        self.waited / (self.requests - self.turned_away)
    }

    fn remote_share(&self) -> f64 {
        self.remote / self.requests
    }
}

fn instance(number: usize) -> Instance {
    let id = format_smolstr!("entry-{number}");
    let turn = |target: usize| (0, position(&id, &format!("target-{target}")));
    let turns = (0..DATA_CENTRES.len() * TARGETS).map(turn).collect();
    Instance { rounds: [RoundRobin::default(); 3], turns, running: Vec::new() }
}

impl Instance {
    /// Chooses a target as an instance does that sees only its own flows.
    fn choose(&mut self, preferred: &DataCentreId, present: &[usize; 3], now: f64) -> usize {
        self.running.retain(|(until, _)| *until > now);
        let names = DATA_CENTRES.map(DataCentreId::from);
        let mut running = vec![0; self.turns.len()];
        self.running.iter().for_each(|(_, target)| running[*target] += 1);
        let indices = (0..self.turns.len()).filter(|it| it % TARGETS < present[it / TARGETS]);
        let candidates = indices.map(|index| Candidate {
            index,
            data_centre: &names[index / TARGETS],
            health: HealthRank::Healthy,
            load_per_mille: running[index] * 1_000 / SLOTS as u32,
            round: self.rounds[index / TARGETS].rounds_ahead(self.turns[index].0),
            position: self.turns[index].1,
        });
        let index = choose_target(preferred, candidates).expect("there are targets");
        self.turns[index].0 = self.rounds[index / TARGETS].record(self.turns[index].0);
        index
    }
}

fn play(load: &Load<'_>) -> Outcome {
    let random = SeededRandom::new(7);
    let unit = || random.below(1 << 32) as f64 / (1_u64 << 32) as f64;
    let started_at = Instant::now();
    let mut instances: Vec<_> = (0..3 * INSTANCES).map(instance).collect();
    let mut targets: Vec<_> = (0..3 * TARGETS).map(|_| Target::default()).collect();
    let mut spillovers = [(); 3].map(|()| Spillover::default());
    let (mut outcome, mut next_pass) = (Outcome::default(), 0.0);
    for step in 0..(load.seconds / STEP) as u64 {
        let now = step as f64 * STEP;
        let present = [0, 1, 2].map(|index| (load.targets)(index, now));
        if load.has_figures && now >= next_pass {
            next_pass += MIN_PASS_INTERVAL.as_secs_f64();
            let figures = |it: usize| {
                let demand = (load.demand)(it, (now - FIGURES_AGE).max(0.0));
                ((present[it] * SLOTS) as u32, Some(demand * (0.9 + 0.2 * unit())))
            };
            let room = room([0, 1, 2].map(figures));
            let at = started_at + Duration::from_secs_f64(now);
            for (name, spillover) in DATA_CENTRES.iter().zip(&mut spillovers) {
                spillover.update(plan(&room, name), Traffic::default(), at);
            }
            outcome.mutual += u32::from(has_mutual_shares(&spillovers));
        }
        for home in 0..DATA_CENTRES.len() {
            if unit() >= (load.demand)(home, now) * STEP {
                continue;
            }
            let local = DataCentreId::from(DATA_CENTRES[home]);
            let preferred = spillovers[home].destination(random.next()).unwrap_or(&local);
            let number = random.below(INSTANCES as u64) as usize;
            let instance = &mut instances[home * INSTANCES + number];
            let index = instance.choose(preferred, &present, now);
            let answer = targets[index].accept(now, WORK * (0.5 + unit()));
            instance.running.extend(answer.map(|(_, until)| (until, index)));
            if now >= load.counts_from {
                outcome.requests += 1.0;
                outcome.turned_away += f64::from(u8::from(answer.is_none()));
                outcome.waited += answer.map_or(0.0, |(wait, _)| wait);
                outcome.remote += f64::from(u8::from(index / TARGETS != home));
            }
        }
    }
    outcome
}

fn has_mutual_shares(spillovers: &[Spillover; 3]) -> bool {
    let sends = |from: usize, to: usize| {
        spillovers[from].shares().any(|(name, share)| name == DATA_CENTRES[to] && share > 0.0)
    };
    [(0, 1), (0, 2), (1, 2)].into_iter().any(|(a, b)| sends(a, b) && sends(b, a))
}

/// Plays a load with the rule without figures and with the spillover by figures.
fn compare(load: &Load<'_>) -> (Outcome, Outcome) {
    let both = (play(&Load { has_figures: false, ..*load }), play(load));
    println!("former rule: {:?}\nspillover: {:?}", both.0, both.1);
    both
}

/// Steady load at half of what the targets can serve.
const STEADY: Load<'static> = Load {
    demand: &|_, _| 0.5 * CAPACITY,
    targets: &|_, _| TARGETS,
    seconds: 10.0,
    has_figures: true,
    counts_from: 0.0,
};

/// Load: demand of three data centres swings by 55 % with a period of 24 s, out of phase, around 70 %
/// of what the targets can serve.
#[test]
fn spillover_swing_out_of_phase_turns_few_away() {
    let demand = |data_centre: usize, now: f64| {
        let phase = data_centre as f64 / 3.0;
        0.7 * CAPACITY * (1.0 + 0.55 * (TAU * (now / 24.0 + phase)).sin())
    };
    let load = Load { demand: &demand, seconds: 24.0, ..STEADY };
    let (today, spilled) = compare(&load);
    assert!(today.turned_away_share() > 0.005, "{today:?}");
    assert!(spilled.turned_away_share() < today.turned_away_share() / 2.0, "{spilled:?} {today:?}");
    assert!(spilled.mean_wait() < today.mean_wait() / 1.5, "{spilled:?} {today:?}");
    assert_eq!(spilled.mutual, 0);
}

/// Load: within a second half of the callers of two data centres move to the third, and return
/// after 12 s.
#[test]
fn spillover_callers_move_within_a_second_and_return() {
    let moved = |now: f64| (now - 4.0).clamp(0.0, 1.0) - (now - 16.0).clamp(0.0, 1.0);
    let demand = |data_centre: usize, now: f64| {
        let change = if data_centre == 0 { 1.0 } else { -0.5 };
        0.55 * CAPACITY * (1.0 + change * moved(now))
    };
    let counts_from = 4.0 + FIGURES_AGE + 1.5;
    let load = Load { demand: &demand, seconds: 20.0, counts_from, ..STEADY };
    let (today, spilled) = compare(&load);
    assert!(today.turned_away_share() > 0.02, "{today:?}");
    assert!(spilled.turned_away_share() < 0.01, "{spilled:?}");
    let late = Load { seconds: 34.0, counts_from: 30.0, ..load };
    assert!(play(&late).remote_share() < 0.01, "flows return");
}

/// Load: 60 % of the targets of one data centre end at once, at 50 % of what all of them can serve.
#[test]
fn spillover_most_targets_gone_at_once_turns_few_away() {
    let targets = |data_centre: usize, now: f64| match data_centre {
        0 if now >= 2.0 => TARGETS * 2 / 5,
        _ => TARGETS,
    };
    let load = Load { targets: &targets, counts_from: 2.0, ..STEADY };
    let (today, spilled) = compare(&load);
    assert!(today.turned_away_share() > 0.04, "{today:?}");
    assert!(spilled.turned_away_share() < today.turned_away_share() / 5.0, "{spilled:?} {today:?}");
}

/// Load: steady at half of what the targets can serve. Nothing leaves its data centre.
#[test]
fn spillover_calm_load_stays_at_home() {
    assert_eq!(play(&STEADY).remote, 0.0);
}

/// Load: two data centres take turns above their limit every 3 s, faster than figures and ramps.
#[test]
fn spillover_alternating_load_is_never_passed_both_ways() {
    let demand = |data_centre: usize, now: f64| {
        let is_high = (now / 3.0) as usize % 2 == data_centre;
        CAPACITY * if is_high { 0.9 } else { 0.4 }
    };
    assert_eq!(play(&Load { demand: &demand, seconds: 18.0, ..STEADY }).mutual, 0);
}

fn share_and_names(plan: &SpillPlan) -> (f64, Vec<&str>) {
    (plan.share, plan.destinations.iter().map(|(name, _)| name.as_str()).collect())
}

/// Load: two of three data centres are above the limit. Both send to the third only.
#[test]
fn plan_two_over_send_to_the_third_only() {
    let room = room([(40, Some(0.9 * CAPACITY)), (40, Some(0.8 * CAPACITY)), (40, Some(0.0))]);
    let plans = DATA_CENTRES.map(|name| plan(&room, name).unwrap_or_default());
    let [a, b, c] = [&plans[0], &plans[1], &plans[2]].map(share_and_names);
    // The mean is 0.57 and the limit 0.67.
    assert!((a.0 - 0.26).abs() < 0.01 && a.1 == ["c"], "{a:?}");
    assert!((b.0 - 0.17).abs() < 0.01 && b.1 == ["c"], "{b:?}");
    assert_eq!(c.0, 0.0);
}

/// Load: all data centres are equally over what their targets can serve. Nothing moves.
#[test]
fn plan_all_over_keeps_all_at_home() {
    let room = room([(40, Some(1.3 * CAPACITY)); 3]);
    assert!(DATA_CENTRES.iter().all(|name| plan(&room, name).unwrap_or_default().share == 0.0));
}

/// Load: one data centre over its limit, the others with 30 and 10 free slots.
#[test]
fn destination_shares_follow_the_free_room() {
    let busy = |slots: f64| Some(slots / WORK);
    let room = room([(40, busy(34.0)), (60, busy(6.0)), (20, busy(2.0))]);
    let mut spillover = Spillover::default();
    let now = Instant::now();
    for second in 0..3 {
        let plan = plan(&room, "a");
        spillover.update(plan, Traffic::default(), now + Duration::from_secs(second));
    }
    let mut counts = [0_u32; 3];
    let random = SeededRandom::new(3);
    for _ in 0..20_000 {
        let hash = random.next();
        let name = spillover.destination(hash).map_or("a", |name| name);
        assert_eq!(spillover.destination(hash).map_or("a", |name| name), name);
        counts[DATA_CENTRES.iter().position(|it| *it == name).unwrap_or_default()] += 1;
    }
    // The excess over 24 slots is 10 of 34; 30 and 10 slots are free.
    let [_, b, c] = counts.map(|count| f64::from(count) / 20_000.0);
    assert!((b + c - 10.0 / 34.0).abs() < 0.01 && (b / c - 3.0).abs() < 0.3, "{counts:?}");
}

/// Load: a data centre without slots. All of its demand goes to the others in proportion to their
/// free room, also while none of it is observed; without slots anywhere there is no plan.
#[test]
fn plan_no_own_slots_sends_all_by_free_room() {
    for demand in [0.9, 0.0] {
        let figures = [(0, demand), (40, 0.5), (40, 0.2)];
        let room = room(figures.map(|(slots, of)| (slots, Some(of * CAPACITY))));
        let plan = plan(&room, "a").unwrap_or_default();
        assert_eq!((plan.share, plan.max_share), (1.0, 1.0));
        let free = |it: usize| plan.destinations[it].1;
        // The limit is the mean of 0.8 and a margin of 0.1, or 0.6.
        let ratio = if demand > 0.0 { 0.7 / 0.4 } else { 0.4 / 0.1 };
        assert!((free(1) / free(0) - ratio).abs() < 1e-6, "{plan:?}");
    }
    assert_eq!(plan(&room([(0, Some(0.9 * CAPACITY)); 3]), "a"), None);
}

/// Load: callers in a data centre where the service has no slots, below and near the limit of others.
#[test]
fn is_near_limit_needs_slots() {
    let near = |busy: f64| {
        let others = (40, Some(busy * CAPACITY));
        is_near_limit(&room([(0, Some(0.1 * CAPACITY)), others, others]))
    };
    assert!(!near(0.3) && near(0.4));
}

/// Load: as above, but figures are missing. Without those of the own data centre or the work there is
/// no plan; without those of another one it gets nothing.
#[test]
fn plan_missing_figures_leaves_the_rule_without_figures() {
    let over = Some(0.9 * CAPACITY);
    assert_eq!(plan(&room([(40, None), (40, Some(0.0)), (40, Some(0.0))]), "a"), None);
    assert_eq!(plan(&room([(0, None), (40, Some(0.0)), (40, Some(0.0))]), "a"), None);
    let unknown_work = ServiceRoom { work: None, ..room([(40, over), (40, over), (40, over)]) };
    assert_eq!(plan(&unknown_work, "a"), None);
    let one_missing = plan(&room([(40, over), (40, None), (40, Some(0.0))]), "a");
    assert_eq!(share_and_names(&one_missing.unwrap_or_default()).1, ["c"]);
    let mut spillover = Spillover::default();
    spillover.update(None, Traffic::default(), Instant::now());
    assert!((0..1_000).all(|hash| spillover.destination(hash).is_none()));
}

/// Load: flows of 20 requests, so that the requests of new flows are few. The share of requests
/// that are served elsewhere follows a rise by 0.3 within half of the life of a flow, where openings
/// at the wanted share alone would need more than one.
#[test]
fn update_long_flows_reach_the_share_of_requests() {
    let room = room([(40, Some(0.6 / 0.7 * CAPACITY)), (200, Some(0.0)), (0, Some(0.0))]);
    let (life, now) = (20.0, Instant::now());
    let remote_after = |has_feedback: bool| {
        let (mut spillover, mut remote) = (Spillover::default(), 0.0);
        for step in 0..40_u32 {
            let traffic = Traffic {
                requests: 20.0,
                remote_requests: 20.0 * if has_feedback { remote } else { 0.0 },
                openings: if has_feedback { 1.0 } else { 20.0 },
            };
            spillover.update(plan(&room, "a"), traffic, now + MIN_PASS_INTERVAL * step);
            let placed = (0..2_000).filter(|hash| spillover.destination(*hash).is_some()).count();
            remote += (placed as f64 / 2_000.0 - remote) * MIN_PASS_INTERVAL.as_secs_f64() / life;
        }
        (remote, spillover.share())
    };
    let (alone, share) = remote_after(false);
    let (corrected, _) = remote_after(true);
    assert!(alone < 0.45 * share, "{alone} of {share}");
    assert!(corrected > 0.75 * share && corrected < 1.05 * share, "{corrected} of {share}");
}

/// Load: a data centre above the limit returns to normal. Its share falls by a ramp, but at once
/// when the room elsewhere is needed by another data centre.
#[test]
fn update_falling_share_leaves_the_room_to_others() {
    let (over, calm, now) = (Some(CAPACITY), Some(0.3 * CAPACITY), Instant::now());
    let mut spillover = Spillover::default();
    let mut share_after = |second: u64, figures: [(u32, Option<f64>); 3]| {
        let plan = plan(&room(figures), "a");
        spillover.update(plan, Traffic::default(), now + Duration::from_secs(second));
        spillover.share()
    };
    share_after(0, [(40, over), (40, calm), (40, calm)]);
    assert!((share_after(1, [(40, over), (40, calm), (40, calm)]) - 0.367).abs() < 0.01);
    assert!((share_after(2, [(40, calm), (40, calm), (40, calm)]) - 0.267).abs() < 0.01);
    assert_eq!(share_after(3, [(40, calm), (40, over), (0, calm)]), 0.0);
}

/// Load: two of three data centres are above the limit and calm down together. While their shares
/// fall they go on to send to the third, and not to each other.
#[test]
fn update_two_senders_calm_down_together_without_mutual_shares() {
    let (over, calm, now) = (Some(0.9 * CAPACITY), Some(0.3 * CAPACITY), Instant::now());
    let mut spillovers = [(); 3].map(|()| Spillover::default());
    let mut update = |second: u64, figures: [(u32, Option<f64>); 3]| {
        for (name, spillover) in DATA_CENTRES.iter().zip(&mut spillovers) {
            let plan = plan(&room(figures), name);
            spillover.update(plan, Traffic::default(), now + Duration::from_secs(second));
        }
        let shares = [0, 1].map(|it| spillovers[it].share());
        (shares.iter().all(|share| *share > 0.05), has_mutual_shares(&spillovers))
    };
    update(0, [(40, over), (40, over), (80, calm)]);
    assert_eq!(update(1, [(40, over), (40, over), (80, calm)]), (true, false));
    assert_eq!(update(2, [(40, calm), (40, calm), (80, calm)]), (true, false));
    // The only former destination has no room any more.
    assert_eq!(update(3, [(40, calm), (40, calm), (0, calm)]), (false, false));
}
