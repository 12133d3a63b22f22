//! Configuration version in force at each instance of the fleet, as the instances report it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::announcement::{Announcement, INSTANCE_KIND};
use crate::ids::{DataCentreId, InstanceId, Version};
use crate::platform::{Platform, PlatformError};
use crate::record::RecordKind;

/// Maximum time to wait for the status of one instance.
pub const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two reads of the fleet status while waiting for a version.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);

value_type! {
    /// Configuration version in force at one instance.
    pub struct InstanceStatus {
        /// Name of the instance.
        pub instance: InstanceId,
        /// Data centre that the instance runs in.
        pub data_centre: DataCentreId,
        /// Version up to which every change is in force at the instance; `None` if the instance did
        /// not respond.
        pub version: Option<Version>,
        /// Reason why the instance is behind or reports an error; `None` if neither is the case.
        pub fault: Option<String>,
    }

    /// Configuration version in force at all instances of the fleet.
    pub struct FleetStatus {
        /// Version that every instance should have in force.
        pub wanted: Version,
        /// Largest version that every instance has in force; 0 if an instance did not respond or
        /// none is listed.
        pub in_force: Version,
        /// Status of each instance, ordered by data centre and name.
        pub instances: Vec<InstanceStatus>,
    }
}

#[derive(Deserialize)]
struct StatusResponse {
    in_force_version: Version,
    #[serde(default)]
    refused: Vec<String>,
    platform_fault: Option<String>,
}

impl FleetStatus {
    /// Returns whether the wanted version is in force at every instance; `false` if no instance is
    /// listed.
    pub fn is_in_force(&self) -> bool {
        self.in_force >= self.wanted && !self.instances.is_empty()
    }
}

/// Reads the status of every listed instance that is not leaving. Without `wanted`, the wanted
/// version is that of the record written last.
///
/// # Errors
///
/// Returns a [`PlatformError`] when the platform's records or its list of instances cannot be read.
pub async fn read(
    platform: &dyn Platform,
    wanted: Option<Version>,
) -> Result<FleetStatus, PlatformError> {
    let wanted = match wanted {
        Some(wanted) => wanted,
        None => newest_version(platform).await?,
    };
    let announcements = read_announcements(platform).await?;
    let mut listed = platform.instances().await?;
    listed.retain(|instance| !instance.leaving);
    listed.sort_by(|a, b| (&a.data_centre, &a.name).cmp(&(&b.data_centre, &b.name)));
    let statuses = listed.into_iter().map(|instance| {
        let admin = announcements.get(&instance.name).map(|announcement| announcement.admin);
        query_status(instance.name, instance.data_centre, admin, wanted)
    });
    let instances = futures::future::join_all(statuses).await;
    let in_force = instances.iter().map(|status| status.version.unwrap_or_default()).min();
    Ok(FleetStatus { wanted, in_force: in_force.unwrap_or_default(), instances })
}

async fn newest_version(platform: &dyn Platform) -> Result<Version, PlatformError> {
    let mut newest = 0;
    for kind in RecordKind::ALL {
        let objects = platform.list(kind.name()).await?.objects;
        newest = objects.iter().map(|object| object.version).fold(newest, Version::max);
    }
    Ok(newest)
}

async fn read_announcements(
    platform: &dyn Platform,
) -> Result<BTreeMap<InstanceId, Announcement>, PlatformError> {
    let objects = platform.list(INSTANCE_KIND).await?.objects;
    let announcements = objects.into_iter().filter_map(|object| {
        let announcement = serde_json::from_value(object.body?).ok()?;
        Some((object.name, announcement))
    });
    Ok(announcements.collect())
}

async fn query_status(
    instance: InstanceId,
    data_centre: DataCentreId,
    admin: Option<SocketAddr>,
    wanted: Version,
) -> InstanceStatus {
    let response = match admin {
        Some(admin) => fetch_status(admin).await,
        None => Err("has not announced its admin address yet".into()),
    };
    let (version, fault) = match response {
        Ok(status) => (Some(status.in_force_version), status.fault(wanted)),
        Err(reason) => (None, Some(reason)),
    };
    InstanceStatus { instance, data_centre, version, fault }
}

impl StatusResponse {
    fn fault(&self, wanted: Version) -> Option<String> {
        if let Some(refused) = self.refused.first() {
            return Some(format!("keeps the last good record: {refused}"));
        }
        if let Some(fault) = &self.platform_fault {
            return Some(fault.clone());
        }
        (self.in_force_version < wanted).then(|| "has not received the change yet".into())
    }
}

async fn fetch_status(admin: SocketAddr) -> Result<StatusResponse, String> {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{admin}/status").parse().map_err(|err| format!("{err}"))?;
    let response = async {
        let response =
            client.get(uri).await.map_err(|err| format!("request to {admin} failed: {err}"))?;
        let body = response.into_body().collect().await.map_err(|err| err.to_string())?;
        serde_json::from_slice(&body.to_bytes())
            .map_err(|err| format!("invalid status response: {err}"))
    };
    let response = tokio::time::timeout(STATUS_TIMEOUT, response).await;
    response.map_err(|_| format!("no response from {admin} within {STATUS_TIMEOUT:?}"))?
}
