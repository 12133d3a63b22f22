//! `hollyhead report`: reports the traffic of each service by caller and target.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::admin_client;
use hollyhead::audit_page;
use hollyhead::audit_report::AuditReport;

/// Options of `hollyhead report`.
#[derive(Clone, Debug, Bpaf)]
pub struct Report {
    /// Admin address of an instance; can be repeated, and the report then sums the instances
    #[bpaf(argument("ADDR"), some("name at least one --admin address"))]
    admin: Vec<SocketAddr>,
    /// Print the report as JSON
    json: bool,
    /// Write the report as an HTML page as well
    #[bpaf(argument("FILE"))]
    html: Option<PathBuf>,
}

impl Report {
    /// Fetches the audit ledger of every instance and prints the sums.
    pub async fn run(&self) -> Result<ExitCode> {
        let mut ledgers = Vec::new();
        for admin in &self.admin {
            ledgers.push(admin_client::get(*admin, "/ledger").await?);
        }
        let report = AuditReport::new(&ledgers);
        if let Some(file) = &self.html {
            let page = audit_page::render(&report)?;
            fs::write(file, page).with_context(|| format!("cannot write {}", file.display()))?;
        }
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{report}");
        }
        Ok(ExitCode::SUCCESS)
    }
}
