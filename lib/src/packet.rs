//! Parsing and building of the IP packets that the packet forwarder carries.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    IpHeaders, NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket, TcpSlice, TransportSlice,
};
use thiserror::Error;

use crate::flow::{FlowKey, Protocol};

/// Largest IP packet that the packet forwarder accepts, in bytes.
pub const MAX_PACKET_BYTES: usize = 9_000;

/// Reason why a buffer is not a packet that the packet forwarder can steer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The buffer does not hold a complete IP packet.
    #[error("malformed IP packet: {0}")]
    Malformed(String),
    /// The packet is longer than [`MAX_PACKET_BYTES`].
    #[error("packet of {0} bytes exceeds the limit of {max} bytes", max = MAX_PACKET_BYTES)]
    TooLong(usize),
    /// The packet is an IP fragment. Only the first fragment of a datagram carries the ports.
    #[error("fragmented IP packet")]
    Fragment,
    /// The payload is neither TCP nor UDP.
    #[error("transport protocol is neither TCP nor UDP")]
    Transport,
}

copy_type! {
    /// TCP control bits that steering reads; all false for UDP.
    #[derive(Default)]
    pub struct Control {
        /// The packet opens a connection (SYN without ACK).
        pub opens: bool,
        /// The sender has no more data (FIN).
        pub finishes: bool,
        /// The packet aborts the connection (RST).
        pub resets: bool,
    }
}

/// The header fields of a packet that steering reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketInfo {
    /// Flow of the packet, with the source as the caller and the destination as the service.
    pub key: FlowKey,
    /// TCP control bits; all false for UDP.
    pub control: Control,
}

/// Parses an IP packet.
///
/// # Errors
///
/// Returns the reason why the packet cannot be steered. The packet forwarder drops and counts such
/// packets.
pub fn parse(buf: &[u8]) -> Result<PacketInfo, PacketError> {
    if buf.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong(buf.len()));
    }
    let sliced =
        SlicedPacket::from_ip(buf).map_err(|err| PacketError::Malformed(err.to_string()))?;
    let (source, destination) = addresses(sliced.net.as_ref())?;
    let (protocol, ports, control) = transport(sliced.transport.as_ref())?;
    let key = FlowKey {
        protocol,
        caller: SocketAddr::new(source, ports.0),
        service: SocketAddr::new(destination, ports.1),
    };
    Ok(PacketInfo { key, control })
}

fn addresses(net: Option<&NetSlice<'_>>) -> Result<(IpAddr, IpAddr), PacketError> {
    match net {
        Some(NetSlice::Ipv4(ip)) => {
            if ip.is_payload_fragmented() {
                return Err(PacketError::Fragment);
            }
            let header = ip.header();
            Ok((header.source_addr().into(), header.destination_addr().into()))
        }
        Some(NetSlice::Ipv6(ip)) => {
            if ip.is_payload_fragmented() {
                return Err(PacketError::Fragment);
            }
            let header = ip.header();
            Ok((header.source_addr().into(), header.destination_addr().into()))
        }
        _ => Err(PacketError::Malformed("no IP header".into())),
    }
}

type TransportInfo = (Protocol, (u16, u16), Control);

fn transport(slice: Option<&TransportSlice<'_>>) -> Result<TransportInfo, PacketError> {
    match slice {
        Some(TransportSlice::Tcp(tcp)) => {
            let control =
                Control { opens: tcp.syn() && !tcp.ack(), finishes: tcp.fin(), resets: tcp.rst() };
            Ok((Protocol::Tcp, (tcp.source_port(), tcp.destination_port()), control))
        }
        Some(TransportSlice::Udp(udp)) => {
            let ports = (udp.source_port(), udp.destination_port());
            Ok((Protocol::Udp, ports, Control::default()))
        }
        _ => Err(PacketError::Transport),
    }
}

const TCP_WINDOW_BYTES: u16 = 65_535;
const IP_TTL: u8 = 64;

/// Builds an IP packet of a flow, from the caller to the service. A TCP packet carries an ACK
/// unless it opens the connection.
///
/// # Errors
///
/// Returns [`PacketError::Malformed`] if the addresses of the caller and the service are of
/// different families, or if the payload is too long for the packet.
pub fn build(key: &FlowKey, control: Control, payload: &[u8]) -> Result<Vec<u8>, PacketError> {
    let ip = ip_header(key)?;
    let mut buf = Vec::new();
    let written = match key.protocol {
        Protocol::Udp => ip.udp(key.caller.port(), key.service.port()).write(&mut buf, payload),
        Protocol::Tcp => {
            let mut tcp = ip.tcp(key.caller.port(), key.service.port(), 0, TCP_WINDOW_BYTES);
            tcp = if control.opens { tcp.syn() } else { tcp.ack(0) };
            tcp = if control.finishes { tcp.fin() } else { tcp };
            tcp = if control.resets { tcp.rst() } else { tcp };
            tcp.write(&mut buf, payload)
        }
    };
    written.map_err(|err| PacketError::Malformed(err.to_string()))?;
    Ok(buf)
}

/// Builds the TCP reset that answers the TCP packet in `buf`. Returns `None` if `buf` is not a TCP
/// packet, or is a reset itself.
pub fn reset_to_sender(buf: &[u8]) -> Option<Vec<u8>> {
    let sliced = SlicedPacket::from_ip(buf).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else { return None };
    let key = parse(buf).ok()?.key.reversed();
    if tcp.rst() {
        return None;
    }
    // RFC 9293, section 3.10.7.1: the reset takes its sequence number from the acknowledgment of
    // the packet. Without an acknowledgment it has sequence number 0 and acknowledges the packet.
    let end = tcp.sequence_number().wrapping_add(segment_len(tcp));
    if tcp.ack() {
        return reset(&key, tcp.acknowledgment_number(), None);
    }
    reset(&key, 0, Some(end))
}

/// Builds a TCP reset that the receiver of the TCP packet in `buf` gets in its place. The reset
/// carries the packet's sequence and acknowledgment numbers. Returns `None` if `buf` is not a TCP
/// packet, or is a reset itself.
pub fn reset_to_receiver(buf: &[u8]) -> Option<Vec<u8>> {
    let sliced = SlicedPacket::from_ip(buf).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else { return None };
    let key = parse(buf).ok()?.key;
    let acknowledged = tcp.ack().then(|| tcp.acknowledgment_number());
    if tcp.rst() {
        return None;
    }
    reset(&key, tcp.sequence_number(), acknowledged)
}

fn segment_len(tcp: &TcpSlice<'_>) -> u32 {
    let payload = u32::try_from(tcp.payload().len()).unwrap_or(u32::MAX);
    payload + u32::from(tcp.syn()) + u32::from(tcp.fin())
}

fn reset(key: &FlowKey, sequence: u32, acknowledged: Option<u32>) -> Option<Vec<u8>> {
    let ip = ip_header(key).ok()?;
    let mut tcp = ip.tcp(key.caller.port(), key.service.port(), sequence, 0).rst();
    if let Some(acknowledged) = acknowledged {
        tcp = tcp.ack(acknowledged);
    }
    let mut buf = Vec::new();
    tcp.write(&mut buf, &[]).ok()?;
    Some(buf)
}

fn ip_header(key: &FlowKey) -> Result<PacketBuilderStep<IpHeaders>, PacketError> {
    match (key.caller.ip(), key.service.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Ok(PacketBuilder::ipv4(from.octets(), to.octets(), IP_TTL))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Ok(PacketBuilder::ipv6(from.octets(), to.octets(), IP_TTL))
        }
        _ => Err(PacketError::Malformed(
            "caller and service have addresses of different families".into(),
        )),
    }
}
