//! Hollyhead is a layer-4 load balancer: every process between callers and backend servers.
//!
//! The crate holds all of the logic. Decision modules (`steering`, `steward`, `gossip`, `config`)
//! do no I/O: they take events and the runtime's clock and return decisions. `entry` assembles
//! them into the daemon, behind the trait objects of `network` and `platform`.

#[macro_use]
mod macros;

pub mod address_book;
pub mod admin;
pub mod admin_client;
pub mod admission;
pub mod announcement;
pub mod audit;
pub mod audit_packets;
pub mod audit_page;
pub mod audit_report;
pub mod backend_pool;
pub mod base;
pub mod binding;
pub mod byte_budget;
pub mod collections;
pub mod config;
pub mod config_digest;
pub mod config_gossip;
pub mod config_message;
pub mod config_store;
pub mod config_tree;
pub mod declaration;
pub mod dispatcher;
pub mod drain;
pub mod entry;
pub mod envelope;
pub mod exception;
pub mod explain;
pub mod fleet;
pub mod fleet_status;
pub mod flow;
pub mod flow_messages;
pub mod forward;
pub mod gossip;
pub mod gossip_message;
pub mod grant;
pub mod handover;
pub mod health;
pub mod home_clock;
pub mod http_platform;
pub mod ids;
pub mod kernel;
mod kernel_grants;
pub mod key_claim;
pub mod key_coverage;
pub mod key_ledger;
pub mod keyed_run;
pub mod lane;
pub mod lease;
pub mod lending;
pub mod log_limit;
pub mod logging;
pub mod lookup;
pub mod lost_path;
pub mod memory_network;
pub mod merge;
pub mod message;
pub mod metrics;
pub mod millis;
pub mod network;
pub mod outcome_bounds;
pub mod owner;
pub mod packet;
#[allow(missing_docs, unused_parens, unused_qualifications)]
#[allow(clippy::all, clippy::pedantic, clippy::restriction)]
#[rustfmt::skip]
mod peer_capnp;
pub mod peer_rpc;
pub mod plan;
pub mod platform;
pub mod plugin;
pub mod probe;
pub mod problem;
pub mod progress;
pub mod random;
pub mod record;
pub mod record_map;
pub mod replay;
pub mod replay_callers;
pub mod replay_config;
pub mod replay_judge;
pub mod replay_report;
pub mod replay_world;
pub mod request_body;
pub mod request_door;
pub mod request_route;
pub mod retry;
pub mod roster;
pub mod rumor;
pub mod run_time;
pub mod runner;
pub mod schema;
mod seeking;
pub mod service_targets;
pub mod settings;
pub mod settings_reference;
pub mod share;
pub mod span;
pub mod spread;
pub mod steering;
pub mod steward;
pub mod table;
pub mod target;
pub mod trace_file;
pub mod traceparent;
pub mod transaction;
pub mod validation;
pub mod verdict;
pub mod view;
pub mod warmth;
pub mod watcher;
