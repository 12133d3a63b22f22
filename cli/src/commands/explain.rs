//! `hollyhead explain`: why a flow goes where it goes, from instances or from their logs.

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

use super::FAULTY_INPUT;

/// Options of `hollyhead explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Explain {
    /// Flow, such as tcp,192.0.2.1:40000,10.0.0.1:7000; from logs, the caller's address and port
    #[bpaf(argument("FLOW"))]
    flow: String,
    /// Admin address of an instance; repeat it to ask several
    #[bpaf(argument("ADDR"))]
    admin: Vec<SocketAddr>,
    /// File with log lines of instances, or - for standard input; repeat it for several
    #[bpaf(argument("FILE"))]
    log: Vec<PathBuf>,
    /// Print the answers as JSON
    json: bool,
}

impl Explain {
    /// Asks every instance and prints its answer.
    pub async fn run(&self) -> Result<ExitCode> {
        if !self.log.is_empty() {
            return self.explain_logs();
        }
        if self.admin.is_empty() {
            eprintln!("name at least one --admin address or --log file");
            return Ok(ExitCode::from(FAULTY_INPUT));
        }
        if let Err(err) = self.flow.parse::<FlowKey>() {
            eprintln!("{err}");
            return Ok(ExitCode::from(FAULTY_INPUT));
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

    /// Prints in words what the logs say of a caller's flow.
    fn explain_logs(&self) -> Result<ExitCode> {
        // The ends of a flow may be given as for instances; logs are searched by the caller.
        let caller = self.flow.split(',').find(|part| part.parse::<SocketAddr>().is_ok());
        let Some(caller) = caller else {
            eprintln!("{}: names no address and port, such as 192.0.2.1:40000", self.flow);
            return Ok(ExitCode::from(FAULTY_INPUT));
        };
        let mut lines = Vec::new();
        for file in &self.log {
            lines.extend(read_lines(file)?);
        }
        let found = related_lines(&lines, caller);
        for line in &found {
            println!("{line}");
        }
        if found.is_empty() {
            println!("no line of {} names {caller}", lines.len());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn read_lines(file: &Path) -> Result<Vec<LogLine>> {
    let reader: Box<dyn BufRead> = if file == Path::new("-") {
        Box::new(std::io::stdin().lock())
    } else {
        let file = File::open(file).with_context(|| format!("reading {}", file.display()))?;
        Box::new(BufReader::new(file))
    };
    let mut lines = Vec::new();
    for line in reader.lines() {
        let line = line.with_context(|| format!("reading {}", file.display()))?;
        lines.extend(LogLine::parse(&line));
    }
    Ok(lines)
}
