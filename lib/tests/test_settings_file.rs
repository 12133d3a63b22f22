//! Settings files that change while an instance runs.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use hollyhead::settings_file::SettingsFile;
use testutils::instance_settings;

/// A settings file that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).unwrap();
    }
}

fn text() -> String {
    let any = ([127, 0, 0, 1], 1).into();
    instance_settings::text("entry-1", "horn-east-a", any, any)
}

#[test]
fn reread_of_an_unchanged_file_is_nothing() {
    let file = Scratch::new("unchanged.ini", &text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    assert!(settings.reread().is_none());
}

#[test]
fn reread_of_a_changed_file_gives_its_settings() {
    let file = Scratch::new("changed.ini", &text());
    let (mut settings, old) = SettingsFile::open(&file.0).unwrap();
    file.write(&format!("{}[stop]\ngrace_ms = 9000\n", text()));
    let new = settings.reread().unwrap().unwrap();
    assert_eq!(new.stop_grace.as_millis(), 9_000);
    assert!(old.fixed_changes(&new).is_empty());
    assert!(settings.reread().is_none());
}

#[test]
fn reread_of_a_faulty_file_tells_line_and_key_once() {
    let file = Scratch::new("faulty.ini", &text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    file.write(&format!("{}[stop]\ngrace_ms = soon\n", text()));
    let err = settings.reread().unwrap().unwrap_err().to_string();
    let line = text().lines().count() + 2;
    assert!(err.contains("grace_ms") && err.contains(&line.to_string()), "{err}");
    assert!(settings.reread().is_none());
    file.write(&text());
    assert!(settings.reread().unwrap().is_ok());
}

#[test]
fn reread_of_a_file_that_is_gone_is_refused_once() {
    let file = Scratch::new("gone.ini", &text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    std::fs::remove_file(&file.0).unwrap();
    assert!(settings.reread().unwrap().is_err());
    assert!(settings.reread().is_none());
    file.write(&text());
}

#[test]
fn fixed_changes_are_named() {
    let file = Scratch::new("fixed.ini", &text());
    let (mut settings, old) = SettingsFile::open(&file.0).unwrap();
    file.write(&text().replace("entry-1", "entry-2"));
    let new = settings.reread().unwrap().unwrap();
    assert_eq!(old.fixed_changes(&new), ["name"]);
}
