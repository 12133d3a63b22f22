//! Bounded queue of membership updates that are piggybacked on other messages.

use std::collections::BTreeMap;

use crate::ids::InstanceId;
use crate::view::Member;

/// Largest total size of the updates that are added to one message.
pub const UPDATE_BYTES: usize = 320;
/// Largest number of queued updates. A full queue drops the update that was sent most often; members
/// that miss it receive the record by a later pull.
pub const MAX_BROADCASTS: usize = 64;
/// Transmissions of an update for each binary order of magnitude of the number of members.
const TRANSMISSION_FACTOR: u32 = 3;

#[derive(Debug)]
struct Broadcast {
    member: Member,
    /// Number of messages that have carried the update.
    sent: u32,
}

/// Updates that have not reached their number of transmissions, at most one for each instance.
#[derive(Debug, Default)]
pub struct BroadcastQueue {
    broadcasts: BTreeMap<InstanceId, Broadcast>,
}

impl BroadcastQueue {
    /// Queues a record, which replaces an older record of the same instance.
    pub fn push(&mut self, member: Member) {
        self.broadcasts.insert(member.id.clone(), Broadcast { member, sent: 0 });
        if self.broadcasts.len() > MAX_BROADCASTS {
            let most_sent = self.broadcasts.iter().max_by_key(|(_, broadcast)| broadcast.sent);
            if let Some(id) = most_sent.map(|(id, _)| id.clone()) {
                self.broadcasts.remove(&id);
            }
        }
    }

    /// Returns the records for the next message in a region of `members` members, up to
    /// [`UPDATE_BYTES`] and least often sent first.
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
        let limit = transmission_limit(members);
        self.broadcasts.retain(|_, broadcast| broadcast.sent < limit);
        taken
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.broadcasts.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.broadcasts.is_empty()
    }
}

/// Returns the number of messages that carry an update in a region of `members` members.
fn transmission_limit(members: usize) -> u32 {
    TRANSMISSION_FACTOR * (members + 1).ilog2().max(1)
}
