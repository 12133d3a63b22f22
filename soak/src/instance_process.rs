//! Runs an instance as a separate process with its own settings file and log.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{ensure, Context, Result};

/// POSIX signal sent to the process of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stops the process gracefully.
    Terminate,
    /// SIGSTOP: suspends the process.
    Pause,
    /// SIGCONT: resumes a suspended process.
    Resume,
    /// SIGHUP: makes the process reload its settings file.
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

/// Process of an instance, which is killed on drop.
#[derive(Debug)]
pub struct InstanceProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_closed: bool,
}

impl InstanceProcess {
    /// Writes the settings file `dir/name.ini`. The process is not started; its log will be
    /// `dir/name.log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings file cannot be written.
    pub fn new(program: &Path, dir: &Path, name: &str, settings: &str) -> Result<Self> {
        let file = dir.join(format!("{name}.ini"));
        std::fs::write(&file, settings).with_context(|| format!("writing {}", file.display()))?;
        let log = dir.join(format!("{name}.log"));
        Ok(Self { program: program.into(), settings: file, log, child: None, is_closed: false })
    }

    /// Starts the process and appends its output to the log.
    ///
    /// Does nothing if the process is already running, since overlapping faults may each restart
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process was closed or cannot be spawned.
    pub fn start(&mut self) -> Result<()> {
        ensure!(
            !self.is_closed,
            "process of {} not started: it was closed",
            self.settings.display()
        );
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

    /// Replaces the settings file. A running process reads it after [`Signal::HangUp`].
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_settings(&self, settings: &str) -> Result<()> {
        Ok(std::fs::write(&self.settings, settings)?)
    }

    /// Sends a signal to the process, or does nothing if it was not started or has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` command cannot be run or fails.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = child.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &id]).status()?;
        ensure!(status.success(), "cannot send SIG{} to process {id}", signal.name());
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Kills the process and makes later calls of [`InstanceProcess::start`] fail.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn close(&mut self) -> Result<()> {
        self.is_closed = true;
        self.kill()
    }

    /// Returns whether no process is running, and discards the handle of one that has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
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
            log::warn!(
                "cannot kill the process with settings file {}: {err}",
                self.settings.display()
            );
        }
    }
}
