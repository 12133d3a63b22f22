//! Bounds on the outcomes of a replay, read from a JSON file.

use std::path::Path;

use smol_str::SmolStr;

use crate::trace_file::{parse_json, read_text, TraceError};

/// Value of the `format` field of a file of outcome bounds.
pub const OUTCOMES_FORMAT: &str = "hollyhead-outcomes";
/// Newest version of the format that this build reads.
pub const OUTCOMES_VERSION: u32 = 1;

value_type! {
    /// Bounds on the outcomes of a replay. All bounds are inclusive.
    #[serde(deny_unknown_fields)]
    pub struct OutcomeBounds {
        /// Always [`OUTCOMES_FORMAT`].
        pub format: String,
        /// Version of the format.
        pub version: u32,
        /// Largest allowed number of flows that break.
        pub broken_flows: u64,
        /// Largest allowed number of packets that reach another service than their own.
        pub wrong_service_packets: u64,
        /// Longest time without a delivery while packets of an open flow are sent, in milliseconds.
        /// A flow that exceeds it counts as broken.
        pub silence_ms: u64,
        /// Longest allowed time from the first packet of a flow to its first delivery, in
        /// milliseconds.
        pub open_wait_ms: u64,
        /// Time after a data centre goes out of service within which its targets may still receive
        /// packets, in milliseconds.
        pub out_within_ms: u64,
        /// Time after a target begins to leave within which it may still receive new flows, in
        /// milliseconds.
        pub leaving_within_ms: u64,
        /// Largest allowed ratio of the flows on one target to the mean over the targets of its
        /// service, in thousandths.
        pub imbalance_per_mille: u64,
        /// Groups of flows to which the bound on imbalance applies.
        pub imbalance_groups: Vec<SmolStr>,
        /// Largest allowed number of new flows to cold targets beyond their capacity.
        pub cold_excess: u64,
        /// Largest allowed number of bytes of control traffic that an instance sends within one
        /// second.
        pub control_bytes_per_second: u64,
        /// Longest allowed time until a configuration change has reached every instance, in
        /// milliseconds.
        pub in_force_within_ms: u64,
    }
}

impl OutcomeBounds {
    /// Reads and parses a file of outcome bounds.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read. If its contents are invalid, returns the first
    /// error, with the file, line and field at which it occurred.
    pub fn read(file: &Path) -> Result<Self, TraceError> {
        Self::parse(file, &read_text(file)?)
    }

    /// Parses the text of a file of outcome bounds. Errors name `file` as their file.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line and field.
    pub fn parse(file: &Path, text: &str) -> Result<Self, TraceError> {
        let bounds: Self = parse_json(file, 1, text)?;
        let is_known = bounds.format == OUTCOMES_FORMAT && bounds.version == OUTCOMES_VERSION;
        if is_known {
            return Ok(bounds);
        }
        Err(TraceError::Line {
            file: file.to_owned(),
            line: 1,
            field: "format".into(),
            reason: format!("must be {OUTCOMES_FORMAT:?} with version {OUTCOMES_VERSION}"),
        })
    }
}
