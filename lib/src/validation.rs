//! Validation of declared records, each by itself and against all other records.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use smol_str::SmolStr;

use crate::config::Config;
use crate::flow::Protocol;
use crate::ids::Version;
use crate::platform::Object;
use crate::record::{RecordKind, Service, Target};

/// Maximum length of a record's name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A record that an operator declares in a file or with a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// File that contains the declaration; `None` for one made by a command.
    pub file: Option<PathBuf>,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record, unique within its kind.
    pub name: SmolStr,
    /// Body of the record as a JSON object, without the field that names the kind.
    pub body: Value,
}

/// An error in a declared record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// File that contains the declaration; `None` for one made by a command.
    pub file: Option<PathBuf>,
    /// Kind and name of the record, such as `target/quaydesk-1`.
    pub record: String,
    /// Name of the field; empty when the error is not in a single field.
    pub field: &'static str,
    /// Description of the error and how to correct it.
    pub reason: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{}: ", file.display())?;
        }
        write!(f, "{}: ", self.record)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.reason)
    }
}

/// Validates declared records together with the current ones, and returns all errors in the order of
/// the declarations.
pub fn check(current: &Config, declarations: &[Declaration]) -> Vec<ValidationError> {
    let objects: Vec<_> = declarations.iter().zip(current.version() + 1..).map(to_object).collect();
    let (config, parse_errors) = current.apply(&objects);
    let index = RecordIndex::new(&config);
    let mut validation_errors = Vec::new();
    for (record, object) in declarations.iter().zip(&objects) {
        let mut checker = RecordChecker { record, errors: &mut validation_errors };
        checker.check_name();
        match parse_errors.iter().find(|err| err.version == object.version) {
            Some(err) => checker.add_error("", format!("{}; correct the record", err.reason)),
            None => checker.check_record(&config, &index),
        }
    }
    validation_errors
}

fn to_object((record, version): (&Declaration, Version)) -> Object {
    let (kind, name) = (record.kind.name().into(), record.name.clone());
    Object { kind, name, version, body: Some(record.body.clone()) }
}

/// Records that use each address or host name, and the number of targets of each service.
struct RecordIndex<'a> {
    addresses: BTreeMap<(Protocol, SocketAddr), Vec<&'a str>>,
    hosts: BTreeMap<&'a str, Vec<&'a str>>,
    tunnels: BTreeMap<SocketAddr, Vec<&'a str>>,
    target_counts: BTreeMap<&'a str, usize>,
}

impl<'a> RecordIndex<'a> {
    fn new(config: &'a Config) -> Self {
        let mut index = Self {
            addresses: BTreeMap::new(),
            hosts: BTreeMap::new(),
            tunnels: BTreeMap::new(),
            target_counts: BTreeMap::new(),
        };
        for service in config.services() {
            for address in &service.addresses {
                let key = (address.protocol, address.address);
                index.addresses.entry(key).or_default().push(&service.name);
            }
            for host in &service.hosts {
                index.hosts.entry(host).or_default().push(&service.name);
            }
        }
        for target in config.targets() {
            index.tunnels.entry(target.tunnel).or_default().push(&target.name);
            *index.target_counts.entry(&target.service).or_default() += 1;
        }
        index
    }
}

struct RecordChecker<'a> {
    record: &'a Declaration,
    errors: &'a mut Vec<ValidationError>,
}

impl RecordChecker<'_> {
    fn add_error(&mut self, field: &'static str, reason: impl Into<String>) {
        self.errors.push(ValidationError {
            file: self.record.file.clone(),
            record: format!("{}/{}", self.record.kind.name(), self.record.name),
            field,
            reason: reason.into(),
        });
    }

    fn check_name(&mut self) {
        let name = &self.record.name;
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_valid) {
            self.add_error("name", "use 1 to 63 letters, digits, `-`, `_` and `.`");
        }
    }

    fn check_record(&mut self, config: &Config, index: &RecordIndex<'_>) {
        let name = self.record.name.as_str();
        match self.record.kind {
            RecordKind::Service => {
                if let Some(service) = config.service(name) {
                    self.check_service(service, index);
                }
            }
            RecordKind::Target => {
                if let Some(target) = config.target(name) {
                    self.check_target(target, config, index);
                }
            }
            RecordKind::DataCentre => {}
        }
    }

    fn check_service(&mut self, service: &Service, index: &RecordIndex<'_>) {
        for address in &service.addresses {
            let users = &index.addresses[&(address.protocol, address.address)];
            self.check_unique("addresses", &address.address, users);
        }
        for host in &service.hosts {
            self.check_unique("hosts", host, &index.hosts[host.as_str()]);
        }
        if service.addresses.is_empty() && service.hosts.is_empty() {
            self.add_error(
                "addresses",
                "callers cannot reach the service; give an address or a host",
            );
        }
        if service.deadline.is_zero() {
            self.add_error("request_timeout_ms", "is 0; give a time in milliseconds");
        }
        if !index.target_counts.contains_key(service.name.as_str()) {
            self.add_error("", "has no targets; declare at least one in the same apply");
        }
    }

    fn check_target(&mut self, target: &Target, config: &Config, index: &RecordIndex<'_>) {
        if config.service(&target.service).is_none() {
            let service = &target.service;
            self.add_error(
                "service",
                format!("there is no service {service}; declare it or correct it"),
            );
        }
        if !config.data_centres().any(|record| record.name == target.data_centre) {
            let name = &target.data_centre;
            self.add_error("data_centre", format!("there is no data centre {name}; declare it"));
        }
        self.check_unique("tunnel", &target.tunnel, &index.tunnels[&target.tunnel]);
        let positive_fields = [
            ("slots", target.slots),
            ("connections", target.connections),
            ("weight", target.weight),
        ];
        for (field, value) in positive_fields {
            if value == 0 {
                self.add_error(field, "is 0; give at least 1, or set state to leaving");
            }
        }
    }

    fn check_unique(&mut self, field: &'static str, value: &dyn fmt::Display, users: &[&str]) {
        let others: Vec<_> =
            users.iter().filter(|user| **user != self.record.name).copied().collect();
        if !others.is_empty() {
            let others = others.join(", ");
            self.add_error(field, format!("{value} is used by {others} too; choose another one"));
        } else if users.len() > 1 {
            self.add_error(field, format!("{value} is listed twice; remove one"));
        }
    }
}
