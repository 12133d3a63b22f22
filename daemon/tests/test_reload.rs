//! A running instance applies changed settings, rejects invalid ones, and keeps running on signals
//! other than those that stop it.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hollyhead_soak::instance_process::{InstanceProcess, Signal};
use testutils::instance_settings::{cookie_text, CookieAddresses};

/// Number of reads of the log, 100 ms apart, before a line counts as missing; long enough for a
/// busy machine.
const MAX_READS: u32 = 600;

async fn wait_for(log: &Path, line: &str) {
    for _ in 0..MAX_READS {
        if std::fs::read_to_string(log).unwrap_or_default().contains(line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{line:?} is not in {}", std::fs::read_to_string(log).unwrap_or_default());
}

fn settings() -> String {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = CookieAddresses {
        flow: any,
        peer: any,
        peer_advertised: None,
        admin: any,
        // No process listens on port 9.
        platform: SocketAddr::from(([127, 0, 0, 1], 9)),
        seeds: Vec::new(),
    };
    cookie_text("entry-1", "horn-east-a", &addresses)
}

#[tokio::test]
async fn instance_takes_changed_settings_and_refuses_faulty_ones() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reload");
    std::fs::remove_dir_all(&dir).ok();
    std::fs::create_dir_all(&dir).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_hollyhead-entry"));
    let mut process = InstanceProcess::new(program, &dir, "entry-1", &settings()).unwrap();
    process.start().unwrap();
    let log = dir.join("entry-1.log");
    wait_for(&log, "\"started\"").await;

    process.signal(Signal::HangUp).unwrap();
    wait_for(&log, "settings are unchanged").await;
    process.write_settings(&format!("{}cold_slack = many\n", settings())).unwrap();
    process.signal(Signal::HangUp).unwrap();
    wait_for(&log, "changed settings refused").await;
    process.write_settings(&format!("{}cold_slack = 9\n", settings())).unwrap();
    wait_for(&log, "settings reloaded").await;
    assert!(!process.has_ended().unwrap());

    process.signal(Signal::Terminate).unwrap();
    wait_for(&log, "\"left\"").await;
}
