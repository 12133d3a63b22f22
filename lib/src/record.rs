//! Records that operators declare: services, targets and data centres.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::flow::Protocol;
use crate::ids::{DataCentreId, ServiceId, TargetId};

/// Newest schema version that this build can read and write.
pub const SCHEMA_VERSION: u32 = 2;

/// Fields of a record that this build does not know, by name. A write keeps them, so that an older
/// build does not remove the fields of a newer schema.
pub type UnknownFields = BTreeMap<String, Value>;

copy_type! {
    /// Kind of a record.
    #[serde(rename_all = "snake_case")]
    pub enum RecordKind {
        /// Kind of a [`Service`] record.
        Service,
        /// Kind of a [`Target`] record.
        Target,
        /// Kind of a [`DataCentre`] record.
        DataCentre,
    }

    /// Whether a target accepts new flows and requests.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetState {
        /// Accepts new flows and requests.
        #[default]
        Active,
        /// Receives no new flows or requests; the open ones may finish.
        Leaving,
    }

    /// Whether a data centre is in service. Operators set the state.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum DataCentreState {
        /// In service: its targets may receive traffic.
        #[default]
        In,
        /// Out of service: receives no packets, and the flows to its targets are abandoned.
        Out,
    }

    /// Precedence of a service's traffic. Under overload, traffic of a lower precedence is shed first.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Precedence {
        /// Live feeds and watches; the highest precedence.
        Live,
        /// Requests whose response a person is waiting for; the middle precedence.
        #[default]
        Interactive,
        /// Downloads and other bulk transfers; the lowest precedence, with a guaranteed minimum share.
        Bulk,
    }

    /// Address and protocol at which callers reach a service.
    pub struct ServiceAddress {
        /// Transport protocol.
        pub protocol: Protocol,
        /// IP address and port.
        pub address: SocketAddr,
    }

    /// Capacity of a target right after a cold start, and the time until it has its full capacity.
    pub struct ColdStart {
        /// Maximum number of concurrent requests of a cold target.
        pub slots: u32,
        /// Maximum number of connections of a cold target.
        pub connections: u32,
        /// Duration of the slow start from cold to full capacity, in milliseconds on the wire.
        #[serde(rename = "ramp_ms", with = "crate::millis")]
        pub ramp: Duration,
    }
}

impl RecordKind {
    /// Every kind, for code that lists or watches all records.
    pub const ALL: [RecordKind; 3] =
        [RecordKind::Service, RecordKind::Target, RecordKind::DataCentre];

    /// Returns the name of the kind in the platform's object store and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            RecordKind::Service => "service",
            RecordKind::Target => "target",
            RecordKind::DataCentre => "data_centre",
        }
    }

    /// Returns the kind with a name, in which `-` may stand for `_`; `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name.replace('-', "_"))
    }
}

value_type! {
    /// A service: a set of targets that callers reach at the same addresses or host names.
    pub struct Service {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among services.
        pub name: ServiceId,
        /// Addresses at which the packet forwarder accepts the service's packets.
        #[serde(default)]
        pub addresses: Vec<ServiceAddress>,
        /// Host names that route a request to the service.
        #[serde(default)]
        pub hosts: Vec<String>,
        /// Precedence of the service's traffic.
        #[serde(default)]
        pub precedence: Precedence,
        /// Whether a request may run at most once, so that none is retried after it may have run.
        #[serde(default)]
        pub at_most_once: bool,
        /// Time limit of a request that specifies none, in milliseconds on the wire.
        #[serde(
            rename = "request_timeout_ms",
            with = "crate::millis",
            default = "default_deadline"
        )]
        pub deadline: Duration,
        /// Capacity of the service's targets after a cold start.
        #[serde(default = "default_cold_start")]
        pub cold_start: ColdStart,
        /// Data centres that may serve the service; empty means all.
        #[serde(default)]
        pub data_centres: Vec<DataCentreId>,
        /// Fields that this build does not know, such as those of a newer schema.
        #[serde(flatten)]
        pub unknown: UnknownFields,
    }

    /// A target: one backend server of one service.
    pub struct Target {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among targets.
        pub name: TargetId,
        /// Name of the service that the target belongs to.
        pub service: ServiceId,
        /// Name of the data centre that the target runs in.
        pub data_centre: DataCentreId,
        /// Address at which the target receives packets from the packet forwarder, in UDP datagrams.
        pub tunnel: SocketAddr,
        /// Address at which the target accepts HTTP requests.
        pub address: SocketAddr,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of connections.
        pub connections: u32,
        /// Weight of the target: its share of the service's flows relative to the other targets.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Whether the target accepts new flows and requests.
        #[serde(default)]
        pub state: TargetState,
        /// Fields that this build does not know, such as those of a newer schema.
        #[serde(flatten)]
        pub unknown: UnknownFields,
    }

    /// A data centre, in which targets and instances run.
    pub struct DataCentre {
        /// Schema version that the record was written with.
        pub schema_version: u32,
        /// Name, unique among data centres.
        pub name: DataCentreId,
        /// Region that the data centre belongs to.
        pub region: String,
        /// Whether the data centre is in service.
        #[serde(default)]
        pub state: DataCentreState,
        /// Reason for the state, as given by the operator; empty if none was given.
        #[serde(default)]
        pub reason: String,
        /// Operator who last changed the state; empty if unknown.
        #[serde(default)]
        pub operator: String,
        /// Fields that this build does not know, such as those of a newer schema.
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
