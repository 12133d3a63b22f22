//! Tests of `hollyhead status` against running instances on loopback.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;

use expect_test::expect;
use hollyhead::entry::Entry;
use hollyhead::platform::ListedInstance;
use hollyhead::settings::Settings;
use testutils::instance_settings::{FLOW_KEY, PEER_KEY};
use testutils::memory_platform::MemoryPlatform;
use testutils::{platform_server, records};
use tokio::net::TcpListener;

struct Deployment {
    platform: Arc<MemoryPlatform>,
    url: String,
    entries: Vec<Entry>,
}

fn settings(name: &str, platform: SocketAddr) -> Settings {
    let text = format!(
        "[instance]\nname = {name}\ndata_centre = horn-east-a\n\
         [listen]\nflow = 127.0.0.1:0\npeer = 127.0.0.1:0\nrequest = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n[fabric]\negress = 127.0.0.1:9\n\
         [platform]\nurl = http://{platform}\n[keys]\nflow = {FLOW_KEY}\npeer = {PEER_KEY}\n"
    );
    Settings::parse(Path::new("test.ini"), &text).unwrap()
}

async fn start_deployment(names: &[&str]) -> Deployment {
    let platform = Arc::new(MemoryPlatform::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(platform_server::serve(Arc::clone(&platform), listener));
    let mut entries = Vec::new();
    let mut listed = Vec::new();
    for name in names {
        let entry = Entry::start(&settings(name, address)).await.unwrap();
        listed.push(ListedInstance {
            name: (*name).into(),
            data_centre: "horn-east-a".into(),
            peer: entry.addresses().peer,
            leaving: false,
        });
        entries.push(entry);
    }
    platform.set_instances(listed);
    Deployment { platform, url: format!("http://{address}"), entries }
}

async fn run_status(deployment: &Deployment, args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollyhead"));
    command.args(["status", "--platform", &deployment.url]).args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
    let text = [output.stdout, output.stderr].concat();
    format!("{}exit {}\n", String::from_utf8(text).unwrap(), output.status.code().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn status_wait_returns_when_in_force_everywhere() {
    let deployment = start_deployment(&["i1", "i2", "i3"]).await;
    assert_eq!(deployment.entries.len(), 3);
    let body = records::data_centre("horn-east-b", "horn-east", "out");
    let version = deployment.platform.force_put("data_centre", "horn-east-b", body);
    let text = run_status(&deployment, &["--wait", &version.to_string()]).await;
    for entry in &deployment.entries {
        assert!(!entry.kernel().config().is_in_service("horn-east-b"));
    }
    expect![[r#"
        version N is in force everywhere
          horn-east-a                      3 of 3 instances
        exit 0
    "#]]
    .assert_eq(&text.replacen(&format!("version {version} "), "version N ", 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_the_record_that_is_refused() {
    let deployment = start_deployment(&["i1"]).await;
    let body = serde_json::json!({"schema_version": 1, "name": "b", "region": 7});
    let version = deployment.platform.force_put("data_centre", "b", body);
    let text = run_status(&deployment, &["--wait", &version.to_string(), "--timeout", "1"]).await;
    let (version, previous) = (version.to_string(), (version - 1).to_string());
    expect![[r#"
        version N is not in force everywhere; version M is
          horn-east-a                      0 of 1 instances
          horn-east-a/i1                   at version M: keeps the last good record: data_centre/b version N: field region: invalid type: integer `7`, expected a string
        exit 1
    "#]].assert_eq(&text.replace(&format!("version {version}"), "version N").replace(&format!("version {previous}"), "version M"));
}
