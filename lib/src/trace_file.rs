//! The versioned JSON-lines format of recorded traces.
//!
//! The first line is the header; each further line is one event with its time.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::flow::Protocol;
use crate::ids::{DataCentreId, InstanceId, TargetId};

/// Format name that the header carries.
pub const TRACE_FORMAT: &str = "hollyhead-trace";
/// Newest version of the format that this build reads and writes.
pub const TRACE_VERSION: u32 = 1;

value_type! {
    /// First line of a trace.
    #[serde(deny_unknown_fields)]
    pub struct TraceHeader {
        /// Always [`TRACE_FORMAT`].
        pub format: String,
        /// Version of the format.
        pub version: u32,
        /// Seed of everything that the replay leaves to chance.
        pub seed: u64,
        /// What the trace shows.
        #[serde(default)]
        pub title: String,
    }

    /// One line of a trace after the header.
    #[serde(deny_unknown_fields)]
    pub struct TraceLine {
        /// Time since the start, in milliseconds; never less than that of the line before.
        pub at_ms: u64,
        /// What happens.
        pub event: TraceEvent,
    }

    /// Something that happens to a fleet.
    #[serde(rename_all = "snake_case")]
    pub enum TraceEvent {
        /// An object is written to the platform.
        Put(PutEvent),
        /// An object is deleted from the platform.
        Delete(DeleteEvent),
        /// An instance starts.
        Start(StartEvent),
        /// An instance ends at once.
        Kill(InstanceEvent),
        /// An instance stops doing anything.
        Freeze(InstanceEvent),
        /// A frozen instance goes on.
        Thaw(InstanceEvent),
        /// An instance announces its planned stop, and ends after
        /// [`crate::entry::LEAVE_RELAY_TIME`].
        Leave(InstanceEvent),
        /// Two groups of instances lose each other.
        Cut(CutEvent),
        /// All cuts end.
        Heal,
        /// The network between instances changes its quality.
        Network(NetworkEvent),
        /// A caller sends one packet.
        Packet(PacketEvent),
        /// A group of callers opens flows.
        Open(OpenEvent),
        /// A group closes its flows.
        Close(CloseEvent),
        /// A target is cold and bears only a little.
        Cold(ColdEvent),
    }

    /// An object that is written.
    #[serde(deny_unknown_fields)]
    pub struct PutEvent {
        /// Kind, such as `service`.
        pub kind: SmolStr,
        /// Contents; `name` in it names the object.
        pub body: Value,
        /// Instances hear of it unevenly within this time, in milliseconds.
        #[serde(default)]
        pub spread_ms: u64,
    }

    /// An object that is deleted.
    #[serde(deny_unknown_fields)]
    pub struct DeleteEvent {
        /// Kind, such as `target`.
        pub kind: SmolStr,
        /// Name.
        pub name: SmolStr,
        /// Instances hear of it unevenly within this time, in milliseconds.
        #[serde(default)]
        pub spread_ms: u64,
    }

    /// An instance that starts.
    #[serde(deny_unknown_fields)]
    pub struct StartEvent {
        /// Name.
        pub instance: InstanceId,
        /// Data centre.
        pub data_centre: DataCentreId,
    }

    /// An instance to which something happens.
    #[serde(deny_unknown_fields)]
    pub struct InstanceEvent {
        /// Name.
        pub instance: InstanceId,
    }

    /// Two groups that lose each other.
    #[serde(deny_unknown_fields)]
    pub struct CutEvent {
        /// One group.
        pub a: Vec<InstanceId>,
        /// The other group.
        pub b: Vec<InstanceId>,
    }

    /// Quality of the network.
    #[serde(deny_unknown_fields)]
    pub struct NetworkEvent {
        /// Time that a datagram takes, in microseconds.
        pub latency_us: u64,
        /// Largest additional time, in microseconds.
        #[serde(default)]
        pub jitter_us: u64,
        /// Datagrams lost out of a thousand.
        #[serde(default)]
        pub loss_per_mille: u64,
        /// Datagrams delivered twice out of a thousand.
        #[serde(default)]
        pub duplicates_per_mille: u64,
    }

    /// One packet of a caller.
    #[serde(deny_unknown_fields)]
    pub struct PacketEvent {
        /// Transport protocol.
        #[serde(default = "tcp")]
        pub protocol: Protocol,
        /// Address and port of the caller.
        pub caller: SocketAddr,
        /// Address and port of the service.
        pub service: SocketAddr,
        /// Whether it opens a connection.
        #[serde(default)]
        pub opens: bool,
        /// Whether it ends a connection.
        #[serde(default)]
        pub finishes: bool,
        /// Whether it aborts a connection.
        #[serde(default)]
        pub resets: bool,
        /// Instance that the fabric hands it to; any one when absent.
        #[serde(default)]
        pub at: Option<InstanceId>,
    }

    /// Flows that a group of callers opens, evenly over a time.
    #[serde(deny_unknown_fields)]
    pub struct OpenEvent {
        /// Name of the group.
        pub group: SmolStr,
        /// Transport protocol.
        #[serde(default = "tcp")]
        pub protocol: Protocol,
        /// Address and port of the service.
        pub service: SocketAddr,
        /// Address and port of the first caller; each 100 flows, the next address follows.
        pub first_caller: SocketAddr,
        /// Number of flows.
        pub count: u32,
        /// Time over which they open, in milliseconds.
        pub over_ms: u64,
        /// Time between two packets of a flow, in milliseconds.
        pub keep_alive_ms: u64,
    }

    /// Flows that close, evenly over a time.
    #[serde(deny_unknown_fields)]
    pub struct CloseEvent {
        /// Name of the group.
        pub group: SmolStr,
        /// Time over which they close, in milliseconds.
        #[serde(default)]
        pub over_ms: u64,
    }

    /// A target that is cold.
    #[serde(deny_unknown_fields)]
    pub struct ColdEvent {
        /// Target.
        pub target: TargetId,
        /// New connections that it bears while cold.
        pub connections: u32,
        /// How long it is cold, in milliseconds.
        pub for_ms: u64,
    }
}

fn tcp() -> Protocol {
    Protocol::Tcp
}

/// Reason why a file is no trace or no statement of outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// File.
        file: PathBuf,
        /// Why.
        reason: String,
    },
    /// A line is faulty.
    #[error("{file}:{line}: {field}: {reason}")]
    Line {
        /// File.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Field.
        field: String,
        /// What is wrong.
        reason: String,
    },
}

/// A recorded trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Header.
    pub header: TraceHeader,
    /// Events, ordered by time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its file, line and field.
    pub fn read(file: &Path) -> Result<Self, TraceError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses the text of a trace; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line and field.
    pub fn parse(file: &Path, text: &str) -> Result<Self, TraceError> {
        let mut numbered = text.lines().enumerate().map(|(index, line)| (index + 1, line));
        let (_, first) = numbered.next().unwrap_or((1, ""));
        let header: TraceHeader = parse_json(file, 1, first)?;
        check_header(file, &header)?;
        let mut lines: Vec<TraceLine> = Vec::new();
        for (number, text) in numbered.filter(|(_, text)| !text.trim().is_empty()) {
            let line: TraceLine = parse_json(file, number, text)?;
            if lines.last().is_some_and(|last| last.at_ms > line.at_ms) {
                return Err(line_error(file, number, "at_ms", "is earlier than the line before"));
            }
            check_event(file, number, &line.event)?;
            lines.push(line);
        }
        Ok(Self { header, lines })
    }

    /// Returns the text of the trace.
    pub fn render(&self) -> String {
        let header = serde_json::to_string(&self.header).unwrap_or_default();
        let lines = self.lines.iter().map(|line| serde_json::to_string(line).unwrap_or_default());
        let all: Vec<_> = std::iter::once(header).chain(lines).collect();
        all.join("\n") + "\n"
    }
}

fn check_header(file: &Path, header: &TraceHeader) -> Result<(), TraceError> {
    if header.format != TRACE_FORMAT {
        return Err(line_error(file, 1, "format", &format!("must be {TRACE_FORMAT:?}")));
    }
    if header.version != TRACE_VERSION {
        let reason = format!("{} is not known; this build reads {TRACE_VERSION}", header.version);
        return Err(line_error(file, 1, "version", &reason));
    }
    Ok(())
}

fn check_event(file: &Path, line: usize, event: &TraceEvent) -> Result<(), TraceError> {
    match event {
        TraceEvent::Open(open) if open.keep_alive_ms == 0 => {
            Err(line_error(file, line, "keep_alive_ms", "must be at least 1"))
        }
        TraceEvent::Put(put) if !put.body["name"].is_string() => {
            Err(line_error(file, line, "body.name", "must be a string"))
        }
        _ => Ok(()),
    }
}

/// Reads a file as text.
///
/// # Errors
///
/// Returns [`TraceError::Unreadable`].
pub fn read_text(file: &Path) -> Result<String, TraceError> {
    std::fs::read_to_string(file)
        .map_err(|err| TraceError::Unreadable { file: file.to_owned(), reason: err.to_string() })
}

/// Parses one JSON text whose first line is line `line` of the file.
///
/// # Errors
///
/// Returns the fault with its line and field.
pub fn parse_json<T: DeserializeOwned>(
    file: &Path,
    line: usize,
    text: &str,
) -> Result<T, TraceError> {
    serde_json::from_str(text).map_err(|err| {
        let line_text = text.lines().nth(err.line().saturating_sub(1)).unwrap_or_default();
        let field = last_key_before(line_text, err.column());
        line_error(file, line + err.line().saturating_sub(1), &field, &err.to_string())
    })
}

fn line_error(file: &Path, line: usize, field: &str, reason: &str) -> TraceError {
    let (file, field, reason) = (file.to_owned(), field.to_owned(), reason.to_owned());
    TraceError::Line { file, line, field, reason }
}

/// Returns the last key that stands before a column of a JSON text.
fn last_key_before(text: &str, column: usize) -> String {
    let end = (0..=column.min(text.len())).rev().find(|end| text.is_char_boundary(*end));
    let before = &text[..end.unwrap_or_default()];
    let key = before.rfind("\":").and_then(|colon| {
        let start = before[..colon].rfind('"')?;
        Some(&before[start + 1..colon])
    });
    key.unwrap_or("line").to_owned()
}
