//! Which faults a run injects, and when; the same seed gives the same plan.

use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};

/// How the store treats one instance or all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not answer anyone.
    Down,
    /// It answers one instance that nothing was done.
    Refuses(usize),
    /// It does what one instance asks and does not answer.
    LosesAnswers(usize),
    /// It answers everyone late.
    Slow,
    /// Connections of one instance fall silent.
    Silent(usize),
    /// Connections of one instance are reset.
    Reset(usize),
    /// One instance's questions arrive, and no answer returns.
    OneWay(usize),
}

/// What the operator changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a route.
    AddRoute,
    /// Adds many routes.
    AddManyRoutes,
    /// Drops a route that was added.
    DropRoute,
    /// Several changes, one right after the other.
    Series,
}

/// A fault, or planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills an instance; it starts again.
    Kill(usize),
    /// Kills all instances at once.
    KillAll,
    /// Stops an instance as planned; it starts again.
    Stop(usize),
    /// Stops all instances as planned, one after the other.
    StopInTurn,
    /// Freezes an instance for a while.
    Pause(usize, Duration),
    /// Tells an instance that its settings changed.
    HangUp(usize),
    /// Cuts the messages from one instance to another for a while.
    CutPeers(usize, usize, Duration),
    /// Makes messages between instances slow for a while.
    DelayPeers(Duration),
    /// Harms the store, or an instance's way there, for a while.
    Store(StoreFault, Duration),
    /// Makes the store forget its history.
    ForgetHistory,
    /// A target ends without a word; another takes its place later.
    CrashTarget(usize),
    /// A target neither reads nor answers for a while.
    FreezeTarget(usize, Duration),
    /// A target's health answers are held back for a while.
    HoldHealth(usize, Duration),
    /// A target leaves as planned; a cold one takes its place.
    ReplaceTarget(usize),
    /// A data centre is taken out for a while.
    TakeOut(usize, Duration),
    /// The operator changes the configuration.
    Configure(Change),
}

/// A fault with its time from the start of the load.
pub type PlannedFault = (Duration, Fault);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Time in which faults begin.
    pub time: Duration,
    /// Mean time between two faults.
    pub gap: Duration,
}

const SHORTEST_MS: u64 = 300;
const LONGEST_MS: u64 = 4_000;
const KINDS: u64 = 22;

/// Returns the faults of a seed, in the order of their times.
pub fn plan(seed: u64, shape: &Shape) -> Vec<PlannedFault> {
    let draw = Draw { random: SeededRandom::new(seed), shape: *shape };
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        // Now and then several come at once.
        if draw.below(3) > 0 {
            at += Duration::from_millis(draw.below(2 * shape.gap.as_millis() as u64));
        }
        if at >= shape.time {
            return faults;
        }
        faults.push((at, draw.fault()));
    }
}

struct Draw {
    random: SeededRandom,
    shape: Shape,
}

impl Draw {
    fn below(&self, bound: u64) -> u64 {
        self.random.below(bound.max(1))
    }

    fn instance(&self) -> usize {
        self.below(self.shape.instances as u64) as usize
    }

    fn target(&self) -> usize {
        self.below(self.shape.targets as u64) as usize
    }

    fn time(&self) -> Duration {
        Duration::from_millis(SHORTEST_MS + self.below(LONGEST_MS - SHORTEST_MS))
    }

    fn fault(&self) -> Fault {
        match self.below(KINDS) {
            0..=2 => Fault::Kill(self.instance()),
            3 => Fault::KillAll,
            4 | 5 => Fault::Stop(self.instance()),
            6 => Fault::StopInTurn,
            7 | 8 => Fault::Pause(self.instance(), self.time()),
            9 => Fault::HangUp(self.instance()),
            10 | 11 => Fault::CutPeers(self.instance(), self.instance(), self.time()),
            12 => Fault::DelayPeers(self.time()),
            13 | 14 => Fault::Store(self.store_fault(), self.time()),
            15 => Fault::ForgetHistory,
            16 => Fault::CrashTarget(self.target()),
            17 => Fault::FreezeTarget(self.target(), self.time()),
            18 => Fault::HoldHealth(self.target(), self.time()),
            19 => Fault::ReplaceTarget(self.target()),
            20 => Fault::TakeOut(self.below(self.shape.data_centres as u64) as usize, self.time()),
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

    fn change(&self) -> Change {
        match self.below(4) {
            0 => Change::AddRoute,
            1 => Change::AddManyRoutes,
            2 => Change::DropRoute,
            _ => Change::Series,
        }
    }
}
