//! Table of all settings: section, key, type, unit, default and description.

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Name of 1 to 63 letters, digits, `-`, `_` or `.`.
    Name,
    /// IP address and port.
    Address,
    /// URL with the scheme `http`.
    Url,
    /// URL path that begins with a slash; may be empty.
    Path,
    /// Whole number in a range.
    Integer {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// Decimal number in a range.
    Decimal {
        /// Smallest accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// IP addresses with ports, separated by commas; may be empty.
    Addresses,
    /// Key in hexadecimal digits.
    Key {
        /// Length in bytes.
        bytes: usize,
    },
}

/// Description of one setting, used to validate it and to print the reference.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key within the section.
    pub key: &'static str,
    /// Type and range of the value.
    pub kind: ValueKind,
    /// Unit of the value; empty when it has none.
    pub unit: &'static str,
    /// Value that is used when the key is absent; `None` when the key is required.
    pub default: Option<&'static str>,
    /// Description for the reference.
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

const KEY_16_BYTES: ValueKind = ValueKind::Key { bytes: 16 };
const KEY_32_BYTES: ValueKind = ValueKind::Key { bytes: 32 };
const OWNER_COUNT: ValueKind = ValueKind::Integer { min: 1, max: 64 };
const FLOW_COUNT: ValueKind = ValueKind::Integer { min: 1_000, max: 4_000_000 };
const SAMPLED_PER_MILLION: ValueKind = ValueKind::Integer { min: 0, max: 1_000_000 };
const WORKER_COUNT: ValueKind = ValueKind::Integer { min: 1, max: 64 };
const DURATION_MS: ValueKind = ValueKind::Integer { min: 0, max: 600_000 };
const FACTOR: ValueKind = ValueKind::Decimal { min: 0.0, max: 1_000.0 };
const LINK_MBPS: ValueKind = ValueKind::Decimal { min: 0.1, max: 400_000.0 };
const FLOWS_PER_SECOND: ValueKind = ValueKind::Integer { min: 0, max: 1_000_000 };

/// All settings, in the order of the reference.
#[rustfmt::skip]
pub const SPECS: &[SettingSpec] = &[
    spec("instance", "name", ValueKind::Name, "", None, "Name of the instance, unique in the deployment."),
    spec("instance", "data_centre", ValueKind::Name, "", None, "Data centre that the instance runs in."),
    spec("instance", "first_start", ValueKind::Boolean, "", Some("false"), "Whether the whole deployment starts for the first time; most instances then receive the directory from others instead of reading it from the platform. Only used with a `form` other than `ip`."),
    spec("listen", "flow", ValueKind::Address, "", Some("0.0.0.0:6080"), "UDP address on which the packet forwarder listens."),
    spec("listen", "peer", ValueKind::Address, "", None, "UDP address for messages between instances. Must be an IP address of the instance that the others can reach."),
    spec("listen", "peer_advertised", ValueKind::Address, "", Some(""), "Address at which other instances reach `peer`, when it is behind network address translation. Only used with a `form` other than `ip`."),
    spec("listen", "link_mbps", LINK_MBPS, "Mbit/s", Some("100"), "Bandwidth of the instance's link; bulk updates between instances use at most half of it. Only used with a `form` other than `ip`."),
    spec("listen", "request", ValueKind::Address, "", None, "Address on which the request gateway listens for HTTP. Must be an IP address of the instance that the others can reach. Not used with a `form` other than `ip`."),
    spec("listen", "admin", ValueKind::Address, "", Some("127.0.0.1:9100"), "Address on which the instance serves metrics, health checks and status."),
    spec("fabric", "egress", ValueKind::Address, "", None, "Address to which packets for callers are sent. Not used with a `form` other than `ip`."),
    spec("platform", "url", ValueKind::Url, "", None, "Base URL of the platform's object API."),
    spec("platform", "api", ValueKind::Name, "", Some("http"), "Plug-in that implements the platform's API."),
    spec("peers", "seeds", ValueKind::Addresses, "", Some(""), "Peer addresses that an instance contacts after its start to discover the others. Only used with a `form` other than `ip`."),
    spec("keys", "flow", KEY_16_BYTES, "", None, "Key of the flow hash; must be the same on every instance."),
    spec("keys", "peer", KEY_32_BYTES, "", None, "Key that authenticates messages between instances."),
    spec("keys", "peer_previous", KEY_32_BYTES, "", Some(""), "Previous peer key, which is still accepted during a key rotation."),
    spec("flows", "form", ValueKind::Name, "", Some("ip"), "Packet format: `ip` for IP packets in UDP, or the name of a plug-in whose packets carry the cookie of their target."),
    spec("flows", "outage_bound_ms", DURATION_MS, "ms", Some("5000"), "Time after which no packet is sent to a data centre that is out of service. Only used with a `form` other than `ip`."),
    spec("flows", "cold_multiplier", FACTOR, "", Some("1.0"), "Factor on the rate of new flows that a target declares for its warm-up. Only used with a `form` other than `ip`."),
    spec("flows", "cold_slack", FLOWS_PER_SECOND, "flows/s", Some("5"), "New flows per second that all instances together may send to a target during its warm-up, in addition to its declared rate times `cold_multiplier`. Only used with a `form` other than `ip`."),
    spec("flows", "capacity", FLOW_COUNT, "flows", Some("400000"), "Maximum number of flows that the instance holds."),
    spec("flows", "owners_per_service", OWNER_COUNT, "instances", Some("8"), "Number of instances in a data centre that own the flows of one service."),
    spec("flows", "picker", ValueKind::Name, "", Some("bounded-rendezvous"), "Plug-in that builds the default target tables."),
    spec("flows", "workers", WORKER_COUNT, "tasks", Some("4"), "Number of tasks that receive packets."),
    spec("targets", "health_path", ValueKind::Path, "", Some(""), "URL path of the targets' health endpoint. A target whose endpoint reports a fault and that has answered no request lately counts as cold. Empty: the endpoints are not probed. Not used with a `form` other than `ip`."),
    spec("stop", "grace_ms", DURATION_MS, "ms", Some("6000"), "Time from SIGTERM until the process exits. Only used with a `form` other than `ip`."),
    spec("trace", "sampled_per_million", SAMPLED_PER_MILLION, "flows and requests", Some("0"), "Flows and requests per million for which each hop logs a span; a request with a `traceparent` header follows the sampled flag of that header instead."),
];
