//! Records of the platform that the flow door with cookies follows: routes, services,
//! registrations of targets, and data centres that are taken out.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{DataCentreId, RouteId, ServiceId, TargetId, TargetToken, Version};

copy_type! {
    /// Part of the directory; each is read, spread and known to be complete by itself.
    pub enum Part {
        /// Routes, their services and the limits of flows.
        Routing,
        /// Registrations of targets.
        Targets,
        /// Data centres that are taken out.
        Outages,
    }

    /// What a target says of itself.
    pub enum RegistrationState {
        /// Takes new flows.
        Ready,
        /// Finishes its flows, and takes no new ones.
        Draining,
        /// Is no longer registered; packets of its open flows still go there.
        Gone,
    }
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 3] = [Part::Routing, Part::Targets, Part::Outages];

    /// Returns the kind of the part's objects in the platform.
    pub fn kind(self) -> &'static str {
        match self {
            Part::Routing => "routing",
            Part::Targets => "registration",
            Part::Outages => "outage",
        }
    }
}

value_type! {
    /// Share of a route's new flows that a service gets.
    pub struct ServiceShare {
        /// Service.
        pub service: ServiceId,
        /// Share, relative to the route's other services.
        pub weight: u32,
    }

    /// Where the new flows of an address go.
    pub struct Route {
        /// Name.
        pub name: RouteId,
        /// Address that callers open flows to.
        pub address: SocketAddrV4,
        /// Services that get the route's new flows.
        pub services: Vec<ServiceShare>,
        /// Precedence; 0 is highest.
        pub precedence: u8,
        /// Whether the requests inside may be repeated.
        pub is_idempotent: bool,
        /// Time after which a request inside is given up, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub timeout: Duration,
    }

    /// A service of the routing.
    pub struct RoutedService {
        /// Name.
        pub name: ServiceId,
        /// Path of its targets' health checks.
        pub health_path: SmolStr,
        /// Time for which a target is cold after its start, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub cold_time: Duration,
        /// New flows a second that a cold target bears.
        pub cold_flows_per_second: u32,
    }

    /// Limits that hold for all flows.
    pub struct FlowLimits {
        /// Time without packets after which a flow may be forgotten, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub idle_timeout: Duration,
    }

    /// The routing as one document.
    pub struct Routing {
        /// Version that the operator gave to it.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub services: Vec<RoutedService>,
        /// Limits.
        pub limits: FlowLimits,
    }

    /// What a target has registered.
    pub struct Registration {
        /// Name of the target.
        pub target: TargetId,
        /// Number that tells the target that a datagram is meant for it.
        pub token: TargetToken,
        /// Service that the target runs.
        pub service: ServiceId,
        /// Address for datagrams and health checks.
        pub address: SocketAddr,
        /// Data centre that the target runs in.
        pub data_centre: DataCentreId,
        /// State.
        pub state: RegistrationState,
        /// Requests that the target runs at once.
        pub slots: u32,
        /// Time for which the target stays cold, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub cold_left: Duration,
        /// Unix time of the target's start, in milliseconds; 0 when it is not told.
        pub started: u64,
    }

    /// Contents of a record.
    pub enum RecordBody {
        /// Version of the routing that is in force.
        RoutingVersion(u64),
        /// A route.
        Route(Route),
        /// A service.
        Service(RoutedService),
        /// Limits of flows.
        Limits(FlowLimits),
        /// A registration.
        Registration(Registration),
        /// A data centre that is taken out.
        Outage,
    }

    /// One entry of a part of the directory.
    pub struct DirectoryRecord {
        /// Name, unique within the part.
        pub name: SmolStr,
        /// Version of the store at which the record changed.
        pub version: Version,
        /// Contents; `None` when the record was removed.
        pub body: Option<RecordBody>,
    }
}

impl DirectoryRecord {
    /// Tells whether the store no longer has the entry.
    pub fn is_removed(&self) -> bool {
        is_removed(self.body.as_ref())
    }
}

/// Tells whether contents stand for an entry that the store no longer has.
pub fn is_removed(body: Option<&RecordBody>) -> bool {
    match body {
        None => true,
        Some(RecordBody::Registration(it)) => it.state == RegistrationState::Gone,
        Some(_) => false,
    }
}

impl Routing {
    /// Splits the document into records of one version each.
    pub fn into_records(self) -> Vec<(SmolStr, RecordBody)> {
        let routes = self.routes.into_iter();
        let routes = routes
            .map(|route| (SmolStr::new(format!("route/{}", route.name)), RecordBody::Route(route)));
        let services = self.services.into_iter();
        let services = services.map(|service| {
            (SmolStr::new(format!("service/{}", service.name)), RecordBody::Service(service))
        });
        let single = [
            (SmolStr::new_static("version"), RecordBody::RoutingVersion(self.version)),
            (SmolStr::new_static("limits"), RecordBody::Limits(self.limits)),
        ];
        routes.chain(services).chain(single).collect()
    }
}
