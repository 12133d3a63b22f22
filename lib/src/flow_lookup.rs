//! What the packet forwarder does with packets of flows that their owner does not know.
//!
//! The owner asks a chain of instances, one after another, with the packet itself. One that knows
//! the flow returns the packet with the answer, so that no control message is needed and no later
//! packet has to ask. After the last one the flow is judged by the base table.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::flow::Protocol;
use crate::flow_messages::Step;
use crate::lookup::{self, LOCATION_INDEX};
use crate::owner::bucket_of;
use crate::steering::{relay, send_open, Packet, Steering, QUERIES_PER_TICK};
use crate::target::TargetHandle;
use crate::verdict::{DropReason, Verdict};

impl Steering {
    /// Asks the instance at a place of the chain, or recovers the flow after the last one.
    pub(crate) fn query_candidate(&self, packet: &Packet<'_>, index: u8, hops: u8) -> Verdict {
        let Some(me) = packet.plan.view.get(&self.me) else {
            return Verdict::Drop(DropReason::NoOwner);
        };
        let candidates = lookup::candidates(packet.plan, packet.service, me, packet.hash);
        let Some(to) = candidates.get(usize::from(index)) else {
            return self.recover(packet, hops);
        };
        if self.queries.fetch_add(1, Ordering::Relaxed) >= QUERIES_PER_TICK {
            return Verdict::Drop(DropReason::QueryLimit);
        }
        Verdict::Relay { to: *to, step: Step::Query { index } }
    }

    /// Goes on after an instance of the chain did not know the flow.
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

    /// Answers whether a flow is known here.
    pub(crate) fn answer(&self, packet: &Packet<'_>, from: SocketAddr, index: u8) -> Verdict {
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

    /// Returns the target of a flow that the asking instance takes over.
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

    /// Takes over a flow that another instance knew.
    pub(crate) fn take_over(&self, packet: &Packet<'_>, target: &str) -> Verdict {
        if let Some(verdict) = self.deliver(packet) {
            return verdict;
        }
        match packet.service.target(target) {
            Some(target) => self.bind_known(packet, target),
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    /// Decides on a packet of a flow that nobody knows.
    fn recover(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        if self.is_stalled(packet.now) {
            return Verdict::Drop(DropReason::Stalled);
        }
        let top = packet.service.homes.first(packet.hash, |_| true);
        let is_tcp = packet.protocol == Protocol::Tcp;
        match top {
            Some(top) if top.data_centre == self.data_centre || !is_tcp => {}
            Some(top) if !top.is_in_service => {
                if self.transitions.resets_flows(&top.data_centre, packet.now) {
                    return Verdict::Reset { target: None };
                }
            }
            Some(top) if top.owners.is_empty() => {
                return Verdict::Drop(DropReason::Unreachable);
            }
            _ => return self.steer_on(packet, hops),
        }
        match self.handover.infer_target(packet.service, packet.hash, &self.me) {
            Some(target) => self.bind_new(packet, &target, send_open(&target, packet.now)),
            None => Verdict::Drop(DropReason::NoGrant),
        }
    }

    fn steer_on(&self, packet: &Packet<'_>, hops: u8) -> Verdict {
        let home = packet.service.homes.first(packet.hash, |home| home.is_available());
        match home.and_then(|home| home.owners.owner(bucket_of(packet.hash))) {
            Some(owner) if *owner != self.me => relay(packet.plan, owner, hops),
            _ => Verdict::Drop(DropReason::NoOwner),
        }
    }
}
