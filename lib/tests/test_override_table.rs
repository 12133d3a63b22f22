//! Placement overrides are replicated to the next owner in rank, once to each of its runs, within
//! the byte budget.

use std::sync::Arc;
use std::time::Duration;

use hollyhead::binding::Bindings;
use hollyhead::default_table::BoundedRendezvous;
use hollyhead::fleet::Fleet;
use hollyhead::flow_messages::{OverrideAck, Run};
use hollyhead::handover::{
    Handover, OVERRIDE_BURST_BYTES, OVERRIDE_BYTES_PER_SECOND, SYNC_INTERVAL,
};
use hollyhead::message::{Frame, Message};
use hollyhead::plan::Plan;
use testutils::flow_fleet::{one_data_centre, DATA_CENTRE, INSTANCES, SERVICE};
use tokio::time::Instant;

/// Bytes that the envelope adds to an encoded message.
const ENVELOPE_BYTES: u64 = 48;
const CAPACITY: usize = 50_000;

struct Sender {
    handover: Handover,
    bindings: Bindings,
}

impl Sender {
    fn new() -> Self {
        let picker = Arc::new(BoundedRendezvous);
        let handover = Handover::new(INSTANCES[0].into(), CAPACITY, picker);
        Self { handover, bindings: Bindings::new(CAPACITY, Instant::now()) }
    }

    fn record(&self, plan: &Plan, hashes: impl Iterator<Item = u64>) {
        let Some(service) = plan.service(SERVICE) else { return };
        for hash in hashes {
            assert!(self.handover.record_override(
                service,
                hash,
                &service.targets[0],
                Instant::now()
            ));
        }
    }

    fn tick(&self, now: Instant, plan: &Arc<Plan>) -> Vec<(String, Message)> {
        let messages = self.handover.tick(now, plan, &self.bindings);
        messages.into_iter().map(|(to, message)| (to.to_string(), message)).collect()
    }
}

fn plan(fleet: &Fleet) -> Arc<Plan> {
    fleet.kernel(INSTANCES[0]).map(|kernel| kernel.plan()).unwrap_or_default()
}

fn batches(messages: &[(String, Message)]) -> Vec<(String, u64)> {
    let batch = |(to, message): &(String, Message)| match message {
        Message::Overrides(batch) => Some((to.clone(), batch.nonce)),
        _ => None,
    };
    messages.iter().filter_map(batch).collect()
}

#[tokio::test(start_paused = true)]
async fn tick_more_overrides_than_budget_stays_within_it() {
    const SECONDS: u64 = 20;
    let probe = one_data_centre(50).await;
    let plan = plan(&probe.fleet);
    let sender = Sender::new();
    let hashes = (0..20_000_u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    sender.record(&plan, hashes);
    let mut sent = 0;
    let mut now = Instant::now();
    let end = now + Duration::from_secs(SECONDS);
    while now < end {
        for (_, message) in sender.tick(now, &plan) {
            let frame = Frame::Control(message).encode().unwrap_or_default();
            sent += frame.len() as u64 + ENVELOPE_BYTES;
        }
        now += SYNC_INTERVAL;
    }
    let budget = SECONDS * OVERRIDE_BYTES_PER_SECOND + OVERRIDE_BURST_BYTES;
    assert!(sent > budget / 2 && sent <= budget, "{sent}");
}

#[tokio::test(start_paused = true)]
async fn tick_override_goes_to_each_run_of_receiver_once() {
    let mut probe = one_data_centre(51).await;
    let sender = Sender::new();
    let first_plan = plan(&probe.fleet);
    sender.record(&first_plan, [7].into_iter());
    let sent = batches(&sender.tick(Instant::now(), &first_plan));
    assert_eq!(sent.len(), 1);
    let (to, nonce) = sent[0].clone();
    let epoch = first_plan.view.get(&to).map(|member| member.epoch).unwrap_or_default();
    let run = Run { id: to.as_str().into(), epoch };
    sender.handover.on_ack(&run, &OverrideAck { nonce });
    probe.run_for(Duration::from_secs(2)).await;
    assert_eq!(batches(&sender.tick(Instant::now(), &first_plan)), []);
    probe.fleet.kill(&to);
    probe.fleet.start(&to, DATA_CENTRE);
    probe.run_for(Duration::from_secs(2)).await;
    let again = batches(&sender.tick(Instant::now(), &plan(&probe.fleet)));
    assert_eq!(again.into_iter().map(|(to, _)| to).collect::<Vec<_>>(), [to]);
}
