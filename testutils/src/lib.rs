//! Test utilities: stand-ins for the platform, the network fabric, callers and backend servers, and
//! harnesses that run parts of hollyhead against them.

pub mod backend_server;
pub mod bandwidth_limited_network;
pub mod caller;
pub mod config_fleet;
pub mod cookie_fleet;
pub mod deployment;
pub mod echo_packet;
pub mod echo_target;
pub mod fabric;
pub mod fault;
pub mod fault_proxy;
pub mod feeds;
pub mod flow_caller;
pub mod flow_endpoint;
pub mod flow_fleet;
pub mod flow_message;
pub mod flow_probe;
pub mod flow_router;
pub mod gossip_fleet;
pub mod grant_harness;
pub mod instance_settings;
pub mod key_fixture;
pub mod local_deployment;
pub mod memory_platform;
pub mod object_server;
pub mod object_store;
pub mod platform_link;
pub mod platform_server;
pub mod process;
pub mod records;
pub mod reordered_acks;
pub mod request_harness;
pub mod request_load;
pub mod slot_model;
pub mod stack;
