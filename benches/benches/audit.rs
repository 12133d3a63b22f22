//! Measures the time that the audit ledger and trace spans add to the processing of a packet.
//!
//! Spans are logged to standard error, which is best discarded:
//!
//! `cargo bench -p hollyhead-benches --bench audit 2>/dev/null`

use std::hint::black_box;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use hollyhead::audit::{AuditEvent, AuditKey, AuditLedger};
use hollyhead::audit_packets::record_packet;
use hollyhead::default_table::BoundedRendezvous;
use hollyhead::entry::TICK_INTERVAL;
use hollyhead::kernel::{Kernel, KernelSetup};
use hollyhead::logging;
use hollyhead::network::Network;
use hollyhead::packet::{self, Control};
use hollyhead::platform::ListedInstance;
use hollyhead::random::SeededRandom;
use hollyhead::steering::Arrival;
use hollyhead::verdict::Verdict;
use hollyhead_benches::fixtures;
use hollyhead_benches::measure::{measure_growth, median_nanos, print_heading, print_row};
use tokio::time::Instant;

const CALLS: usize = 200_000;
const FLOWS: usize = 1_000;
/// Ticks before the measurement, in which the instance settles and obtains grants: 120 s.
const WARM_UP_TICKS: u32 = 2_400;
const SAMPLED_PER_MILLION: u32 = 1_000;

/// Network that drops all datagrams, so that the cost of system calls is not measured.
struct DiscardingNetwork;

impl Network for DiscardingNetwork {
    fn send(&self, _to: SocketAddr, buf: &[u8]) {
        black_box(buf);
    }
}

/// Network that sends all datagrams to a loopback socket that nobody reads.
struct Loopback {
    socket: UdpSocket,
    sink: SocketAddr,
}

impl Network for Loopback {
    fn send(&self, _to: SocketAddr, buf: &[u8]) {
        let _ = black_box(self.socket.send_to(buf, self.sink));
    }
}

fn main() {
    logging::init(&"entry-00000".into(), &"dc-0".into());
    print_heading();
    measure_memory();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    match runtime {
        Ok(runtime) => runtime.block_on(measure_overheads()),
        Err(err) => eprintln!("cannot start the runtime: {err}"),
    }
}

async fn measure_overheads() {
    measure_overhead("without a socket", Arc::new(DiscardingNetwork));
    match loopback_network() {
        Ok(network) => measure_overhead("with a socket", network),
        Err(err) => eprintln!("cannot bind a loopback socket: {err}"),
    }
}

fn loopback_network() -> std::io::Result<Arc<Loopback>> {
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    Ok(Arc::new(Loopback { socket, sink: sink.local_addr()? }))
}

fn measure_memory() {
    for rows in [4_096, 65_536] {
        let (ledger, bytes) = measure_growth(|| {
            let ledger = AuditLedger::new(rows);
            for number in 0..rows * 2 {
                ledger.count(&key(number), AuditEvent::Delivered);
            }
            ledger
        });
        let kept = ledger.snapshot().rows.len();
        print_row("memory: AuditLedger, by rows", kept, 0.0, Some(bytes / kept as f64));
    }
}

fn key(number: usize) -> AuditKey {
    let caller = fixtures::address(200, number, 1).ip();
    AuditKey {
        caller,
        service: "quaydesk".into(),
        target: Some("target-1".into()),
        reason: "delivered",
    }
}

fn kernel(network: Arc<dyn Network>, now: Instant) -> Kernel {
    let address = fixtures::address(8, 1, 6_081);
    let setup = KernelSetup {
        id: "entry-00000".into(),
        data_centre: "dc-0".into(),
        epoch: 1,
        peer: address,
        request: address,
        egress: address,
        flow_capacity: 400_000,
        owners_per_service: 8,
        flow_key: [7; 16],
        peer_keys: vec![(1, [9; 32])],
        picker: Arc::new(BoundedRendezvous),
        random: Arc::new(SeededRandom::new(7)),
        flow_network: Arc::clone(&network),
        peer_network: network,
    };
    let kernel = Kernel::new(setup, now);
    kernel.apply(&fixtures::objects(2, 19, 1));
    kernel
}

fn measure_overhead(what: &str, network: Arc<dyn Network>) {
    let now = Instant::now();
    let kernel = kernel(network, now);
    let listed = ListedInstance {
        name: "entry-00000".into(),
        data_centre: "dc-0".into(),
        peer: fixtures::address(8, 1, 6_081),
        leaving: false,
    };
    kernel.seed(&[listed]);
    (0..WARM_UP_TICKS).for_each(|tick| kernel.tick(now + TICK_INTERVAL * tick));
    let later = now + TICK_INTERVAL * WARM_UP_TICKS;
    let build = |number| packet::build(&fixtures::flow(number), Control::default(), &[7; 200]);
    let packets: Vec<_> = (0..FLOWS).filter_map(|number| build(number).ok()).collect();
    let from = fixtures::address(9, 1, 6_080);
    let total_nanos = median_nanos(CALLS, |number| {
        kernel.on_flow_datagram(later, from, &packets[number % FLOWS]);
    });
    kernel.tracer.set_rate(SAMPLED_PER_MILLION);
    let sampled_nanos = median_nanos(CALLS, |number| {
        kernel.on_flow_datagram(later, from, &packets[number % FLOWS]);
    });
    kernel.tracer.set_rate(0);
    let infos: Vec<_> = packets.iter().filter_map(|packet| packet::parse(packet).ok()).collect();
    let verdict = kernel.steering.on_packet(later, &infos[0], &Arrival::from_fabric(from));
    assert!(matches!(verdict, Verdict::Deliver { .. }), "{verdict:?}");
    let ledger_nanos = median_nanos(CALLS, |number| {
        record_packet(&kernel.audit, &kernel.plan(), &infos[number % FLOWS], &verdict);
    });
    print_row(&format!("packet of a known flow, {what}"), FLOWS, total_nanos, None);
    print_row("of this, the ledger", FLOWS, ledger_nanos, None);
    print_row("with spans of 0.1 % of the flows", FLOWS, sampled_nanos, None);
    println!("    the ledger adds {:.1} %", 100.0 * ledger_nanos / (total_nanos - ledger_nanos));
    println!("    spans add {:.1} %", 100.0 * (sampled_nanos - total_nanos) / total_nanos);
}
