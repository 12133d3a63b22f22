//! Starts, signals and ends separate processes in tests.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use serde_json::Value;

/// A child process of a test, killed when dropped.
pub struct Process {
    child: Child,
    addresses: Value,
}

impl Process {
    /// Starts a program and waits for the line of its output that lists its addresses as a JSON
    /// object.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or its output has no such line.
    pub fn start<S: AsRef<OsStr>>(program: &Path, args: &[S]) -> Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut line = String::new();
        let mut stdout = BufReader::new(stdout);
        // Log lines may precede the line of addresses.
        stdout.read_line(&mut line)?;
        while line.contains("\"level\":") {
            line.clear();
            stdout.read_line(&mut line)?;
        }
        let addresses = serde_json::from_str(&line).with_context(|| {
            format!("{} printed no JSON object with its addresses: {line:?}", program.display())
        });
        let mut process = Self { child, addresses: Value::Null };
        process.addresses = addresses?;
        Ok(process)
    }

    /// Returns an address that the process printed at its start, by name.
    ///
    /// # Errors
    ///
    /// Returns an error when the process printed no valid address of that name.
    pub fn address(&self, name: &str) -> Result<std::net::SocketAddr> {
        let text = self.addresses[name]
            .as_str()
            .with_context(|| format!("process printed no address {name:?}"))?;
        Ok(text.parse()?)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to exit and returns whether its exit status is success.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn wait(&mut self) -> Result<bool> {
        Ok(self.child.wait()?.success())
    }

    /// Sends a signal to the process by name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill").args(["-s", name, &self.id().to_string()]).status()?;
        anyhow::ensure!(status.success(), "`kill -s {name}` failed: {status}");
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.kill() {
            log::debug!("cannot kill process {}: {err}", self.id());
        }
    }
}

/// Returns the path of the program `hollyhead-stand-in`, which Cargo builds into the same directory
/// as `sibling`, another program of the workspace.
///
/// # Errors
///
/// Returns an error when the program has not been built.
pub fn stand_in_path(sibling: &Path) -> Result<PathBuf> {
    let path = sibling.with_file_name("hollyhead-stand-in");
    anyhow::ensure!(
        path.exists(),
        "{} does not exist; run `cargo build --workspace` first",
        path.display()
    );
    Ok(path)
}
