//! Settings of an instance, read from an INI file and checked as a whole.

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

/// Wire form of IP packets in UDP, which the instances relay to a flow's owner.
pub const IP_FORM: &str = "ip";

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Line of the fault, from 1; 0 when the fault is something that is absent.
    pub line: usize,
    /// Section and key.
    pub field: String,
    /// What is wrong and how to mend it.
    pub reason: String,
}

/// Reason why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// File.
        file: PathBuf,
        /// Why.
        reason: String,
    },
    /// The file has faults; all of them are listed.
    #[error("{}", list_faults(file, faults))]
    Faults {
        /// File.
        file: PathBuf,
        /// Faults, in the order of the file.
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

/// Checked settings of an instance.
#[derive(Clone)]
pub struct Settings {
    /// Name of the instance.
    pub name: InstanceId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Address of the flow door.
    pub flow: SocketAddr,
    /// Address for messages between instances.
    pub peer: SocketAddr,
    /// Address at which other instances reach that one, where it differs.
    pub peer_advertised: Option<SocketAddr>,
    /// Speed of the instance's link, in megabits a second.
    pub link_mbps: f64,
    /// Address of the request door.
    pub request: SocketAddr,
    /// Address of metrics, health and status.
    pub admin: SocketAddr,
    /// Address that takes packets for callers.
    pub egress: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Name of the plug-in that speaks the platform's API.
    pub platform_api: SmolStr,
    /// Addresses of instances that a fresh instance asks for others.
    pub seeds: Vec<SocketAddr>,
    /// Key that flows are hashed with.
    pub flow_key: [u8; 16],
    /// Keys of messages between instances; the first one seals.
    pub peer_keys: Vec<(u8, PeerKey)>,
    /// Wire form of packets.
    pub form: SmolStr,
    /// Time after which nothing is sent to a data centre that was taken out.
    pub outage_bound: Duration,
    /// Factor on what a cold target says that it bears.
    pub cold_multiplier: f64,
    /// New flows a second that a cold target bears beyond that.
    pub cold_slack: u32,
    /// Time from SIGTERM to the end of the process.
    pub stop_grace: Duration,
    /// Largest number of flows.
    pub flow_capacity: usize,
    /// Owners of a service in a data centre.
    pub owners_per_service: usize,
    /// Name of the picker.
    pub picker: SmolStr,
    /// Tasks that read packets.
    pub workers: usize,
    /// Flows and requests of a million that are sampled.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file at once.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = read_text(file)?;
        Self::parse(file, &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text at once.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let source = Source::new(file, text)?;
        let mut reader = Reader { source, faults: Vec::new() };
        reader.check_unknown();
        reader.check_repeated();
        let settings = reader.settings();
        let Reader { mut faults, .. } = reader;
        if faults.is_empty() {
            return Ok(settings);
        }
        faults.sort_by_key(|fault| (fault.line, position(&fault.field)));
        Err(SettingsError::Faults { file: file.to_owned(), faults })
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns why it cannot be read.
pub(crate) fn read_text(file: &Path) -> Result<String, SettingsError> {
    let unreadable = |reason: String| SettingsError::Unreadable { file: file.to_owned(), reason };
    let bytes = std::fs::read(file).map_err(|err| unreadable(err.to_string()))?;
    String::from_utf8(bytes).map_err(|err| {
        let at = err.utf8_error().valid_up_to();
        unreadable(format!("not UTF-8 at byte {at}; save the file as UTF-8"))
    })
}

struct Source {
    ini: Ini,
    lines: Vec<(usize, String, String)>,
}

impl Source {
    fn new(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let faulty = |faults| SettingsError::Faults { file: file.to_owned(), faults };
        let faults = syntax_faults(text);
        if !faults.is_empty() {
            return Err(faulty(faults));
        }
        let ini = Ini::load_from_str(text)
            .map_err(|err| faulty(vec![syntax_fault(err.line, err.msg.as_ref())]))?;
        Ok(Self { ini, lines: locate(text) })
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
    lines.map(|(index, _)| syntax_fault(index + 1, "neither [section] nor key = value")).collect()
}

fn syntax_fault(line: usize, reason: &str) -> SettingFault {
    SettingFault { line, field: "syntax".into(), reason: reason.into() }
}

fn locate(text: &str) -> Vec<(usize, String, String)> {
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

struct Reader {
    source: Source,
    faults: Vec<SettingFault>,
}

impl Reader {
    fn check_unknown(&mut self) {
        let known = |section: &str, key: &str| {
            SPECS.iter().any(|spec| spec.section == section && spec.key == key)
        };
        let unknown: Vec<_> =
            self.source.lines.iter().filter(|(_, s, k)| !known(s, k)).cloned().collect();
        for (line, section, key) in unknown {
            let reason = format!("unknown key; {}", suggestion(&section));
            self.faults.push(SettingFault { line, field: field(&section, &key), reason });
        }
    }

    fn check_repeated(&mut self) {
        let lines = &self.source.lines;
        let repeated = lines.iter().enumerate().filter_map(|(index, (line, section, key))| {
            let first = lines[..index].iter().find(|(_, s, k)| s == section && k == key)?;
            let reason = format!("stands twice, first in line {}", first.0);
            Some(SettingFault { line: *line, field: field(section, key), reason })
        });
        self.faults.extend(repeated.collect::<Vec<_>>());
    }

    fn settings(&mut self) -> Settings {
        Settings {
            name: self.name("instance", "name"),
            data_centre: self.name("instance", "data_centre"),
            is_first_start: self.flag("instance", "first_start"),
            flow: self.address("listen", "flow"),
            peer: self.own_address("listen", "peer"),
            peer_advertised: self.optional_address("listen", "peer_advertised"),
            link_mbps: self.decimal("listen", "link_mbps"),
            request: self.ip_form_address("listen", "request", Self::own_address),
            admin: self.address("listen", "admin"),
            egress: self.ip_form_address("fabric", "egress", Self::address),
            platform_url: self.url("platform", "url"),
            platform_api: self.name("platform", "api"),
            seeds: self.addresses("peers", "seeds"),
            form: self.name("flows", "form"),
            outage_bound: self.millis("flows", "outage_bound_ms"),
            cold_multiplier: self.decimal("flows", "cold_multiplier"),
            cold_slack: self.number("flows", "cold_slack") as u32,
            stop_grace: self.millis("stop", "grace_ms"),
            flow_key: self.key("keys", "flow"),
            peer_keys: self.peer_keys(),
            flow_capacity: self.number("flows", "capacity") as usize,
            owners_per_service: self.number("flows", "owners_per_service") as usize,
            picker: self.name("flows", "picker"),
            workers: self.number("flows", "workers") as usize,
            sampled_per_million: self.number("trace", "sampled_per_million") as u32,
        }
    }

    fn peer_keys(&mut self) -> Vec<(u8, PeerKey)> {
        let mut keys: Vec<PeerKey> = vec![self.key("keys", "peer")];
        if !self.text("keys", "peer_previous").is_empty() {
            keys.push(self.key("keys", "peer_previous"));
        }
        keys.into_iter().map(|key| (key_number(&key), key)).collect()
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
            let reason =
                format!("{text:?} is no name: use 1 to 63 letters, digits, '-', '_' or '.'");
            self.fault(section, key, reason);
        }
        SmolStr::new(text)
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let text = self.text(section, key);
        text.parse().unwrap_or_else(|_| {
            let reason = format!("{text:?} is no IP address and port, such as 10.0.0.1:6080");
            self.fault(section, key, reason);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn own_address(&mut self, section: &str, key: &str) -> SocketAddr {
        let address = self.address(section, key);
        if address.ip().is_unspecified() {
            let reason = "must name an IP number that other instances reach".into();
            self.fault(section, key, reason);
        }
        address
    }

    fn optional_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let is_set = !self.text(section, key).is_empty();
        is_set.then(|| self.own_address(section, key))
    }

    /// Reads an address that only the form `ip` uses; with other forms it may be absent.
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
                    let reason = format!("{part:?} is no IP address and port; separate by commas");
                    self.fault(section, key, reason);
                }
            }
        }
        addresses
    }

    fn millis(&mut self, section: &str, key: &str) -> Duration {
        Duration::from_millis(self.number(section, key))
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
                let reason = format!("{text:?} is no number from {min} to {max}");
                self.fault(section, key, reason);
                min
            }
        }
    }

    fn flag(&mut self, section: &str, key: &str) -> bool {
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
            let reason = format!("{text:?} is no URL such as http://10.0.0.1:8080");
            self.fault(section, key, reason);
        }
        text
    }

    fn number(&mut self, section: &str, key: &str) -> u64 {
        let text = self.text(section, key);
        let spec = SPECS.iter().find(|spec| spec.section == section && spec.key == key);
        let (min, max) = match spec.map(|spec| spec.kind) {
            Some(ValueKind::Number { min, max }) => (min, max),
            _ => (0, u64::MAX),
        };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let reason = format!("{text:?} is no whole number from {min} to {max}");
                self.fault(section, key, reason);
                min
            }
        }
    }

    fn key<const N: usize>(&mut self, section: &str, key: &str) -> [u8; N] {
        let text = self.text(section, key);
        decode_hex(&text).unwrap_or_else(|| {
            let digits = text.chars().count();
            let reason = format!("needs {} hexadecimal digits, has {digits} characters", N * 2);
            self.fault(section, key, reason);
            [0; N]
        })
    }
}

/// Returns the number of a key, which is the same on every instance during a rotation.
fn key_number(key: &PeerKey) -> u8 {
    blake3::hash(key).as_bytes()[0]
}

fn field(section: &str, key: &str) -> String {
    format!("[{section}] {key}")
}

fn position(name: &str) -> Option<usize> {
    SPECS.iter().position(|spec| field(spec.section, spec.key) == name)
}

fn suggestion(section: &str) -> String {
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
