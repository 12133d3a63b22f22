//! Table of all settings: where each stands, what it may be and what it means.

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A name of letters, digits, `-`, `_` and `.`, at most 63 bytes.
    Name,
    /// IP address and port.
    Address,
    /// URL of plain HTTP.
    Url,
    /// Whole number in a range.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// Decimal number in a range.
    Decimal {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// IP addresses with ports, separated by commas.
    Addresses,
    /// Key in hexadecimal digits.
    Key {
        /// Length in bytes.
        bytes: usize,
    },
}

/// A setting: where it stands, what it may be, and what it means.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Section of the file.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Type of its value.
    pub kind: ValueKind,
    /// Unit of its value, or empty.
    pub unit: &'static str,
    /// Value that is used when the key is absent; `None` means that the key must be present.
    pub default: Option<&'static str>,
    /// What it means.
    pub doc: &'static str,
}

const fn spec(
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    unit: &'static str,
    default: Option<&'static str>,
    doc: &'static str,
) -> SettingSpec {
    SettingSpec { section, key, kind, unit, default, doc }
}

const KEY_16: ValueKind = ValueKind::Key { bytes: 16 };
const KEY_32: ValueKind = ValueKind::Key { bytes: 32 };
const OWNERS: ValueKind = ValueKind::Number { min: 1, max: 64 };
const FLOWS: ValueKind = ValueKind::Number { min: 1_000, max: 4_000_000 };
const SAMPLED: ValueKind = ValueKind::Number { min: 0, max: 1_000_000 };
const WORKERS: ValueKind = ValueKind::Number { min: 1, max: 64 };
const MILLISECONDS: ValueKind = ValueKind::Number { min: 0, max: 600_000 };
const MULTIPLIER: ValueKind = ValueKind::Decimal { min: 0.0, max: 1_000.0 };
const LINK: ValueKind = ValueKind::Decimal { min: 0.1, max: 400_000.0 };
const FLOWS_A_SECOND: ValueKind = ValueKind::Number { min: 0, max: 1_000_000 };

/// All settings, in the order of the documentation.
#[rustfmt::skip]
pub const SPECS: &[SettingSpec] = &[
    spec("instance", "name", ValueKind::Name, "", None, "Name of the instance, unique in the deployment."),
    spec("instance", "data_centre", ValueKind::Name, "", None, "Data centre that the instance runs in."),
    spec("instance", "first_start", ValueKind::Flag, "", Some("false"), "Whether the whole deployment starts for the first time; then most instances wait to be told by others instead of asking the platform. With a form other than `ip`."),
    spec("listen", "flow", ValueKind::Address, "", Some("0.0.0.0:6080"), "Address of the flow door: IP packets in UDP."),
    spec("listen", "peer", ValueKind::Address, "", None, "Address for messages between instances: one of the instance's own IP numbers."),
    spec("listen", "peer_advertised", ValueKind::Address, "", Some(""), "Address at which other instances reach `peer`, where something between them translates addresses; with a form other than `ip`."),
    spec("listen", "link_mbps", LINK, "Mbit/s", Some("100"), "Speed of the instance's link; large changes between instances use at most half of it. With a form other than `ip`."),
    spec("listen", "request", ValueKind::Address, "", None, "Address of the request door, HTTP: one of the instance's own IP numbers. Not used with a form other than `ip`."),
    spec("listen", "admin", ValueKind::Address, "", Some("127.0.0.1:9100"), "Address of metrics, health and status."),
    spec("fabric", "egress", ValueKind::Address, "", None, "Address that takes packets for callers. Not used with a form other than `ip`."),
    spec("platform", "url", ValueKind::Url, "", None, "Base URL of the platform's object API."),
    spec("platform", "api", ValueKind::Name, "", Some("http"), "Plug-in that speaks the platform's API."),
    spec("peers", "seeds", ValueKind::Addresses, "", Some(""), "Addresses for messages between instances that a fresh instance asks for others; with a form other than `ip`."),
    spec("keys", "flow", KEY_16, "", None, "Key that flows are hashed with; the same on every instance."),
    spec("keys", "peer", KEY_32, "", None, "Key of messages between instances."),
    spec("keys", "peer_previous", KEY_32, "", Some(""), "Earlier key that is still accepted while keys are rotated."),
    spec("flows", "form", ValueKind::Name, "", Some("ip"), "Wire form of packets: `ip` for IP packets in UDP, or a plug-in whose packets carry their target's cookie."),
    spec("flows", "outage_bound_ms", MILLISECONDS, "ms", Some("5000"), "Time after which nothing is sent to a data centre that was taken out; with a form other than `ip`."),
    spec("flows", "cold_multiplier", MULTIPLIER, "", Some("1.0"), "Factor on the new flows a second that a cold target says it bears; with a form other than `ip`."),
    spec("flows", "cold_slack", FLOWS_A_SECOND, "flows/s", Some("5"), "New flows a second that a cold target bears beyond that; with a form other than `ip`."),
    spec("flows", "capacity", FLOWS, "flows", Some("400000"), "Largest number of flows that the instance holds."),
    spec("flows", "owners_per_service", OWNERS, "instances", Some("8"), "Instances of a data centre that own the flows of one service."),
    spec("flows", "picker", ValueKind::Name, "", Some("bounded-rendezvous"), "Plug-in that builds default tables."),
    spec("flows", "workers", WORKERS, "tasks", Some("4"), "Tasks that read packets."),
    spec("stop", "grace_ms", MILLISECONDS, "ms", Some("6000"), "Time from SIGTERM to the end of the process; with a form other than `ip`."),
    spec("trace", "sampled_per_million", SAMPLED, "flows and requests", Some("0"), "Flows and requests of which each hop makes a span in the log; requests with a traceparent header follow its flag instead."),
];
