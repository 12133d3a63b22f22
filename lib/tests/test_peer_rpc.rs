//! Snapshots between two instances over TCP: completeness, and refusal of a wrong key.

#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use hollyhead::default_table::BoundedRendezvous;
use hollyhead::kernel::{Kernel, KernelSetup};
use hollyhead::memory_network::MemoryNetwork;
use hollyhead::peer_rpc::{fetch, PeerRpcError, PeerRpcServer};
use hollyhead::random::SeededRandom;
use testutils::records;
use tokio::time::Instant;

fn kernel(name: &str, key: u8) -> Arc<Kernel> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let random = Arc::new(SeededRandom::new(1));
    let network = MemoryNetwork::new(Arc::clone(&random) as Arc<_>);
    let setup = KernelSetup {
        id: name.into(),
        data_centre: "horn-east-a".into(),
        epoch: 1,
        peer: address,
        request: address,
        egress: address,
        flow_capacity: 1_000,
        owners_per_service: 8,
        flow_key: [7; 16],
        peer_keys: vec![(1, [key; 32])],
        picker: Arc::new(BoundedRendezvous),
        random,
        flow_network: network.port(address),
        peer_network: network.port(address),
    };
    Arc::new(Kernel::new(setup, Instant::now()))
}

fn serve(kernel: &Arc<Kernel>) -> (PeerRpcServer, SocketAddr) {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    (PeerRpcServer::start(Arc::clone(kernel), address).unwrap(), address)
}

#[tokio::test]
async fn fetch_gives_all_records_and_deletions() {
    let (full, fresh) = (kernel("full", 9), kernel("fresh", 9));
    for version in 1..=3_000 {
        let name = format!("dc{version}");
        let body = records::data_centre(&name, "horn-east", "out");
        full.apply(&[records::object("data_centre", version, body)]);
    }
    let mut deleted = records::object("data_centre", 4_000, records::data_centre("dc7", "r", "in"));
    deleted.body = None;
    full.apply(&[deleted]);
    let (_server, address) = serve(&full);
    fresh.apply(&fetch(Arc::clone(&fresh), address).await.unwrap());
    assert_eq!(fresh.config().digest(), full.config().digest());
    assert!(fresh.config().is_in_service("dc7"));
    assert!(!fresh.config().is_in_service("dc8"));
}

#[tokio::test]
async fn fetch_other_key_is_refused() {
    let (full, foreign) = (kernel("full", 9), kernel("foreign", 8));
    let (_server, address) = serve(&full);
    let err = fetch(foreign, address).await.unwrap_err();
    let PeerRpcError::Failed { reason, .. } = err else { panic!("{err}") };
    assert!(reason.contains("forged request"));
}
