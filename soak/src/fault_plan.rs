//! Plans which faults a run injects and when; the same seed yields the same plan.

use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};

/// Fault of the object store, or of the path from instances to it.
///
/// Variants with a number affect only the instance with that index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store answers no instance.
    Down,
    /// The store rejects the calls of one instance and executes none of them.
    Refuses(usize),
    /// The store executes the calls of one instance but does not answer them.
    LosesAnswers(usize),
    /// The store delays its answers to all instances.
    Slow,
    /// Connections of one instance transfer no bytes in either direction, but stay open.
    Silent(usize),
    /// Connections of one instance are reset, open ones too.
    Reset(usize),
    /// Calls of one instance reach the store, but no answer reaches the instance.
    OneWay(usize),
}

/// Change that the operator makes to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// Adds a route.
    AddRoute,
    /// Adds many routes.
    AddManyRoutes,
    /// Removes the oldest route that was added during the run.
    RemoveRoute,
    /// Makes several changes in quick succession.
    Series,
}

/// Fault or planned maintenance.
///
/// Instances, targets and data centres are given by index; a duration is how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills an instance and restarts it.
    Kill(usize),
    /// Kills all instances at once and restarts them.
    KillAll,
    /// Stops an instance gracefully and restarts it.
    Stop(usize),
    /// Stops and restarts all instances gracefully, one after the other.
    StopInTurn,
    /// Suspends the process of an instance.
    Pause(usize, Duration),
    /// Makes an instance reload its settings file.
    ReloadSettings(usize),
    /// Drops the messages from the first instance to the second one.
    CutPeers(usize, usize, Duration),
    /// Delays all messages between instances.
    DelayPeers(Duration),
    /// Disturbs the object store, or an instance's path to it.
    Store(StoreFault, Duration),
    /// Discards the change history of the object store, so that watches cannot resume.
    ForgetHistory,
    /// Restores the object store from a copy of the given age, after a short outage. The operator
    /// writes again what the copy lacks.
    RestoreStore(Duration),
    /// Crashes a target; another target replaces it later.
    CrashTarget(usize),
    /// Makes a target neither read nor answer anything.
    FreezeTarget(usize, Duration),
    /// Withholds a target's answers to health checks.
    HoldHealth(usize, Duration),
    /// Drains a target and replaces it by a cold one.
    ReplaceTarget(usize),
    /// Takes a data centre out of service.
    TakeOutOfService(usize, Duration),
    /// The operator changes the configuration.
    Configure(ConfigurationChange),
}

/// Fault and the time at which it is injected, counted from the start of fault injection.
pub type PlannedFault = (Duration, Fault);

/// Parameters of a fault plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanParameters {
    /// Number of instances, at least 1.
    pub instances: usize,
    /// Number of targets, at least 1.
    pub targets: usize,
    /// Number of data centres, at least 1.
    pub data_centres: usize,
    /// Period in which faults are injected.
    pub injection_time: Duration,
    /// Mean time between two injections, each of one or several faults.
    pub mean_interval: Duration,
}

/// Range of the duration of a fault.
const MIN_FAULT_MS: u64 = 300;
const MAX_FAULT_MS: u64 = 4_000;
/// Sum of the weights of all kinds of faults.
const TOTAL_WEIGHT: u64 = 22;
/// Range of the age of a copy from which the store is restored.
const MIN_COPY_AGE_MS: u64 = 500;
const MAX_COPY_AGE_MS: u64 = 5_000;
/// Mean time between two restores of the store.
const RESTORE_INTERVAL: Duration = Duration::from_secs(20);
/// Added to a run's seed for its restores, so that the other faults of a seed stay as they were
/// before there were restores.
const RESTORE_SEED_OFFSET: u64 = 1 << 32;

/// Returns the faults for a seed, ordered by time.
pub fn plan(seed: u64, parameters: &PlanParameters) -> Vec<PlannedFault> {
    let mut faults = disturbances(seed, parameters);
    faults.extend(restores(seed, parameters));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn restores(seed: u64, parameters: &PlanParameters) -> Vec<PlannedFault> {
    let random = SeededRandom::new(seed + RESTORE_SEED_OFFSET);
    let below = |time: Duration| Duration::from_millis(random.below(time.as_millis() as u64));
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += below(2 * RESTORE_INTERVAL);
        if at >= parameters.injection_time {
            return faults;
        }
        let age = MIN_COPY_AGE_MS + random.below(MAX_COPY_AGE_MS - MIN_COPY_AGE_MS);
        faults.push((at, Fault::RestoreStore(Duration::from_millis(age))));
    }
}

fn disturbances(seed: u64, parameters: &PlanParameters) -> Vec<PlannedFault> {
    let generator = FaultGenerator { random: SeededRandom::new(seed), parameters: *parameters };
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        // A third of the faults coincide with the previous one, to cover overlapping faults.
        if generator.below(3) > 0 {
            at += Duration::from_millis(
                generator.below(2 * parameters.mean_interval.as_millis() as u64),
            );
        }
        if at >= parameters.injection_time {
            return faults;
        }
        faults.push((at, generator.fault()));
    }
}

struct FaultGenerator {
    random: SeededRandom,
    parameters: PlanParameters,
}

impl FaultGenerator {
    fn below(&self, bound: u64) -> u64 {
        self.random.below(bound.max(1))
    }

    fn instance(&self) -> usize {
        self.below(self.parameters.instances as u64) as usize
    }

    fn target(&self) -> usize {
        self.below(self.parameters.targets as u64) as usize
    }

    fn duration(&self) -> Duration {
        Duration::from_millis(MIN_FAULT_MS + self.below(MAX_FAULT_MS - MIN_FAULT_MS))
    }

    fn fault(&self) -> Fault {
        match self.below(TOTAL_WEIGHT) {
            0..=2 => Fault::Kill(self.instance()),
            3 => Fault::KillAll,
            4 | 5 => Fault::Stop(self.instance()),
            6 => Fault::StopInTurn,
            7 | 8 => Fault::Pause(self.instance(), self.duration()),
            9 => Fault::ReloadSettings(self.instance()),
            10 | 11 => Fault::CutPeers(self.instance(), self.instance(), self.duration()),
            12 => Fault::DelayPeers(self.duration()),
            13 | 14 => Fault::Store(self.store_fault(), self.duration()),
            15 => Fault::ForgetHistory,
            16 => Fault::CrashTarget(self.target()),
            17 => Fault::FreezeTarget(self.target(), self.duration()),
            18 => Fault::HoldHealth(self.target(), self.duration()),
            19 => Fault::ReplaceTarget(self.target()),
            20 => Fault::TakeOutOfService(
                self.below(self.parameters.data_centres as u64) as usize,
                self.duration(),
            ),
            _ => Fault::Configure(self.change()),
        }
    }

    fn store_fault(&self) -> StoreFault {
        match self.below(7) {
            0 => StoreFault::Down,
            1 => StoreFault::Refuses(self.instance()),
            2 => StoreFault::LosesAnswers(self.instance()),
            3 => StoreFault::Slow,
            4 => StoreFault::Silent(self.instance()),
            5 => StoreFault::Reset(self.instance()),
            _ => StoreFault::OneWay(self.instance()),
        }
    }

    fn change(&self) -> ConfigurationChange {
        match self.below(4) {
            0 => ConfigurationChange::AddRoute,
            1 => ConfigurationChange::AddManyRoutes,
            2 => ConfigurationChange::RemoveRoute,
            _ => ConfigurationChange::Series,
        }
    }
}
