//! Faults of the object store and of the paths to it, and its return from an older copy.

use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use testutils::fault_proxy::ConnectionFault;
use testutils::object_server::StoreBehaviour;
use tokio::time::Instant;

use crate::checker::Subject;
use crate::fault_plan::StoreFault;
use crate::testbed::{Testbed, DATA_CENTRES, POLL_INTERVAL};

/// Age up to which copies of the object store are kept.
const MAX_COPY_AGE: Duration = Duration::from_secs(8);
/// Time for which the object store is away before it returns from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(300);
/// Time after a restore at which the operator writes again what was lost.
const WRITE_AGAIN_DELAY: Duration = Duration::from_millis(700);
/// Delay of a slow object store, slightly longer than a reader waits for the message of another
/// reader.
const STORE_DELAY: Duration = Duration::from_millis(700);

impl Testbed {
    pub(crate) async fn inject_store_fault(&self, fault: StoreFault, time: Duration) -> Result<()> {
        let disturbance = self.begin_disturbance(Subject::Store, false);
        let instance = |index: usize| &self.instances[index];
        let set = |is_on: bool| {
            let behaviour = |to| if is_on { to } else { StoreBehaviour::Normal };
            let path = |to| if is_on { to } else { ConnectionFault::None };
            match fault {
                StoreFault::Down => self.store.set_down(is_on),
                StoreFault::Refuses(index) => {
                    instance(index).store.set_behaviour(behaviour(StoreBehaviour::Unavailable));
                }
                StoreFault::LosesAnswers(index) => {
                    instance(index).store.set_behaviour(behaviour(StoreBehaviour::DropsResponses));
                }
                StoreFault::Slow => {
                    let all = self.instances.iter();
                    all.for_each(|it| {
                        it.store.set_behaviour(behaviour(StoreBehaviour::Delayed(STORE_DELAY)));
                    });
                }
                StoreFault::Silent(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::Blackhole));
                }
                StoreFault::Reset(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::Reset));
                }
                StoreFault::OneWay(index) => {
                    instance(index).path_to_store.set_fault(path(ConnectionFault::OneWay));
                }
            }
        };
        set(true);
        tokio::time::sleep(time).await;
        set(false);
        self.end_disturbance(disturbance);
        Ok(())
    }

    /// Keeps a copy of the store, and drops those that are older than any restore needs.
    pub(crate) fn copy_store(&self) {
        let mut copies = self.copies.lock();
        copies.push_back((Instant::now(), self.store.copy()));
        while copies.front().is_some_and(|(at, _)| at.elapsed() > MAX_COPY_AGE) {
            copies.pop_front();
        }
    }

    pub(crate) async fn restore_store(&self, age: Duration) -> Result<()> {
        let disturbance = self.begin_disturbance(Subject::Store, false);
        self.store.set_down(true);
        tokio::time::sleep(RESTORE_OUTAGE).await;
        let copy = {
            let mut copies = self.copies.lock();
            let old = copies.iter().position(|(at, _)| at.elapsed() <= age).unwrap_or_default();
            let copy = copies.get(old).map(|(_, copy)| copy.clone());
            copies.clear();
            copy
        };
        if let Some(copy) = copy {
            self.store.restore(copy);
        }
        self.store.set_down(false);
        tokio::time::sleep(WRITE_AGAIN_DELAY).await;
        self.write_again().await;
        self.end_disturbance(disturbance);
        Ok(())
    }

    /// Writes again what the operator had written, as the restored store may lack it.
    async fn write_again(&self) {
        while !self.write_configuration() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for data_centre in DATA_CENTRES {
            let is_out = || {
                let history = self.history.lock();
                let mut outages = history.outages.iter();
                outages.any(|it| it.data_centre == data_centre && it.until.is_none())
            };
            let write = || {
                if is_out() {
                    self.store.write("evacuations", data_centre, json!({})).is_some()
                } else {
                    self.store.remove("evacuations", data_centre)
                }
            };
            while !write() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}
