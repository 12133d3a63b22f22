//! Faults and planned stops of single instances.

use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use crate::addresses::Role;
use crate::instance_process::Signal;
use crate::testbed::{Testbed, POLL_INTERVAL};
use crate::testbed_instance::STOP_GRACE;

/// Time after which an ended process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);

impl Testbed {
    pub(crate) async fn kill(&self, index: usize) -> Result<()> {
        let disturbance = self.begin_instance_disturbance(index, false);
        self.instances[index].process.lock().kill()?;
        tokio::time::sleep(RESTART_DELAY).await;
        self.instances[index].process.lock().start()?;
        self.end_disturbance(disturbance);
        Ok(())
    }

    pub(crate) async fn stop(&self, index: usize) -> Result<()> {
        let disturbance = self.begin_instance_disturbance(index, true);
        let process = &self.instances[index].process;
        process.lock().signal(Signal::Terminate)?;
        let end = Instant::now() + STOP_GRACE;
        while !process.lock().has_ended()? {
            if Instant::now() >= end {
                process.lock().kill()?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(RESTART_DELAY).await;
        process.lock().start()?;
        self.end_disturbance(disturbance);
        Ok(())
    }

    pub(crate) async fn pause(&self, index: usize, time: Duration) -> Result<()> {
        let disturbance = self.begin_instance_disturbance(index, false);
        self.instances[index].process.lock().signal(Signal::Pause)?;
        tokio::time::sleep(time).await;
        self.instances[index].process.lock().signal(Signal::Resume)?;
        self.end_disturbance(disturbance);
        Ok(())
    }

    pub(crate) async fn cut_peers(&self, from: usize, to: usize, time: Duration) -> Result<()> {
        let ip = |index| self.addresses.ip(Role::Instance, index).into();
        let disturbances = [from, to].map(|index| self.begin_instance_disturbance(index, false));
        self.peer_faults.lock().block(ip(from), ip(to));
        tokio::time::sleep(time).await;
        self.peer_faults.lock().unblock(ip(from), ip(to));
        disturbances.into_iter().for_each(|disturbance| self.end_disturbance(disturbance));
        Ok(())
    }
}
