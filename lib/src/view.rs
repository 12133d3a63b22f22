//! Immutable snapshot of the live instances of one region.

use std::hash::Hasher;
use std::net::SocketAddr;

use siphasher::sip::SipHasher13;

use crate::ids::{DataCentreId, Epoch, InstanceId};

/// Encoded size of a record's numbers and two IPv4 addresses, in bytes.
const RECORD_NUMBER_BYTES: usize = 36;

copy_type! {
    /// State of an instance, as the members of its data centre see it.
    #[serde(rename_all = "snake_case")]
    pub enum MemberState {
        /// Answers gossip.
        Alive,
        /// Missed answers; counts as alive until the suspicion times out.
        Suspect,
        /// Announced its planned stop; relays, but owns nothing new.
        Leaving,
        /// Is gone.
        Dead,
    }
}

value_type! {
    /// One instance.
    pub struct Member {
        /// Name.
        pub id: InstanceId,
        /// Data centre that the instance runs in.
        pub data_centre: DataCentreId,
        /// Address for messages between instances.
        pub peer: SocketAddr,
        /// Address of the request gateway.
        pub request: SocketAddr,
        /// Number of the run of the instance.
        pub epoch: Epoch,
        /// Counter by which an instance refutes a suspicion.
        pub incarnation: u64,
        /// State.
        pub state: MemberState,
    }
}

impl Member {
    /// Tells whether the instance may own buckets and allocate target capacity.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns an upper bound of the record's encoded size, in bytes.
    pub fn wire_bytes(&self) -> usize {
        RECORD_NUMBER_BYTES + self.id.len() + self.data_centre.len()
    }
}

/// Immutable snapshot of the members of one region, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: Vec<Member>,
    digest: u64,
}

impl View {
    /// Creates a view; dead members are left out.
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

    /// Returns a digest of the eligible members; equal digests mean equal ownership.
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
