//! Immutable snapshot of the members of one region that are not dead.

use std::hash::Hasher;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;

use crate::ids::{DataCentreId, Epoch, InstanceId};

/// Largest encoded size of all fields of a record except its names, with IPv4 addresses.
const RECORD_FIXED_BYTES: usize = 36;

copy_type! {
    /// State of an instance in the membership protocol.
    #[serde(rename_all = "snake_case")]
    pub enum MemberState {
        /// Acknowledges probes.
        Alive,
        /// Has not acknowledged a probe; counts as alive until the suspicion times out.
        Suspect,
        /// Has announced its planned stop; still relays packets, but is not eligible as an owner.
        Leaving,
        /// Its suspicion has timed out, or it stopped after its leave.
        Dead,
    }
}

value_type! {
    /// Record of one instance in the membership protocol.
    pub struct Member {
        /// Name of the instance.
        pub id: InstanceId,
        /// Data centre that the instance runs in.
        pub data_centre: DataCentreId,
        /// Address for datagrams from other instances.
        pub peer: SocketAddr,
        /// Address of the instance's request gateway.
        pub request: SocketAddr,
        /// Epoch of the run of the instance; a record of a later run replaces one of an earlier run.
        pub epoch: Epoch,
        /// Counter that the instance increments to refute a suspicion or to announce its leave.
        pub incarnation: u64,
        /// State of the instance as known to the sender of the record.
        pub state: MemberState,
    }
}

impl Member {
    /// Returns whether the instance may own buckets and allocate target capacity.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns an upper bound of the record's encoded size in bytes, for IPv4 addresses.
    pub fn wire_bytes(&self) -> usize {
        RECORD_FIXED_BYTES + self.id.len() + self.data_centre.len()
    }
}

/// Members of one region that are not dead, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: Vec<Member>,
    digest: u64,
}

impl View {
    /// Creates a view of `members` without the dead ones.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.retain(|member| member.state != MemberState::Dead);
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = digest(&members);
        Self { members, digest }
    }

    /// Returns all members that are not dead, ordered by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the members of a data centre that may own buckets, ordered by name.
    pub fn eligible_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members
            .iter()
            .filter(move |member| member.is_eligible() && member.data_centre == data_centre)
    }

    /// Returns the member named `id`.
    pub fn get(&self, id: &str) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.id.as_str().cmp(id)).ok()?;
        Some(&self.members[index])
    }

    /// Returns a digest of the names and epochs of the eligible members. Views with equal digests
    /// assign the same owners.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

fn digest(members: &[Member]) -> u64 {
    let mut hasher = SipHasher13::new();
    for member in members.iter().filter(|member| member.is_eligible()) {
        hasher.write(member.id.as_bytes());
        hasher.write_u8(0);
        hasher.write_u64(member.epoch);
    }
    hasher.finish()
}
