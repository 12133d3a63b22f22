//! Registry of plug-ins, which register themselves and are named in settings.

use std::sync::Arc;

use thiserror::Error;

use crate::platform::Platform;
use crate::segment::{SegmentFormat, SegmentFormatPlugin};
use crate::table::Picker;

/// A picker that registered itself.
pub struct PickerPlugin {
    /// Name by which settings choose it.
    pub name: &'static str,
    /// Creates the picker.
    pub create: fn() -> Arc<dyn Picker>,
}

inventory::collect!(PickerPlugin);

/// A client of a platform that registered itself.
pub struct PlatformPlugin {
    /// Name by which settings choose it.
    pub name: &'static str,
    /// Creates a client for a base URL.
    pub create: fn(&str) -> Arc<dyn Platform>,
}

inventory::collect!(PlatformPlugin);

/// Reason why a plug-in cannot be had.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PluginError {
    /// No plug-in of that name registered itself.
    #[error("no picker named {name:?}; known pickers: {known}")]
    UnknownPicker {
        /// The name that was asked for.
        name: String,
        /// The names that are known, separated by commas.
        known: String,
    },
    /// No wire form of that name registered itself.
    #[error("no wire form named {name:?}; known forms: {known}")]
    UnknownFormat {
        /// The name that was asked for.
        name: String,
        /// The names that are known, separated by commas.
        known: String,
    },
    /// No client of a platform of that name registered itself.
    #[error("no platform client named {name:?}; known clients: {known}")]
    UnknownPlatform {
        /// The name that was asked for.
        name: String,
        /// The names that are known, separated by commas.
        known: String,
    },
}

/// Creates the picker named `name`.
///
/// # Errors
///
/// Returns [`PluginError::UnknownPicker`] when no picker has that name.
pub fn picker(name: &str) -> Result<Arc<dyn Picker>, PluginError> {
    let found = inventory::iter::<PickerPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok((plugin.create)()),
        None => {
            let known = inventory::iter::<PickerPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownPicker { name: name.into(), known: list(known) })
        }
    }
}

/// Creates the wire form named `name`.
///
/// # Errors
///
/// Returns [`PluginError::UnknownFormat`] when no wire form has that name.
pub fn segment_format(name: &str) -> Result<Arc<dyn SegmentFormat>, PluginError> {
    let found =
        inventory::iter::<SegmentFormatPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok((plugin.create)()),
        None => {
            let known =
                inventory::iter::<SegmentFormatPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownFormat { name: name.into(), known: list(known) })
        }
    }
}

/// Creates a client of the platform by the API named `name`, for a base URL.
///
/// # Errors
///
/// Returns [`PluginError::UnknownPlatform`] when no client has that name.
pub fn platform(name: &str, url: &str) -> Result<Arc<dyn Platform>, PluginError> {
    let found = inventory::iter::<PlatformPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok((plugin.create)(url)),
        None => {
            let known = inventory::iter::<PlatformPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownPlatform { name: name.into(), known: list(known) })
        }
    }
}

fn list(names: impl Iterator<Item = &'static str>) -> String {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names.join(", ")
}
