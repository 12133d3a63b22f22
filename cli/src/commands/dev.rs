//! `hollyhead dev`: runs a small deployment in one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::collections::HashMap;
use hollyhead::entry::Entry;
use hollyhead::metrics::OutcomeLabel;
use testutils::caller::Caller;
use testutils::deployment::http_call;
use testutils::fabric::Fabric;
use testutils::local_deployment::LocalDeployment;
use tokio::time::Instant;

const DATA_CENTRE: &str = "local-a";
const SERVICES: [(&str, SocketAddr); 2] =
    [("feeds", service_address(1)), ("orders", service_address(2))];
const TARGETS_PER_SERVICE: usize = 3;
const FLOW_COUNT: usize = 6;
const MESSAGE_BYTES: usize = 2_000;
const EXCHANGE_PAUSE: Duration = Duration::from_millis(50);
const TABLE_INTERVAL: Duration = Duration::from_secs(1);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

const fn service_address(last_octet: u8) -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, last_octet)), 7000)
}

/// Run a small deployment in one process, with a simulated platform and targets, and light traffic
///
/// Example: hollyhead dev --instances 3
#[derive(Clone, Debug, Bpaf)]
pub struct Dev {
    /// Number of entry instances, 1 to 16
    #[bpaf(argument("COUNT"), fallback(3), guard(is_valid_instance_count, "must be from 1 to 16"))]
    instances: usize,
    /// Stop after this many seconds; without it, run until interrupted
    #[bpaf(argument("SECONDS"), optional)]
    seconds: Option<u64>,
}

fn is_valid_instance_count(count: &usize) -> bool {
    (1..=16).contains(count)
}

impl Dev {
    /// Runs the deployment until it is interrupted or the requested time has passed.
    pub fn run(&self) -> Result<ExitCode> {
        let runtime = tokio::runtime::Runtime::new().context("cannot start the async runtime")?;
        runtime.block_on(self.serve())?;
        Ok(ExitCode::SUCCESS)
    }

    async fn serve(&self) -> Result<()> {
        let deployment = self.start().await?;
        print_addresses(&deployment);
        let deadline = self.seconds.map(|seconds| Instant::now() + Duration::from_secs(seconds));
        let gateways = deployment.entries.iter().map(|(_, entry)| entry.addresses().request);
        let flows = tokio::spawn(generate_flow_traffic(Arc::clone(&deployment.fabric)));
        let requests = tokio::spawn(generate_request_traffic(gateways.collect()));
        let result = tokio::select! {
            result = flows => result.context("flow traffic task failed")?,
            result = requests => result.context("request traffic task failed")?,
            () = print_table_until(&deployment, deadline) => Ok(()),
            result = tokio::signal::ctrl_c() => result.context("cannot listen for Ctrl-C"),
        };
        result
    }

    async fn start(&self) -> Result<LocalDeployment> {
        let mut deployment = LocalDeployment::new(1).await?;
        deployment.add_data_centre(DATA_CENTRE, "local");
        for (name, address) in SERVICES {
            deployment.add_service(name, address, TARGETS_PER_SERVICE).await?;
        }
        for number in 1..=self.instances {
            deployment.add_instance(&format!("entry-{number}"), DATA_CENTRE).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }
}

fn print_addresses(deployment: &LocalDeployment) {
    println!("platform   http://{}", deployment.platform_address);
    for (name, entry) in &deployment.entries {
        let addresses = entry.addresses();
        println!(
            "{name:<10} requests http://{}  admin http://{}  packets udp {}",
            addresses.request, addresses.admin, addresses.flow
        );
    }
    if let Some((_, entry)) = deployment.entries.first() {
        let (gateway, admin) = (entry.addresses().request, entry.addresses().admin);
        println!("\ntry:  curl -H 'Host: orders' http://{gateway}/today");
        println!("      curl http://{admin}/status\n");
    }
}

async fn generate_flow_traffic(fabric: Arc<Fabric>) -> Result<()> {
    let mut caller = Caller::new(fabric, [192, 0, 2, 1].into());
    let mut connections = Vec::new();
    for number in 0..FLOW_COUNT {
        let (name, address) = SERVICES[number % SERVICES.len()];
        let connection = caller.connect(address);
        caller.exchange(connection, &[], name.len() + 1, EXCHANGE_TIMEOUT).await?;
        connections.push(connection);
    }
    let message = vec![7; MESSAGE_BYTES];
    loop {
        for connection in &connections {
            caller.exchange(*connection, &message, message.len(), EXCHANGE_TIMEOUT).await?;
        }
        tokio::time::sleep(EXCHANGE_PAUSE).await;
    }
}

async fn generate_request_traffic(gateways: Vec<SocketAddr>) -> Result<()> {
    for number in 0_usize.. {
        let gateway = gateways[number % gateways.len()];
        let (name, _) = SERVICES[number % SERVICES.len()];
        let url = format!("http://{gateway}/{number}");
        http_call(http::Method::GET, &url, &[("host", name)], Vec::new()).await?;
        tokio::time::sleep(EXCHANGE_PAUSE).await;
    }
    Ok(())
}

async fn print_table_until(deployment: &LocalDeployment, deadline: Option<Instant>) {
    loop {
        tokio::time::sleep(TABLE_INTERVAL).await;
        println!("{}", table(deployment));
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return;
        }
    }
}

fn table(deployment: &LocalDeployment) -> String {
    let mut lines = vec![format!(
        "{:<10} {:>7} {:>7} {:>10} {:>9} {:>9}",
        "instance", "members", "flows", "delivered", "relayed", "requests"
    )];
    lines.extend(deployment.entries.iter().map(|(name, entry)| instance_line(name, entry)));
    lines.push(format!("{:<24} {:>7} {:>9}", "target", "flows", "requests"));
    let flows = flows_by_target(deployment);
    lines.extend(deployment.targets.iter().map(|target| {
        let flows = flows.get(target.name.as_str()).copied().unwrap_or_default();
        format!("{:<24} {flows:>7} {:>9}", target.name, target.journal.executions().len())
    }));
    lines.push(String::new());
    lines.join("\n")
}

fn instance_line(name: &str, entry: &Entry) -> String {
    let kernel = entry.kernel();
    let packets = |outcome| kernel.metrics.packets.get_or_create(&OutcomeLabel { outcome }).get();
    let requests = kernel.metrics.requests.get_or_create(&OutcomeLabel { outcome: "answered" });
    format!(
        "{name:<10} {:>7} {:>7} {:>10} {:>9} {:>9}",
        kernel.plan().view.members().len(),
        kernel.steering.bindings().len(),
        packets("delivered"),
        packets("relayed"),
        requests.get(),
    )
}

fn flows_by_target(deployment: &LocalDeployment) -> HashMap<&str, u32> {
    let mut flows = HashMap::default();
    for (_, entry) in &deployment.entries {
        for target in &deployment.targets {
            let open = entry.kernel().target(&target.name).map_or(0, |handle| handle.open_flows());
            *flows.entry(target.name.as_str()).or_default() += open;
        }
    }
    flows
}
