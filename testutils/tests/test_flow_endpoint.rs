//! Streams over packets that are lost, late or doubled.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hollyhead::random::{Random, SeededRandom};
use testutils::echo_packet::{Author, EchoPacket};
use testutils::flow_endpoint::{FlowEndpoint, OutgoingSegment};
use testutils::flow_message::{take_answer, AnswerState, FlowRequest};
use tokio::time::Instant;

const A: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 1), 1);
const B: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), 2);
const STEP: Duration = Duration::from_millis(10);

fn packet(segment: OutgoingSegment) -> EchoPacket {
    let OutgoingSegment { flags, seq, ack, data } = segment;
    EchoPacket { from: A, to: B, flags, echo: 7, seq, ack, data }
}

/// Sends `bytes` over a link that loses one packet in `loss` and swaps some.
fn transfer(bytes: &[u8], loss: u64, seed: u64) -> (Vec<u8>, bool) {
    let random = SeededRandom::new(seed);
    let (mut from, mut to) = (FlowEndpoint::new(100, 900), FlowEndpoint::new(900, 100));
    from.write(bytes);
    from.finish();
    to.finish();
    let mut now = Instant::now();
    let mut received = Vec::new();
    let mut wire: VecDeque<(bool, EchoPacket)> = VecDeque::new();
    for _ in 0..3_000 {
        wire.extend(from.poll(now).into_iter().map(|segment| (true, packet(segment))));
        wire.extend(to.poll(now).into_iter().map(|segment| (false, packet(segment))));
        if wire.len() > 1 && random.below(5) == 0 {
            wire.swap(0, 1);
        }
        for (is_forth, packet) in wire.drain(..) {
            if random.below(loss) == 0 {
                continue;
            }
            let end = if is_forth { &mut to } else { &mut from };
            end.on_packet(&packet, now);
        }
        received.extend(to.take_received());
        now += STEP;
    }
    (received, from.is_closed() && to.is_closed())
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
    assert_eq!(EchoPacket::decode(&buf).unwrap().1, Author::Endpoint);
    buf[28] ^= 1;
    assert!(EchoPacket::decode(&buf).is_ok(), "the echo may change");
    buf[33] ^= 1;
    assert!(EchoPacket::decode(&buf).is_err());
}

#[test]
fn answer_is_whole_only_when_every_byte_is_right() {
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
