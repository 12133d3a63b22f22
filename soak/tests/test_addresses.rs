//! Tests that the addresses and ports of a run do not collide.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use hollyhead_soak::addresses::{Addresses, Role};

#[test]
fn choose_gives_ports_that_differ() {
    for _ in 0..200 {
        let chosen = Addresses::choose().unwrap();
        let ports = [chosen.flow_port, chosen.peer_port, chosen.admin_port, chosen.target_port];
        assert_eq!(BTreeSet::from(ports).len(), ports.len(), "{ports:?}");
    }
}

#[test]
fn ips_of_different_roles_differ() {
    let chosen = Addresses::choose().unwrap();
    let roles = [Role::Instance, Role::PeerProxy, Role::Target, Role::Caller];
    let ips: BTreeSet<_> =
        roles.iter().flat_map(|role| (0..200).map(|index| chosen.ip(*role, index))).collect();
    assert_eq!(ips.len(), 800);
}
