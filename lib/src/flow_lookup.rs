//! Lookup of flows for which their owner has no binding.
//!
//! The owner queries candidate instances one after another by relaying the packet itself to them.
//! An instance that knows the flow returns the packet with its answer, so that the lookup needs no
//! separate control message and no later packet repeats it. If no candidate knows the flow, the
//! owner derives the target from the base table.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::flow::Protocol;
use crate::flow_locations::{self, LOCATION_INDEX};
use crate::flow_messages::Step;
use crate::owner::bucket_of;
use crate::steering::{relay, send_open, Packet, Steering, MAX_QUERIES_PER_TICK};
use crate::target::TargetHandle;
use crate::verdict::{DropReason, Verdict};

impl Steering {
    /// Queries the candidate at `index`, or recovers the flow if there are no more candidates.
    pub(crate) fn query_candidate(&self, packet: &Packet<'_>, index: u8, hops: u8) -> Verdict {
        let Some(me) = packet.plan.view.get(&self.me) else {
            return Verdict::Drop(DropReason::NoOwner);
        };
        let candidates = flow_locations::candidates(packet.plan, packet.service, me, packet.hash);
        let Some(to) = candidates.get(usize::from(index)) else {
            return self.recover(packet, hops);
        };
        if self.queries.fetch_add(1, Ordering::Relaxed) >= MAX_QUERIES_PER_TICK {
            return Verdict::Drop(DropReason::QueryLimit);
        }
        Verdict::Relay { to: *to, step: Step::Query { index } }
    }

    /// Continues the lookup after the candidate at `index` did not know the flow. If this instance
    /// has bound the flow meanwhile, it delivers the packet instead.
    pub(crate) fn query_next_candidate(&self, packet: &Packet<'_>, index: u8, hops: u8) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        if index == LOCATION_INDEX {
            self.locations.remove(packet.hash);
            return self.query_candidate(packet, 0, hops);
        }
        self.query_candidate(packet, index + 1, hops)
    }

    /// Answers the query of another instance about a flow.
    ///
    /// A requester in the same data centre takes the flow over. For a requester in another data
    /// centre, this instance keeps the flow: it delivers the packet and reports that it keeps the
    /// flow.
    pub(crate) fn answer_query(&self, packet: &Packet<'_>, from: SocketAddr, index: u8) -> Verdict {
        let missed = Verdict::Relay { to: from, step: Step::Missed { index } };
        let requester = packet.plan.view.members().iter().find(|member| member.peer == from);
        let Some(requester) = requester else { return missed };
        if requester.data_centre != self.data_centre {
            return match self.deliver(packet) {
                Some(Verdict::Deliver { to }) => Verdict::Keep { to, hash: packet.hash },
                Some(verdict) => verdict,
                None => missed,
            };
        }
        match self.release_flow(packet) {
            Some(target) => {
                let step = Step::Found { target: target.id().clone() };
                Verdict::Relay { to: from, step }
            }
            None => missed,
        }
    }

    /// Returns the target of a flow that the requester takes over, and marks the flow as moved.
    fn release_flow(&self, packet: &Packet<'_>) -> Option<Arc<TargetHandle>> {
        let held = self.bindings.with(packet.hash, |binding| {
            let target = Arc::clone(&binding.target.handle);
            if *target.service() != packet.service.service {
                return None;
            }
            binding.set_moved();
            Some(target)
        });
        held.flatten().or_else(|| self.handover.find(packet.hash, &packet.service.service))
    }

    /// Binds a flow to `target`, as another instance reported, and delivers the packet. If this
    /// instance has a binding for the flow already, that binding decides on the packet instead.
    pub(crate) fn take_over(&self, packet: &Packet<'_>, target: &str) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        match packet.service.target(target) {
            Some(target) => self.bind_known(packet, target),
            // The service has no such target here. The same drop reason as for a missing grant is
            // used.
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    /// Decides on a packet of a flow that no candidate knows.
    ///
    /// The first choice of a flow is the data centre that ranks highest for it, whether or not that
    /// data centre is available. A UDP flow, or a TCP flow whose first choice is this data centre,
    /// is bound to the target that the base table gives. A TCP flow whose first choice is another
    /// data centre:
    ///
    /// - is reset if that data centre went out of service recently, and bound here if it went out
    ///   of service earlier;
    /// - is dropped if that data centre is in service without a reachable owner, since the flow may
    ///   still be open there;
    /// - is relayed to the owner in its home data centre otherwise.
    fn recover(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        if self.is_stalled(packet.now) {
            return Verdict::Drop(DropReason::Stalled);
        }
        let first_choice = packet.service.homes.first(packet.hash, |_| true);
        let is_tcp = packet.protocol == Protocol::Tcp;
        match first_choice {
            Some(home) if home.data_centre == self.data_centre || !is_tcp => {}
            Some(home) if !home.is_in_service => {
                if self.transitions.resets_flows(&home.data_centre, packet.now) {
                    return Verdict::Reset { target: None };
                }
            }
            Some(home) if home.owners.is_empty() => {
                return Verdict::Drop(DropReason::Unreachable);
            }
            _ => return self.relay_to_home_owner(packet, hops),
        }
        match self.handover.infer_target(packet.service, packet.hash, &self.me) {
            Some(target) => self.bind_new(packet, &target, send_open(&target, packet.now)),
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    fn relay_to_home_owner(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        let home = packet.service.homes.first(packet.hash, |home| home.is_available());
        match home.and_then(|home| home.owners.owner(bucket_of(packet.hash))) {
            Some(owner) if *owner != self.me => relay(packet.plan, owner, hops),
            _ => Verdict::Drop(DropReason::NoOwner),
        }
    }
}
