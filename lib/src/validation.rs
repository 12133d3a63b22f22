//! Checks of declared records, each by itself and against all others.

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

/// Longest name of a record, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A record that an operator declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// File that it comes from, if any.
    pub file: Option<PathBuf>,
    /// Kind.
    pub kind: RecordKind,
    /// Name.
    pub name: SmolStr,
    /// Body.
    pub body: Value,
}

/// One fault of a declared record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordFault {
    /// File that the record comes from, if any.
    pub file: Option<PathBuf>,
    /// Kind and name of the record, such as `target/quaydesk-1`.
    pub record: String,
    /// Field, or empty when the fault is not in one field.
    pub field: &'static str,
    /// What is wrong and how to mend it.
    pub reason: String,
}

impl fmt::Display for RecordFault {
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

/// Checks declared records together with those in force, and returns all faults in the order of
/// the declarations.
pub fn check(current: &Config, declared: &[Declaration]) -> Vec<RecordFault> {
    let objects: Vec<_> = declared.iter().zip(current.version() + 1..).map(object).collect();
    let (config, errors) = current.apply(&objects);
    let index = Index::new(&config);
    let mut faults = Vec::new();
    for (record, object) in declared.iter().zip(&objects) {
        let mut report = Report { record, faults: &mut faults };
        report.check_name();
        match errors.iter().find(|err| err.version == object.version) {
            Some(err) => report.add("", format!("{}; correct the record", err.reason)),
            None => report.check_record(&config, &index),
        }
    }
    faults
}

fn object((record, version): (&Declaration, Version)) -> Object {
    let (kind, name) = (record.kind.name().into(), record.name.clone());
    Object { kind, name, version, body: Some(record.body.clone()) }
}

/// Users of every address, and number of targets of every service.
struct Index<'a> {
    services: BTreeMap<(Protocol, SocketAddr), Vec<&'a str>>,
    hosts: BTreeMap<&'a str, Vec<&'a str>>,
    tunnels: BTreeMap<SocketAddr, Vec<&'a str>>,
    targets: BTreeMap<&'a str, usize>,
}

impl<'a> Index<'a> {
    fn new(config: &'a Config) -> Self {
        let mut index = Self {
            services: BTreeMap::new(),
            hosts: BTreeMap::new(),
            tunnels: BTreeMap::new(),
            targets: BTreeMap::new(),
        };
        for service in config.services() {
            for address in &service.addresses {
                let key = (address.protocol, address.address);
                index.services.entry(key).or_default().push(&service.name);
            }
            for host in &service.hosts {
                index.hosts.entry(host).or_default().push(&service.name);
            }
        }
        for target in config.targets() {
            index.tunnels.entry(target.tunnel).or_default().push(&target.name);
            *index.targets.entry(&target.service).or_default() += 1;
        }
        index
    }
}

struct Report<'a> {
    record: &'a Declaration,
    faults: &'a mut Vec<RecordFault>,
}

impl Report<'_> {
    fn add(&mut self, field: &'static str, reason: impl Into<String>) {
        self.faults.push(RecordFault {
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
            self.add("name", "use 1 to 63 letters, digits, `-`, `_` and `.`");
        }
    }

    fn check_record(&mut self, config: &Config, index: &Index<'_>) {
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

    fn check_service(&mut self, service: &Service, index: &Index<'_>) {
        for address in &service.addresses {
            let users = &index.services[&(address.protocol, address.address)];
            self.check_users("addresses", &address.address, users);
        }
        for host in &service.hosts {
            self.check_users("hosts", host, &index.hosts[host.as_str()]);
        }
        if service.addresses.is_empty() && service.hosts.is_empty() {
            self.add("addresses", "callers cannot reach the service; give an address or a host");
        }
        if service.deadline.is_zero() {
            self.add("request_timeout_ms", "is 0; give a time in milliseconds");
        }
        if !index.targets.contains_key(service.name.as_str()) {
            self.add("", "has no targets; declare at least one in the same apply");
        }
    }

    fn check_target(&mut self, target: &Target, config: &Config, index: &Index<'_>) {
        if config.service(&target.service).is_none() {
            let service = &target.service;
            self.add("service", format!("there is no service {service}; declare it or correct it"));
        }
        if !config.data_centres().any(|record| record.name == target.data_centre) {
            let name = &target.data_centre;
            self.add("data_centre", format!("there is no data centre {name}; declare it"));
        }
        self.check_users("tunnel", &target.tunnel, &index.tunnels[&target.tunnel]);
        let numbers = [
            ("slots", target.slots),
            ("connections", target.connections),
            ("weight", target.weight),
        ];
        for (field, number) in numbers {
            if number == 0 {
                self.add(field, "is 0; give at least 1, or set state to leaving");
            }
        }
    }

    fn check_users(&mut self, field: &'static str, what: &dyn fmt::Display, users: &[&str]) {
        let others: Vec<_> =
            users.iter().filter(|user| **user != self.record.name).copied().collect();
        if !others.is_empty() {
            let others = others.join(", ");
            self.add(field, format!("{what} is used by {others} too; choose another one"));
        } else if users.len() > 1 {
            self.add(field, format!("{what} is given twice; leave one out"));
        }
    }
}
