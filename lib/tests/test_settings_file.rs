//! Reloading of settings files that change while an instance runs.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use hollyhead::settings_file::SettingsFile;
use testutils::instance_settings;

/// A temporary settings file that is removed when dropped.
struct TempSettings(PathBuf);

impl TempSettings {
    fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }
}

impl Drop for TempSettings {
    fn drop(&mut self) {
        std::fs::remove_file(&self.0).unwrap();
    }
}

fn settings_text() -> String {
    let any = ([127, 0, 0, 1], 1).into();
    instance_settings::text("entry-1", "horn-east-a", any, any)
}

#[test]
fn reread_of_an_unchanged_file_is_nothing() {
    let file = TempSettings::new("unchanged.ini", &settings_text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    assert!(settings.reread().is_none());
}

#[test]
fn reread_of_a_changed_file_gives_its_settings() {
    let file = TempSettings::new("changed.ini", &settings_text());
    let (mut settings, old) = SettingsFile::open(&file.0).unwrap();
    file.write(&format!("{}[stop]\ngrace_ms = 9000\n", settings_text()));
    let new = settings.reread().unwrap().unwrap();
    assert_eq!(new.stop_grace.as_millis(), 9_000);
    assert!(old.changes_requiring_restart(&new).is_empty());
    assert!(settings.reread().is_none());
}

#[test]
fn reread_of_a_faulty_file_tells_line_and_key_once() {
    let file = TempSettings::new("faulty.ini", &settings_text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    file.write(&format!("{}[stop]\ngrace_ms = soon\n", settings_text()));
    let err = settings.reread().unwrap().unwrap_err().to_string();
    let line = settings_text().lines().count() + 2;
    assert!(err.contains("grace_ms") && err.contains(&line.to_string()), "{err}");
    assert!(settings.reread().is_none());
    file.write(&settings_text());
    assert!(settings.reread().unwrap().is_ok());
}

#[test]
fn reread_of_a_file_that_is_gone_is_refused_once() {
    let file = TempSettings::new("gone.ini", &settings_text());
    let (mut settings, _) = SettingsFile::open(&file.0).unwrap();
    std::fs::remove_file(&file.0).unwrap();
    assert!(settings.reread().unwrap().is_err());
    assert!(settings.reread().is_none());
    file.write(&settings_text());
}

#[test]
fn changes_requiring_restart_are_named() {
    let file = TempSettings::new("fixed.ini", &settings_text());
    let (mut settings, old) = SettingsFile::open(&file.0).unwrap();
    file.write(&settings_text().replace("entry-1", "entry-2"));
    let new = settings.reread().unwrap().unwrap();
    assert_eq!(old.changes_requiring_restart(&new), ["name"]);
}
