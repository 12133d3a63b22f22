//! Short run of the fault-injection soak test with fixed seeds; docs/SOAK.md describes longer runs.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use hollyhead_soak::run::{run_soak, RunSetup};

/// Seeds of runs that failed once; docs/SOAK.md lists the cause of each.
const SEEDS: &[u64] = &[1];

#[tokio::test(flavor = "multi_thread")]
async fn soak_with_fixed_seeds_breaks_no_promise() {
    for seed in SEEDS {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        std::fs::create_dir_all(&dir).unwrap();
        let setup = RunSetup {
            program: env!("CARGO_BIN_EXE_hollyhead-entry").into(),
            dir,
            seed: *seed,
            instances: 4,
            targets: 12,
            flows_per_second: 30,
            injection_time: Duration::from_secs(8),
            mean_interval: Duration::from_millis(700),
            cooldown: Duration::from_secs(6),
        };
        let verdict = run_soak(&setup).await.unwrap();
        assert_eq!(verdict.violations, [], "seed {seed}");
        assert!(verdict.flows > 100 && verdict.faults > 5, "seed {seed}: {verdict:?}");
    }
}
