//! Faults of what engines say of themselves: one that starts again under its id, and entries of other writers.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::fleet::{FleetEngine, ForeignEntry};
use curlewcleat_standins::http::serve_here;

use crate::extra::RestartPlace;
use crate::fleet::{SoakFleet, BACKENDS, EVENTS, PACE};

impl SoakFleet {
    /// An engine ends at once, and some time later starts again under its id.
    pub(crate) async fn restart_engine(
        &self,
        index: usize,
        place: RestartPlace,
        time: Duration,
    ) -> Result<()> {
        let Some((ended, backend, address)) = self.end_engine(index).await else { return Ok(()) };
        tokio::time::sleep(time).await;
        let is_present = Rc::ptr_eq(&self.engines.borrow()[index].engine, &ended);
        // Another engine has taken its place meanwhile.
        if !is_present {
            return Ok(());
        }
        let address = match place {
            RestartPlace::Same => address,
            RestartPlace::Other => free_address()?,
        };
        let slot = self.serve_engine(ended.started_again(), backend, &address).await?;
        self.engines.borrow_mut()[index] = slot;
        self.left.borrow_mut().push(ended);
        Ok(())
    }

    /// Ends an engine, and gives it with its service and address; `None` where it has ended already.
    async fn end_engine(&self, index: usize) -> Option<(Rc<FleetEngine>, &'static str, String)> {
        let (served, ended) = {
            let mut engines = self.engines.borrow_mut();
            let slot = &mut engines[index];
            let served = slot.served.take()?;
            let address = served.address.clone();
            (served, (Rc::clone(&slot.engine), slot.backend, address))
        };
        served.close().await;
        Some(ended)
    }

    /// For some time there is an entry that names no engine; one listens at its address, and nothing may reach it.
    pub(crate) async fn foreign_entry(&self, entry: ForeignEntry, time: Duration) -> Result<()> {
        let number = self.started.replace(self.started.get() + 1);
        let trap = FleetEngine::new(&format!("foreign-{number}"), EVENTS, PACE);
        let address = serve_here(trap.clone()).await?;
        self.evidence.borrow_mut().foreign.insert(trap.id.clone());
        self.left.borrow_mut().push(Rc::clone(&trap));
        self.store.put(SERVERS, &trap.id, entry.spec(BACKENDS[0], &address));
        tokio::time::sleep(time).await;
        self.store.remove(SERVERS, &trap.id);
        Ok(())
    }

    /// Another writer writes over the entry of an engine, which names none from then on.
    pub(crate) async fn overwrite(&self, index: usize, entry: ForeignEntry) -> Result<()> {
        let old = self.replace_engine(index).await?;
        self.store.put(SERVERS, &old.engine.id, entry.spec(old.backend, &old.address));
        self.note_leave(&old.engine.id);
        Ok(())
    }
}
