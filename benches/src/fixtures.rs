//! Views, configurations, packets and flows of a given size, as input of benchmarks.

use std::net::SocketAddr;
use std::sync::Arc;

use hollyhead::config::Config;
use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::packet::{Control, PacketInfo};
use hollyhead::platform::Object;
use hollyhead::view::{Member, MemberState, View};
use testutils::records;

/// Number of data centres in a region.
pub const DATA_CENTRES: usize = 4;

/// Returns the name of data centre `number`, which wraps at [`DATA_CENTRES`].
pub fn data_centre(number: usize) -> String {
    format!("dc-{}", number % DATA_CENTRES)
}

/// Returns a view of `count` instances, spread over `data_centres` data centres.
pub fn view(count: usize, data_centres: usize) -> Arc<View> {
    let member = |number: usize| Member {
        id: format!("entry-{number:05}").into(),
        data_centre: data_centre(number % data_centres).into(),
        peer: address(8, number, 6_081),
        request: address(8, number, 8_080),
        epoch: 1,
        incarnation: 0,
        state: MemberState::Alive,
    };
    Arc::new(View::new((0..count).map(member).collect()))
}

/// Returns an address in 10.`net`.0.0/16, or in a following /16 network if `number` exceeds 65,534.
pub fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from(([10, net + high, middle, low], port))
}

/// Returns the address of service `number`.
pub fn service_address(number: usize) -> SocketAddr {
    address(0, number, 7_000)
}

/// Returns the platform objects of `services` services and of `targets` targets in total, spread
/// evenly over the services and over `data_centres` data centres.
pub fn objects(services: usize, targets: usize, data_centres: usize) -> Vec<Object> {
    let service = |number: usize| {
        let body = records::service(&format!("service-{number}"), service_address(number));
        records::object("service", number as u64 + 1, body)
    };
    let target = |number: usize| {
        let (service, round) = (number % services, number / services);
        let (name, tunnel) = (format!("target-{number}"), address(100, number, 6_080));
        let (service, place) = (format!("service-{service}"), data_centre(round % data_centres));
        let body = records::target(&name, &service, &place, tunnel, tunnel);
        records::object("target", number as u64 + 1, body)
    };
    (0..services).map(service).chain((0..targets).map(target)).collect()
}

/// Returns the configuration that consists of `objects`.
pub fn config(objects: &[Object]) -> Arc<Config> {
    Arc::new(Config::default().apply(objects).0)
}

/// Returns a packet of the flow with the same number, without control flags.
pub fn packet(number: usize) -> PacketInfo {
    PacketInfo { key: flow(number), control: Control::default() }
}

/// Returns the key of a TCP flow to service 0. Different numbers yield different callers.
pub fn flow(number: usize) -> FlowKey {
    let port = 1_024 + (number % 60_000) as u16;
    let caller = address(200, number / 60_000, port);
    FlowKey { protocol: Protocol::Tcp, caller, service: service_address(0) }
}
