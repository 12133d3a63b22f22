//! Registries of plug-ins, which settings select by name. A plug-in adds itself to its registry
//! with `inventory::submit!`.

use std::sync::Arc;

use thiserror::Error;

use crate::default_table::{Picker, PickerPlugin};
use crate::platform::Platform;
use crate::routing_document::RoutingDecoder;
use crate::segment::{SegmentFormat, SegmentFormatPlugin};

/// A platform client in the registry.
pub struct PlatformPlugin {
    /// Name by which settings select it.
    pub name: &'static str,
    /// Creates a client of the API at a base URL.
    pub create: fn(&str) -> Arc<dyn Platform>,
    /// Decodes a routing document as the operator writes it to the platform.
    pub decode_routing: RoutingDecoder,
}

inventory::collect!(PlatformPlugin);

/// Reason why no plug-in could be created.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PluginError {
    /// No picker has the name.
    #[error("no picker named {name:?}; known pickers: {known}")]
    UnknownPicker {
        /// Name that the settings give.
        name: String,
        /// Names in the registry, separated by commas.
        known: String,
    },
    /// No wire format has the name.
    #[error("no wire format named {name:?}; known formats: {known}")]
    UnknownFormat {
        /// Name that the settings give.
        name: String,
        /// Names in the registry, separated by commas.
        known: String,
    },
    /// No platform client has the name.
    #[error("no platform client named {name:?}; known clients: {known}")]
    UnknownPlatform {
        /// Name that the settings give.
        name: String,
        /// Names in the registry, separated by commas.
        known: String,
    },
}

/// Creates the picker named `name`.
///
/// # Errors
///
/// Returns [`PluginError::UnknownPicker`] if no picker has that name.
pub fn picker(name: &str) -> Result<Arc<dyn Picker>, PluginError> {
    let found = inventory::iter::<PickerPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok((plugin.create)()),
        None => {
            let known = inventory::iter::<PickerPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownPicker { name: name.into(), known: join_names(known) })
        }
    }
}

/// Creates the wire format named `name`.
///
/// # Errors
///
/// Returns [`PluginError::UnknownFormat`] if no wire format has that name.
pub fn segment_format(name: &str) -> Result<Arc<dyn SegmentFormat>, PluginError> {
    let found =
        inventory::iter::<SegmentFormatPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok((plugin.create)()),
        None => {
            let known =
                inventory::iter::<SegmentFormatPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownFormat { name: name.into(), known: join_names(known) })
        }
    }
}

/// Creates the platform client named `name`, for the API at the base URL `url`.
///
/// # Errors
///
/// Returns [`PluginError::UnknownPlatform`] if no client has that name.
pub fn platform(name: &str, url: &str) -> Result<Arc<dyn Platform>, PluginError> {
    Ok((platform_plugin(name)?.create)(url))
}

/// Returns the decoder of routing documents that the client named `name` uses.
///
/// # Errors
///
/// Returns [`PluginError::UnknownPlatform`] if no client has that name.
pub fn routing_decoder(name: &str) -> Result<RoutingDecoder, PluginError> {
    Ok(platform_plugin(name)?.decode_routing)
}

fn platform_plugin(name: &str) -> Result<&'static PlatformPlugin, PluginError> {
    let found = inventory::iter::<PlatformPlugin>.into_iter().find(|plugin| plugin.name == name);
    match found {
        Some(plugin) => Ok(plugin),
        None => {
            let known = inventory::iter::<PlatformPlugin>.into_iter().map(|plugin| plugin.name);
            Err(PluginError::UnknownPlatform { name: name.into(), known: join_names(known) })
        }
    }
}

fn join_names(names: impl Iterator<Item = &'static str>) -> String {
    let mut names: Vec<_> = names.collect();
    names.sort_unstable();
    names.join(", ")
}
