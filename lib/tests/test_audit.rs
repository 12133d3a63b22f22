//! Tests of the audit ledger and its report: the ledger is bounded and counts every event, and the
//! report names callers and targets. Also tests the explanation of single flows.

#![allow(clippy::unwrap_used)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use hollyhead::audit::{AuditEvent, AuditKey, AuditLedger};
use hollyhead::audit_page;
use hollyhead::audit_report::AuditReport;
use hollyhead::explain::explain;
use hollyhead::fleet::Fleet;
use hollyhead::flow::FlowKey;
use hollyhead::packet::{self, Control};
use testutils::records;
use tokio::time::Instant;

const CAPACITY: usize = 160;
const LIGHT_CALLERS: u32 = 2_000;
const HEAVY_EVENTS: u64 = 500;

fn key(caller: u32) -> AuditKey {
    AuditKey {
        caller: IpAddr::V4(Ipv4Addr::from(caller)),
        service: "quaydesk".into(),
        target: Some("quaydesk-1".into()),
        reason: "delivered",
    }
}

/// Returns a ledger in which one caller with `HEAVY_EVENTS` events is followed by `LIGHT_CALLERS`
/// callers with one event each, many more than the ledger has rows.
fn overfull_ledger() -> AuditLedger {
    let ledger = AuditLedger::new(CAPACITY);
    for _ in 0..HEAVY_EVENTS {
        ledger.count(&key(1), AuditEvent::Delivered);
    }
    for caller in 0..LIGHT_CALLERS {
        ledger.count(&key(1_000 + caller), AuditEvent::Delivered);
    }
    ledger
}

#[test]
fn count_many_callers_stays_bounded_and_loses_nothing() {
    let snapshot = overfull_ledger().snapshot();
    let rows: u64 = snapshot.rows.iter().map(|row| row.counts.delivered).sum();
    let tail: u64 = snapshot.tail.iter().map(|row| row.counts.delivered).sum();
    assert!(snapshot.rows.len() <= CAPACITY, "{} rows", snapshot.rows.len());
    assert_eq!(rows + tail, HEAVY_EVENTS + u64::from(LIGHT_CALLERS));
}

#[test]
fn count_heavy_caller_is_exact() {
    let snapshot = overfull_ledger().snapshot();
    assert_eq!(snapshot.rows[0].caller, key(1).caller);
    assert_eq!((snapshot.rows[0].counts.delivered, snapshot.rows[0].missed), (HEAVY_EVENTS, 0));
}

#[test]
fn count_returning_caller_tells_what_it_may_miss() {
    let ledger = overfull_ledger();
    let kept: Vec<_> = ledger.snapshot().rows.iter().map(|row| row.caller).collect();
    let light_keys = (0..LIGHT_CALLERS).map(|caller| key(1_000 + caller));
    for key in light_keys.filter(|key| !kept.contains(&key.caller)) {
        ledger.count(&key, AuditEvent::Delivered);
    }
    let rows = ledger.snapshot().rows;
    let returned = rows.iter().filter(|row| !kept.contains(&row.caller));
    assert!(returned.clone().count() > 0);
    assert!(returned.clone().all(|row| row.counts.delivered + row.missed >= 2));
}

#[test]
fn render_page_escapes_names() {
    let ledger = AuditLedger::new(CAPACITY);
    let target = Some("<script>".into());
    ledger.count(&AuditKey { target, ..key(1) }, AuditEvent::Delivered);
    let page = audit_page::render(&AuditReport::new(&[ledger.snapshot()])).unwrap();
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"), "{page}");
}

const SERVICE: &str = "10.0.0.1:7000";

async fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    let tunnel = SocketAddr::from(([10, 7, 0, 1], 6_080));
    let service = records::service("quaydesk", SERVICE.parse().unwrap());
    let target = records::target("quaydesk-1", "quaydesk", "horn-east-a", tunnel, tunnel);
    fleet.apply(&[records::object("service", 1, service), records::object("target", 2, target)]);
    fleet.start("a", "horn-east-a");
    fleet.start("b", "horn-east-a");
    fleet.run_for(Duration::from_secs(2)).await;
    fleet
}

fn flow() -> FlowKey {
    format!("tcp,192.0.2.1:40000,{SERVICE}").parse().unwrap()
}

#[tokio::test(start_paused = true)]
async fn report_flow_through_two_instances_names_caller_and_target() {
    let mut fleet = started_fleet().await;
    let opens = Control { opens: true, ..Control::default() };
    for name in ["a", "b"] {
        fleet.inject(name, &packet::build(&flow(), opens, &[]).unwrap());
        fleet.run_for(Duration::from_millis(10)).await;
    }
    let ledgers: Vec<_> = fleet.kernels().map(|kernel| kernel.audit.snapshot()).collect();
    let report = AuditReport::new(&ledgers).to_string();
    expect_test::expect![[r#"
        service quaydesk
          all callers                              opened 2, delivered 2, relayed 1, dropped 0
          caller 192.0.2.1                         opened 2, delivered 2, relayed 1, dropped 0
          callers without a row                    opened 0, delivered 0, relayed 0, dropped 0
          target quaydesk-1                        opened 2, delivered 2, relayed 0, dropped 0
    "#]]
    .assert_eq(&report);
}

#[tokio::test(start_paused = true)]
async fn explain_flow_agrees_between_instances() {
    let mut fleet = started_fleet().await;
    fleet.inject("a", &packet::build(&flow(), Control::default(), &[]).unwrap());
    fleet.run_for(Duration::from_millis(10)).await;
    let now = Instant::now();
    let answers: Vec<_> = fleet.kernels().map(|kernel| explain(kernel, &flow(), now)).collect();
    let owner = answers[0].owners[0].clone();
    assert_eq!(answers[0].owners, answers[1].owners);
    for answer in answers {
        if answer.instance == owner {
            assert_eq!(answer.reason, "delivered: bound to quaydesk-1, its default");
        } else {
            assert_eq!(answer.reason, format!("relayed: {owner} owns bucket {}", answer.bucket));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn explain_unknown_service_says_so() {
    let fleet = started_fleet().await;
    let flow: FlowKey = "udp,192.0.2.1:40000,10.0.0.9:1".parse().unwrap();
    let answer = explain(fleet.kernel("a").unwrap(), &flow, Instant::now());
    assert_eq!(answer.reason, "dropped: no service has the address 10.0.0.9:1");
}

#[test]
fn parse_faulty_flow_shows_example() {
    let err = "tcp,192.0.2.1".parse::<FlowKey>().unwrap_err();
    assert!(err.to_string().contains("such as tcp,192.0.2.1:40000,10.0.0.1:7000"));
}
