//! Messages of the log lines that `hollyhead explain --log` reads. It recognises each line by the
//! exact text of its message.

/// The instance forwarded the first packet of a flow, dropped a packet, or reset a flow.
pub const DECISION: &str = "decision on a flow";
/// The instance held an opening until its service has room, released it, or refused it.
pub const OPENING: &str = "opening decided by the room of its service";
/// A target became responsive or unresponsive.
pub const CONDITION: &str = "condition of a target changed";
/// A target has ended while callers waited for it.
pub const ENDED: &str = "target has ended with requests waiting";
/// Packets to a data centre that is out of service were dropped.
pub const OUTAGE_LOSSES: &str = "packets to a data centre out of service dropped";
/// The state of a target's circuit breaker changed.
pub const BREAKER: &str = "circuit breaker of a target changed";
/// The instance changed the weight of a target that answers slowly or that recovered.
pub const WEIGHT: &str = "weight of a target changed";
/// A health check of a target completed.
pub const CHECKED: &str = "health of a target checked";
/// A target's registration was added, changed or removed.
pub const REGISTRATION: &str = "registration changed";
/// The share of a service's new flows that go to other data centres changed.
pub const SPILLOVER: &str = "spill share changed";
/// The set of data centres that are out of service changed.
pub const OUTAGES: &str = "data centres out";
/// The instance applied a version of the routing.
pub const ROUTING: &str = "routing in force";
/// The instance started to read the platform on behalf of the others.
pub const FOLLOWING: &str = "following the store";
/// The instance stopped reading the platform because another instance does so.
pub const YIELDED: &str = "another instance follows the store; this one stops";
/// A call to the platform failed.
pub const STORE_LOST: &str = "store lost";
/// The platform no longer has the revisions that a watch has to resume from.
pub const HISTORY_GONE: &str = "history is gone; listing again";
/// The platform's store was restored from an older copy of its contents.
pub const STORE_RESTORED: &str = "store restored from an older copy";
/// The instance started and listens on its addresses.
pub const STARTED: &str = "started";
/// The instance received a signal to stop and started to leave the deployment.
pub const LEAVING: &str = "leaving; a second SIGTERM stops at once";
/// The instance left the deployment and exits.
pub const LEFT: &str = "left";
/// Changed settings were applied.
pub const RELOADED: &str = "settings reloaded";
/// The changed settings file is invalid; the current settings stay in force.
pub const REFUSED: &str = "changed settings refused; the former ones stay in force";
