//! A small deployment on loopback for tests, in which each instance and each stand-in is a process.

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
    /// Name, as in the settings.
    pub name: String,
    /// Data centre, as in the settings.
    pub data_centre: String,
    /// Process of the daemon.
    pub process: Process,
}

/// One service of a deployment.
pub struct ServiceProcesses {
    /// Name, as in the record.
    pub name: String,
    /// Address at which callers reach the service through the fabric.
    pub address: SocketAddr,
    /// Processes of the backend servers, in the order of their start.
    pub backend_servers: Vec<Process>,
}

/// A deployment of separate processes. Dropping it kills them.
pub struct Deployment {
    daemon_path: PathBuf,
    settings_dir: PathBuf,
    /// The fabric, which runs in the process of the test.
    pub fabric: Arc<Fabric>,
    /// Process of the stand-in platform.
    pub platform: Process,
    /// Running instances, in the order of their start.
    pub instances: Vec<Instance>,
    /// Services, in the order in which they were added.
    pub services: Vec<ServiceProcesses>,
}

impl Deployment {
    /// Starts the stand-in platform, without instances or services. `daemon_path` is the path of
    /// the daemon's program, and settings files are written to `settings_dir`. `seed` determines
    /// the random choices of the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the platform cannot be updated.
    pub async fn new(daemon_path: &Path, settings_dir: &Path, seed: u64) -> Result<Self> {
        let platform = Process::start(&stand_in_path(daemon_path)?, &["platform"])?;
        std::fs::create_dir_all(settings_dir)?;
        Ok(Self {
            daemon_path: daemon_path.to_owned(),
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
    /// Returns an error if the platform's process printed no address.
    pub fn platform(&self) -> Result<HttpPlatform> {
        Ok(HttpPlatform::new(format!("http://{}", self.platform.address("platform")?)))
    }

    /// Starts a service with `count` targets in each data centre, and writes the records of the
    /// service and its targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the platform cannot be updated.
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

    /// Starts `count` more targets of a service in a data centre, and writes their records.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the platform cannot be updated.
    pub async fn add_targets(
        &mut self,
        service: &str,
        data_centre: &str,
        count: usize,
    ) -> Result<()> {
        let platform = self.platform()?;
        let index = self.services.iter().position(|known| known.name == service);
        let index = index.with_context(|| format!("deployment has no service named {service}"))?;
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
        Process::start(&stand_in_path(&self.daemon_path)?, &args)
    }

    /// Starts an instance, and adds it to the platform's list of instances and to the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not start or the platform cannot be updated.
    pub async fn add_instance(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let file = self.settings_dir.join(format!("{name}.ini"));
        let platform = self.platform.address("platform")?;
        let text = instance_settings::text(name, data_centre, platform, self.fabric.egress()?);
        std::fs::write(&file, text)?;
        let process = Process::start(&self.daemon_path, &["--config".as_ref(), file.as_os_str()])?;
        let (name, data_centre) = (name.into(), data_centre.into());
        self.instances.push(Instance { name, data_centre, process });
        self.announce().await
    }

    /// Starts an instance in the data centre of the instance at `index`, waits until it is ready,
    /// and then makes the old one leave gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the new instance does not become ready or the old one exits with a
    /// failure.
    pub async fn replace_instance(&mut self, index: usize, name: &str) -> Result<()> {
        let data_centre = self.instances[index].data_centre.clone();
        self.add_instance(name, &data_centre).await?;
        self.wait_until_ready().await?;
        let mut old = self.instances.remove(index);
        old.process.signal("TERM")?;
        self.announce().await?;
        let ended = tokio::task::spawn_blocking(move || old.process.wait()).await??;
        anyhow::ensure!(ended, "instance that {name} replaced exited with a failure");
        Ok(())
    }

    /// Kills an instance, and removes it from the platform's list of instances and from the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot be killed or the platform cannot be updated.
    pub async fn kill_instance(&mut self, index: usize) -> Result<()> {
        self.instances.remove(index).process.kill()?;
        self.announce().await
    }

    /// Replaces the instances in the platform's list and in the fabric by the running ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be updated or an instance printed no address.
    pub async fn announce(&self) -> Result<()> {
        let instances: Result<Vec<_>> = self.instances.iter().map(listed_instance).collect();
        let url = format!("http://{}/v1/instances", self.platform.address("platform")?);
        http_call(Method::PUT, &url, &[], serde_json::to_vec(&instances?)?).await?;
        let addresses: Result<Vec<_>> =
            self.instances.iter().map(|instance| instance.process.address("flow")).collect();
        self.fabric.set_instances(addresses?);
        Ok(())
    }

    /// Waits until every instance has all others in its membership list and has received the newest
    /// configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if they are not ready within the timeout or the platform does not answer.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let version = self.platform()?.list("service").await?.version;
        let wait = async {
            for instance in &self.instances {
                while !self.is_ready(instance, version).await {
                    tokio::time::sleep(READY_POLL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait)
            .await
            .context("deployment did not become ready in time")
    }

    async fn is_ready(&self, instance: &Instance, version: u64) -> bool {
        let Ok(status) = self.status(instance).await else { return false };
        let members = status["members"].as_array().map_or(0, Vec::len);
        members == self.instances.len() && status["complete_version"].as_u64() >= Some(version)
    }

    /// Returns the status of an instance, as its admin endpoint serves it.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not answer or its answer is not JSON.
    pub async fn status(&self, instance: &Instance) -> Result<Value> {
        let url = format!("http://{}/status", instance.process.address("admin")?);
        let (_, body) = http_call(Method::GET, &url, &[], Vec::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}

fn listed_instance(instance: &Instance) -> Result<ListedInstance> {
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

/// Makes one HTTP call with a JSON body, and returns the status code and the body of the response.
///
/// # Errors
///
/// Returns an error if the call fails or its response is incomplete.
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

/// Returns an empty JSON object, as the body of a request that has no parameters.
pub fn empty_body() -> Vec<u8> {
    json!({}).to_string().into_bytes()
}
