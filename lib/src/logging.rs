//! Logs as JSON lines on standard output, written without blocking the instance.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::SystemTime;

use log::kv::{Key, Value, VisitSource};
use serde_json::{json, Map};

use crate::ids::{DataCentreId, InstanceId};
use crate::log_writer::LogWriter;

static TOTAL_LOST: OnceLock<Arc<AtomicU64>> = OnceLock::new();

/// Initialises the global logger. The environment variable `RUST_LOG` filters by module and level;
/// the default level is `info`.
///
/// Calls after the first one have no effect.
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
            let _already_set = TOTAL_LOST.set(writer.total_lost());
            builder.target(env_logger::Target::Pipe(Box::new(writer)));
        }
        Err(err) => eprintln!("cannot start the log thread, writing logs synchronously: {err}"),
    }
    if builder.try_init().is_err() {
        log::debug!("logging is already initialised");
    }
}

/// Returns the number of log lines dropped because the queue of the log thread was full.
pub fn lost_lines() -> u64 {
    TOTAL_LOST.get().map_or(0, |lost| lost.load(Ordering::Relaxed))
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
