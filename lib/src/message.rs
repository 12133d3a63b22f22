//! Messages between instances and their encoding.
//!
//! The encoding has no names, so the order of the variants and fields of a message is fixed.

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

/// Reason why a message cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The bytes are not a valid frame, or the frame cannot be encoded.
    #[error("malformed message: {0}")]
    Malformed(String),
}

value_type! {
    /// Notifies an instance of its latest epoch that the sender has seen.
    ///
    /// An instance whose clock went back between two runs has a smaller epoch than its earlier run;
    /// this notice makes it raise its epoch.
    pub struct EpochNotice {
        /// Instance whose epoch is too small.
        pub instance: InstanceId,
        /// Latest epoch of the instance that the sender has seen.
        pub known: Epoch,
    }

    /// Message of the control protocol between instances.
    pub enum Message {
        /// Message of the membership protocol.
        Gossip(GossipMessage),
        /// Request of an owner to the capacity allocator of a service.
        GrantRequest(GrantRequest),
        /// Reply of a capacity allocator.
        GrantReply(GrantReply),
        /// Reply to a datagram with an earlier epoch than the latest one of its sender.
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
        /// Message about idempotency keys of requests.
        Key(KeyMessage),
        /// Message of configuration propagation.
        Config(ConfigMessage),
        /// Message about the directory of the packet forwarder with cookies.
        Directory(DirectoryMessage),
    }
}

/// Packet that one instance relays to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedPacket<'a> {
    /// Number of times that the packet has been relayed.
    pub hops: u8,
    /// Digest of the view that the sender used to choose the receiver.
    pub view: u64,
    /// Step of flow lookup or steering that the receiver performs.
    pub step: Step,
    /// IP packet, with its header.
    pub packet: &'a [u8],
}

const RELAYED_PACKET_FIELDS: usize = 4;

impl Serialize for RelayedPacket<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(RELAYED_PACKET_FIELDS)?;
        tuple.serialize_element(&self.hops)?;
        tuple.serialize_element(&self.view)?;
        tuple.serialize_element(&self.step)?;
        tuple.serialize_element(self.packet)?;
        tuple.end()
    }
}

struct RelayedPacketVisitor;

impl<'de> Visitor<'de> for RelayedPacketVisitor {
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
        deserializer.deserialize_tuple(RELAYED_PACKET_FIELDS, RelayedPacketVisitor)
    }
}

/// Body of one datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame<'a> {
    /// Relayed packet of a flow.
    #[serde(borrow)]
    Relay(RelayedPacket<'a>),
    /// Message of the control protocol.
    Control(Message),
}

impl<'a> Frame<'a> {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Malformed`] if the frame cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_stdvec(self).map_err(|err| MessageError::Malformed(err.to_string()))
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Malformed`] if the bytes are not a valid frame.
    pub fn decode(buf: &'a [u8]) -> Result<Self, MessageError> {
        postcard::from_bytes(buf).map_err(|err| MessageError::Malformed(err.to_string()))
    }
}
