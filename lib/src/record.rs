//! Records that operators declare: services, targets and data centres.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::flow::Protocol;
use crate::ids::{DataCentreId, ServiceId, TargetId};

/// Newest schema version that this build reads and writes.
pub const SCHEMA_VERSION: u32 = 2;

/// Fields of a record that this build does not know; they are kept on write.
pub type UnknownFields = BTreeMap<String, Value>;

copy_type! {
    /// Kind of a record.
    #[serde(rename_all = "snake_case")]
    pub enum RecordKind {
        /// [`Service`].
        Service,
        /// [`Target`].
        Target,
        /// [`DataCentre`].
        DataCentre,
    }

    /// Whether a target takes new work.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetState {
        /// Takes new work.
        #[default]
        Active,
        /// Gets no new work; its open flows and requests finish.
        Leaving,
    }

    /// Whether operators have a data centre in service.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum DataCentreState {
        /// In service.
        #[default]
        In,
        /// Taken out: gets no packets, and the flows that end there are given up.
        Out,
    }

    /// Precedence of a service's traffic; the lower ones are shed first.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Precedence {
        /// Live feeds and watches.
        Live,
        /// Requests that a person waits for.
        #[default]
        Interactive,
        /// Downloads and other bulk work; keeps a guaranteed share.
        Bulk,
    }

    /// Address at which callers reach a service.
    pub struct ServiceAddress {
        /// Transport protocol.
        pub protocol: Protocol,
        /// Address and port.
        pub address: SocketAddr,
    }

    /// What a target bears right after a cold start, and how long until it bears everything.
    pub struct ColdStart {
        /// Requests at once when cold.
        pub slots: u32,
        /// Connections when cold.
        pub connections: u32,
        /// Time from cold to full capacity, in milliseconds on the wire.
        #[serde(rename = "ramp_ms", with = "crate::millis")]
        pub ramp: Duration,
    }
}

impl RecordKind {
    /// All kinds.
    pub const ALL: [RecordKind; 3] =
        [RecordKind::Service, RecordKind::Target, RecordKind::DataCentre];

    /// Returns the name of the kind in the platform and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RecordKind::Service => "service",
            RecordKind::Target => "target",
            RecordKind::DataCentre => "data_centre",
        }
    }

    /// Returns the kind with a name of the platform or of the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name.replace('-', "_"))
    }
}

value_type! {
    /// A service.
    pub struct Service {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among services.
        pub name: ServiceId,
        /// Addresses of the packet forwarder.
        #[serde(default)]
        pub addresses: Vec<ServiceAddress>,
        /// Host names by which requests name the service.
        #[serde(default)]
        pub hosts: Vec<String>,
        /// Precedence of its traffic.
        #[serde(default)]
        pub precedence: Precedence,
        /// Whether its requests may run at most once.
        #[serde(default)]
        pub at_most_once: bool,
        /// Deadline of a request that names none, in milliseconds on the wire.
        #[serde(
            rename = "request_timeout_ms",
            with = "crate::millis",
            default = "default_deadline"
        )]
        pub deadline: Duration,
        /// What its targets bear when cold.
        #[serde(default = "default_cold_start")]
        pub cold_start: ColdStart,
        /// Data centres that may serve it; empty when all may.
        #[serde(default)]
        pub data_centres: Vec<DataCentreId>,
        /// Fields of a newer schema.
        #[serde(flatten)]
        pub unknown: UnknownFields,
    }

    /// A target: one backend server of one service.
    pub struct Target {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among targets.
        pub name: TargetId,
        /// Service that the target belongs to.
        pub service: ServiceId,
        /// Data centre that the target runs in.
        pub data_centre: DataCentreId,
        /// Address that takes packets of the packet forwarder in UDP.
        pub tunnel: SocketAddr,
        /// Address that takes requests.
        pub address: SocketAddr,
        /// Requests that the target runs at once.
        pub slots: u32,
        /// Connections that the target holds.
        pub connections: u32,
        /// Share of flows relative to the service's other targets.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: TargetState,
        /// Fields of a newer schema.
        #[serde(flatten)]
        pub unknown: UnknownFields,
    }

    /// A data centre.
    pub struct DataCentre {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among data centres.
        pub name: DataCentreId,
        /// Region that the data centre lies in.
        pub region: String,
        /// Whether operators have it in service.
        #[serde(default)]
        pub state: DataCentreState,
        /// Reason that the operator gave for the state.
        #[serde(default)]
        pub reason: String,
        /// Operator who last changed the state.
        #[serde(default)]
        pub operator: String,
        /// Fields of a newer schema.
        #[serde(flatten)]
        pub unknown: UnknownFields,
    }
}

const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const DEFAULT_RAMP: Duration = Duration::from_secs(10);

fn default_deadline() -> Duration {
    DEFAULT_DEADLINE
}

fn default_cold_start() -> ColdStart {
    ColdStart { slots: 1, connections: 50, ramp: DEFAULT_RAMP }
}

fn default_weight() -> u32 {
    1
}
