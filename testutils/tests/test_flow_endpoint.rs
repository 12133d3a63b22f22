//! Tests that byte streams between stand-in endpoints stay intact over a link that loses and
//! reorders packets, and that corrupted packets and answers are detected. A fault here would be
//! mistaken for a fault of hollyhead.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};
use testutils::echo_packet::{EchoPacket, PacketOrigin};
use testutils::flow_endpoint::{FlowEndpoint, OutgoingSegment};
use testutils::flow_message::{take_answer, AnswerState, FlowRequest};
use tokio::time::Instant;

const SENDER_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), 1);
const RECEIVER_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), 2);
const TIME_STEP: Duration = Duration::from_millis(10);

fn packet(segment: OutgoingSegment) -> EchoPacket {
    let OutgoingSegment { flags, seq, ack, data } = segment;
    EchoPacket { from: SENDER_ADDRESS, to: RECEIVER_ADDRESS, flags, echo: 7, seq, ack, data }
}

/// Transfers `bytes` over a link that loses one packet in `packets_per_loss` and reorders some.
/// Returns the received bytes and whether both endpoints closed.
fn transfer(bytes: &[u8], packets_per_loss: u64, seed: u64) -> (Vec<u8>, bool) {
    let random = SeededRandom::new(seed);
    let (mut sender, mut receiver) = (FlowEndpoint::new(100, 900), FlowEndpoint::new(900, 100));
    sender.write(bytes);
    sender.finish();
    receiver.finish();
    let mut now = Instant::now();
    let mut received = Vec::new();
    let mut wire: VecDeque<(bool, EchoPacket)> = VecDeque::new();
    for _ in 0..3_000 {
        wire.extend(sender.poll(now).into_iter().map(|segment| (true, packet(segment))));
        wire.extend(receiver.poll(now).into_iter().map(|segment| (false, packet(segment))));
        if wire.len() > 1 && random.below(5) == 0 {
            wire.swap(0, 1);
        }
        for (is_to_receiver, packet) in wire.drain(..) {
            if random.below(packets_per_loss) == 0 {
                continue;
            }
            let endpoint = if is_to_receiver { &mut receiver } else { &mut sender };
            endpoint.on_packet(&packet, now);
        }
        received.extend(receiver.take_received());
        now += TIME_STEP;
    }
    (received, sender.is_closed() && receiver.is_closed())
}

#[test]
fn stream_over_a_lossy_link_arrives_whole() {
    let bytes: Vec<u8> = (0..80_000_u32).map(|index| (index * 31) as u8).collect();
    for seed in 0..20 {
        let (received, is_closed) = transfer(&bytes, 8, seed);
        assert!(received == bytes, "seed {seed}: {} bytes of {}", received.len(), bytes.len());
        assert!(is_closed, "seed {seed}");
    }
}

#[test]
fn stream_without_bytes_closes() {
    assert_eq!(transfer(&[], 4, 1), (Vec::new(), true));
}

#[test]
fn packet_changed_on_its_way_is_refused() {
    let mut buf = packet(OutgoingSegment { flags: 16, seq: 5, ack: 6, data: vec![1, 2] }).encode();
    assert_eq!(EchoPacket::decode(&buf).unwrap().1, PacketOrigin::Endpoint);
    buf[28] ^= 1;
    assert!(EchoPacket::decode(&buf).is_ok(), "the checksum covers the echo");
    buf[33] ^= 1;
    assert!(EchoPacket::decode(&buf).is_err());
}

#[test]
fn answer_is_complete_only_when_every_byte_matches() {
    let req = FlowRequest { id: 9, work_ms: 1, answer_bytes: 5_000, body_bytes: 0 };
    let mut stream = req.answer();
    let last = stream.pop().unwrap();
    assert_eq!(take_answer(&mut stream, &req), AnswerState::Partial);
    stream.push(last);
    let mut changed = stream.clone();
    changed[40] ^= 1;
    assert_eq!(take_answer(&mut changed, &req), AnswerState::Mismatch);
    assert_eq!(take_answer(&mut stream, &req), AnswerState::Complete);
    assert!(stream.is_empty());
}
