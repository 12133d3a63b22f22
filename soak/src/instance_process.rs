//! An instance as a separate process: its settings file, its log and its signals.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{ensure, Context, Result};

/// A signal that a soak sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Stops its execution.
    Pause,
    /// Lets it go on.
    Resume,
    /// Tells that its settings changed.
    HangUp,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Pause => "STOP",
            Signal::Resume => "CONT",
            Signal::HangUp => "HUP",
        }
    }
}

/// An instance's process. Dropping it kills the process.
#[derive(Debug)]
pub struct InstanceProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_closed: bool,
}

impl InstanceProcess {
    /// Prepares a process with a settings file; it is not started yet.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be written.
    pub fn new(program: &Path, dir: &Path, name: &str, settings: &str) -> Result<Self> {
        let file = dir.join(format!("{name}.ini"));
        std::fs::write(&file, settings).with_context(|| format!("writing {}", file.display()))?;
        let log = dir.join(format!("{name}.log"));
        Ok(Self { program: program.into(), settings: file, log, child: None, is_closed: false })
    }

    /// Starts the process, unless it runs already because faults overlapped; its log is appended to.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be started.
    pub fn start(&mut self) -> Result<()> {
        ensure!(!self.is_closed, "the run has ended");
        if !self.has_ended()? {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args([Path::new("--config"), &self.settings])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces the settings file.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be written.
    pub fn write_settings(&self, settings: &str) -> Result<()> {
        Ok(std::fs::write(&self.settings, settings)?)
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = child.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &id]).status()?;
        ensure!(status.success(), "signal {} not sent to {id}", signal.name());
        Ok(())
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Kills the process and starts it no more.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be killed.
    pub fn close(&mut self) -> Result<()> {
        self.is_closed = true;
        self.kill()
    }

    /// Tells whether the process has ended, and forgets it then.
    ///
    /// # Errors
    ///
    /// Returns why that cannot be found out.
    pub fn has_ended(&mut self) -> Result<bool> {
        let Some(child) = &mut self.child else { return Ok(true) };
        if child.try_wait()?.is_none() {
            return Ok(false);
        }
        self.child = None;
        Ok(true)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        if let Err(err) = self.kill() {
            log::warn!("process of {} not killed: {err}", self.settings.display());
        }
    }
}
