//! Settings of instances on loopback.

use std::net::SocketAddr;

/// Key that flows are hashed with, in every deployment of stand-ins.
pub const FLOW_KEY: &str = "000102030405060708090a0b0c0d0e0f";
/// Key of messages between instances, in every deployment of stand-ins.
pub const PEER_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Where an instance of the form with cookies listens, and whom it asks.
#[derive(Clone, Debug)]
pub struct CookieAddresses {
    /// Packet forwarder.
    pub flow: SocketAddr,
    /// Messages of other instances.
    pub peer: SocketAddr,
    /// Address at which others reach that one, where it differs.
    pub peer_advertised: Option<SocketAddr>,
    /// Metrics, readiness and status.
    pub admin: SocketAddr,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Instances to ask for others.
    pub seeds: Vec<SocketAddr>,
}

/// Returns the text of a settings file for the form with cookies. It ends in the section `flows`.
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

/// Returns the text of a settings file; the system chooses all ports.
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
