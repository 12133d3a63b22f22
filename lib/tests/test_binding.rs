//! The flow table is bounded, keeps open flows during a flood of new ones, and removes closed and
//! idle flows.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use hollyhead::binding::{
    Binding, Bindings, LINGER_TIMEOUT, PENDING_DIVISOR, PENDING_IDLE_TIMEOUT, SHARD_COUNT,
    TCP_IDLE_TIMEOUT, UDP_IDLE_TIMEOUT,
};
use hollyhead::flow::Protocol;
use hollyhead::packet::Control;
use hollyhead::path_failure::TrackedTarget;
use hollyhead::target::TargetHandle;
use testutils::flow_fleet::{target, DATA_CENTRE};
use tokio::time::Instant;

const OPENS: Control = Control { opens: true, finishes: false, resets: false };
const FINISHES: Control = Control { opens: false, finishes: true, resets: false };
const RESETS: Control = Control { opens: false, finishes: false, resets: true };
const CAPACITY: usize = 64 * SHARD_COUNT;

fn tracked_target(now: Instant) -> Arc<TrackedTarget> {
    let object = target((0, DATA_CENTRE), 1, 1, &[]);
    let record = serde_json::from_value(object.body.unwrap()).unwrap();
    Arc::new(TrackedTarget::new(Arc::new(TargetHandle::new(&record, now))))
}

struct Table {
    bindings: Bindings,
    target: Arc<TrackedTarget>,
    now: Instant,
}

impl Table {
    fn new() -> Self {
        let now = Instant::now();
        Self { bindings: Bindings::new(CAPACITY, now), target: tracked_target(now), now }
    }

    fn open(&self, hash: u64, protocol: Protocol) -> bool {
        let ticks = self.bindings.clock().ticks(self.now);
        let binding = Binding::new(Arc::clone(&self.target), protocol, ticks);
        self.bindings.insert_pending(hash, binding)
    }

    fn send(&self, hash: u64, control: Control) -> bool {
        self.bindings.on_sent(hash, control, self.now, |_| ()).is_some()
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for shard in 0..SHARD_COUNT {
            self.bindings.expire(shard, self.now);
        }
    }
}

#[test]
fn insert_pending_flood_leaves_open_flows() {
    let mut table = Table::new();
    for hash in 0..1_000 {
        assert!(table.open(hash, Protocol::Tcp));
        assert!(table.send(hash, Control::default()));
    }
    let taken = (1_000..1_000_000).filter(|hash| table.open(*hash, Protocol::Tcp)).count();
    assert_eq!(taken, CAPACITY / PENDING_DIVISOR);
    assert!((0..1_000).all(|hash| table.send(hash, Control::default())));
    table.advance(PENDING_IDLE_TIMEOUT);
    assert_eq!(table.bindings.len(), 1_000);
    assert_eq!(table.target.handle.open_flows(), 1_000);
    assert!(table.open(1_000, Protocol::Tcp));
}

#[test]
fn on_sent_full_table_keeps_flow_pending() {
    let table = Table::new();
    let shard = |number: u64| number * SHARD_COUNT as u64;
    for number in 0..64 {
        assert!(table.open(shard(number), Protocol::Tcp));
        assert!(table.send(shard(number), Control::default()));
    }
    assert!(table.open(shard(64), Protocol::Tcp));
    assert!(table.send(shard(64), Control::default()));
    assert_eq!(table.bindings.len(), 65);
    let binding = Binding::new(Arc::clone(&table.target), Protocol::Tcp, 0);
    assert!(!table.bindings.insert_open(shard(65), binding));
}

#[test]
fn expire_frees_flows_after_their_timeouts() {
    let cases = [
        (Protocol::Tcp, Control::default(), TCP_IDLE_TIMEOUT),
        (Protocol::Udp, Control::default(), UDP_IDLE_TIMEOUT),
        (Protocol::Tcp, FINISHES, LINGER_TIMEOUT),
        (Protocol::Tcp, RESETS, LINGER_TIMEOUT),
        (Protocol::Tcp, OPENS, PENDING_IDLE_TIMEOUT),
    ];
    for (protocol, control, limit) in cases {
        let mut table = Table::new();
        assert!(table.open(1, protocol));
        assert!(table.send(1, control));
        table.advance(limit - Duration::from_secs(1));
        assert_eq!(table.bindings.len(), 1, "{protocol:?} {control:?}");
        table.advance(Duration::from_secs(1));
        assert_eq!(table.bindings.len(), 0, "{protocol:?} {control:?}");
        assert_eq!(table.target.handle.open_flows(), 0);
    }
}

#[test]
fn binding_takes_few_bytes() {
    assert!(size_of::<Binding>() <= 24);
}
