//! Settings file of a running instance, which is reloaded when its text changes.

use std::path::{Path, PathBuf};

use crate::settings::{read_text, Settings, SettingsError};

/// A settings file and the result of its last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Text of the file, or the message of the error that reading it gave.
    last_read: Result<String, String>,
}

impl SettingsFile {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or all of its faults at once.
    pub fn open(path: &Path) -> Result<(Self, Settings), SettingsError> {
        let text = read_text(path)?;
        let settings = Settings::parse(path, &text)?;
        Ok((Self { path: path.to_owned(), last_read: Ok(text) }, settings))
    }

    /// Reads the file again; `None` when it gives the same text or error as the last read.
    ///
    /// # Errors
    ///
    /// Returns an error when a changed file cannot be read or has faults. Each error is reported
    /// once, not again until the file changes.
    pub fn reread(&mut self) -> Option<Result<Settings, SettingsError>> {
        let read = read_text(&self.path);
        let text = read.as_ref().cloned().map_err(ToString::to_string);
        if text == self.last_read {
            return None;
        }
        self.last_read = text;
        Some(read.and_then(|text| Settings::parse(&self.path, &text)))
    }
}

impl Settings {
    /// Returns the names of the settings that differ in `new` and take effect only after a
    /// restart.
    pub fn changes_requiring_restart(&self, new: &Settings) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("data_centre", self.data_centre != new.data_centre),
            ("flow", self.flow != new.flow),
            ("peer", self.peer != new.peer),
            ("peer_advertised", self.peer_advertised != new.peer_advertised),
            ("request", self.request != new.request),
            ("admin", self.admin != new.admin),
            ("egress", self.egress != new.egress),
            ("url", self.platform_url != new.platform_url),
            ("api", self.platform_api != new.platform_api),
            ("seeds", self.seeds != new.seeds),
            ("keys", self.flow_key != new.flow_key || self.peer_keys != new.peer_keys),
            ("form", self.form != new.form),
            ("capacity", self.flow_capacity != new.flow_capacity),
            ("owners_per_service", self.owners_per_service != new.owners_per_service),
            ("picker", self.picker != new.picker),
            ("health_path", self.health_path != new.health_path),
            ("workers", self.workers != new.workers),
            ("sampled_per_million", self.sampled_per_million != new.sampled_per_million),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
