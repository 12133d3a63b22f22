//! Routing of requests while a data centre is out of service and while it returns to service.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hollyhead::data_centre_transitions::RETURN_RAMP;
use hollyhead::kernel::Kernel;
use hollyhead::request_route::{route, Route};
use testutils::flow_fleet::{data_centre, data_centres};
use testutils::flow_probe::FlowProbe;
use testutils::key_fixture::context;
use tokio::time::Instant;

const DATA_CENTRES: [&str; 2] = ["gnr-infocity", "gnr-sec10"];
const REQUESTS: u64 = 200;
const SETTLE_TIME: Duration = Duration::from_secs(1);

async fn probe() -> FlowProbe {
    let mut probe = data_centres(41, &DATA_CENTRES, 2).await;
    probe.run_for(SETTLE_TIME).await;
    probe
}

fn kernel(probe: &FlowProbe) -> &Kernel {
    probe.fleet.kernel("gnr-infocity-1").unwrap()
}

/// Returns how many of [`REQUESTS`] requests an instance in gnr-infocity does not forward.
fn handled_locally(kernel: &Kernel) -> u64 {
    let mut cx = context(kernel).unwrap();
    cx.is_forwarded = false;
    let now = Instant::now();
    let is_local = |_: &u64| {
        let hash = kernel.random().next();
        let admits = |name: &str| kernel.steering.admits(name, hash, now);
        route(&cx, kernel.id(), None, &admits, kernel.random().as_ref()) == Route::Local
    };
    (0..REQUESTS).filter(is_local).count() as u64
}

#[tokio::test(start_paused = true)]
async fn route_data_centre_out_passes_all_on() {
    let mut probe = probe().await;
    assert_eq!(handled_locally(kernel(&probe)), REQUESTS);
    probe.fleet.apply(&[data_centre(DATA_CENTRES[0], 100, "out")]);
    probe.run_for(SETTLE_TIME).await;
    assert_eq!(handled_locally(kernel(&probe)), 0);
}

#[tokio::test(start_paused = true)]
async fn route_data_centre_back_takes_a_growing_share() {
    let mut probe = probe().await;
    probe.fleet.apply(&[data_centre(DATA_CENTRES[0], 100, "out")]);
    probe.run_for(SETTLE_TIME).await;
    probe.fleet.apply(&[data_centre(DATA_CENTRES[0], 101, "in")]);
    probe.run_for(RETURN_RAMP / 10).await;
    let early = handled_locally(kernel(&probe));
    assert!(
        early < REQUESTS / 2,
        "{early} of {REQUESTS} requests handled locally early in the ramp"
    );
    probe.run_for(RETURN_RAMP).await;
    assert_eq!(handled_locally(kernel(&probe)), REQUESTS);
}
