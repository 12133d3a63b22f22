//! Fault soak: real instances as separate processes, faults from outside them, and a judge that
//! knows only what callers, targets and the operator see.

pub mod addresses;
pub mod configuration;
pub mod fault_plan;
pub mod instance_process;
pub mod judge;
pub mod load;
pub mod run;
pub mod targets;
pub mod world;
