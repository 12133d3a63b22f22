//! Queue of openings that wait at an instance until the targets of their service have room.
//!
//! Load pattern: a short burst beyond the capacity of a service. The queue is bounded in count and
//! bytes; when it is full, the opening that ranks last of the service that holds most is given back
//! to be refused, so that one service leaves the others their place.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::ServiceId;
use crate::opening::Opening;
use crate::segment::{FlowEnds, Segment};

/// Largest number of held openings.
pub const MAX_HELD_OPENINGS: usize = 256;
/// Largest total size of the held opening packets, in bytes.
pub const MAX_HELD_BYTES: usize = 128 * 1_024;

/// Opening that waits for room.
#[derive(Clone, Debug)]
pub struct HeldOpening {
    /// Opening with the requirements of its route.
    pub opening: Opening,
    /// Decoded header of the latest copy of the packet.
    pub segment: Segment,
    /// Latest copy of the whole packet.
    pub datagram: Vec<u8>,
}

/// Openings that wait for room, and the flows that were released lately.
#[derive(Debug, Default)]
pub struct OpeningQueue {
    held: Vec<HeldOpening>,
    bytes: usize,
    released: HashMap<FlowEnds, Instant>,
}

impl OpeningQueue {
    /// Returns the number of held openings.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no opening is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Replaces the packet of a held opening by a copy that its caller has sent, and returns the
    /// service of the opening. Returns `None` if the flow's opening is not held. The queue may be
    /// over a bound afterwards (see [`Self::take_excess`]).
    pub fn replace_copy(&mut self, segment: &Segment, datagram: &[u8]) -> Option<ServiceId> {
        let held = self.held.iter_mut().find(|held| held.opening.ends == segment.ends)?;
        self.bytes = self.bytes - held.datagram.len() + datagram.len();
        held.segment = *segment;
        held.datagram = datagram.to_vec();
        Some(held.opening.service.clone())
    }

    /// Adds an opening. The queue may be over a bound afterwards (see [`Self::take_excess`]).
    pub fn push(&mut self, held: HeldOpening) {
        self.bytes += held.datagram.len();
        self.held.push(held);
    }

    /// Removes and returns one opening while the queue is over a bound, `None` otherwise: the one
    /// that ranks last among those of the service that holds most.
    #[must_use]
    pub fn take_excess(&mut self, now: Instant) -> Option<HeldOpening> {
        if self.held.len() <= MAX_HELD_OPENINGS && self.bytes <= MAX_HELD_BYTES {
            return None;
        }
        let service = self.largest_service()?;
        let ranks = self.held.iter().enumerate();
        let ranks = ranks.filter(|(_, held)| held.opening.service == service);
        let (last, _) = ranks.max_by_key(|(_, held)| held.opening.rank(now))?;
        let last = self.held.swap_remove(last);
        self.bytes -= last.datagram.len();
        Some(last)
    }

    /// Returns the service that holds most of what is over its bound: openings, else bytes.
    fn largest_service(&self) -> Option<ServiceId> {
        let counts_openings = self.held.len() > MAX_HELD_OPENINGS;
        let mut sizes = BTreeMap::<&ServiceId, usize>::new();
        for held in &self.held {
            let size = if counts_openings { 1 } else { held.datagram.len() };
            *sizes.entry(&held.opening.service).or_default() += size;
        }
        let largest = sizes.into_iter().max_by_key(|(_, size)| *size);
        largest.map(|(service, _)| service.clone())
    }

    /// Returns the number of held openings of the same service that rank before an opening.
    pub fn count_ahead(&self, opening: &Opening, now: Instant) -> usize {
        let rank = opening.rank(now);
        let same = self.held.iter().filter(|held| held.opening.service == opening.service);
        same.filter(|held| held.opening.rank(now) < rank).count()
    }

    /// Removes and returns all openings in the order of their ranks.
    pub fn take_in_order(&mut self, now: Instant) -> Vec<HeldOpening> {
        let mut held = std::mem::take(&mut self.held);
        self.bytes = 0;
        held.sort_by_key(|held| held.opening.rank(now));
        held
    }

    /// Removes and returns the openings of one service in the order of their ranks.
    pub fn take_service_in_order(&mut self, service: &str, now: Instant) -> Vec<HeldOpening> {
        let is_taken = |held: &HeldOpening| held.opening.service == service;
        let (mut taken, left): (Vec<_>, _) =
            std::mem::take(&mut self.held).into_iter().partition(is_taken);
        self.held = left;
        self.bytes -= taken.iter().map(|held| held.datagram.len()).sum::<usize>();
        taken.sort_by_key(|held| held.opening.rank(now));
        taken
    }

    /// Records that the opening of a flow was released to a target.
    pub fn record_released(&mut self, ends: FlowEnds, now: Instant) {
        self.released.insert(ends, now);
    }

    /// Returns whether the opening of a flow was released within the last `window`.
    pub fn was_released(&self, ends: &FlowEnds, window: Duration, now: Instant) -> bool {
        self.released.get(ends).is_some_and(|at| now < *at + window)
    }

    /// Forgets flows whose opening was released longer than `window` ago.
    pub fn expire_released(&mut self, window: Duration, now: Instant) {
        self.released.retain(|_, at| now < *at + window);
    }
}
