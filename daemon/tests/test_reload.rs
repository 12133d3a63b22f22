//! A running instance takes changed settings, refuses faulty ones, and outlives signals.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use hollyhead_soak::instance_process::{InstanceProcess, Sent};

const SETTINGS: &str = "[instance]\nname = entry-1\ndata_centre = horn-east-a\n\
    [listen]\nflow = 127.0.0.1:0\npeer = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
    [platform]\nurl = http://127.0.0.1:9\napi = objects\n\
    [keys]\nflow = 000102030405060708090a0b0c0d0e0f\n\
    peer = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n\
    [flows]\nform = echo\n";
/// Looks at the log before a line counts as missing; a wrong build fails by it, a slow machine not.
const LOOKS: u32 = 600;

async fn wait_for(log: &Path, line: &str) {
    for _ in 0..LOOKS {
        if std::fs::read_to_string(log).unwrap_or_default().contains(line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{line:?} is not in {}", std::fs::read_to_string(log).unwrap_or_default());
}

#[tokio::test]
async fn instance_takes_changed_settings_and_refuses_faulty_ones() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reload");
    std::fs::remove_dir_all(&dir).ok();
    std::fs::create_dir_all(&dir).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_hollyhead-entry"));
    let mut process = InstanceProcess::new(program, &dir, "entry-1", SETTINGS).unwrap();
    process.start().unwrap();
    let log = dir.join("entry-1.log");
    wait_for(&log, "\"started\"").await;

    process.signal(Sent::HangUp).unwrap();
    wait_for(&log, "settings are unchanged").await;
    process.write_settings(&format!("{SETTINGS}cold_slack = many\n")).unwrap();
    process.signal(Sent::HangUp).unwrap();
    wait_for(&log, "changed settings refused").await;
    process.write_settings(&format!("{SETTINGS}cold_slack = 9\n")).unwrap();
    wait_for(&log, "settings reloaded").await;
    assert!(!process.has_ended().unwrap());

    process.signal(Sent::Terminate).unwrap();
    wait_for(&log, "\"left\"").await;
}
