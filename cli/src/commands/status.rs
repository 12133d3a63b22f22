//! `hollyhead status`: shows which configuration is in force at every instance.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::fleet_status::{self, FleetStatus, InstanceStatus, POLL_INTERVAL};
use hollyhead::ids::{DataCentreId, Version};
use tokio::time::Instant;

use crate::records::{platform_option, PlatformOption};

/// Options of `hollyhead status`.
#[derive(Clone, Debug, Bpaf)]
pub struct Status {
    #[bpaf(external)]
    platform_option: PlatformOption,
    /// Wait until this version is in force at every instance
    #[bpaf(argument("VERSION"))]
    wait: Option<Version>,
    /// Maximum time to wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(30))]
    timeout: u64,
    /// Print the status as JSON
    json: bool,
}

impl Status {
    /// Prints the status, after waiting for the version that `wait` names.
    pub async fn run(&self) -> Result<ExitCode> {
        let until = Instant::now() + Duration::from_secs(self.timeout);
        let status = loop {
            let status = self.read().await?;
            if self.wait.is_none() || status.is_in_force() || Instant::now() >= until {
                break status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        if self.json {
            println!("{}", serde_json::to_string_pretty(&status)?);
        } else {
            print(&status);
        }
        Ok(if status.is_in_force() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    async fn read(&self) -> Result<FleetStatus> {
        let status = fleet_status::read(&self.platform_option.client(), self.wait).await;
        status.context("cannot read the list of instances; is --platform right?")
    }
}

fn print(status: &FleetStatus) {
    let FleetStatus { wanted, in_force, instances } = status;
    match status.is_in_force() {
        true => println!("version {wanted} is in force everywhere"),
        false => println!("version {wanted} is not in force everywhere; version {in_force} is"),
    }
    for (data_centre, (up_to_date, all)) in up_to_date_counts(status) {
        println!("  {data_centre:<32} {up_to_date} of {all} instances");
    }
    for instance in
        instances.iter().filter(|instance| !is_in_force_without_fault(instance, *wanted))
    {
        println!("{}", instance_line(instance, *wanted));
    }
}

/// Returns, for each data centre, the number of instances with the wanted version in force and the
/// number of all instances.
fn up_to_date_counts(status: &FleetStatus) -> BTreeMap<&DataCentreId, (usize, usize)> {
    let mut counts = BTreeMap::new();
    for instance in &status.instances {
        let (up_to_date, all) = counts.entry(&instance.data_centre).or_default();
        *up_to_date += usize::from(instance.version >= Some(status.wanted));
        *all += 1;
    }
    counts
}

fn is_in_force_without_fault(status: &InstanceStatus, wanted: Version) -> bool {
    status.fault.is_none() && status.version >= Some(wanted)
}

fn instance_line(status: &InstanceStatus, wanted: Version) -> String {
    let InstanceStatus { instance, data_centre, version, fault } = status;
    let instance_path = format!("{data_centre}/{instance}");
    let state = match version {
        None => "no answer".into(),
        Some(version) if *version >= wanted => "in force".into(),
        Some(version) => format!("at version {version}"),
    };
    let fault = fault.as_ref().map(|fault| format!(": {fault}")).unwrap_or_default();
    format!("  {instance_path:<32} {state}{fault}")
}
