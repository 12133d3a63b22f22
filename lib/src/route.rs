//! Directory records that the packet forwarder uses: routes, services, registrations of targets,
//! and data centres that are out of service.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use smol_str::{format_smolstr, SmolStr};

use crate::ids::{DataCentreId, RouteId, ServiceId, TargetId, TargetToken, Version};

copy_type! {
    /// Part of the directory. Each part is read, replicated and tracked for completeness on its
    /// own.
    pub enum Part {
        /// Routes, their services, and the limits on flows.
        Routing,
        /// Registrations of targets.
        Targets,
        /// Data centres that are out of service.
        Outages,
    }

    /// State of a target in its registration.
    pub enum RegistrationState {
        /// The target accepts new flows.
        Ready,
        /// The target finishes its open flows and accepts no new ones.
        Draining,
        /// The target is no longer registered. Packets of its open flows are still forwarded to it.
        Gone,
    }
}

impl Part {
    /// All parts, in the order in which instances list their versions of them.
    pub const ALL: [Part; 3] = [Part::Routing, Part::Targets, Part::Outages];

    /// Returns the kind of the platform objects that make up the part.
    pub fn kind(self) -> &'static str {
        match self {
            Part::Routing => "routing",
            Part::Targets => "registration",
            Part::Outages => "outage",
        }
    }
}

value_type! {
    /// Service of a route, with its share of the route's new flows.
    pub struct ServiceShare {
        /// Service that gets the flows.
        pub service: ServiceId,
        /// Weight relative to the route's other services.
        pub weight: u32,
    }

    /// Mapping from an address to the services that get its new flows.
    pub struct Route {
        /// Name of the route, which the name of its record contains.
        pub name: RouteId,
        /// Address that callers open flows to.
        pub address: SocketAddrV4,
        /// Services among which new flows are divided; new flows are refused if there are none.
        pub services: Vec<ServiceShare>,
        /// Precedence of the route, from 0 (highest) to 255.
        pub precedence: u8,
        /// Whether the requests in the route's flows are idempotent, so that callers may retry
        /// them.
        pub is_idempotent: bool,
        /// Timeout of a request in the route's flows, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub timeout: Duration,
        /// Latency objective of a request in the route's flows, in milliseconds on the wire; zero if
        /// the operator set none.
        #[serde(default, with = "crate::millis")]
        pub aim: Duration,
    }

    /// Route as builds encode it that know no latency objectives. Decoded only, so that instances
    /// of both builds can run side by side.
    pub struct LegacyRoute {
        /// See [`Route::name`].
        pub name: RouteId,
        /// See [`Route::address`].
        pub address: SocketAddrV4,
        /// See [`Route::services`].
        pub services: Vec<ServiceShare>,
        /// See [`Route::precedence`].
        pub precedence: u8,
        /// See [`Route::is_idempotent`].
        pub is_idempotent: bool,
        /// See [`Route::timeout`].
        #[serde(with = "crate::millis")]
        pub timeout: Duration,
    }

    /// Settings of a service that routes refer to.
    pub struct RoutedService {
        /// Name by which routes and registrations refer to the service.
        pub name: ServiceId,
        /// URL path that health checks of its targets request.
        pub health_path: SmolStr,
        /// Length of the cold start of a target, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub cold_time: Duration,
        /// Capacity of a cold target, in new flows per second.
        pub cold_flows_per_second: u32,
    }

    /// Limits that apply to all flows.
    pub struct FlowLimits {
        /// Time without packets after which a flow may be dropped, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub idle_timeout: Duration,
    }

    /// Routing document of the operator, which the platform stores as one object.
    pub struct Routing {
        /// Version that the operator assigned to the document.
        pub version: u64,
        /// Routes in the order of the document.
        pub routes: Vec<Route>,
        /// Services in the order of the document.
        pub services: Vec<RoutedService>,
        /// Limits on the flows of all routes.
        pub limits: FlowLimits,
    }

    /// Registration of a target.
    pub struct Registration {
        /// Name of the target, unique in the deployment.
        pub target: TargetId,
        /// Token by which the target recognises the datagrams that are addressed to it.
        pub token: TargetToken,
        /// Service that the target runs.
        pub service: ServiceId,
        /// Address that receives the target's datagrams and health checks.
        pub address: SocketAddr,
        /// Data centre that the target runs in.
        pub data_centre: DataCentreId,
        /// Whether the target accepts new flows, drains, or is gone.
        pub state: RegistrationState,
        /// Number of requests that the target can run concurrently.
        pub slots: u32,
        /// Remaining time of the target's cold start, in milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub cold_left: Duration,
        /// Unix time of the target's start, in milliseconds; 0 if unknown.
        pub started: u64,
    }

    /// Contents of a directory record.
    pub enum RecordBody {
        /// Version of the routing in force, as assigned by the operator.
        RoutingVersion(u64),
        /// Route of the routing document, from an instance of a build that knows no latency
        /// objectives.
        Route(LegacyRoute),
        /// Service of the routing document.
        Service(RoutedService),
        /// Limits of the routing document.
        Limits(FlowLimits),
        /// Registration of the target that the record is named after.
        Registration(Registration),
        /// The data centre that the record is named after is out of service.
        Outage,
        /// Route of the routing document.
        AimedRoute(Route),
    }

    /// Record of a part of the directory.
    pub struct DirectoryRecord {
        /// Name of the record, unique within the part.
        pub name: SmolStr,
        /// Version of the object store at which the record last changed.
        pub version: Version,
        /// Contents; `None` if the record was removed.
        pub body: Option<RecordBody>,
    }
}

impl From<LegacyRoute> for Route {
    fn from(route: LegacyRoute) -> Self {
        Self {
            name: route.name,
            address: route.address,
            services: route.services,
            precedence: route.precedence,
            is_idempotent: route.is_idempotent,
            timeout: route.timeout,
            aim: Duration::ZERO,
        }
    }
}

impl DirectoryRecord {
    /// Returns whether the object store no longer has the record.
    pub fn is_removed(&self) -> bool {
        is_removed(self.body.as_ref())
    }
}

/// Returns whether the object of a record was removed from the object store. This is so if the
/// record has no body, or if it is the registration of a target that is gone.
pub fn is_removed(body: Option<&RecordBody>) -> bool {
    match body {
        None => true,
        Some(RecordBody::Registration(registration)) => {
            registration.state == RegistrationState::Gone
        }
        Some(_) => false,
    }
}

/// Name of the record that holds the version of the routing document.
pub const ROUTING_VERSION_RECORD: &str = "version";

/// Returns whether a routing document is older than the one in force, to which it then yields.
pub fn is_older_document(version: u64, in_force: u64) -> bool {
    version < in_force
}

impl Routing {
    /// Returns the document that consists of `records`, or `None` if they have no version or no
    /// limits. Inverse of [`Routing::into_records`], except that the order of the routes and of the
    /// services is that of the records.
    pub fn from_records<'a>(records: impl Iterator<Item = &'a RecordBody>) -> Option<Self> {
        let (mut version, mut limits) = (None, None);
        let (mut routes, mut services) = (Vec::new(), Vec::new());
        for body in records {
            match body {
                RecordBody::RoutingVersion(number) => version = Some(*number),
                RecordBody::Limits(found) => limits = Some(found.clone()),
                RecordBody::AimedRoute(route) => routes.push(route.clone()),
                RecordBody::Route(route) => routes.push(route.clone().into()),
                RecordBody::Service(service) => services.push(service.clone()),
                RecordBody::Registration(_) | RecordBody::Outage => {}
            }
        }
        Some(Self { version: version?, routes, services, limits: limits? })
    }

    /// Splits the document into named records: one for each route, one for each service, one for
    /// the version, and one for the limits.
    pub fn into_records(self) -> Vec<(SmolStr, RecordBody)> {
        let routes = self.routes.into_iter();
        let routes = routes
            .map(|route| (format_smolstr!("route/{}", route.name), RecordBody::AimedRoute(route)));
        let services = self.services.into_iter();
        let services = services.map(|service| {
            (SmolStr::new(format!("service/{}", service.name)), RecordBody::Service(service))
        });
        let single = [
            (SmolStr::new_static(ROUTING_VERSION_RECORD), RecordBody::RoutingVersion(self.version)),
            (SmolStr::new_static("limits"), RecordBody::Limits(self.limits)),
        ];
        routes.chain(services).chain(single).collect()
    }
}
