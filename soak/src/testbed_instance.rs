//! Instance of a testbed: its process, its settings and its path to the object store.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use parking_lot::Mutex;
use smol_str::{format_smolstr, SmolStr};
use testutils::fault_proxy::ConnectionProxy;
use testutils::flow_router::RoutedInstance;
use testutils::instance_settings::{cookie_text, CookieAddresses};
use testutils::object_server::ObjectServer;
use testutils::object_store::ObjectStore;

use crate::addresses::Addresses;
use crate::checker::OUTAGE_BOUND;
use crate::instance_process::InstanceProcess;
use crate::testbed::DATA_CENTRES;

/// Number of instances that the settings list as seeds for discovering other members, as few as the
/// users' platform lists.
const SEED_INSTANCES: usize = 3;
/// Time between SIGTERM and SIGKILL.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);
/// Factor by which the flow rate of cold targets may exceed their capacity.
pub(crate) const COLD_MULTIPLIER: f64 = 1.5;
/// Number of flows per second that cold targets may receive beyond that factor.
pub(crate) const COLD_SLACK: usize = 5;

/// Instance of a testbed.
pub(crate) struct Instance {
    pub(crate) name: SmolStr,
    pub(crate) data_centre: SmolStr,
    pub(crate) settings: String,
    pub(crate) process: Mutex<InstanceProcess>,
    pub(crate) store: ObjectServer,
    pub(crate) path_to_store: ConnectionProxy,
}

impl Instance {
    /// Starts the servers around an instance and writes its settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a file cannot be written.
    pub(crate) async fn prepare(
        program: &Path,
        dir: &Path,
        index: usize,
        addresses: &Addresses,
        store: &Arc<ObjectStore>,
    ) -> Result<Self> {
        let data_centre = SmolStr::new(DATA_CENTRES[index % DATA_CENTRES.len()]);
        let name = format_smolstr!("entry-{data_centre}-{index}");
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let store = ObjectServer::start(Arc::clone(store), any).await?;
        let path_to_store = ConnectionProxy::start(store.address()).await?;
        let addresses = CookieAddresses {
            flow: addresses.flow(index).into(),
            peer: addresses.peer(index),
            peer_advertised: Some(addresses.peer_proxy(index)),
            admin: addresses.admin(index),
            platform: path_to_store.address(),
            seeds: (0..SEED_INSTANCES).map(|index| addresses.peer_proxy(index)).collect(),
        };
        let settings = format!(
            "{}outage_bound_ms = {}\ncold_multiplier = {COLD_MULTIPLIER}\n\
             cold_slack = {COLD_SLACK}\n[stop]\ngrace_ms = {}\n",
            cookie_text(&name, &data_centre, &addresses),
            OUTAGE_BOUND.as_millis(),
            STOP_GRACE.as_millis(),
        );
        let process = Mutex::new(InstanceProcess::new(program, dir, &name, &settings)?);
        Ok(Self { name, data_centre, settings, process, store, path_to_store })
    }
}

/// Returns the function that describes an instance, with its index, to the router.
pub(crate) fn routed_instance(
    addresses: &Addresses,
) -> impl Fn((usize, &Instance)) -> RoutedInstance + '_ {
    |(index, instance)| RoutedInstance {
        name: instance.name.clone(),
        data_centre: instance.data_centre.clone(),
        flow: addresses.flow(index),
        admin: addresses.admin(index),
    }
}
