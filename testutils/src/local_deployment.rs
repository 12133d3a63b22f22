//! A small deployment in one process, for tests and demonstrations. Instances and stand-ins are
//! tasks that communicate over loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use hollyhead::entry::Entry;
use hollyhead::platform::ListedInstance;
use hollyhead::settings::Settings;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

use crate::backend_server::{BackendServer, Journal};
use crate::fabric::Fabric;
use crate::instance_settings;
use crate::memory_platform::MemoryPlatform;
use crate::{platform_server, records};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// A target of a local deployment.
pub struct LocalTarget {
    /// Name, as in the record.
    pub name: String,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Journal of the requests that the target received.
    pub journal: Arc<Journal>,
}

/// A deployment in one process. Dropping it stops its tasks.
pub struct LocalDeployment {
    /// Stand-in for the platform.
    pub platform: Arc<MemoryPlatform>,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Stand-in for the fabric.
    pub fabric: Arc<Fabric>,
    /// Names and handles of the running instances, in the order of their start.
    pub entries: Vec<(String, Entry)>,
    /// Targets of all services, in the order of their start.
    pub targets: Vec<LocalTarget>,
    data_centres: Vec<String>,
    tasks: JoinSet<()>,
}

impl LocalDeployment {
    /// Starts the platform and the fabric, without instances or services. `seed` determines the
    /// random choices of the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if an address on loopback cannot be bound.
    pub async fn new(seed: u64) -> Result<Self> {
        let platform = Arc::new(MemoryPlatform::default());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(platform_server::serve(Arc::clone(&platform), listener));
        Ok(Self {
            platform,
            platform_address,
            fabric: Arc::new(Fabric::new(seed).await?),
            entries: Vec::new(),
            targets: Vec::new(),
            data_centres: Vec::new(),
            tasks,
        })
    }

    /// Writes the record of a data centre that is in service.
    pub fn add_data_centre(&mut self, name: &str, region: &str) {
        let body = records::data_centre(name, region, "in");
        self.platform.force_put("data_centre", name, body);
        self.data_centres.push(name.into());
    }

    /// Adds a service with `count` targets in each data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if an address on loopback cannot be bound.
    pub async fn add_service(
        &mut self,
        name: &str,
        address: SocketAddr,
        count: usize,
    ) -> Result<()> {
        self.platform.force_put("service", name, records::service(name, address));
        for data_centre in self.data_centres.clone() {
            for number in 1..=count {
                let target = format!("{name}-{data_centre}-{number}");
                self.add_target(&target, name, &data_centre, address).await?;
            }
        }
        Ok(())
    }

    async fn add_target(
        &mut self,
        name: &str,
        service: &str,
        data_centre: &str,
        address: SocketAddr,
    ) -> Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (tunnel, request) = (socket.local_addr()?, listener.local_addr()?);
        let body = records::target(name, service, data_centre, tunnel, request);
        self.platform.force_put("target", name, body);
        let server = BackendServer {
            name: name.into(),
            service: service.into(),
            service_address: address,
            service_time: Duration::from_millis(5),
        };
        let journal = Arc::new(Journal::default());
        self.tasks.spawn(server.clone().serve_requests(listener, Arc::clone(&journal)));
        self.tasks.spawn(server.serve_flows(socket));
        self.targets.push(LocalTarget { name: name.into(), service: service.into(), journal });
        Ok(())
    }

    /// Starts an instance, and adds it to the platform's list of instances and to the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be started.
    pub async fn add_instance(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let egress = self.fabric.egress()?;
        let text = instance_settings::text(name, data_centre, self.platform_address, egress);
        let settings = Settings::parse(Path::new(name), &text)?;
        let entry = Entry::start(&settings).await?;
        self.entries.push((name.into(), entry));
        self.announce();
        Ok(())
    }

    /// Starts an instance in the data centre of the instance at `index`, waits until it is ready,
    /// and then makes the old one leave gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the new instance cannot be started or does not become ready.
    pub async fn replace_instance(&mut self, index: usize, name: &str) -> Result<()> {
        let data_centre = self.entries[index].1.kernel().data_centre().clone();
        self.add_instance(name, &data_centre).await?;
        self.wait_until_ready().await?;
        let (_, entry) = self.entries.remove(index);
        self.announce();
        entry.leave().await;
        Ok(())
    }

    /// Stops an instance without a graceful leave, and removes it from the platform's list of
    /// instances and from the fabric.
    pub fn kill_instance(&mut self, index: usize) {
        self.entries.remove(index);
        self.announce();
    }

    /// Writes the record of a data centre. `state` is `in` or `out`, for in service and out of
    /// service.
    pub fn set_data_centre(&self, name: &str, region: &str, state: &str) {
        let body = records::data_centre(name, region, state);
        self.platform.force_put("data_centre", name, body);
    }

    fn announce(&self) {
        self.platform.set_instances(self.entries.iter().map(listed_instance).collect());
        let addresses = self.entries.iter().map(|(_, entry)| entry.addresses().flow).collect();
        self.fabric.set_instances(addresses);
    }

    /// Waits until every instance has all others in its membership list and has received a
    /// configuration with all targets.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not ready within the timeout.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let wait = async {
            while !self.is_ready() {
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait)
            .await
            .context("deployment did not become ready in time")
    }

    fn is_ready(&self) -> bool {
        self.entries.iter().all(|(_, entry)| {
            let plan = entry.kernel().plan();
            let has_all_members = plan.view.members().len() == self.entries.len();
            has_all_members && plan.config.targets().count() == self.targets.len()
        })
    }
}

fn listed_instance((name, entry): &(String, Entry)) -> ListedInstance {
    ListedInstance {
        name: name.as_str().into(),
        data_centre: entry.kernel().data_centre().clone(),
        peer: entry.addresses().peer,
        leaving: false,
    }
}
