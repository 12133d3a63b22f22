//! A short run of the fault soak with a fixed seed; longer ones are run by hand (docs/SOAK.md).

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use hollyhead_soak::run::{play, RunSetup};

/// Seeds that failed once, each with its cause; see docs/SOAK.md.
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
            time: Duration::from_secs(8),
            gap: Duration::from_millis(700),
            calm_end: Duration::from_secs(6),
        };
        let verdict = play(&setup).await.unwrap();
        assert_eq!(verdict.violations, [], "seed {seed}");
        assert!(verdict.flows > 100 && verdict.faults > 5, "seed {seed}: {verdict:?}");
    }
}
