//! Cost of membership for one instance, by the number of members.
//!
//! Prints the bytes that an instance sends a second, and times one tick of a whole region divided by
//! its members; the ratio to the smallest region shows whether the cost of an instance grows.

use std::time::Duration;

use criterion::Criterion;
use testutils::gossip_fleet::GossipFleet;

const SIZES: [usize; 3] = [8, 64, 512];
const JOIN: Duration = Duration::from_secs(180);
const MEASURED: Duration = Duration::from_secs(10);
const TICKS: u32 = 20;

fn measure(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership_tick_per_instance");
    group.sample_size(10);
    for size in SIZES {
        let mut ring = GossipFleet::new(size, 1);
        ring.run_for(JOIN);
        let before: u64 = ring.sent_bytes.iter().sum();
        ring.run_for(MEASURED);
        let sent = ring.sent_bytes.iter().sum::<u64>() - before;
        let bytes = sent / size as u64 / MEASURED.as_secs();
        println!("{size} members: {bytes} bytes/s for each instance");
        group.bench_function(size.to_string(), |b| {
            b.iter_custom(|rounds| {
                let start = std::time::Instant::now();
                (0..rounds).for_each(|_| ring.run_for(hollyhead::entry::TICK_INTERVAL * TICKS));
                start.elapsed() / TICKS / size as u32
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    measure(&mut criterion);
    criterion.final_summary();
}
