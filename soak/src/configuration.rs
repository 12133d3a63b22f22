//! Configuration that the operator writes to the object store during a run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;

use crate::fault_plan::ConfigurationChange;

/// Names of the services; each has one route for the entire run.
pub const SERVICES: [&str; 2] = ["quaydesk", "rosterbook"];
/// Slow-start period of a target that is started during a run; the configuration gives it in whole
/// seconds.
pub const COLD_START_TIME: Duration = Duration::from_secs(3);
/// Number of new flows per second that a cold target accepts.
pub const COLD_FLOWS_PER_SECOND: usize = 10;
/// Number of routes that one batch adds, large enough for instances to need some hundred datagrams
/// to propagate it.
const ROUTE_BATCH_SIZE: u16 = 1_200;
const ROUTE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
/// Port of the first route that exists for the entire run.
const FIRST_PERMANENT_PORT: u16 = 8_080;
/// Port of the first route that is added during the run.
const FIRST_ADDED_PORT: u16 = 10_000;

/// Routes and services that the operator has configured.
#[derive(Debug)]
pub struct Configuration {
    version: u64,
    routes: Vec<(SocketAddrV4, SmolStr)>,
    next_port: u16,
}

impl Default for Configuration {
    /// Creates the initial configuration: one route for each service, which is never removed.
    fn default() -> Self {
        let routes = SERVICES.iter().zip(FIRST_PERMANENT_PORT..);
        let routes = routes
            .map(|(service, port)| (SocketAddrV4::new(ROUTE_IP, port), SmolStr::new(service)));
        Self { version: 0, routes: routes.collect(), next_port: FIRST_ADDED_PORT }
    }
}

impl Configuration {
    /// Returns the address and service of each route, the permanent ones first.
    pub fn routes(&self) -> &[(SocketAddrV4, SmolStr)] {
        &self.routes
    }

    /// Increments the version and returns the configuration as the JSON that the object store
    /// accepts.
    pub fn next_version(&mut self) -> Value {
        self.version += 1;
        self.spec()
    }

    /// Applies a change to the routes.
    ///
    /// Returns the address of the new route if exactly one was added.
    pub fn apply(&mut self, change: ConfigurationChange) -> Option<SocketAddrV4> {
        match change {
            ConfigurationChange::AddRoute | ConfigurationChange::Series => Some(self.add_route()),
            ConfigurationChange::AddManyRoutes => {
                (0..ROUTE_BATCH_SIZE).for_each(|_| {
                    self.add_route();
                });
                None
            }
            ConfigurationChange::RemoveRoute => {
                if self.routes.len() > SERVICES.len() {
                    self.routes.remove(SERVICES.len());
                }
                None
            }
        }
    }

    fn add_route(&mut self) -> SocketAddrV4 {
        let address = SocketAddrV4::new(ROUTE_IP, self.next_port);
        self.next_port = self.next_port.wrapping_add(1).max(FIRST_ADDED_PORT);
        self.routes.push((address, SERVICES[0].into()));
        address
    }

    fn spec(&self) -> Value {
        let route = |(address, service): &(SocketAddrV4, SmolStr)| {
            json!({
                "name": format!("r{}", address.port()),
                "hostname": address.ip(),
                "path-prefix": format!("/{}/", address.port()),
                "type": "unsafe",
                "timeout-ms": 5_000,
                "aim-ms": 200,
                "priority": 0,
                "service": service,
            })
        };
        let service = |name: &&str| {
            json!({
                "name": name,
                "health-path": "/healthz",
                "cold-start-s": COLD_START_TIME.as_secs(),
                "cold-per-s": COLD_FLOWS_PER_SECOND,
            })
        };
        json!({
            "version": self.version,
            "routes": self.routes.iter().map(route).collect::<Vec<_>>(),
            "services": SERVICES.iter().map(service).collect::<Vec<_>>(),
            "limits": { "idle-timeout-ms": 30_000 },
        })
    }
}
