//! Messages between instances and their encoding.

use std::fmt;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use crate::config_message::ConfigMessage;
use crate::directory_message::DirectoryMessage;
use crate::flow_messages::{BaseTableAck, BaseTableUpdate, OverrideAck, OverrideBatch, Step};
use crate::gossip::GossipMessage;
use crate::grant::{GrantReply, GrantRequest};
use crate::ids::{Epoch, InstanceId};
use crate::key_claim::KeyMessage;

/// Reason why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The bytes do not decode.
    #[error("malformed message: {0}")]
    Malformed(String),
}

value_type! {
    /// Tells an instance the latest run of it that is known.
    pub struct EpochNotice {
        /// The instance.
        pub instance: InstanceId,
        /// Latest run.
        pub known: Epoch,
    }

    /// Message of the control protocol.
    pub enum Message {
        /// Membership.
        Gossip(GossipMessage),
        /// Question of an owner to an allocator.
        GrantRequest(GrantRequest),
        /// Answer of an allocator.
        GrantReply(GrantReply),
        /// Answer to a message from an earlier run than the one that is known.
        EpochNotice(EpochNotice),
        /// Placement overrides of flows.
        #[serde(rename = "Exceptions")]
        Overrides(OverrideBatch),
        /// Acknowledgement of placement overrides.
        #[serde(rename = "ExceptionAck")]
        OverrideAck(OverrideAck),
        /// Base table of a service.
        #[serde(rename = "Base")]
        BaseTable(BaseTableUpdate),
        /// Acknowledgement of a base table.
        #[serde(rename = "BaseAck")]
        BaseTableAck(BaseTableAck),
        /// Keys of requests.
        Key(KeyMessage),
        /// Configuration.
        Config(ConfigMessage),
        /// Directory of the packet forwarder with cookies.
        Directory(DirectoryMessage),
    }
}

/// A packet on its way from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedPacket<'a> {
    /// Number of times that the packet has been relayed.
    pub hops: u8,
    /// Digest of the view by which the sender chose the receiver.
    pub view: u64,
    /// What the receiver shall do.
    pub step: Step,
    /// The IP packet.
    pub packet: &'a [u8],
}

const RELAYED_FIELDS: usize = 4;

impl Serialize for RelayedPacket<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(RELAYED_FIELDS)?;
        tuple.serialize_element(&self.hops)?;
        tuple.serialize_element(&self.view)?;
        tuple.serialize_element(&self.step)?;
        tuple.serialize_element(self.packet)?;
        tuple.end()
    }
}

struct RelayedVisitor;

impl<'de> Visitor<'de> for RelayedVisitor {
    type Value = RelayedPacket<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a relayed packet")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let missing = |field| A::Error::missing_field(field);
        let hops = seq.next_element()?.ok_or_else(|| missing("hops"))?;
        let view = seq.next_element()?.ok_or_else(|| missing("view"))?;
        let step = seq.next_element()?.ok_or_else(|| missing("step"))?;
        let packet = seq.next_element()?.ok_or_else(|| missing("packet"))?;
        Ok(RelayedPacket { hops, view, step, packet })
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for RelayedPacket<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(RELAYED_FIELDS, RelayedVisitor)
    }
}

/// What one datagram between instances holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame<'a> {
    /// A packet of a flow.
    #[serde(borrow)]
    Relay(RelayedPacket<'a>),
    /// A message of the control protocol.
    Control(Message),
}

impl<'a> Frame<'a> {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Malformed`] when the frame cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(|err| MessageError::Malformed(err.to_string()))
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Malformed`] when the bytes are no frame.
    pub fn decode(buf: &'a [u8]) -> Result<Self, MessageError> {
        postcard::from_bytes(buf).map_err(|err| MessageError::Malformed(err.to_string()))
    }
}
