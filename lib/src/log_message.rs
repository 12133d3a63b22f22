//! Messages of log lines that `hollyhead explain` finds again.

/// Decision on a flow.
pub const DECISION: &str = "decision on a flow";
/// Whether a target answers is judged otherwise than before.
pub const CONDITION: &str = "condition of a target changed";
/// A target's health was checked.
pub const CHECKED: &str = "health of a target checked";
/// The registration of a target changed.
pub const REGISTRATION: &str = "registration changed";
/// Data centres were taken out or back.
pub const OUTAGES: &str = "data centres out";
/// A version of the routing came into force.
pub const ROUTING: &str = "routing in force";
/// The instance reads the platform for the others.
pub const FOLLOWING: &str = "following the store";
/// The instance no longer does.
pub const YIELDED: &str = "another instance follows the store; this one stops";
/// The platform was not reached.
pub const STORE_LOST: &str = "store lost";
/// The platform no longer has the history that a watch needs.
pub const HISTORY_GONE: &str = "history is gone; listing again";
/// The instance started.
pub const STARTED: &str = "started";
/// The instance begins to leave.
pub const LEAVING: &str = "leaving; a second SIGTERM stops at once";
/// The instance has left.
pub const LEFT: &str = "left";
/// Changed settings were taken.
pub const RELOADED: &str = "settings reloaded";
/// Changed settings were refused.
pub const REFUSED: &str = "changed settings refused; the former ones stay in force";
