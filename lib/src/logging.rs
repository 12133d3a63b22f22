//! Logs as JSON lines on standard output, written without blocking the instance.

use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime};
use std::{panic, thread};

use log::kv::{Key, Value, VisitSource};
use serde_json::{json, Map};

use crate::ids::{DataCentreId, InstanceId};
use crate::log_writer::{LogHandle, LogWriter};

/// Time for which the end of the process waits until the accepted lines are written, so that a
/// reader that takes nothing cannot hold the process up.
pub const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the end of the process waits until a message is written to standard error, which
/// may have the same stuck reader.
pub const STDERR_TIMEOUT: Duration = Duration::from_millis(200);

static HANDLE: OnceLock<LogHandle> = OnceLock::new();

/// Waits for the log lines to be written when it is dropped, also while a panic unwinds.
#[must_use]
pub struct FinishGuard(());

impl Drop for FinishGuard {
    fn drop(&mut self) {
        finish();
    }
}

/// Returns a guard that calls [`finish`] when it is dropped.
pub fn finish_guard() -> FinishGuard {
    FinishGuard(())
}

/// Writes the accepted log lines, for [`FINISH_TIMEOUT`] at most, and reports on standard error how
/// many are not written. Blocks the thread; for the end of the process.
pub fn finish() {
    let unwritten = HANDLE.get().map_or(0, |handle| handle.finish(FINISH_TIMEOUT));
    if unwritten > 0 {
        let timeout = humantime::format_duration(FINISH_TIMEOUT);
        write_stderr(format!("{unwritten} log lines not written within {timeout} at the end"));
    }
}

/// Writes a line to standard error and waits for the write, for [`STDERR_TIMEOUT`] at most.
pub fn write_stderr(line: String) {
    let (done, written) = channel();
    let write = move || {
        // The wait below ends when `done` is dropped.
        let _done = done;
        eprintln!("{line}");
    };
    if thread::Builder::new().name("stderr".into()).spawn(write).is_ok() {
        let _disconnected_or_late = written.recv_timeout(STDERR_TIMEOUT) as Result<(), _>;
    }
}

/// Initialises the global logger and logs panics. The environment variable `RUST_LOG` filters by
/// module and level; the default level is `info`.
///
/// Calls after the first one have no effect. The process has to call [`finish`] before it ends, or
/// hold a [`finish_guard`].
pub fn init(instance: &InstanceId, data_centre: &DataCentreId) {
    let (instance, data_centre) = (instance.clone(), data_centre.clone());
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(move |buf, record| {
        let mut line = Map::new();
        let now = humantime::format_rfc3339_millis(SystemTime::now());
        line.insert("time".into(), json!(now.to_string()));
        line.insert("level".into(), json!(record.level().as_str()));
        line.insert("instance".into(), json!(instance.as_str()));
        line.insert("data_centre".into(), json!(data_centre.as_str()));
        line.insert("module".into(), json!(record.target()));
        line.insert("message".into(), json!(record.args().to_string()));
        let mut fields = FieldVisitor(&mut line);
        if record.key_values().visit(&mut fields).is_err() {
            line.insert("fields".into(), json!("unreadable"));
        }
        writeln!(buf, "{}", serde_json::Value::Object(line))
    });
    match LogWriter::start(Box::new(std::io::stdout())) {
        Ok(writer) => {
            let _already_set = HANDLE.set(writer.handle());
            builder.target(env_logger::Target::Pipe(Box::new(writer)));
        }
        Err(err) => eprintln!("cannot start the log thread, writing logs synchronously: {err}"),
    }
    if builder.try_init().is_err() {
        log::debug!("logging is already initialised");
        return;
    }
    log_panics();
}

/// Logs each panic before the hook that was set before, which prints it to standard error.
fn log_panics() {
    let previous_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let text = text.unwrap_or("no message");
        let location = info.location().map_or_else(String::new, ToString::to_string);
        log::error!(location:% = location; "panic: {text}");
        previous_hook(info);
    }));
}

/// Returns the number of log lines dropped because the queue of the log thread was full.
pub fn lost_lines() -> u64 {
    HANDLE.get().map_or(0, LogHandle::total_dropped)
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
