//! Settings files of test instances on loopback.

use std::net::SocketAddr;

/// Key of the flow hash in every test deployment, in hexadecimal digits.
pub const FLOW_KEY: &str = "000102030405060708090a0b0c0d0e0f";
/// Key that authenticates messages between instances in every test deployment, in hexadecimal
/// digits.
pub const PEER_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Addresses in the settings of an instance whose packet format carries cookies.
#[derive(Clone, Debug)]
pub struct CookieAddresses {
    /// Address on which the packet forwarder listens.
    pub flow: SocketAddr,
    /// Address for messages between instances.
    pub peer: SocketAddr,
    /// Address at which other instances reach `peer`; `None` when it is `peer` itself.
    pub peer_advertised: Option<SocketAddr>,
    /// Address on which the instance serves metrics, health checks and status.
    pub admin: SocketAddr,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Peer addresses that the instance contacts after its start to discover the others.
    pub seeds: Vec<SocketAddr>,
}

/// Returns the text of a settings file for a packet format with cookies. The text ends in the
/// section `[flows]`, so that callers can append further keys of that section.
pub fn cookie_text(name: &str, data_centre: &str, addresses: &CookieAddresses) -> String {
    let CookieAddresses { flow, peer, peer_advertised, admin, platform, seeds } = addresses;
    let advertised = peer_advertised.map_or_else(String::new, |it| it.to_string());
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    format!(
        "[instance]\nname = {name}\ndata_centre = {data_centre}\n\
         [listen]\nflow = {flow}\npeer = {peer}\npeer_advertised = {advertised}\n\
         admin = {admin}\n\
         [platform]\nurl = http://{platform}\napi = objects\n\
         [peers]\nseeds = {}\n\
         [keys]\nflow = {FLOW_KEY}\npeer = {PEER_KEY}\n\
         [flows]\nform = echo\n",
        seeds.join(",")
    )
}

/// Returns the text of a settings file for the packet format `ip`. The operating system chooses all
/// ports.
pub fn text(name: &str, data_centre: &str, platform: SocketAddr, egress: SocketAddr) -> String {
    format!(
        "[instance]\nname = {name}\ndata_centre = {data_centre}\n\
         [listen]\nflow = 127.0.0.1:0\npeer = 127.0.0.1:0\nrequest = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n\
         [fabric]\negress = {egress}\n\
         [platform]\nurl = http://{platform}\n\
         [keys]\nflow = {FLOW_KEY}\npeer = {PEER_KEY}\n"
    )
}
