//! Waiting requests of one precedence, taken in turns by caller.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;
use tokio::time::Instant;

/// Name by which the requests of one caller are told from those of others.
pub type CallerId = SmolStr;
/// Number of a waiting request at one instance.
pub type Ticket = u64;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its number.
    pub ticket: Ticket,
    /// Latest moment at which it can start and still finish in time.
    pub latest_start: Instant,
}

/// Waiting requests of one precedence. Callers take turns, so a caller with many requests waits
/// for its own ones.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<CallerId, VecDeque<Waiting>>,
    turns: VecDeque<CallerId>,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of a caller.
    pub fn len_of(&self, caller: &str) -> usize {
        self.queues.get(caller).map_or(0, VecDeque::len)
    }

    /// Returns the largest number of waiting requests of one caller.
    pub fn longest(&self) -> usize {
        self.queues.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns how many of the waiting requests start before a new one of `caller`.
    pub fn ahead_of(&self, caller: &str) -> usize {
        let own = self.len_of(caller);
        let others = self.queues.iter().filter(|(name, _)| name.as_str() != caller);
        own + others.map(|(_, queue)| queue.len().min(own + 1)).sum::<usize>()
    }

    /// Adds a request at the end of its caller's queue.
    pub fn push(&mut self, caller: &CallerId, waiting: Waiting) {
        let queue = self.queues.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(caller.clone());
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Takes the oldest request of the caller whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        let caller = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&caller)?;
        let waiting = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(waiting)
    }

    /// Takes the newest request of the caller that has most of them.
    pub fn shed(&mut self) -> Option<Waiting> {
        let longest = self.queues.iter().max_by_key(|(_, queue)| queue.len());
        let caller = longest.map(|(caller, _)| caller.clone())?;
        let waiting = self.queues.get_mut(&caller)?.pop_back()?;
        self.note_removed(&caller);
        Some(waiting)
    }

    /// Removes a request, and tells whether it was there.
    pub fn remove(&mut self, caller: &CallerId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(caller) else { return false };
        let Some(index) = queue.iter().position(|it| it.ticket == ticket) else { return false };
        queue.remove(index);
        self.note_removed(caller);
        true
    }

    fn note_removed(&mut self, caller: &CallerId) {
        self.len -= 1;
        if self.len_of(caller) == 0 {
            self.queues.remove(caller);
            self.turns.retain(|name| name != caller);
        }
    }
}
