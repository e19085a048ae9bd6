//! The faults of a plan, as they happen to a fleet.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_platform::example::DRIVERS_SECOND_KEY;
use curlewcleat_platform::format::Config;
use curlewcleat_platform::names::{DRAINING, SERVERS};
use curlewcleat_standins::fleet::{EngineStep, StoreOutage};

use crate::evidence::{EngineLeave, KeyLoss, PlannedStop};
use crate::extra::SilentConnections;
use crate::fleet::{DaemonSlot, EngineSlot, SoakFleet, LOOK_EVERY};
use crate::link::{FaultyLink, LinkFault};
use crate::plan::{FaultStep, SoakFault};
use crate::settings::{AGE_LIMIT, STOP_LIMIT};

impl SoakFleet {
    /// Plays one fault and notes when it was felt.
    pub async fn play(self: Rc<Self>, step: FaultStep) {
        self.open_faults.set(self.open_faults.get() + 1);
        let begun = Instant::now();
        if let Err(error) = self.fault(step).await {
            self.note_exit(format!("the fault {:?} could not be played: {error}", step.fault));
        }
        if !step.fault.is_planned() {
            self.evidence.borrow_mut().faults.push((begun, Instant::now()));
        }
        self.open_faults.set(self.open_faults.get() - 1);
    }

    async fn fault(&self, step: FaultStep) -> Result<()> {
        let time = step.time;
        match step.fault {
            SoakFault::Kill(index) => self.kill(index, time).await?,
            SoakFault::Freeze(index) => self.freeze(index, time).await?,
            SoakFault::Stop(index) => self.stop(index).await?,
            SoakFault::Reload(index) => self.reload(index)?,
            SoakFault::PeerLink(index, fault) => {
                hold(&self.daemons[index].peer_link, fault, time).await
            }
            SoakFault::PeerReset(index) => self.daemons[index].peer_link.reset(),
            SoakFault::StoreLink(index, fault) => {
                hold(&self.daemons[index].store_link, fault, time).await
            }
            SoakFault::StoreReset(index) => self.daemons[index].store_link.reset(),
            SoakFault::Store(outage) => self.store_outage(outage, time).await,
            SoakFault::LostWrites(count) => self.lost_writes(count, time).await,
            SoakFault::Forget => self.store.forget_history(),
            SoakFault::Engine(index, fault) => self.engine_fault(index, fault, time).await,
            SoakFault::Leave(index) => self.leave(index, time).await?,
            SoakFault::Vanish(index) => self.vanish(index).await?,
            SoakFault::Change => self.change()?,
            SoakFault::TakeKey => self.take_key(time).await?,
            SoakFault::Silence(connections) => self.silence(connections),
            SoakFault::Restart(index, place) => self.restart_engine(index, place, time).await?,
            SoakFault::Foreign(entry) => self.foreign_entry(entry, time).await?,
            SoakFault::Word(index, word) => self.say(index, word, time).await?,
            SoakFault::Lethal => self.send_lethal(time).await,
            SoakFault::Overwrite(index, entry) => self.overwrite(index, entry).await?,
        }
        Ok(())
    }

    /// Takes hold of a daemon's process; one fault at a time has it.
    fn take(&self, index: usize) -> Option<&DaemonSlot> {
        let daemon = &self.daemons[index];
        (!daemon.taken.replace(true)).then_some(daemon)
    }

    async fn kill(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        let begun = Instant::now();
        daemon.process.borrow_mut().kill();
        tokio::time::sleep(time).await;
        self.respawn(daemon);
        self.note_struck(index, begun);
        daemon.taken.set(false);
        Ok(())
    }

    async fn freeze(&self, index: usize, time: Duration) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        let begun = Instant::now();
        daemon.process.borrow().signal("STOP")?;
        tokio::time::sleep(time).await;
        daemon.process.borrow().signal("CONT")?;
        self.note_struck(index, begun);
        daemon.taken.set(false);
        Ok(())
    }

    async fn stop(&self, index: usize) -> Result<()> {
        let Some(daemon) = self.take(index) else { return Ok(()) };
        let told = Instant::now();
        self.evidence.borrow_mut().stops.push(PlannedStop { daemon: index, told });
        daemon.process.borrow().signal("TERM")?;
        let code = loop {
            if let Some(code) = daemon.process.borrow_mut().ended() {
                break Some(code);
            }
            if told.elapsed() > STOP_LIMIT + Duration::from_secs(1) {
                break None;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        };
        self.note_struck(index, told);
        if code != Some(0) {
            self.note_exit(format!("{} was told to stop and ended with {code:?}", daemon.name));
        }
        self.respawn(daemon);
        daemon.taken.set(false);
        Ok(())
    }

    /// A daemon has stood still or begun anew.
    fn note_struck(&self, index: usize, begun: Instant) {
        self.evidence.borrow_mut().struck.push((index, begun, Instant::now()));
    }

    fn reload(&self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
        let text = std::fs::read_to_string(&daemon.settings)?;
        let changed = match text.contains("retry_saved = 100\n") {
            true => text.replace("retry_saved = 100\n", "retry_saved = 90\n"),
            false => text.replace("retry_saved = 90\n", "retry_saved = 100\n"),
        };
        std::fs::write(&daemon.settings, changed)?;
        if daemon.taken.get() {
            return Ok(());
        }
        daemon.process.borrow().signal("HUP")
    }

    async fn store_outage(&self, outage: StoreOutage, time: Duration) {
        self.store.set_outage(Some(outage));
        tokio::time::sleep(time).await;
        self.store.set_outage(None);
    }

    /// Open connections carry nothing again; new ones work.
    fn silence(&self, connections: SilentConnections) {
        let peers = |index: usize| &self.daemons[index].peer_link;
        let stores = |index: usize| &self.daemons[index].store_link;
        match connections {
            SilentConnections::Peers(index) => peers(index).silence(),
            SilentConnections::Store(index) => stores(index).silence(),
            SilentConnections::Engine(index) => self.silence_engines(index..index + 1),
            SilentConnections::All => {
                for index in 0..self.daemons.len() {
                    peers(index).silence();
                    stores(index).silence();
                }
                self.silence_engines(0..self.engines.borrow().len());
            }
        }
    }

    fn silence_engines(&self, indexes: std::ops::Range<usize>) {
        for slot in &self.engines.borrow()[indexes] {
            if let Some(link) = &slot.link {
                link.silence();
            }
        }
    }

    async fn lost_writes(&self, count: u64, time: Duration) {
        self.store.lose_writes(count);
        tokio::time::sleep(time).await;
        self.store.lose_writes(0);
    }

    /// An engine serves in another way for some time.
    async fn engine_fault(&self, index: usize, fault: EngineStep, time: Duration) {
        let engine = Rc::clone(&self.engines.borrow()[index].engine);
        engine.always(fault);
        tokio::time::sleep(time).await;
        engine.always(EngineStep::Serve);
    }

    async fn leave(&self, index: usize, time: Duration) -> Result<()> {
        let old = self.replace_engine(index).await?;
        let id = old.engine.id.clone();
        self.write_entry(&old, DRAINING)?;
        self.note_leave(&id);
        tokio::time::sleep(time).await;
        self.store.remove(SERVERS, &id);
        Ok(())
    }

    async fn vanish(&self, index: usize) -> Result<()> {
        let old = self.replace_engine(index).await?;
        self.store.remove(SERVERS, &old.engine.id);
        self.note_leave(&old.engine.id);
        Ok(())
    }

    /// Puts a new engine in the place of one that is about to leave, and gives that one.
    pub(crate) async fn replace_engine(&self, index: usize) -> Result<EngineSlot> {
        let backend = self.engines.borrow()[index].backend;
        let fresh = self.new_engine(backend).await?;
        let old = std::mem::replace(&mut self.engines.borrow_mut()[index], fresh);
        self.left.borrow_mut().push(Rc::clone(&old.engine));
        Ok(old)
    }

    pub(crate) fn note_leave(&self, id: &str) {
        let leave = EngineLeave { engine: id.to_string(), told: Instant::now() };
        self.evidence.borrow_mut().leaves.push(leave);
    }

    fn change(&self) -> Result<()> {
        for route in &mut self.config.borrow_mut().routes {
            route.timeout_ms = route.timeout_ms.map(|timeout| timeout + 100.0);
        }
        self.store_config()
    }

    async fn take_key(&self, time: Duration) -> Result<()> {
        let drop_key = |config: &mut Config| {
            let keys = config.tenants.iter_mut().map(|tenant| &mut tenant.api_keys);
            let with = keys.filter(|keys| keys.iter().any(|key| key == DRIVERS_SECOND_KEY));
            let mut dropped = 0;
            for keys in with {
                keys.retain(|key| key != DRIVERS_SECOND_KEY);
                dropped += 1;
            }
            dropped
        };
        let dropped = drop_key(&mut self.config.borrow_mut());
        if dropped == 0 {
            return Ok(());
        }
        self.store_config()?;
        let place = {
            let mut evidence = self.evidence.borrow_mut();
            let lost = Instant::now();
            evidence.key_losses.push(KeyLoss { key: DRIVERS_SECOND_KEY, lost, back: None });
            evidence.key_losses.len() - 1
        };
        tokio::time::sleep(AGE_LIMIT + time).await;
        // The key counts as back from before it is.
        self.evidence.borrow_mut().key_losses[place].back = Some(Instant::now());
        for tenant in &mut self.config.borrow_mut().tenants {
            if tenant.name == "drivers" {
                tenant.api_keys.push(DRIVERS_SECOND_KEY.to_string());
            }
        }
        self.store_config()
    }
}

/// A link has a fault for some time.
async fn hold(link: &FaultyLink, fault: LinkFault, time: Duration) {
    link.set(fault);
    tokio::time::sleep(time).await;
    link.set(LinkFault::None);
}
