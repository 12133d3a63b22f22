//! Fair queue of waiting requests of one precedence, served round-robin by caller.

use std::collections::{BTreeMap, VecDeque};

use smol_str::SmolStr;
use tokio::time::Instant;

/// Identifier of a caller: the IP address that its connection comes from, without the port.
pub type CallerId = SmolStr;
/// Number that identifies a queued request within one instance.
pub type Ticket = u64;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Latest time at which the request can start and still finish by its deadline.
    pub latest_start: Instant,
}

/// Waiting requests of one precedence, in one queue per caller. Callers are served round-robin, so
/// that a caller with many requests delays mostly its own.
#[derive(Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<CallerId, VecDeque<WaitingRequest>>,
    round_robin: VecDeque<CallerId>,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests of all callers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of one caller.
    pub fn caller_len(&self, caller: &str) -> usize {
        self.queues.get(caller).map_or(0, VecDeque::len)
    }

    /// Returns the length of the longest queue among those of the callers.
    pub fn longest_caller_queue(&self) -> usize {
        self.queues.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of waiting requests that would start before a new request of `caller`.
    pub fn count_ahead_of(&self, caller: &str) -> usize {
        let own = self.caller_len(caller);
        let others = self.queues.iter().filter(|(name, _)| name.as_str() != caller);
        own + others.map(|(_, queue)| queue.len().min(own + 1)).sum::<usize>()
    }

    /// Appends a request to its caller's queue.
    pub fn push(&mut self, caller: &CallerId, waiting: WaitingRequest) {
        let queue = self.queues.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(caller.clone());
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Removes the oldest request of the caller whose turn it is.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let caller = self.round_robin.pop_front()?;
        let queue = self.queues.get_mut(&caller)?;
        let waiting = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.remove(&caller);
        } else {
            self.round_robin.push_back(caller);
        }
        Some(waiting)
    }

    /// Removes the newest request of the caller with the most waiting requests.
    pub fn shed(&mut self) -> Option<WaitingRequest> {
        let longest_caller_queue = self.queues.iter().max_by_key(|(_, queue)| queue.len());
        let caller = longest_caller_queue.map(|(caller, _)| caller.clone())?;
        let waiting = self.queues.get_mut(&caller)?.pop_back()?;
        self.note_removed(&caller);
        Some(waiting)
    }

    /// Removes a request. Returns whether it was still in the queue.
    pub fn remove(&mut self, caller: &CallerId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(caller) else { return false };
        let Some(index) = queue.iter().position(|it| it.ticket == ticket) else { return false };
        queue.remove(index);
        self.note_removed(caller);
        true
    }

    fn note_removed(&mut self, caller: &CallerId) {
        self.len -= 1;
        if self.caller_len(caller) == 0 {
            self.queues.remove(caller);
            self.round_robin.retain(|name| name != caller);
        }
    }
}
