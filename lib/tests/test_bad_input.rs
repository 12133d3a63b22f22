//! Malformed packets and frames never cause a panic, and well-formed ones parse back to the values
//! that they were built from.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use hollyhead::flow::{FlowKey, Protocol};
use hollyhead::flow_messages::Step;
use hollyhead::message::{Frame, RelayedPacket};
use hollyhead::packet::{self, Control, PacketError, MAX_PACKET_BYTES};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn key() -> FlowKey {
    FlowKey {
        protocol: Protocol::Tcp,
        caller: "192.0.2.1:40000".parse().unwrap(),
        service: "10.0.0.1:7000".parse().unwrap(),
    }
}

fn any_key() -> impl Strategy<Value = FlowKey> {
    (any::<[u8; 4]>(), any::<u16>(), any::<[u8; 4]>(), any::<u16>(), any::<bool>()).prop_map(
        |(caller, caller_port, service, service_port, is_tcp)| FlowKey {
            protocol: if is_tcp { Protocol::Tcp } else { Protocol::Udp },
            caller: SocketAddr::from((caller, caller_port)),
            service: SocketAddr::from((service, service_port)),
        },
    )
}

#[test]
fn parse_random_bytes_never_panics() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    runner()
        .run(&bytes, |buf| {
            let _ = packet::parse(&buf);
            let _ = Frame::decode(&buf);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parse_damaged_packet_never_panics() {
    let good = packet::build(&key(), Control::default(), b"payload").unwrap();
    let damage = (0..good.len(), any::<u8>(), 0..=good.len());
    runner()
        .run(&damage, |(at, byte, len)| {
            let mut buf = good.clone();
            buf[at] = byte;
            buf.truncate(len);
            let _ = packet::parse(&buf);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parse_built_packet_gives_its_key() {
    runner()
        .run(&any_key(), |key| {
            let buf = packet::build(&key, Control::default(), b"payload").unwrap();
            prop_assert_eq!(packet::parse(&buf).unwrap().key, key);
            Ok(())
        })
        .unwrap();
}

#[test]
fn parse_fragment_is_refused() {
    let mut buf = packet::build(&key(), Control::default(), b"payload").unwrap();
    buf[6] |= 0x20;
    assert_eq!(packet::parse(&buf), Err(PacketError::Fragment));
}

#[test]
fn parse_oversized_packet_is_refused() {
    let buf = vec![0x45; MAX_PACKET_BYTES + 1];
    assert_eq!(packet::parse(&buf), Err(PacketError::TooLong(MAX_PACKET_BYTES + 1)));
}

#[test]
fn decode_encoded_relay_is_the_same() {
    let packet = prop::collection::vec(any::<u8>(), 0..100);
    runner()
        .run(&(any::<u8>(), any::<u64>(), packet), |(hops, view, packet)| {
            let frame =
                Frame::Relay(RelayedPacket { hops, view, step: Step::Steer, packet: &packet });
            let buf = frame.encode().unwrap();
            prop_assert_eq!(Frame::decode(&buf).unwrap(), frame);
            Ok(())
        })
        .unwrap();
}
