//! Fault-injection soak test.
//!
//! Runs real instances as separate processes, injects faults from outside them, and checks the
//! guarantees of the system against what callers, targets and the operator observed.

pub mod addresses;
pub mod checker;
pub mod configuration;
pub mod fault_plan;
mod instance_faults;
pub mod instance_process;
pub mod load;
pub mod run;
mod store_faults;
pub mod targets;
pub mod testbed;
mod testbed_instance;
