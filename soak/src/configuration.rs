//! The operator's configuration in a run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use serde_json::{json, Value};
use smol_str::SmolStr;

use crate::fault_plan::Change;

/// Names of the services.
pub const SERVICES: [&str; 2] = ["quaydesk", "rosterbook"];
/// Time for which a target that started in a run is cold.
pub const COLD_TIME: Duration = Duration::from_secs(3);
/// New flows a second that a cold target bears.
pub const COLD_FLOWS_PER_SECOND: usize = 10;
/// Routes that are added at once when many are: some hundred datagrams between instances.
const MANY_ROUTES: u16 = 1_200;
const ROUTE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
/// Ports of the routes that stay, and of those that are added, from here on.
const FIRST_PORT: u16 = 8_080;
const FIRST_EXTRA_PORT: u16 = 10_000;

/// Routes and services as the operator wants them.
#[derive(Debug)]
pub struct Configuration {
    version: u64,
    routes: Vec<(SocketAddrV4, SmolStr)>,
    next_port: u16,
}

impl Default for Configuration {
    /// Returns the configuration of the start: one route for each service, which stays.
    fn default() -> Self {
        let routes = SERVICES.iter().zip(FIRST_PORT..);
        let routes = routes
            .map(|(service, port)| (SocketAddrV4::new(ROUTE_IP, port), SmolStr::new(service)));
        Self { version: 0, routes: routes.collect(), next_port: FIRST_EXTRA_PORT }
    }
}

impl Configuration {
    /// Returns the routes.
    pub fn routes(&self) -> &[(SocketAddrV4, SmolStr)] {
        &self.routes
    }

    /// Returns the next version as the store takes it.
    pub fn advance(&mut self) -> Value {
        self.version += 1;
        self.spec()
    }

    /// Changes the routes; returns the address of one that was added alone.
    pub fn change(&mut self, change: Change) -> Option<SocketAddrV4> {
        match change {
            Change::AddRoute | Change::Series => Some(self.add_route()),
            Change::AddManyRoutes => {
                (0..MANY_ROUTES).for_each(|_| {
                    self.add_route();
                });
                None
            }
            Change::DropRoute => {
                if self.routes.len() > SERVICES.len() {
                    self.routes.remove(SERVICES.len());
                }
                None
            }
        }
    }

    fn add_route(&mut self) -> SocketAddrV4 {
        let address = SocketAddrV4::new(ROUTE_IP, self.next_port);
        self.next_port = self.next_port.wrapping_add(1).max(FIRST_EXTRA_PORT);
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
                "cold-start-s": COLD_TIME.as_secs(),
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
