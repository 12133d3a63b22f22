//! Report of the traffic of each service by caller and target, summed over the audit ledgers of
//! several instances.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;

use crate::audit::{AuditCounts, AuditSnapshot};
use crate::ids::{ServiceId, TargetId};

/// Maximum number of callers shown for each service in the text; the rows are in descending order
/// of traffic.
const MAX_SHOWN_CALLERS: usize = 10;

value_type! {
    /// Traffic of one caller to a service.
    pub struct CallerLine {
        /// IP address of the caller.
        pub caller: IpAddr,
        /// Events of the caller, except those in the tail.
        pub counts: AuditCounts,
        /// Sum of [`AuditRow::missed`](crate::audit::AuditRow::missed) over the caller's rows: the
        /// maximum number of events of these rows that the tail may contain instead.
        pub missed: u64,
    }

    /// Traffic of a service to one target.
    pub struct TargetLine {
        /// Id of the target.
        pub target: TargetId,
        /// Events at the target, except those in the tail.
        pub counts: AuditCounts,
    }

    /// Packets of a service that were dropped for one reason, except those in the tail.
    pub struct DropLine {
        /// Reason as in metric labels, such as `no_grant`.
        pub reason: String,
        /// Number of packets.
        pub dropped: u64,
    }

    /// Traffic of one service.
    pub struct ServiceReport {
        /// Id of the service.
        pub service: ServiceId,
        /// Events of all callers, including those in the tail.
        pub total: AuditCounts,
        /// Callers, in descending order of their number of events.
        pub callers: Vec<CallerLine>,
        /// Events whose rows were evicted from a ledger, so that only the service is known.
        pub tail: AuditCounts,
        /// Targets, ordered by name.
        pub targets: Vec<TargetLine>,
        /// Dropped packets by reason, ordered by reason.
        pub drops: Vec<DropLine>,
    }

    /// Traffic of all services.
    pub struct AuditReport {
        /// Services, ordered by name.
        pub services: Vec<ServiceReport>,
    }
}

#[derive(Default)]
struct ServiceSums {
    total: AuditCounts,
    tail: AuditCounts,
    callers: BTreeMap<IpAddr, (AuditCounts, u64)>,
    targets: BTreeMap<TargetId, AuditCounts>,
    drops: BTreeMap<String, u64>,
}

impl AuditReport {
    /// Creates a report with the sums over the ledgers of several instances.
    pub fn new(ledgers: &[AuditSnapshot]) -> Self {
        let mut sums: BTreeMap<ServiceId, ServiceSums> = BTreeMap::new();
        for row in ledgers.iter().flat_map(|ledger| &ledger.rows) {
            let sum = sums.entry(row.service.clone()).or_default();
            sum.total += row.counts;
            let caller = sum.callers.entry(row.caller).or_default();
            caller.0 += row.counts;
            caller.1 += row.missed;
            if let Some(target) = &row.target {
                *sum.targets.entry(target.clone()).or_default() += row.counts;
            }
            if row.counts.dropped > 0 {
                *sum.drops.entry(row.reason.clone()).or_default() += row.counts.dropped;
            }
        }
        for tail in ledgers.iter().flat_map(|ledger| &ledger.tail) {
            let sum = sums.entry(tail.service.clone()).or_default();
            sum.total += tail.counts;
            sum.tail += tail.counts;
        }
        Self {
            services: sums.into_iter().map(|(service, sum)| service_report(service, sum)).collect(),
        }
    }
}

fn service_report(service: ServiceId, sums: ServiceSums) -> ServiceReport {
    let caller_line = |(caller, (counts, missed))| CallerLine { caller, counts, missed };
    let mut callers: Vec<_> = sums.callers.into_iter().map(caller_line).collect();
    callers.sort_by_key(|line| (std::cmp::Reverse(line.counts.total()), line.caller));
    let target_line = |(target, counts)| TargetLine { target, counts };
    let drop_line = |(reason, dropped)| DropLine { reason, dropped };
    ServiceReport {
        service,
        total: sums.total,
        callers,
        tail: sums.tail,
        targets: sums.targets.into_iter().map(target_line).collect(),
        drops: sums.drops.into_iter().map(drop_line).collect(),
    }
}

impl fmt::Display for AuditReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.services.iter().try_for_each(|service| service.fmt(f))
    }
}

impl fmt::Display for ServiceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service {}", self.service)?;
        write_counts(f, "all callers", &self.total)?;
        for line in self.callers.iter().take(MAX_SHOWN_CALLERS) {
            write_counts(f, &format!("caller {}", line.caller), &line.counts)?;
        }
        write_counts(f, "callers without a row", &self.tail)?;
        for line in &self.targets {
            write_counts(f, &format!("target {}", line.target), &line.counts)?;
        }
        for line in &self.drops {
            writeln!(f, "  dropped because of {}: {}", line.reason, line.dropped)?;
        }
        Ok(())
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, name: &str, counts: &AuditCounts) -> fmt::Result {
    let AuditCounts { opened, delivered, relayed, dropped, .. } = counts;
    writeln!(
        f,
        "  {name:<40} opened {opened}, delivered {delivered}, relayed {relayed}, dropped {dropped}"
    )
}
