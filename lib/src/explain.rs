//! Explains how an instance handles the packets of a flow, and why.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use thiserror::Error;
use tokio::time::Instant;

use crate::flow::{FlowKey, Protocol};
use crate::ids::{BucketId, DataCentreId, FlowHash, Generation, InstanceId, ServiceId, TargetId};
use crate::kernel::Kernel;
use crate::owner::{allocator_of, bucket_of, Home};
use crate::plan::{Plan, ServicePlan};
use crate::target::TargetHandle;

value_type! {
    /// The target of a flow and the state of its grant at this instance.
    pub struct ExplainedTarget {
        /// Id of the target.
        pub target: TargetId,
        /// Whether the target is the default of the table; otherwise the flow has an entry in the override table.
        pub is_default: bool,
        /// Whether the flow is already bound to the target.
        pub is_bound: bool,
        /// Whether packets of open flows may be sent to the target.
        pub carries_open: bool,
        /// Whether new flows may be assigned to the target.
        pub takes_new: bool,
        /// Number of open flows to the target at this instance.
        pub open: u32,
        /// Number of connections that the grant allows this instance.
        pub connections: u32,
    }

    /// Decision of an instance on the next packet of a flow, with the state that it is based on.
    pub struct Explanation {
        /// Instance that made the decision.
        pub instance: InstanceId,
        /// Flow that the decision is about.
        pub flow: FlowKey,
        /// Service at the destination of the flow; `None` when no service has that address.
        pub service: Option<ServiceId>,
        /// Version of the configuration in force.
        pub config_version: u64,
        /// Data centre that serves the flow; `None` when the service is unknown or
        /// none of its data centres is in service and reachable.
        pub home: Option<DataCentreId>,
        /// Bucket that the hash of the flow falls into.
        pub bucket: BucketId,
        /// Instances that can own the bucket, by priority; the first one is the owner.
        pub owners: Vec<InstanceId>,
        /// Generation of the target table; `None` unless this instance is the owner.
        pub generation: Option<Generation>,
        /// Capacity allocator of the service in the home data centre; `None` when there is none.
        pub steward: Option<InstanceId>,
        /// Target of the flow; `None` when there is none or this instance is not the owner.
        pub target: Option<ExplainedTarget>,
        /// Decision and its reason as text.
        pub reason: String,
    }
}

/// Error returned when a text is not a valid flow.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("flow {0:?} is not PROTO,CALLER,SERVICE such as tcp,192.0.2.1:40000,10.0.0.1:7000")]
pub struct ParseFlowError(String);

impl FromStr for FlowKey {
    type Err = ParseFlowError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let err = || ParseFlowError(text.to_owned());
        let parts: Vec<_> = text.split(',').collect();
        let [protocol, caller, service] = parts[..] else { return Err(err()) };
        let protocol = match protocol {
            "tcp" => Protocol::Tcp,
            "udp" => Protocol::Udp,
            _ => return Err(err()),
        };
        let parse = |text: &str| text.parse::<SocketAddr>().map_err(|_| err());
        Ok(FlowKey { protocol, caller: parse(caller)?, service: parse(service)? })
    }
}

/// Returns the decision of an instance on the next packet of a flow, and its reason.
pub fn explain(kernel: &Kernel, flow: &FlowKey, now: Instant) -> Explanation {
    let plan = kernel.plan();
    let hash = kernel.steering.hash(flow);
    let mut explanation = Explanation {
        instance: kernel.id().clone(),
        flow: *flow,
        service: None,
        config_version: plan.config.version(),
        home: None,
        bucket: bucket_of(hash),
        owners: Vec::new(),
        generation: None,
        steward: None,
        target: None,
        reason: String::new(),
    };
    explanation.reason = decide(&mut explanation, kernel, &plan, hash, now);
    explanation
}

fn decide(
    explanation: &mut Explanation,
    kernel: &Kernel,
    plan: &Plan,
    hash: FlowHash,
    now: Instant,
) -> String {
    let flow = explanation.flow;
    let Some(service) = plan.service_at(flow.protocol, flow.service) else {
        return format!("dropped: no service has the address {}", flow.service);
    };
    explanation.service = Some(service.service.clone());
    let Some(home) = service.homes.first(hash, Home::is_available) else {
        return "dropped: no data centre of the service is in service and reachable".into();
    };
    explanation.home = Some(home.data_centre.clone());
    explanation.owners = home.owners.ranked(explanation.bucket).into_iter().cloned().collect();
    explanation.steward = allocator_of(&plan.view, &service.service, &home.data_centre);
    match explanation.owners.first() {
        None => "dropped: the home has no owner".into(),
        Some(owner) if owner != kernel.id() => {
            format!("relayed: {owner} owns bucket {}", explanation.bucket)
        }
        Some(_) => {
            explanation.generation = Some(service.table.generation());
            explanation.target = owner_target(kernel, service, hash, now);
            describe_owner_decision(explanation.target.as_ref())
        }
    }
}

fn owner_target(
    kernel: &Kernel,
    service: &ServicePlan,
    hash: FlowHash,
    now: Instant,
) -> Option<ExplainedTarget> {
    let bound = kernel.steering.bindings().with(hash, |binding| binding.target.handle.id().clone());
    let default = service.table.default_for(hash).and_then(|index| service.targets.get(index));
    let default = default.map(|target| target.id().clone());
    let handle = kernel.target(bound.as_ref().or(default.as_ref())?)?;
    let is_default = default.as_ref() == Some(handle.id());
    Some(explain_target(&handle, is_default, bound.is_some(), now))
}

fn explain_target(
    handle: &TargetHandle,
    is_default: bool,
    is_bound: bool,
    now: Instant,
) -> ExplainedTarget {
    ExplainedTarget {
        target: handle.id().clone(),
        is_default,
        is_bound,
        carries_open: handle.carries_open(now),
        takes_new: handle.accepts_new_work(now),
        open: handle.open_flows(),
        connections: handle.connections(),
    }
}

fn describe_owner_decision(target: Option<&ExplainedTarget>) -> String {
    let Some(target) = target else {
        return "dropped: the table of the service has no target here".into();
    };
    let name = &target.target;
    match (target.is_bound, target.is_default) {
        (true, _) if !target.carries_open => {
            format!("dropped: bound to {name}, whose grant for open flows has run out")
        }
        (true, true) => format!("delivered: bound to {name}, its default"),
        (true, false) => format!("delivered: bound to {name}, an exception from its default"),
        (false, _) if !target.takes_new => {
            format!("new flow: default {name} has no grant for new flows, another one is chosen")
        }
        (false, _) if target.open >= target.connections => {
            format!("new flow: default {name} is full, another one is chosen")
        }
        (false, _) => format!("new flow: goes to its default {name}"),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_none = |text: &Option<_>| match text {
            Some(text) => format!("{text}"),
            None => "none".to_owned(),
        };
        writeln!(f, "flow      {} -> {}", self.flow.caller, self.flow.service)?;
        writeln!(f, "instance  {} (configuration {})", self.instance, self.config_version)?;
        writeln!(f, "service   {}", or_none(&self.service))?;
        writeln!(f, "home      {}", or_none(&self.home))?;
        writeln!(f, "bucket    {}", self.bucket)?;
        writeln!(f, "owners    {}", self.owners.join(", "))?;
        writeln!(f, "steward   {}", or_none(&self.steward))?;
        if let Some(generation) = self.generation {
            writeln!(f, "table     {generation:016x}")?;
        }
        if let Some(target) = &self.target {
            let (open, connections) = (target.open, target.connections);
            writeln!(f, "target    {} ({open} of {connections} granted)", target.target)?;
        }
        write!(f, "decision  {}", self.reason)
    }
}
