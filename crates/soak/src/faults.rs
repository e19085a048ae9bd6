//! Injects the faults of a plan into a fleet.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::example::DRIVERS_SECOND_KEY;
use curlewcleat_platform::format::Config;
use curlewcleat_platform::names::{DRAINING, SERVERS};
use curlewcleat_standins::fleet::{EngineStep, StoreOutage};
use curlewcleat_standins::link::{FaultyLink, LinkFault};

use crate::engines::EngineHandle;
use crate::evidence::{EngineLeave, KeyRevocation, PlannedStop};
use crate::extra::StalledConnections;
use crate::fleet::{DaemonHandle, SoakFleet, POLL_INTERVAL};
use crate::plan::{FaultStep, SoakFault};
use crate::settings::{AGE_LIMIT, STOP_LIMIT};

impl SoakFleet {
    /// Injects one fault and records its start and end, unless it is planned work.
    pub async fn run_step(self: Rc<Self>, step: FaultStep) {
        self.active_faults.set(self.active_faults.get() + 1);
        let begun = Instant::now();
        if let Err(error) = self.inject(step).await {
            self.record_failure(format!("fault {:?} could not be injected: {error}", step.fault));
        }
        if !step.fault.is_planned() {
            self.evidence.borrow_mut().faults.push((begun, Instant::now()));
        }
        self.active_faults.set(self.active_faults.get() - 1);
    }

    async fn inject(&self, step: FaultStep) -> Result<()> {
        let time = step.time;
        match step.fault {
            SoakFault::Kill(index) => self.kill(index, time).await?,
            SoakFault::Freeze(index) => self.freeze(index, time).await?,
            SoakFault::Stop(index) => self.stop(index).await?,
            SoakFault::Reload(index) => self.reload(index)?,
            SoakFault::PeerLink(index, fault) => self.peer_fault(index, fault, time).await,
            SoakFault::PeerReset(index) => self.daemons[index].peer_link.reset(),
            SoakFault::StoreLink(index, fault) => self.store_fault(index, fault, time).await,
            SoakFault::StoreReset(index) => self.daemons[index].store_link.reset(),
            SoakFault::Store(outage) => self.store_outage(outage, time).await,
            SoakFault::LostWrites(count) => self.lost_writes(count, time).await,
            SoakFault::ForgetHistory => self.store.forget_history(),
            SoakFault::Engine(index, fault) => self.engine_fault(index, fault, time).await,
            SoakFault::Leave(index) => self.leave(index, time).await?,
            SoakFault::RemoveEntry(index) => self.remove_entry(index).await?,
            SoakFault::ConfigChange => self.change_config()?,
            SoakFault::RevokeKey => self.revoke_key(time).await?,
            SoakFault::StallConnections(connections) => self.stall_connections(connections),
            SoakFault::Restart(index, address) => self.restart_engine(index, address, time).await?,
            SoakFault::Foreign(entry) => self.foreign_entry(entry, time).await?,
            SoakFault::Notice(index, notice) => self.send_notice(index, notice, time).await?,
            SoakFault::Lethal => self.send_lethal(time).await,
            SoakFault::Overwrite(index, entry) => self.overwrite(index, entry).await?,
            SoakFault::CutAnswers(step) => self.cut_answers(step, time).await,
            SoakFault::Release(index, version) => self.release(index, version, time).await?,
            SoakFault::Silence(percent) => self.silence_engines(percent, time).await,
            SoakFault::ChangeStreams(change) => self.change_streams(change)?,
            SoakFault::OutOfStep(group, why) => self.put_out_of_step(group, why, time).await?,
            SoakFault::SlowStore(group, delay) => self.slow_store(group, delay, time).await,
            SoakFault::Join(kind, version) => self.join_version(kind, version, time).await?,
            SoakFault::AnswerTrouble(first, step) => self.trouble_answers(first, step, time).await,
            SoakFault::LowerRate => self.lower_rate(time).await?,
            SoakFault::Crowd(index) => self.crowd(index, time).await?,
            SoakFault::Cut(cut, fault) => self.cut_engines(cut, fault, time).await?,
        }
        Ok(())
    }

    /// Claims a daemon's process for a fault, without standstills of its own; `None` if another fault controls it.
    pub(crate) fn claim_process(&self, index: usize) -> Option<&DaemonHandle> {
        let daemon = &self.daemons[index];
        if daemon.is_claimed.replace(true) {
            return None;
        }
        self.strengthen(daemon);
        Some(daemon)
    }

    async fn peer_fault(&self, index: usize, fault: LinkFault, time: Duration) {
        set_for(&self.daemons[index].peer_link, fault, time).await;
    }

    /// Sets a fault of a daemon's link to the store for some time.
    pub(crate) async fn store_fault(&self, index: usize, fault: LinkFault, time: Duration) {
        set_for(&self.daemons[index].store_link, fault, time).await;
    }

    async fn kill(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.claim_process(index) else { return Ok(()) };
        let begun = Instant::now();
        daemon.process.borrow_mut().kill();
        tokio::time::sleep(time).await;
        self.respawn(daemon);
        self.record_interruption(index, begun);
        daemon.is_claimed.set(false);
        Ok(())
    }

    pub(crate) async fn freeze(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.claim_process(index) else { return Ok(()) };
        let begun = Instant::now();
        daemon.process.borrow().signal("STOP")?;
        tokio::time::sleep(time).await;
        daemon.process.borrow().signal("CONT")?;
        self.weaken(daemon)?;
        self.record_interruption(index, begun);
        daemon.is_claimed.set(false);
        Ok(())
    }

    async fn stop(&self, index: usize) -> Result<()> {
        let Some(daemon) = self.claim_process(index) else { return Ok(()) };
        let signalled = Instant::now();
        self.evidence.borrow_mut().stops.push(PlannedStop { daemon: index, signalled });
        daemon.process.borrow().signal("TERM")?;
        let code = loop {
            if let Some(code) = daemon.process.borrow_mut().ended() {
                break Some(code);
            }
            if signalled.elapsed() > STOP_LIMIT + Duration::from_secs(1) {
                break None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        self.record_interruption(index, signalled);
        if code != Some(0) {
            self.record_failure(format!("{} exited with {code:?} after SIGTERM", daemon.name));
        }
        self.respawn(daemon);
        daemon.is_claimed.set(false);
        Ok(())
    }

    /// Records that a daemon was suspended or restarted.
    fn record_interruption(&self, index: usize, begun: Instant) {
        self.evidence.borrow_mut().interruptions.push((index, begun, Instant::now()));
    }

    fn reload(&self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
        let text = std::fs::read_to_string(&daemon.settings)?;
        let changed = match text.contains("retry_saved = 100\n") {
            true => text.replace("retry_saved = 100\n", "retry_saved = 90\n"),
            false => text.replace("retry_saved = 90\n", "retry_saved = 100\n"),
        };
        std::fs::write(&daemon.settings, changed)?;
        if daemon.is_claimed.get() {
            return Ok(());
        }
        daemon.process.borrow().signal("HUP")
    }

    async fn store_outage(&self, outage: StoreOutage, time: Duration) {
        self.store.set_outage(Some(outage));
        tokio::time::sleep(time).await;
        self.store.set_outage(None);
    }

    /// Stalls open connections permanently; new ones work.
    fn stall_connections(&self, connections: StalledConnections) {
        let peers = |index: usize| &self.daemons[index].peer_link;
        let stores = |index: usize| &self.daemons[index].store_link;
        match connections {
            StalledConnections::Peers(index) => peers(index).stall_open_connections(),
            StalledConnections::Store(index) => stores(index).stall_open_connections(),
            StalledConnections::Engine(index) => self.stall_engine_connections(index..index + 1),
            StalledConnections::All => {
                for index in 0..self.daemons.len() {
                    peers(index).stall_open_connections();
                    stores(index).stall_open_connections();
                }
                self.stall_engine_connections(0..self.engines.borrow().len());
            }
        }
    }

    fn stall_engine_connections(&self, indexes: std::ops::Range<usize>) {
        for handle in &self.engines.borrow()[indexes] {
            if let Some(link) = &handle.link {
                link.stall_open_connections();
            }
        }
    }

    async fn lost_writes(&self, count: u64, time: Duration) {
        self.store.drop_write_answers(count);
        tokio::time::sleep(time).await;
        self.store.drop_write_answers(0);
    }

    /// Makes an engine answer all requests with a fault for some time.
    async fn engine_fault(&self, index: usize, fault: EngineStep, time: Duration) {
        let engine = Rc::clone(&self.engines.borrow()[index].engine);
        engine.set_default_step(fault);
        tokio::time::sleep(time).await;
        engine.set_default_step(EngineStep::Serve);
    }

    pub(crate) async fn leave(&self, index: usize, time: Duration) -> Result<()> {
        let old = self.replace_engine(index).await?;
        let id = old.engine.id.clone();
        self.write_entry(&old, DRAINING)?;
        self.record_leave(&id);
        tokio::time::sleep(time).await;
        self.store.remove(SERVERS, &id);
        Ok(())
    }

    async fn remove_entry(&self, index: usize) -> Result<()> {
        let old = self.replace_engine(index).await?;
        self.store.remove(SERVERS, &old.engine.id);
        self.record_leave(&old.engine.id);
        Ok(())
    }

    /// Replaces an engine that is about to leave by a new one and returns the old one.
    pub(crate) async fn replace_engine(&self, index: usize) -> Result<EngineHandle> {
        let backend = self.engines.borrow()[index].backend;
        let fresh = self.new_engine(backend).await?;
        let old = std::mem::replace(&mut self.engines.borrow_mut()[index], fresh);
        self.replaced_engines.borrow_mut().push(Rc::clone(&old.engine));
        Ok(old)
    }

    pub(crate) fn record_leave(&self, id: &str) {
        let leave = EngineLeave { engine: id.to_string(), announced: Instant::now() };
        self.evidence.borrow_mut().leaves.push(leave);
    }

    fn change_config(&self) -> Result<()> {
        for route in &mut self.config.borrow_mut().routes {
            route.timeout_ms = route.timeout_ms.map(|timeout| timeout + 100.0);
        }
        self.store_config()
    }

    async fn revoke_key(&self, time: Duration) -> Result<()> {
        let remove_key = |config: &mut Config| {
            let keys = config.tenants.iter_mut().map(|tenant| &mut tenant.api_keys);
            let lists_with_key =
                keys.filter(|keys| keys.iter().any(|key| key == DRIVERS_SECOND_KEY));
            let mut dropped = 0;
            for keys in lists_with_key {
                keys.retain(|key| key != DRIVERS_SECOND_KEY);
                dropped += 1;
            }
            dropped
        };
        let dropped = remove_key(&mut self.config.borrow_mut());
        if dropped == 0 {
            return Ok(());
        }
        self.store_config()?;
        let index = {
            let mut evidence = self.evidence.borrow_mut();
            let revoked = Instant::now();
            evidence.key_revocations.push(KeyRevocation {
                key: DRIVERS_SECOND_KEY,
                revoked,
                restored: None,
            });
            evidence.key_revocations.len() - 1
        };
        tokio::time::sleep(AGE_LIMIT + time).await;
        // The time is recorded before the key is restored, so that no run with the restored key counts as a violation.
        self.evidence.borrow_mut().key_revocations[index].restored = Some(Instant::now());
        for tenant in &mut self.config.borrow_mut().tenants {
            if tenant.name == "drivers" {
                tenant.api_keys.push(DRIVERS_SECOND_KEY.to_string());
            }
        }
        self.store_config()
    }
}

/// Sets a fault of a link for some time.
async fn set_for(link: &FaultyLink, fault: LinkFault, time: Duration) {
    link.set(fault);
    tokio::time::sleep(time).await;
    link.set(LinkFault::None);
}
