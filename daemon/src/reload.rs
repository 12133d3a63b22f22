//! Reading of the settings again: at SIGHUP, and when the file changed without a signal.

use std::time::Duration;

use anyhow::Result;
use hollyhead::log_message::{REFUSED, RELOADED};
use hollyhead::settings::Settings;
use hollyhead::settings_file::SettingsFile;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::MissedTickBehavior;

/// Time between two looks at the settings file.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Hands changed settings to `apply`; a faulty file is refused and the former settings stay in
/// force. Returns only when signals cannot be received.
pub async fn follow_settings(
    mut file: SettingsFile,
    mut settings: Settings,
    apply: impl Fn(&Settings),
) -> Result<()> {
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut looks = tokio::time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_signal = tokio::select! {
            received = hang_up.recv() => received.is_some(),
            _ = looks.tick() => false,
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
                let fixed = settings.fixed_changes(&new).join(",");
                apply(&new);
                log::info!(at_next_start = fixed.as_str(); "{RELOADED}");
                settings = new;
            }
        }
    }
}
