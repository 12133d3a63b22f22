//! `hollyhead explain`: explains which target a flow goes to, from the state of running instances or
//! from their logs.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use hollyhead::admin_client;
use hollyhead::explain::Explanation;
use hollyhead::flow::FlowKey;
use hollyhead::log_chain::{related_lines, LogLine};

use super::INVALID_INPUT;

/// Options of `hollyhead explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Explain {
    /// Flow, such as tcp,192.0.2.1:40000,10.0.0.1:7000; from logs, the caller's address and port
    #[bpaf(argument("FLOW"))]
    flow: String,
    /// Admin address of an instance; can be repeated
    #[bpaf(argument("ADDR"))]
    admin: Vec<SocketAddr>,
    /// File with log lines of instances, or - for standard input; can be repeated
    #[bpaf(argument("FILE"))]
    log: Vec<PathBuf>,
    /// Print the explanations as JSON, one per line; applies to --admin only
    json: bool,
}

impl Explain {
    /// Prints the explanation of each instance, or the related log lines if log files are given.
    pub async fn run(&self) -> Result<ExitCode> {
        if !self.log.is_empty() {
            return self.explain_logs();
        }
        if self.admin.is_empty() {
            eprintln!("name at least one --admin address or --log file");
            return Ok(ExitCode::from(INVALID_INPUT));
        }
        if let Err(err) = self.flow.parse::<FlowKey>() {
            eprintln!("{err}");
            return Ok(ExitCode::from(INVALID_INPUT));
        }
        for admin in &self.admin {
            let path = format!("/explain?{}", self.flow);
            let explanation: Explanation = admin_client::get(*admin, &path).await?;
            if self.json {
                println!("{}", serde_json::to_string(&explanation)?);
            } else {
                println!("{explanation}\n");
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Prints the log lines that concern a caller's flow, as text.
    fn explain_logs(&self) -> Result<ExitCode> {
        // The flow may be written as for --admin, with protocol and service. Log lines are matched by
        // the address of the caller, which is the first address in it.
        let caller = self.flow.split(',').find(|part| part.parse::<SocketAddr>().is_ok());
        let Some(caller) = caller else {
            eprintln!("{}: has no IP address and port, such as 192.0.2.1:40000", self.flow);
            return Ok(ExitCode::from(INVALID_INPUT));
        };
        let mut lines = Vec::new();
        for file in &self.log {
            lines.extend(read_lines(file)?);
        }
        let related = related_lines(&lines, caller);
        for line in &related {
            println!("{line}");
        }
        if related.is_empty() {
            println!("none of the {} log lines concerns {caller}", lines.len());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn read_lines(file: &Path) -> Result<Vec<LogLine>> {
    let reader: Box<dyn BufRead> = if file == Path::new("-") {
        Box::new(std::io::stdin().lock())
    } else {
        let file = File::open(file).with_context(|| format!("cannot read {}", file.display()))?;
        Box::new(BufReader::new(file))
    };
    let mut lines = Vec::new();
    for line in reader.lines() {
        let line = line.with_context(|| format!("cannot read {}", file.display()))?;
        lines.extend(LogLine::parse(&line));
    }
    Ok(lines)
}
