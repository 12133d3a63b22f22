//! Reloads the settings on SIGHUP, and when polling finds that the file has changed.

use std::time::Duration;

use anyhow::Result;
use hollyhead::log_message::{REFUSED, RELOADED};
use hollyhead::settings::Settings;
use hollyhead::settings_file::SettingsFile;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::MissedTickBehavior;

const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Passes changed settings to `apply`; when the file is invalid, logs the reason and keeps the
/// current settings.
///
/// # Errors
///
/// Returns an error when the handler of SIGHUP cannot be installed; otherwise never returns.
pub async fn follow_settings(
    mut file: SettingsFile,
    mut settings: Settings,
    apply: impl Fn(&Settings),
) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(POLL_INTERVAL);
    poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_signal = tokio::select! {
            received = hangup.recv() => received.is_some(),
            _ = poll.tick() => false,
        };
        match file.reread() {
            None if is_signal => log::info!("SIGHUP: settings are unchanged"),
            None => {}
            Some(Err(err)) => {
                log::error!(
                    cause = err.to_string().as_str();
                    "{REFUSED}"
                );
            }
            Some(Ok(new)) => {
                let requiring_restart = settings.changes_requiring_restart(&new).join(",");
                apply(&new);
                log::info!(at_next_start = requiring_restart.as_str(); "{RELOADED}");
                settings = new;
            }
        }
    }
}
