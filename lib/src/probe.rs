//! Schedule of liveness probes: one member in each period, in rounds over all members in random
//! order.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::InstanceId;
use crate::random::Random;

/// Shortest time between the starts of two probe periods.
pub const MIN_PERIOD: Duration = Duration::from_millis(270);
/// Largest random time that is added to [`MIN_PERIOD`], in milliseconds.
pub const PERIOD_JITTER_MS: u64 = 60;
/// Time without an acknowledgement after which other members are asked for indirect probes.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Probe that has not been acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Sequence number, which the acknowledgement repeats.
    pub seq: u64,
    /// Member that is probed.
    pub target: InstanceId,
    /// Time at which the direct probe was sent.
    pub sent_at: Instant,
    /// Whether indirect probes have been requested.
    pub is_indirect: bool,
}

/// Schedule of probes, and the probe of the current period.
pub struct Prober {
    random: Arc<dyn Random>,
    /// Members that are left in the current round, the next one last.
    round: Vec<InstanceId>,
    next_probe_at: Option<Instant>,
    next_seq: u64,
    /// Probe of the current period; `None` when it was acknowledged or there is no member to probe.
    pub current: Option<Probe>,
}

impl Prober {
    /// Creates a schedule whose first period is due at once.
    pub fn new(random: Arc<dyn Random>) -> Self {
        Self { random, round: Vec::new(), next_probe_at: None, next_seq: 1, current: None }
    }

    /// Takes the next sequence number. Direct pings use numbers of the same series as probes.
    pub fn allocate_sequence(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq - 1
    }

    /// Returns the sequence number that the next probe or ping gets.
    pub fn peek_sequence(&self) -> u64 {
        self.next_seq
    }

    /// Returns whether a new period starts now, and if so schedules the following one.
    pub fn is_due(&mut self, now: Instant) -> bool {
        if self.next_probe_at.is_some_and(|at| now < at) {
            return false;
        }
        let jitter = Duration::from_millis(self.random.below(PERIOD_JITTER_MS + 1));
        self.next_probe_at = Some(now + MIN_PERIOD + jitter);
        true
    }

    /// Starts a probe of the next member of the round for which `is_candidate` holds.
    ///
    /// Starts a new round over `members` when the last one is over. Returns `None` when no member
    /// of the round is a candidate.
    pub fn start(
        &mut self,
        now: Instant,
        members: impl Fn() -> Vec<InstanceId>,
        is_candidate: impl Fn(&str) -> bool,
    ) -> Option<Probe> {
        if self.round.is_empty() {
            self.round = members();
            shuffle(&mut self.round, &*self.random);
        }
        while let Some(target) = self.round.pop() {
            if is_candidate(&target) {
                let seq = self.allocate_sequence();
                let probe = Probe { seq, target, sent_at: now, is_indirect: false };
                self.current = Some(probe.clone());
                return Some(probe);
            }
        }
        None
    }

    /// Ends the current probe if `seq` is its sequence number.
    pub fn acknowledge(&mut self, seq: u64) {
        if self.current.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.current = None;
        }
    }

    /// Returns the current probe once, when [`DIRECT_TIMEOUT`] has passed and indirect probes are due.
    pub fn take_indirect(&mut self, now: Instant) -> Option<Probe> {
        let probe = self.current.as_mut()?;
        if probe.is_indirect || now < probe.sent_at + DIRECT_TIMEOUT {
            return None;
        }
        probe.is_indirect = true;
        Some(probe.clone())
    }
}

/// Shuffles items uniformly (Fisher-Yates).
pub fn shuffle<T>(items: &mut [T], random: &dyn Random) {
    for last in (1..items.len()).rev() {
        let other = random.below(last as u64 + 1) as usize;
        items.swap(last, other);
    }
}
