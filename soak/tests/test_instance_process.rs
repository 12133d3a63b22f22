//! Processes that a run starts end with it.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::process::Command;

use hollyhead_soak::instance_process::InstanceProcess;

/// Tells whether a process whose arguments name `file` runs.
fn runs(file: &str) -> bool {
    Command::new("pgrep").args(["-f", file]).status().unwrap().success()
}

#[test]
fn start_of_a_running_process_leaves_no_second_one() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    // A program that reads its standard input until it ends would end at once; this one waits.
    let script = dir.join("waits-for-long");
    std::fs::write(&script, "#!/bin/sh\nexec sleep 600.25\n").unwrap();
    Command::new("chmod").arg("+x").arg(&script).status().unwrap();
    let mut process = InstanceProcess::new(&script, dir, "entry-twice", "").unwrap();
    process.start().unwrap();
    process.start().unwrap();
    process.close().unwrap();
    assert!(!runs("^sleep 600.25$"));
}
