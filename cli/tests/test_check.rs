//! Tests of `hollyhead check`: its exit codes, error messages and help.

use std::process::{Command, Output};

use expect_test::expect;

fn hollyhead(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_hollyhead");
    Command::new(program).args(args).output().expect("program runs")
}

fn write_settings_file(name: &str, text: &str) -> String {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(name);
    std::fs::write(&file, text).expect("file is written");
    file.display().to_string()
}

#[test]
fn check_faulty_file_exits_with_2() {
    let file = write_settings_file("faulty.ini", "[listen]\nflow = here\n");
    let output = hollyhead(&["check", &file]);
    let text = String::from_utf8_lossy(&output.stdout).replace(&file, "FILE");
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        FILE: [instance] name: must be set
        FILE: [instance] data_centre: must be set
        FILE: [listen] peer: must be set
        FILE: [listen] request: must be set
        FILE: [fabric] egress: must be set
        FILE: [platform] url: must be set
        FILE: [keys] flow: must be set
        FILE: [keys] peer: must be set
        FILE:2: [listen] flow: "here" is not an IP address and port, such as 10.0.0.1:6080
    "#]]
    .assert_eq(&text);
}

#[test]
fn check_help_shows_example() {
    let output = hollyhead(&["check", "--help"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("Example: hollyhead check entry.ini"), "{text}");
}

#[test]
fn check_without_file_names_what_is_missing() {
    let output = hollyhead(&["check"]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("name at least one settings file"), "{text}");
}
