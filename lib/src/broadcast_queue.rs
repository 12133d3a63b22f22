//! Bounded queue of membership updates that ride on other messages.

use std::collections::BTreeMap;

use crate::ids::InstanceId;
use crate::view::Member;

/// Largest size of the updates of one message, in bytes.
pub const UPDATE_BYTES: usize = 320;
/// Largest number of updates that are spread at once; those sent most often are dropped first, and
/// pulls repair what that loses.
pub const MAX_BROADCASTS: usize = 64;
/// Factor on the logarithm of the number of members, for the transmissions of an update.
const TRANSMISSION_FACTOR: u32 = 3;

#[derive(Debug)]
struct Broadcast {
    member: Member,
    sent: u32,
}

/// Updates that are still being spread, at most one for each instance.
#[derive(Debug, Default)]
pub struct BroadcastQueue {
    broadcasts: BTreeMap<InstanceId, Broadcast>,
}

impl BroadcastQueue {
    /// Spreads a record from the start; it replaces an older one of the same instance.
    pub fn push(&mut self, member: Member) {
        self.broadcasts.insert(member.id.clone(), Broadcast { member, sent: 0 });
        if self.broadcasts.len() > MAX_BROADCASTS {
            let most_sent = self.broadcasts.iter().max_by_key(|(_, broadcast)| broadcast.sent);
            if let Some(id) = most_sent.map(|(id, _)| id.clone()) {
                self.broadcasts.remove(&id);
            }
        }
    }

    /// Returns the records for the next message: those sent least often first, as many as fit.
    pub fn take(&mut self, members: usize) -> Vec<Member> {
        let mut order: Vec<_> =
            self.broadcasts.iter().map(|(id, broadcast)| (broadcast.sent, id.clone())).collect();
        order.sort_unstable();
        let mut room = UPDATE_BYTES;
        let mut taken = Vec::new();
        for (_, id) in order {
            let Some(broadcast) = self.broadcasts.get_mut(&id) else { continue };
            let Some(left) = room.checked_sub(broadcast.member.wire_bytes()) else { break };
            room = left;
            broadcast.sent += 1;
            taken.push(broadcast.member.clone());
        }
        let limit = transmissions(members);
        self.broadcasts.retain(|_, broadcast| broadcast.sent < limit);
        taken
    }

    /// Returns the number of updates that are being spread.
    pub fn len(&self) -> usize {
        self.broadcasts.len()
    }

    /// Tells whether nothing is being spread.
    pub fn is_empty(&self) -> bool {
        self.broadcasts.is_empty()
    }
}

/// Returns how often an update is sent in a region with a number of members.
fn transmissions(members: usize) -> u32 {
    TRANSMISSION_FACTOR * (members + 1).ilog2().max(1)
}
