//! A small deployment of separate processes on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use hollyhead::http_platform::HttpPlatform;
use hollyhead::platform::{ListedInstance, Platform, Precondition};
use http::{header, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{json, Value};

use crate::fabric::Fabric;
use crate::instance_settings;
use crate::process::{stand_in_path, Process};
use crate::records;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(50);

/// One instance of a deployment.
pub struct Instance {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Its process.
    pub process: Process,
}

/// One service of a deployment.
pub struct ServiceProcesses {
    /// Name.
    pub name: String,
    /// Address of the packet forwarder.
    pub address: SocketAddr,
    /// Its backend servers.
    pub backend_servers: Vec<Process>,
}

/// A deployment of separate processes; dropping it kills them.
pub struct Deployment {
    entry_program: PathBuf,
    settings_dir: PathBuf,
    /// The fabric, in the process of the test.
    pub fabric: Arc<Fabric>,
    /// The platform's process.
    pub platform: Process,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Services.
    pub services: Vec<ServiceProcesses>,
}

impl Deployment {
    /// Starts the platform and nothing else. `entry_program` is the daemon, and settings files go
    /// to `settings_dir`.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn new(entry_program: &Path, settings_dir: &Path, seed: u64) -> Result<Self> {
        let platform = Process::start(&stand_in_path(entry_program)?, &["platform"])?;
        std::fs::create_dir_all(settings_dir)?;
        Ok(Self {
            entry_program: entry_program.to_owned(),
            settings_dir: settings_dir.to_owned(),
            fabric: Arc::new(Fabric::new(seed).await?),
            platform,
            instances: Vec::new(),
            services: Vec::new(),
        })
    }

    /// Returns a client of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform told no address.
    pub fn platform(&self) -> Result<HttpPlatform> {
        Ok(HttpPlatform::new(format!("http://{}", self.platform.address("platform")?)))
    }

    /// Starts a service with `count` targets in each data centre and writes its records.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn add_service(
        &mut self,
        name: &str,
        address: SocketAddr,
        data_centres: &[&str],
        count: usize,
    ) -> Result<()> {
        let platform = self.platform()?;
        put(&platform, "service", name, records::service(name, address)).await?;
        let backend_servers = Vec::new();
        self.services.push(ServiceProcesses { name: name.into(), address, backend_servers });
        for data_centre in data_centres {
            self.add_targets(name, data_centre, count).await?;
        }
        Ok(())
    }

    /// Starts `count` more targets of a service in a data centre and writes their records.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn add_targets(
        &mut self,
        service: &str,
        data_centre: &str,
        count: usize,
    ) -> Result<()> {
        let platform = self.platform()?;
        let index = self.services.iter().position(|known| known.name == service);
        let index = index.with_context(|| format!("no service {service}"))?;
        let address = self.services[index].address;
        for _ in 0..count {
            let number = self.services[index].backend_servers.len();
            let target = format!("{service}-{data_centre}-{number}");
            let process = self.start_backend_server(&target, service, address)?;
            let (tunnel, request) = (process.address("tunnel")?, process.address("request")?);
            let record = records::target(&target, service, data_centre, tunnel, request);
            put(&platform, "target", &target, record).await?;
            self.services[index].backend_servers.push(process);
        }
        Ok(())
    }

    fn start_backend_server(
        &self,
        target: &str,
        service: &str,
        address: SocketAddr,
    ) -> Result<Process> {
        let address = address.to_string();
        let args = ["backend-server", "--name", target, "--service", service];
        let args = [&args[..], &["--service-address", &address]].concat();
        Process::start(&stand_in_path(&self.entry_program)?, &args)
    }

    /// Starts an instance and tells the platform and the fabric of it.
    ///
    /// # Errors
    ///
    /// Returns why it did not start.
    pub async fn add_instance(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let file = self.settings_dir.join(format!("{name}.ini"));
        let platform = self.platform.address("platform")?;
        let text = instance_settings::text(name, data_centre, platform, self.fabric.egress()?);
        std::fs::write(&file, text)?;
        let process =
            Process::start(&self.entry_program, &["--config".as_ref(), file.as_os_str()])?;
        let (name, data_centre) = (name.into(), data_centre.into());
        self.instances.push(Instance { name, data_centre, process });
        self.announce().await
    }

    /// Starts an instance in place of another one, which then leaves gracefully.
    ///
    /// # Errors
    ///
    /// Returns what did not start or did not end well.
    pub async fn replace_instance(&mut self, index: usize, name: &str) -> Result<()> {
        let data_centre = self.instances[index].data_centre.clone();
        self.add_instance(name, &data_centre).await?;
        self.wait_until_ready().await?;
        let mut old = self.instances.remove(index);
        old.process.signal("TERM")?;
        self.announce().await?;
        let ended = tokio::task::spawn_blocking(move || old.process.wait()).await??;
        anyhow::ensure!(ended, "{name}'s predecessor did not end well");
        Ok(())
    }

    /// Kills an instance; the platform and the fabric are told of it.
    ///
    /// # Errors
    ///
    /// Returns why it could not be killed.
    pub async fn kill_instance(&mut self, index: usize) -> Result<()> {
        self.instances.remove(index).process.kill()?;
        self.announce().await
    }

    /// Tells the platform and the fabric of the instances there are.
    ///
    /// # Errors
    ///
    /// Returns why they could not be told.
    pub async fn announce(&self) -> Result<()> {
        let listed: Result<Vec<_>> = self.instances.iter().map(listed).collect();
        let url = format!("http://{}/v1/instances", self.platform.address("platform")?);
        http_call(Method::PUT, &url, &[], serde_json::to_vec(&listed?)?).await?;
        let addresses: Result<Vec<_>> =
            self.instances.iter().map(|instance| instance.process.address("flow")).collect();
        self.fabric.set_instances(addresses?);
        Ok(())
    }

    /// Waits until every instance sees all others and the newest configuration.
    ///
    /// # Errors
    ///
    /// Returns the last status when that takes too long.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let version = self.platform()?.list("service").await?.version;
        let wait = async {
            for instance in &self.instances {
                while !self.is_ready(instance, version).await {
                    tokio::time::sleep(READY_POLL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait).await.context("deployment is not ready")
    }

    async fn is_ready(&self, instance: &Instance, version: u64) -> bool {
        let Ok(status) = self.status(instance).await else { return false };
        let members = status["members"].as_array().map_or(0, Vec::len);
        members == self.instances.len() && status["complete_version"].as_u64() >= Some(version)
    }

    /// Returns the status of an instance.
    ///
    /// # Errors
    ///
    /// Returns why it does not answer.
    pub async fn status(&self, instance: &Instance) -> Result<Value> {
        let url = format!("http://{}/status", instance.process.address("admin")?);
        let (_, body) = http_call(Method::GET, &url, &[], Vec::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

fn listed(instance: &Instance) -> Result<ListedInstance> {
    Ok(ListedInstance {
        name: instance.name.as_str().into(),
        data_centre: instance.data_centre.as_str().into(),
        peer: instance.process.address("peer")?,
        leaving: false,
    })
}

async fn put(platform: &HttpPlatform, kind: &str, name: &str, body: Value) -> Result<()> {
    platform.put(kind, name, body, Precondition::Absent).await?;
    Ok(())
}

/// Makes one HTTP call and returns status and body of the answer.
///
/// # Errors
///
/// Returns why there was no whole answer.
pub async fn http_call(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<(u16, Bytes)> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut builder = Request::builder().method(method).uri(url);
    builder = builder.header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = client.request(builder.body(Full::new(Bytes::from(body)))?).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

/// Returns an empty JSON object, the body of a request that needs none.
pub fn empty_body() -> Vec<u8> {
    json!({}).to_string().into_bytes()
}
