//! The versioned JSON-lines format of recorded traces.
//!
//! The first line is the header; each further line that is not blank is one event with its time.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::flow::Protocol;
use crate::ids::{DataCentreId, InstanceId, TargetId};

/// Value of the `format` field of the header.
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
        /// Seed of all random choices of the replay.
        pub seed: u64,
        /// Title of the trace, which reports print.
        #[serde(default)]
        pub title: String,
    }

    /// One line of a trace after the header.
    #[serde(deny_unknown_fields)]
    pub struct TraceLine {
        /// Time since the start, in milliseconds; not less than that of the previous line.
        pub at_ms: u64,
        /// Event that occurs at that time.
        pub event: TraceEvent,
    }

    /// An event that affects the fleet, the platform, the network or the callers.
    #[serde(rename_all = "snake_case")]
    pub enum TraceEvent {
        /// An object is written to the platform.
        Put(PutEvent),
        /// An object is deleted from the platform.
        Delete(DeleteEvent),
        /// An instance starts.
        Start(StartEvent),
        /// An instance ends at once, without an announcement.
        Kill(InstanceEvent),
        /// An instance stops processing, and datagrams to it are lost, until it is thawed.
        Freeze(InstanceEvent),
        /// A frozen instance resumes.
        Thaw(InstanceEvent),
        /// An instance announces its planned stop, and ends after
        /// [`crate::entry::LEAVE_RELAY_TIME`].
        Leave(InstanceEvent),
        /// A network partition separates two groups of instances.
        Cut(CutEvent),
        /// All network partitions end.
        Heal,
        /// The latency, jitter, loss or duplication of the network changes.
        Network(NetworkEvent),
        /// A caller sends one packet.
        Packet(PacketEvent),
        /// A group of callers opens flows.
        Open(OpenEvent),
        /// A group of callers closes its flows.
        Close(CloseEvent),
        /// A target becomes cold, with a limited capacity for new flows.
        Cold(ColdEvent),
    }

    /// The write of a platform object.
    #[serde(deny_unknown_fields)]
    pub struct PutEvent {
        /// Kind of the object, such as `service`.
        pub kind: SmolStr,
        /// Contents of the object; the string field `name` is the object's name.
        pub body: Value,
        /// Upper bound (exclusive) of the random delay after which each instance receives the
        /// change, in milliseconds; every instance receives it at once when 0.
        #[serde(default)]
        pub spread_ms: u64,
    }

    /// The deletion of a platform object.
    #[serde(deny_unknown_fields)]
    pub struct DeleteEvent {
        /// Kind of the object, such as `target`.
        pub kind: SmolStr,
        /// Name of the object.
        pub name: SmolStr,
        /// Upper bound (exclusive) of the random delay after which each instance receives the
        /// change, in milliseconds; every instance receives it at once when 0.
        #[serde(default)]
        pub spread_ms: u64,
    }

    /// The start of an instance.
    #[serde(deny_unknown_fields)]
    pub struct StartEvent {
        /// Name of the instance.
        pub instance: InstanceId,
        /// Data centre in which the instance runs.
        pub data_centre: DataCentreId,
    }

    /// The instance to which an event applies.
    #[serde(deny_unknown_fields)]
    pub struct InstanceEvent {
        /// Name of the instance.
        pub instance: InstanceId,
    }

    /// Two groups of instances that a network partition separates.
    #[serde(deny_unknown_fields)]
    pub struct CutEvent {
        /// Instances on one side of the partition.
        pub a: Vec<InstanceId>,
        /// Instances on the other side of the partition.
        pub b: Vec<InstanceId>,
    }

    /// Latency and faults of the network between instances.
    #[serde(deny_unknown_fields)]
    pub struct NetworkEvent {
        /// Minimum delay of a datagram, in microseconds.
        pub latency_us: u64,
        /// Largest additional random delay, in microseconds.
        #[serde(default)]
        pub jitter_us: u64,
        /// Share of datagrams that are lost, in thousandths.
        #[serde(default)]
        pub loss_per_mille: u64,
        /// Share of datagrams that are delivered twice, in thousandths.
        #[serde(default)]
        pub duplicates_per_mille: u64,
    }

    /// A single packet of a caller.
    #[serde(deny_unknown_fields)]
    pub struct PacketEvent {
        /// Transport protocol.
        #[serde(default = "tcp")]
        pub protocol: Protocol,
        /// Address and port of the caller.
        pub caller: SocketAddr,
        /// Address and port of the service.
        pub service: SocketAddr,
        /// Whether the packet opens a connection (SYN).
        #[serde(default)]
        pub opens: bool,
        /// Whether the packet ends a connection (FIN).
        #[serde(default)]
        pub finishes: bool,
        /// Whether the packet aborts a connection (RST).
        #[serde(default)]
        pub resets: bool,
        /// Instance to which the network fabric passes the packet; a random one when absent.
        #[serde(default)]
        pub at: Option<InstanceId>,
    }

    /// Flows that a group of callers opens, evenly distributed over a period.
    #[serde(deny_unknown_fields)]
    pub struct OpenEvent {
        /// Name of the group, by which later events and the imbalance bound refer to its flows.
        pub group: SmolStr,
        /// Transport protocol.
        #[serde(default = "tcp")]
        pub protocol: Protocol,
        /// Address and port of the service.
        pub service: SocketAddr,
        /// Address and port of the first flow's caller. Each address has 100 flows with consecutive
        /// ports; the next flows come from the next address.
        pub first_caller: SocketAddr,
        /// Number of flows.
        pub count: u32,
        /// Length of the period in which the flows open, in milliseconds.
        pub over_ms: u64,
        /// Interval between two packets of a flow, in milliseconds; at least 1.
        pub keep_alive_ms: u64,
    }

    /// Flows of a group that close, evenly distributed over a period.
    #[serde(deny_unknown_fields)]
    pub struct CloseEvent {
        /// Name of the group that an earlier event opened.
        pub group: SmolStr,
        /// Length of the period in which the flows close, in milliseconds; all at once when 0.
        #[serde(default)]
        pub over_ms: u64,
    }

    /// A period in which a target is cold.
    #[serde(deny_unknown_fields)]
    pub struct ColdEvent {
        /// Name of the target.
        pub target: TargetId,
        /// Number of new connections that the target can accept during the period.
        pub connections: u32,
        /// Length of the period, in milliseconds.
        pub for_ms: u64,
    }
}

fn tcp() -> Protocol {
    Protocol::Tcp
}

/// An error in a trace file or a file of outcome bounds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Message of the I/O error.
        reason: String,
    },
    /// A line of the file is invalid.
    #[error("{file}:{line}: {field}: {reason}")]
    Line {
        /// Path of the file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Name of the invalid field, or `line` when the error precedes the first one.
        field: String,
        /// Description of the error.
        reason: String,
    },
}

/// A recorded trace: the header and the events of a trace file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Header, which contains the seed and the title.
    pub header: TraceHeader,
    /// Events, ordered by time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Reads and parses a trace file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or the first error in it with its file, line
    /// and field.
    pub fn read(file: &Path) -> Result<Self, TraceError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses the text of a trace. Errors name `file` as their file.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line and field.
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

    /// Returns the trace as the text of a trace file.
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
/// Returns [`TraceError::Unreadable`] when the file cannot be read or is not UTF-8.
pub fn read_text(file: &Path) -> Result<String, TraceError> {
    std::fs::read_to_string(file)
        .map_err(|err| TraceError::Unreadable { file: file.to_owned(), reason: err.to_string() })
}

/// Parses a JSON text that begins at line `line` of a file.
///
/// # Errors
///
/// Returns the error with its line and field.
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

/// Returns the last object key before a column of a line of JSON, which is the field that a parse
/// error at that column most likely concerns, or `line` when there is no key.
fn last_key_before(text: &str, column: usize) -> String {
    let end = (0..=column.min(text.len())).rev().find(|end| text.is_char_boundary(*end));
    let before = &text[..end.unwrap_or_default()];
    let key = before.rfind("\":").and_then(|colon| {
        let start = before[..colon].rfind('"')?;
        Some(&before[start + 1..colon])
    });
    key.unwrap_or("line").to_owned()
}
