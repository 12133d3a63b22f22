//! Measures the cost of membership for one instance by the number of members.
//!
//! Prints the bytes that an instance sends per second, and measures one tick of all instances of a
//! region divided by their number. The ratio to the smallest region shows whether the cost for each
//! instance grows with the region.

use std::time::Duration;

use criterion::Criterion;
use testutils::gossip_fleet::GossipFleet;

const SIZES: [usize; 3] = [8, 64, 512];
/// Time within which all members have joined and membership is stable.
const JOIN_TIME: Duration = Duration::from_secs(180);
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
const TICKS_PER_ROUND: u32 = 20;

fn measure(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership_tick_per_instance");
    group.sample_size(10);
    for size in SIZES {
        let mut fleet = GossipFleet::new(size, 1);
        fleet.run_for(JOIN_TIME);
        let before: u64 = fleet.sent_bytes.iter().sum();
        fleet.run_for(MEASUREMENT_TIME);
        let sent = fleet.sent_bytes.iter().sum::<u64>() - before;
        let bytes = sent / size as u64 / MEASUREMENT_TIME.as_secs();
        println!("{size} members: {bytes} bytes/s for each instance");
        group.bench_function(size.to_string(), |b| {
            b.iter_custom(|rounds| {
                let start = std::time::Instant::now();
                (0..rounds)
                    .for_each(|_| fleet.run_for(hollyhead::entry::TICK_INTERVAL * TICKS_PER_ROUND));
                start.elapsed() / TICKS_PER_ROUND / size as u32
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
