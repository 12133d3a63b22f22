//! Starting of separate processes by tests, and their end.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use serde_json::Value;

/// A process that a test started; dropping it kills it.
pub struct Process {
    child: Child,
    ready: Value,
}

impl Process {
    /// Starts a program and waits for the first line of its output, a JSON object that tells its
    /// addresses.
    ///
    /// # Errors
    ///
    /// Returns why the program did not start.
    pub fn start<S: AsRef<OsStr>>(program: &Path, args: &[S]) -> Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("{} cannot be started", program.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut line = String::new();
        let mut stdout = BufReader::new(stdout);
        // Log lines may come before the line of addresses.
        stdout.read_line(&mut line)?;
        while line.contains("\"level\":") {
            line.clear();
            stdout.read_line(&mut line)?;
        }
        let ready = serde_json::from_str(&line)
            .with_context(|| format!("{} said {line:?}", program.display()));
        let mut process = Self { child, ready: Value::Null };
        process.ready = ready?;
        Ok(process)
    }

    /// Returns an address that the process told.
    ///
    /// # Errors
    ///
    /// Returns an error when it told none of that name.
    pub fn address(&self, name: &str) -> Result<std::net::SocketAddr> {
        let text = self.ready[name].as_str().with_context(|| format!("no address {name}"))?;
        Ok(text.parse()?)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end by itself and tells whether it succeeded.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be waited for.
    pub fn wait(&mut self) -> Result<bool> {
        Ok(self.child.wait()?.success())
    }

    /// Sends a signal to the process, by its name such as `TERM`.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill").args(["-s", name, &self.id().to_string()]).status()?;
        anyhow::ensure!(status.success(), "signal {name} not sent");
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.kill() {
            log::debug!("process {} not killed: {err}", self.id());
        }
    }
}

/// Returns the path of the stand-in program, which stands beside `sibling`, another program of
/// the workspace.
///
/// # Errors
///
/// Returns an error that says how to build it when it is missing.
pub fn stand_in_path(sibling: &Path) -> Result<PathBuf> {
    let path = sibling.with_file_name("hollyhead-stand-in");
    anyhow::ensure!(path.exists(), "run `cargo build --workspace` first: no {}", path.display());
    Ok(path)
}
