//! Tests of `hollyhead report` and `hollyhead explain` against a running instance.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use hollyhead::entry::{Entry, TICK_INTERVAL};
use hollyhead::flow::FlowKey;
use hollyhead::kernel::Kernel;
use hollyhead::packet::{self, Control};
use hollyhead::platform::{ListedInstance, Object};
use hollyhead::settings::Settings;
use testutils::memory_platform::MemoryPlatform;
use testutils::records;
use tokio::process::Command;
use tokio::time::Instant;

const SERVICE: &str = "10.0.0.1:7000";
const FLOW: &str = "tcp,192.0.2.1:40000,10.0.0.1:7000";
/// Number of ticks after which an instance without peers regards its membership view as up to date
/// and has received its grants.
const TICKS_UNTIL_GRANTED: usize = 600;
const SETTINGS: &str = "
[instance]
name = entry-1
data_centre = horn-east-a
[listen]
flow = 127.0.0.1:0
peer = 127.0.0.1:0
request = 127.0.0.1:0
admin = 127.0.0.1:0
[fabric]
egress = 127.0.0.1:9
[platform]
url = http://127.0.0.1:9
[keys]
flow = 000102030405060708090a0b0c0d0e0f
peer = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
";

async fn start_entry(name: &str) -> Entry {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    std::fs::write(&file, SETTINGS).unwrap();
    let platform = Arc::new(MemoryPlatform::default());
    let objects = write_records(&platform);
    let entry = Entry::start_with(&Settings::read(&file).unwrap(), platform).await.unwrap();
    configure_and_open_flow(entry.kernel(), &objects);
    entry
}

/// Writes a service and a target to the platform and returns both objects.
fn write_records(platform: &MemoryPlatform) -> [Object; 2] {
    let tunnel: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let service = records::service("quaydesk", SERVICE.parse().unwrap());
    let target = records::target("quaydesk-1", "quaydesk", "horn-east-a", tunnel, tunnel);
    let service_version = platform.force_put("service", "quaydesk", service.clone());
    let target_version = platform.force_put("target", "quaydesk-1", target.clone());
    [
        records::object("service", service_version, service),
        records::object("target", target_version, target),
    ]
}

/// Applies a configuration to the kernel, runs it until it has its grants, and passes it the first
/// packet of a flow.
fn configure_and_open_flow(kernel: &Kernel, objects: &[Object]) {
    kernel.apply(objects);
    kernel.seed(&[ListedInstance {
        name: kernel.id().clone(),
        data_centre: kernel.data_centre().clone(),
        peer: "127.0.0.1:9".parse().unwrap(),
        leaving: false,
    }]);
    let mut later = Instant::now();
    for _ in 0..TICKS_UNTIL_GRANTED {
        later += TICK_INTERVAL;
        kernel.tick(later);
    }
    let opens = Control { opens: true, ..Control::default() };
    let packet = packet::build(&FLOW.parse::<FlowKey>().unwrap(), opens, &[]).unwrap();
    kernel.on_flow_datagram(later, "127.0.0.1:9".parse().unwrap(), &packet);
}

async fn hollyhead(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hollyhead")).args(args).output().await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[tokio::test]
async fn report_running_instance_names_caller_and_target() {
    let entry = start_entry("report").await;
    let admin = entry.addresses().admin.to_string();
    let (code, text) = hollyhead(&["report", "--admin", &admin]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("caller 192.0.2.1"), "{text}");
    assert!(text.contains("target quaydesk-1"), "{text}");
}

#[tokio::test]
async fn report_html_shows_plot_and_caller() {
    let entry = start_entry("html").await;
    let admin = entry.addresses().admin.to_string();
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("report.html");
    let (code, text) =
        hollyhead(&["report", "--admin", &admin, "--html", &file.display().to_string()]).await;
    assert_eq!(code, Some(0), "{text}");
    let page = std::fs::read_to_string(file).unwrap();
    assert!(page.contains("<svg") && page.contains("<td>192.0.2.1</td>"), "{page}");
}

#[tokio::test]
async fn explain_running_instance_gives_reason() {
    let entry = start_entry("explain").await;
    let admin = entry.addresses().admin.to_string();
    let (code, text) = hollyhead(&["explain", "--flow", FLOW, "--admin", &admin]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("decision  delivered: bound to quaydesk-1, its default"), "{text}");
}

#[tokio::test]
async fn explain_faulty_flow_exits_2() {
    let (code, text) = hollyhead(&["explain", "--flow", "x", "--admin", "127.0.0.1:9"]).await;
    assert_eq!(code, Some(2));
    assert!(text.contains("is not PROTO,CALLER,SERVICE"), "{text}");
}

#[tokio::test]
async fn report_no_instance_says_what_to_check() {
    let (code, text) = hollyhead(&["report", "--admin", "127.0.0.1:9"]).await;
    assert_eq!(code, Some(1));
    assert!(text.contains("127.0.0.1:9 gave no answer"), "{text}");
}
