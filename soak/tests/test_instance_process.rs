//! Tests that starting an instance process twice spawns no second process, which would outlive the
//! run.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::process::Command;

use hollyhead_soak::instance_process::InstanceProcess;

/// Returns whether a process runs whose command line matches `pattern`.
fn is_running(pattern: &str) -> bool {
    Command::new("pgrep").args(["-f", pattern]).status().unwrap().success()
}

#[test]
fn start_of_a_running_process_leaves_no_second_one() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    // The program must not read its standard input, which is empty and would end it at once.
    let script = dir.join("sleep-long");
    std::fs::write(&script, "#!/bin/sh\nexec sleep 600.25\n").unwrap();
    Command::new("chmod").arg("+x").arg(&script).status().unwrap();
    let mut process = InstanceProcess::new(&script, dir, "entry-twice", "").unwrap();
    process.start().unwrap();
    process.start().unwrap();
    process.close().unwrap();
    assert!(!is_running("^sleep 600.25$"));
}
