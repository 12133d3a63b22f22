//! Test harness for the request gateway: instances and backend servers in one process, on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use hollyhead::entry::Entry;
use hollyhead::platform::ListedInstance;
use hollyhead::settings::Settings;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::backend_server::{BackendServer, Journal, REQUEST_ID};
use crate::instance_settings::{FLOW_KEY, PEER_KEY};
use crate::memory_platform::MemoryPlatform;
use crate::records;

/// Name of the only service that the instances and backend servers serve.
pub const SERVICE: &str = "quaydesk";
/// Data centre that all instances and backend servers are in.
pub const DATA_CENTRE: &str = "horn-east-a";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A backend server that runs as a task of this process.
pub struct RunningServer {
    /// Name of the target that stands for the server in the configuration.
    pub name: String,
    /// Address on which the server accepts HTTP requests.
    pub address: SocketAddr,
    /// Execution log of the server, and its faults.
    pub journal: Arc<Journal>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Aborts the server and its connections without a shutdown.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A response as a caller receives it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body, or the error that ended it early.
    pub body: Result<Bytes, String>,
}

impl Reply {
    /// Returns the body as JSON, or null if the body is incomplete or not JSON.
    pub fn json(&self) -> Value {
        let body = self.body.as_ref().ok();
        body.and_then(|body| serde_json::from_slice(body).ok()).unwrap_or_default()
    }

    /// Returns the `outcome` member of the body, or an empty string if there is none.
    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or_default().to_owned()
    }
}

/// Running instances and backend servers, which share one platform in memory.
pub struct RequestHarness {
    platform: Arc<MemoryPlatform>,
    /// Running instances by name.
    pub instances: BTreeMap<String, Entry>,
    /// Backend servers in the order of their start, including killed ones.
    pub servers: Vec<RunningServer>,
}

impl RequestHarness {
    /// Starts backend servers and the instances `names`, and waits until all of them serve. `slots`
    /// is the number of requests that each backend server runs at once.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not start or does not become ready in time.
    pub async fn new(service: Value, servers: usize, slots: u32, names: &[&str]) -> Result<Self> {
        let platform = Arc::new(MemoryPlatform::default());
        platform.force_put("service", SERVICE, service);
        let mut harness = Self { platform, instances: BTreeMap::new(), servers: Vec::new() };
        for number in 0..servers {
            harness.add_server(number, slots).await?;
        }
        for name in names {
            harness.start(name).await?;
        }
        harness.wait_until_ready(slots).await?;
        Ok(harness)
    }

    async fn add_server(&mut self, number: usize, slots: u32) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (name, journal) = (format!("{SERVICE}-{number}"), Arc::new(Journal::default()));
        let server = BackendServer {
            name: name.clone(),
            service: SERVICE.into(),
            service_address: SocketAddr::from(([10, 0, 0, 1], 7000)),
            service_time: Duration::ZERO,
        };
        let task = tokio::spawn(server.serve_requests(listener, Arc::clone(&journal)));
        let mut record = records::target(&name, SERVICE, DATA_CENTRE, address, address);
        record["slots"] = slots.into();
        self.platform.force_put("target", &name, record);
        self.servers.push(RunningServer { name, address, journal, task });
        Ok(())
    }

    /// Starts an instance and adds it to the membership of the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not start.
    pub async fn start(&mut self, name: &str) -> Result<()> {
        self.start_with(name, "").await
    }

    /// Starts an instance with further settings, as lines of the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not start.
    pub async fn start_with(&mut self, name: &str, further_settings: &str) -> Result<()> {
        let text = format!("{}\n{further_settings}", settings(name));
        let settings = Settings::parse(Path::new("harness.ini"), &text)?;
        let platform = Arc::clone(&self.platform);
        let entry = Entry::start_with(&settings, platform).await?;
        self.instances.insert(name.into(), entry);
        self.update_membership();
        Ok(())
    }

    /// Drops an instance without a shutdown and removes it from the list of instances.
    pub fn kill(&mut self, name: &str) {
        self.instances.remove(name);
        self.update_membership();
    }

    /// Waits until all instances see each other, may run requests with idempotency keys, and hold
    /// grants for all slots of the backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if the instances are not ready after `WAIT_TIMEOUT`.
    pub async fn wait_until_ready(&self, slots: u32) -> Result<()> {
        let all = slots * self.servers.len() as u32;
        self.wait_until(|harness| harness.is_ready(all)).await.context("harness is not ready")
    }

    /// Polls a condition until it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold after `WAIT_TIMEOUT`.
    pub async fn wait_until(&self, is_met: impl Fn(&Self) -> bool) -> Result<()> {
        let wait = async {
            while !is_met(self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        Ok(tokio::time::timeout(WAIT_TIMEOUT, wait).await?)
    }

    fn is_ready(&self, slots: u32) -> bool {
        let sees_all =
            |entry: &Entry| entry.kernel().view().members().len() == self.instances.len();
        let held: u32 = self.instances.values().map(held_slots).sum();
        let now = tokio::time::Instant::now();
        let runs_keys = |entry: &Entry| entry.kernel().keys.may_run(now);
        self.instances.values().all(|it| sees_all(it) && runs_keys(it)) && held == slots
    }

    /// Publishes the running instances on the platform, and makes them known to each other.
    fn update_membership(&self) {
        let listed = self.instances.iter().map(|(name, entry)| ListedInstance {
            name: name.as_str().into(),
            data_centre: DATA_CENTRE.into(),
            peer: entry.addresses().peer,
            leaving: false,
        });
        let listed: Vec<_> = listed.collect();
        self.platform.set_instances(listed.clone());
        for entry in self.instances.values() {
            entry.kernel().seed(&listed);
        }
    }

    /// Sends a request with the request id `id` to an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before the head of a response arrives.
    pub async fn call(
        &self,
        instance: &str,
        method: Method,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        let entry = self.instances.get(instance).context("no running instance has this name")?;
        call(entry.addresses().request, method, id, headers).await
    }

    /// Returns how many times a request ran, over all backend servers.
    pub fn executions(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.journal.count(id)).sum()
    }
}

/// Sends a request with the request id `id` to an address.
///
/// # Errors
///
/// Returns an error if the connection fails before the head of a response arrives.
pub async fn call(
    address: SocketAddr,
    method: Method,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<Reply> {
    call_by(&Client::builder(TokioExecutor::new()).build_http(), address, method, id, headers).await
}

/// Sends a POST request with the request id `id` over HTTP/2 to an address.
///
/// # Errors
///
/// Returns an error if the connection fails before the head of a response arrives.
pub async fn call_http2(address: SocketAddr, id: &str, headers: &[(&str, &str)]) -> Result<Reply> {
    let mut builder = Client::builder(TokioExecutor::new());
    let client = builder.http2_only(true).build_http();
    call_by(&client, address, Method::POST, id, headers).await
}

async fn call_by(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    method: Method,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<Reply> {
    let mut req = Request::builder().method(method).uri(format!("http://{address}/orders"));
    req = req.header("host", SERVICE).header(REQUEST_ID, id);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let response = client.request(req.body(Full::new(Bytes::from_static(b"order")))?).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).map_err(|err| err.to_string());
    Ok(Reply { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Returns the number of slots that the grants of an instance allow now.
fn held_slots(entry: &Entry) -> u32 {
    let plan = entry.kernel().plan();
    let now = tokio::time::Instant::now();
    let service = plan.service(SERVICE);
    let targets = service.iter().flat_map(|service| &service.local_targets);
    targets.filter(|target| target.accepts_new_work(now)).map(|target| target.slots()).sum()
}

fn settings(name: &str) -> String {
    format!(
        "[instance]\nname = {name}\ndata_centre = {DATA_CENTRE}\n\
         [listen]\nflow = 127.0.0.1:0\npeer = 127.0.0.1:0\nrequest = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\n\
         [fabric]\negress = 127.0.0.1:9\n\
         [platform]\nurl = http://127.0.0.1:9\n\
         [keys]\nflow = {FLOW_KEY}\npeer = {PEER_KEY}\n"
    )
}
