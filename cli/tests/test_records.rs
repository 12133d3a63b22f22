//! Tests of the commands that read and write records, against an in-memory platform that is served on
//! loopback.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;

use expect_test::{expect, Expect};
use serde_json::{json, Value};
use testutils::memory_platform::MemoryPlatform;
use testutils::{platform_server, records};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Runs the command line tool against a platform of its own, in a directory of its own.
struct CommandRunner {
    _runtime: Runtime,
    platform: Arc<MemoryPlatform>,
    url: String,
    dir: PathBuf,
}

impl CommandRunner {
    fn new(case: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let platform = Arc::new(MemoryPlatform::default());
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        runtime.spawn(platform_server::serve(Arc::clone(&platform), listener));
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case);
        std::fs::create_dir_all(&dir).unwrap();
        Self { _runtime: runtime, platform, url, dir }
    }

    fn with_records(case: &str) -> Self {
        let runner = Self::new(case);
        runner.write_declarations(&fleet_records());
        runner.run(&["apply", "-f", "fleet.json"]);
        runner
    }

    fn write_declarations(&self, records: &Value) {
        std::fs::write(self.dir.join("fleet.json"), records.to_string()).unwrap();
    }

    fn run(&self, args: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_hollyhead"))
            .args(&args[..1])
            .args(["--platform", &self.url])
            .args(&args[1..])
            .current_dir(&self.dir)
            .env("USER", "amina")
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        let code = output.status.code().unwrap();
        format!("{}exit {code}\n", String::from_utf8(text).unwrap())
    }

    fn assert_output(&self, args: &[&str], expected: &Expect) {
        expected.assert_eq(&self.run(args));
    }
}

fn with_kind(kind: &str, mut record: Value) -> Value {
    record["kind"] = kind.into();
    record
}

fn fleet_records() -> Value {
    let address = |number| std::net::SocketAddr::from(([10, 0, 0, number], 7_000));
    let target = |name, data_centre, number| {
        records::target(name, "quaydesk", data_centre, address(number), address(number))
    };
    json!([
        with_kind("service", records::service("quaydesk", address(1))),
        with_kind("data_centre", records::data_centre("a", "horn-east", "in")),
        with_kind("data_centre", records::data_centre("b", "horn-east", "in")),
        with_kind("target", target("quaydesk-a", "a", 2)),
        with_kind("target", target("quaydesk-b", "b", 3)),
    ])
}

#[test]
fn apply_writes_and_repeats_nothing() {
    let runner = CommandRunner::new("apply");
    runner.write_declarations(&fleet_records());
    runner.assert_output(
        &["apply", "-f", "fleet.json"],
        &expect![[r#"
        data_centre/a:
          + name: "a"
          + region: "horn-east"
          + schema_version: 1
          + state: "in"
        data_centre/b:
          + name: "b"
          + region: "horn-east"
          + schema_version: 1
          + state: "in"
        service/quaydesk:
          + addresses: [{"address":"10.0.0.1:7000","protocol":"tcp"}]
          + deadline_ms: 5000
          + hosts: ["quaydesk"]
          + name: "quaydesk"
          + schema_version: 1
        target/quaydesk-a:
          + address: "10.0.0.2:7000"
          + connections: 2000
          + data_centre: "a"
          + name: "quaydesk-a"
          + schema_version: 1
          + service: "quaydesk"
          + slots: 2
          + tunnel: "10.0.0.2:7000"
        target/quaydesk-b:
          + address: "10.0.0.3:7000"
          + connections: 2000
          + data_centre: "b"
          + name: "quaydesk-b"
          + schema_version: 1
          + service: "quaydesk"
          + slots: 2
          + tunnel: "10.0.0.3:7000"
        data_centre/a: written as version 1
        data_centre/b: written as version 2
        service/quaydesk: written as version 3
        target/quaydesk-a: written as version 4
        target/quaydesk-b: written as version 5
        see where it is in force: hollyhead status --wait 5
        exit 0
    "#]],
    );
    runner.assert_output(
        &["apply", "-f", "."],
        &expect![[r#"
        data_centre/a: unchanged at version 1
        data_centre/b: unchanged at version 2
        service/quaydesk: unchanged at version 3
        target/quaydesk-a: unchanged at version 4
        target/quaydesk-b: unchanged at version 5
        exit 0
    "#]],
    );
}

#[test]
fn apply_dry_run_writes_nothing() {
    let runner = CommandRunner::with_records("dry-run");
    let mut records = fleet_records();
    records[3]["weight"] = 4.into();
    runner.write_declarations(&records);
    let before = runner.run(&["get"]);
    runner.assert_output(
        &["apply", "-f", "fleet.json", "--dry-run"],
        &expect![[r#"
        target/quaydesk-a:
          + weight: 4
        dry run: nothing was written
        exit 0
    "#]],
    );
    assert_eq!(runner.run(&["get"]), before);
}

#[test]
fn apply_faulty_input_names_all_faults() {
    let runner = CommandRunner::new("faulty");
    let mut records = fleet_records();
    records[3]["slots"] = 0.into();
    records[4]["tunnel"] = "nowhere".into();
    runner.write_declarations(&records);
    runner.assert_output(&["apply", "-f", "fleet.json"], &expect![[r#"
        fleet.json: target/quaydesk-a: slots: is 0; give at least 1, or set state to leaving
        fleet.json: target/quaydesk-b: field tunnel: invalid socket address syntax; correct the record
        exit 2
    "#]]);
    runner.assert_output(
        &["get"],
        &expect![[r#"
        exit 0
    "#]],
    );
}

#[test]
fn apply_older_schema_version_is_refused() {
    let runner = CommandRunner::with_records("downgrade");
    let newer = json!({"schema_version": 2, "name": "b", "region": "horn-east", "new": 1});
    runner.platform.force_put("data_centre", "b", newer);
    runner.assert_output(&["apply", "-f", "fleet.json"], &expect![[r#"
        data_centre/b: field schema_version: the record has version 2 and the write has 1; convert it to version 2 or use a newer hollyhead
        exit 2
    "#]]);
}

#[test]
fn edit_changes_only_the_field() {
    let runner = CommandRunner::with_records("edit");
    runner.assert_output(
        &["edit", "target", "quaydesk-a", "weight=3"],
        &expect![[r#"
        target/quaydesk-a:
          + weight: 3
        target/quaydesk-a: written as version 6
        see where it is in force: hollyhead status --wait 6
        exit 0
    "#]],
    );
    runner.assert_output(
        &["edit", "target", "quaydesk-a", "weight=0"],
        &expect![[r#"
        target/quaydesk-a: weight: is 0; give at least 1, or set state to leaving
        exit 2
    "#]],
    );
    runner.assert_output(
        &["edit", "target", "gone", "weight=3"],
        &expect![[r#"
        hollyhead: there is no target/gone; create it with `hollyhead apply`
        exit 1
    "#]],
    );
    runner.assert_output(
        &["edit", "goal", "quaydesk-a", "weight=3"],
        &expect![[r#"
        hollyhead: there is no kind goal; use service, target or data-centre
        exit 1
    "#]],
    );
}

#[test]
fn get_lists_records() {
    let runner = CommandRunner::with_records("get");
    runner.assert_output(
        &["get"],
        &expect![[r#"
        service/quaydesk                         version 3
        target/quaydesk-a                        version 4
        target/quaydesk-b                        version 5
        data_centre/a                            version 1        in
        data_centre/b                            version 2        in
        exit 0
    "#]],
    );
}

#[test]
fn drain_last_data_centre_needs_force() {
    let runner = CommandRunner::with_records("drain");
    runner.assert_output(
        &["drain", "data-centre", "a", "--reason", "power"],
        &expect![[r#"
        data_centre/a:
          + operator: "amina"
          + reason: "power"
          - state: "in"
          + state: "out"
        data_centre/a: written as version 6
        see where it is in force: hollyhead status --wait 6
        exit 0
    "#]],
    );
    runner.assert_output(&["drain", "target", "quaydesk-b"], &expect![[r#"
        hollyhead: without target/quaydesk-b no target is left for: quaydesk; repeat with --force to go on
        exit 1
    "#]]);
    runner.assert_output(
        &["drain", "target", "quaydesk-b", "--force"],
        &expect![[r#"
            target/quaydesk-b:
              + operator: "amina"
              + state: "leaving"
            target/quaydesk-b: written as version 7
            see where it is in force: hollyhead status --wait 7
            exit 0
        "#]],
    );
    runner.assert_output(
        &["get", "data-centre"],
        &expect![[r#"
        data_centre/a                            version 6        out
        data_centre/b                            version 2        in
        exit 0
    "#]],
    );
    runner.assert_output(
        &["restore", "data-centre", "a"],
        &expect![[r#"
            data_centre/a:
              - reason: "power"
              - state: "out"
              + state: "in"
            data_centre/a: written as version 8
            see where it is in force: hollyhead status --wait 8
            exit 0
        "#]],
    );
}

#[test]
fn drain_help_has_an_example() {
    let runner = CommandRunner::new("help");
    runner.assert_output(&["drain", "--help"], &expect![[r#"
        Take a target or a data centre out

        Usage: hollyhead drain --platform=URL [--reason=TEXT] [--operator=NAME] [--force] [--dry-run] KIND
        NAME

        Options of `hollyhead drain`.
                --platform=URL   Base URL of the platform's object API
                --reason=TEXT    Why it is taken out
                --operator=NAME  Who takes it out
                                 [env:USER = "amina"]
                --force          Go on although a service is left without targets
                --dry-run        Only show what would change
            KIND                 target or data-centre
            NAME                 Name of the record

        Available options:
            -h, --help           Prints help information

        Example: hollyhead drain --platform http://10.0.0.1:8080 data-centre gnr-gift

        exit 0
    "#]]);
}

#[test]
fn status_names_instances_that_do_not_answer() {
    let runner = CommandRunner::with_records("status");
    runner.assert_output(
        &["status"],
        &expect![[r#"
        version 5 is not in force everywhere; version 0 is
        exit 1
    "#]],
    );
    let listed = hollyhead::platform::ListedInstance {
        name: "i1".into(),
        data_centre: "a".into(),
        peer: "127.0.0.1:9".parse().unwrap(),
        leaving: false,
    };
    runner.platform.set_instances(vec![listed]);
    runner.assert_output(
        &["status", "--wait", "5", "--timeout", "0"],
        &expect![[r#"
            version 5 is not in force everywhere; version 0 is
              a                                0 of 1 instances
              a/i1                             no answer: has not announced its admin address yet
            exit 1
        "#]],
    );
}
