//! Reassembly of many changes of several datagrams at once.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use hollyhead::directory_message::{PartStatus, RecordsMessage};
use hollyhead::record_batch::{Insertion, RecordBatches};
use hollyhead::route::{DirectoryRecord, Part};
use smol_str::format_smolstr;
use tokio::time::Instant;

const FROM: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9)), 7_720);
/// Number of changes that [`RecordBatches`] keeps.
const CHANGES: u64 = 16;

fn datagram(batch: u64, index: u16) -> RecordsMessage {
    let name = format_smolstr!("r{batch}-{index}");
    RecordsMessage {
        part: Part::Routing,
        from: 0,
        status: PartStatus { complete: 9, changed: 9, age: Duration::ZERO },
        root: Some("reader".into()),
        batch,
        index,
        count: 2,
        records: vec![DirectoryRecord { name, version: 9, body: None }],
    }
}

#[tokio::test(start_paused = true)]
async fn insert_with_many_changes_under_way_loses_none_of_them() {
    let mut batches = RecordBatches::default();
    let mut insert = |batch, index| {
        let message = datagram(batch, index);
        batches.insert(("reader".into(), batch), message, FROM, Instant::now())
    };
    for batch in 0..CHANGES {
        assert_eq!(insert(batch, 0), Insertion::Incomplete);
    }
    for batch in 0..CHANGES {
        assert!(matches!(insert(batch, 1), Insertion::Complete(_)), "change {batch}");
    }
}

#[tokio::test(start_paused = true)]
async fn insert_of_one_change_more_than_are_kept_drops_the_oldest() {
    let mut batches = RecordBatches::default();
    for batch in 0..=CHANGES {
        batches.insert(("reader".into(), batch), datagram(batch, 0), FROM, Instant::now());
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    assert!(batches.retransmissions(&("reader".into(), 0), &[0]).is_empty());
    assert_eq!(batches.retransmissions(&("reader".into(), 1), &[0]), [datagram(1, 0)]);
}
