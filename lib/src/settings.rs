//! Settings of an instance, parsed from an INI file and validated as a whole.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ini::Ini;
use smol_str::SmolStr;
use thiserror::Error;

use crate::envelope::PeerKey;
use crate::ids::{DataCentreId, InstanceId};
pub use crate::settings_spec::{SettingSpec, ValueKind, SPECS};

/// Packet format that carries IP packets in UDP; instances relay each packet to the owner of its
/// flow.
pub const IP_FORM: &str = "ip";

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Line number, counted from 1; 0 when a required key is absent.
    pub line: usize,
    /// Section and key, such as `[flows] capacity`, or `syntax`.
    pub field: String,
    /// Description of the error and of the accepted values.
    pub reason: String,
}

/// Error returned when settings cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read or is not UTF-8.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the settings file.
        file: PathBuf,
        /// Error of the operating system, or the position of the first invalid byte.
        reason: String,
    },
    /// The file has invalid settings; the message lists all of them.
    #[error("{}", list_faults(file, faults))]
    Faults {
        /// Path of the settings file.
        file: PathBuf,
        /// Faults by line number; missing keys, which have no line, come first.
        faults: Vec<SettingFault>,
    },
}

fn list_faults(file: &Path, faults: &[SettingFault]) -> String {
    let lines = faults.iter().map(|fault| match fault.line {
        0 => format!("{}: {}: {}", file.display(), fault.field, fault.reason),
        line => format!("{}:{line}: {}: {}", file.display(), fault.field, fault.reason),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Validated settings of an instance.
#[derive(Clone)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub name: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
    /// Whether the whole deployment starts for the first time; most instances then receive the
    /// directory from others instead of reading it from the platform.
    pub is_first_start: bool,
    /// UDP address on which the packet forwarder listens.
    pub flow: SocketAddr,
    /// UDP address on which the instance receives messages from other instances.
    pub peer: SocketAddr,
    /// Address at which other instances reach `peer`; `None` when it is `peer` itself.
    pub peer_advertised: Option<SocketAddr>,
    /// Bandwidth of the instance's link, in megabits per second.
    pub link_mbps: f64,
    /// Address on which the request gateway listens for HTTP.
    pub request: SocketAddr,
    /// Address on which the instance serves metrics, health checks and status.
    pub admin: SocketAddr,
    /// Address to which packets for callers are sent.
    pub egress: SocketAddr,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// Name of the plug-in that implements the platform's API.
    pub platform_api: SmolStr,
    /// Peer addresses that an instance contacts after its start to discover the others.
    pub seeds: Vec<SocketAddr>,
    /// Key of the flow hash; the same on every instance.
    pub flow_key: [u8; 16],
    /// Keys that authenticate messages between instances, each with its id. Outgoing messages use
    /// the first one; incoming messages may use any of them.
    pub peer_keys: Vec<(u8, PeerKey)>,
    /// Packet format: [`IP_FORM`] or the name of a plug-in.
    pub form: SmolStr,
    /// Time after which no packet is sent to a data centre that is out of service.
    pub outage_bound: Duration,
    /// Factor on the rate of new flows that a target declares for its warm-up.
    pub cold_multiplier: f64,
    /// New flows per second that all instances together may send to a target during its warm-up, in
    /// addition to its declared rate times `cold_multiplier`.
    pub cold_slack: u32,
    /// URL path of the targets' health endpoint; `None` if the endpoints are not probed.
    pub health_path: Option<String>,
    /// Time from SIGTERM until the process exits.
    pub stop_grace: Duration,
    /// Maximum number of flows that the instance holds.
    pub flow_capacity: usize,
    /// Number of instances in a data centre that own the flows of one service.
    pub owners_per_service: usize,
    /// Name of the plug-in that builds the default target tables.
    pub picker: SmolStr,
    /// Number of tasks that receive packets.
    pub workers: usize,
    /// Flows and requests per million that are sampled for tracing.
    pub sampled_per_million: u32,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("name", &self.name)
            .field("data_centre", &self.data_centre)
            .finish_non_exhaustive()
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or all of its faults at once.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = read_text(file)?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a settings file; errors name `file`.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text at once.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let source = IniSource::new(file, text)?;
        let mut reader = SettingsReader { source, faults: Vec::new() };
        reader.check_unknown();
        reader.check_duplicates();
        let settings = reader.settings();
        let SettingsReader { mut faults, .. } = reader;
        if faults.is_empty() {
            return Ok(settings);
        }
        faults.sort_by_key(|fault| (fault.line, spec_index(&fault.field)));
        Err(SettingsError::Faults { file: file.to_owned(), faults })
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns an error when the file cannot be read or is not UTF-8.
pub(crate) fn read_text(file: &Path) -> Result<String, SettingsError> {
    let unreadable = |reason: String| SettingsError::Unreadable { file: file.to_owned(), reason };
    let bytes = std::fs::read(file).map_err(|err| unreadable(err.to_string()))?;
    String::from_utf8(bytes).map_err(|err| {
        let at = err.utf8_error().valid_up_to();
        unreadable(format!("not UTF-8 at byte {at}; save the file as UTF-8"))
    })
}

struct IniSource {
    ini: Ini,
    /// Line number, section and key of each setting, since [`Ini`] does not keep line numbers.
    lines: Vec<(usize, String, String)>,
}

impl IniSource {
    fn new(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let faults_error = |faults| SettingsError::Faults { file: file.to_owned(), faults };
        let faults = syntax_faults(text);
        if !faults.is_empty() {
            return Err(faults_error(faults));
        }
        let ini = Ini::load_from_str(text)
            .map_err(|err| faults_error(vec![syntax_fault(err.line, err.msg.as_ref())]))?;
        Ok(Self { ini, lines: locate_keys(text) })
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let found = self.lines.iter().find(|(_, s, k)| s == section && k == key);
        found.map_or(0, |(line, _, _)| *line)
    }
}

fn syntax_faults(text: &str) -> Vec<SettingFault> {
    let is_faulty = |line: &str| {
        let is_blank = line.is_empty() || line.starts_with([';', '#']);
        let is_section = line.starts_with('[') && line.ends_with(']');
        !is_blank && !is_section && !line.contains(['=', ':'])
    };
    let lines = text.lines().enumerate().filter(|(_, line)| is_faulty(line.trim()));
    lines.map(|(index, _)| syntax_fault(index + 1, "expected [section] or key = value")).collect()
}

fn syntax_fault(line: usize, reason: &str) -> SettingFault {
    SettingFault { line, field: "syntax".into(), reason: reason.into() }
}

fn locate_keys(text: &str) -> Vec<(usize, String, String)> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            section = name.trim().to_owned();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            if !line.starts_with([';', '#']) {
                lines.push((index + 1, section.clone(), key.trim().to_owned()));
            }
        }
    }
    lines
}

struct SettingsReader {
    source: IniSource,
    faults: Vec<SettingFault>,
}

impl SettingsReader {
    fn check_unknown(&mut self) {
        let known = |section: &str, key: &str| {
            SPECS.iter().any(|spec| spec.section == section && spec.key == key)
        };
        let unknown: Vec<_> =
            self.source.lines.iter().filter(|(_, s, k)| !known(s, k)).cloned().collect();
        for (line, section, key) in unknown {
            let reason = format!("unknown key; {}", known_keys(&section));
            self.faults.push(SettingFault { line, field: field(&section, &key), reason });
        }
    }

    fn check_duplicates(&mut self) {
        let lines = &self.source.lines;
        let duplicates = lines.iter().enumerate().filter_map(|(index, (line, section, key))| {
            let first = lines[..index].iter().find(|(_, s, k)| s == section && k == key)?;
            let reason = format!("duplicate key; first set on line {}", first.0);
            Some(SettingFault { line: *line, field: field(section, key), reason })
        });
        self.faults.extend(duplicates.collect::<Vec<_>>());
    }

    fn settings(&mut self) -> Settings {
        Settings {
            name: self.name("instance", "name"),
            data_centre: self.name("instance", "data_centre"),
            is_first_start: self.boolean("instance", "first_start"),
            flow: self.address("listen", "flow"),
            peer: self.reachable_address("listen", "peer"),
            peer_advertised: self.optional_address("listen", "peer_advertised"),
            link_mbps: self.decimal("listen", "link_mbps"),
            request: self.ip_form_address("listen", "request", Self::reachable_address),
            admin: self.address("listen", "admin"),
            egress: self.ip_form_address("fabric", "egress", Self::address),
            platform_url: self.url("platform", "url"),
            platform_api: self.name("platform", "api"),
            seeds: self.addresses("peers", "seeds"),
            form: self.name("flows", "form"),
            outage_bound: self.millis("flows", "outage_bound_ms"),
            cold_multiplier: self.decimal("flows", "cold_multiplier"),
            cold_slack: self.integer("flows", "cold_slack") as u32,
            health_path: self.path("targets", "health_path"),
            stop_grace: self.millis("stop", "grace_ms"),
            flow_key: self.key("keys", "flow"),
            peer_keys: self.peer_keys(),
            flow_capacity: self.integer("flows", "capacity") as usize,
            owners_per_service: self.integer("flows", "owners_per_service") as usize,
            picker: self.name("flows", "picker"),
            workers: self.integer("flows", "workers") as usize,
            sampled_per_million: self.integer("trace", "sampled_per_million") as u32,
        }
    }

    fn peer_keys(&mut self) -> Vec<(u8, PeerKey)> {
        let mut keys: Vec<PeerKey> = vec![self.key("keys", "peer")];
        if !self.text("keys", "peer_previous").is_empty() {
            keys.push(self.key("keys", "peer_previous"));
        }
        keys.into_iter().map(|key| (key_id(&key), key)).collect()
    }

    fn text(&mut self, section: &str, key: &str) -> String {
        if let Some(value) = self.source.ini.get_from(Some(section), key) {
            return value.to_owned();
        }
        let spec = SPECS.iter().find(|spec| spec.section == section && spec.key == key);
        match spec.and_then(|spec| spec.default) {
            Some(default) => default.to_owned(),
            None => {
                self.fault(section, key, "must be set".into());
                String::new()
            }
        }
    }

    fn fault(&mut self, section: &str, key: &str, reason: String) {
        let field = field(section, key);
        if self.faults.iter().all(|fault| fault.field != field) {
            let line = self.source.line(section, key);
            self.faults.push(SettingFault { line, field, reason });
        }
    }

    fn name(&mut self, section: &str, key: &str) -> SmolStr {
        let text = self.text(section, key);
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if text.is_empty() || text.len() > 63 || !text.chars().all(allowed) {
            let reason = format!(
                "{text:?} is not a valid name: use 1 to 63 letters, digits, '-', '_' or '.'"
            );
            self.fault(section, key, reason);
        }
        SmolStr::new(text)
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let text = self.text(section, key);
        text.parse().unwrap_or_else(|_| {
            let reason = format!("{text:?} is not an IP address and port, such as 10.0.0.1:6080");
            self.fault(section, key, reason);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn reachable_address(&mut self, section: &str, key: &str) -> SocketAddr {
        let address = self.address(section, key);
        if address.ip().is_unspecified() {
            let reason = "must be an IP address that other instances can reach".into();
            self.fault(section, key, reason);
        }
        address
    }

    fn optional_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let is_set = !self.text(section, key).is_empty();
        is_set.then(|| self.reachable_address(section, key))
    }

    /// Reads an address that is required for the packet format `ip` and optional for the others,
    /// which do not use it.
    fn ip_form_address(
        &mut self,
        section: &str,
        key: &str,
        read: fn(&mut Self, &str, &str) -> SocketAddr,
    ) -> SocketAddr {
        let is_set = self.source.ini.get_from(Some(section), key).is_some();
        if !is_set && self.text("flows", "form") != IP_FORM {
            return SocketAddr::from(([0, 0, 0, 0], 0));
        }
        read(self, section, key)
    }

    fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let text = self.text(section, key);
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let mut addresses = Vec::new();
        for part in parts {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let reason =
                        format!("{part:?} is not an IP address and port; separate by commas");
                    self.fault(section, key, reason);
                }
            }
        }
        addresses
    }

    fn millis(&mut self, section: &str, key: &str) -> Duration {
        Duration::from_millis(self.integer(section, key))
    }

    fn decimal(&mut self, section: &str, key: &str) -> f64 {
        let text = self.text(section, key);
        let spec = SPECS.iter().find(|spec| spec.section == section && spec.key == key);
        let (min, max) = match spec.map(|spec| spec.kind) {
            Some(ValueKind::Decimal { min, max }) => (min, max),
            _ => (f64::MIN, f64::MAX),
        };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let reason = format!("{text:?} is not a number from {min} to {max}");
                self.fault(section, key, reason);
                min
            }
        }
    }

    fn boolean(&mut self, section: &str, key: &str) -> bool {
        let text = self.text(section, key);
        text.parse().unwrap_or_else(|_| {
            self.fault(section, key, format!("{text:?} is neither true nor false"));
            false
        })
    }

    fn url(&mut self, section: &str, key: &str) -> String {
        let text = self.text(section, key);
        let parsed = text.parse::<http::Uri>();
        let is_http =
            parsed.is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.host().is_some());
        if !is_http {
            let reason = format!("{text:?} is not an http URL such as http://10.0.0.1:8080");
            self.fault(section, key, reason);
        }
        text
    }

    fn path(&mut self, section: &str, key: &str) -> Option<String> {
        let text = self.text(section, key);
        if text.is_empty() {
            return None;
        }
        let parsed = text.parse::<http::uri::PathAndQuery>();
        if !text.starts_with('/') || parsed.is_err() {
            self.fault(section, key, format!("{text:?} is not a URL path such as /health"));
        }
        Some(text)
    }

    fn integer(&mut self, section: &str, key: &str) -> u64 {
        let text = self.text(section, key);
        let spec = SPECS.iter().find(|spec| spec.section == section && spec.key == key);
        let (min, max) = match spec.map(|spec| spec.kind) {
            Some(ValueKind::Integer { min, max }) => (min, max),
            _ => (0, u64::MAX),
        };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let reason = format!("{text:?} is not a whole number from {min} to {max}");
                self.fault(section, key, reason);
                min
            }
        }
    }

    fn key<const N: usize>(&mut self, section: &str, key: &str) -> [u8; N] {
        let text = self.text(section, key);
        decode_hex(&text).unwrap_or_else(|| {
            let digits = text.chars().count();
            let reason = format!("expected {} hexadecimal digits, got {digits} characters", N * 2);
            self.fault(section, key, reason);
            [0; N]
        })
    }
}

/// Returns the id of a key. It is derived from the key alone, so that all instances agree on it
/// during a rotation.
fn key_id(key: &PeerKey) -> u8 {
    blake3::hash(key).as_bytes()[0]
}

fn field(section: &str, key: &str) -> String {
    format!("[{section}] {key}")
}

fn spec_index(name: &str) -> Option<usize> {
    SPECS.iter().position(|spec| field(spec.section, spec.key) == name)
}

fn known_keys(section: &str) -> String {
    let keys: Vec<_> =
        SPECS.iter().filter(|spec| spec.section == section).map(|spec| spec.key).collect();
    if keys.is_empty() {
        return format!("there is no section [{section}]");
    }
    format!("[{section}] has {}", keys.join(", "))
}

fn decode_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != N * 2 || !text.is_ascii() {
        return None;
    }
    let mut key = [0; N];
    for (byte, pair) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(key)
}
