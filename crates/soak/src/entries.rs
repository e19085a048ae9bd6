//! Faults of the engines' list entries: an engine restarts with the same id, or another writer writes an entry.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::SERVERS;
use curlewcleat_standins::fleet::{FleetEngine, ForeignEntry};
use curlewcleat_standins::http::serve_here;

use crate::engines::{BACKENDS, EVENTS, EVENT_INTERVAL};
use crate::extra::RestartAddress;
use crate::fleet::SoakFleet;

impl SoakFleet {
    /// Terminates an engine and restarts it with the same id after some time.
    pub(crate) async fn restart_engine(
        &self,
        index: usize,
        restart_address: RestartAddress,
        time: Duration,
    ) -> Result<()> {
        let Some((ended, backend, address)) = self.terminate_engine(index).await else {
            return Ok(());
        };
        tokio::time::sleep(time).await;
        let is_current = Rc::ptr_eq(&self.engines.borrow()[index].engine, &ended);
        // Another fault has replaced the engine in the meantime.
        if !is_current {
            return Ok(());
        }
        let address = match restart_address {
            RestartAddress::Same => address,
            RestartAddress::Other => self.engine_address(self.engine_count.get())?,
        };
        let handle = self.serve_engine(ended.restarted(), backend, &address).await?;
        self.engines.borrow_mut()[index] = handle;
        self.replaced_engines.borrow_mut().push(ended);
        Ok(())
    }

    /// Terminates an engine and returns it with its service and address, or `None` if it has terminated already.
    async fn terminate_engine(
        &self,
        index: usize,
    ) -> Option<(Rc<FleetEngine>, &'static str, String)> {
        let (served, ended) = {
            let mut engines = self.engines.borrow_mut();
            let handle = &mut engines[index];
            let served = handle.served.take()?;
            let address = served.address.clone();
            (served, (Rc::clone(&handle.engine), handle.backend, address))
        };
        served.close().await;
        Some(ended)
    }

    /// Stores an invalid list entry for some time. An engine listens at its address, which no request may reach.
    pub(crate) async fn foreign_entry(&self, entry: ForeignEntry, time: Duration) -> Result<()> {
        let number = self.engine_count.replace(self.engine_count.get() + 1);
        let decoy = FleetEngine::new(&format!("foreign-{number}"), EVENTS, EVENT_INTERVAL);
        let address = serve_here(decoy.clone()).await?;
        self.evidence.borrow_mut().foreign_entries.insert(decoy.id.clone());
        self.replaced_engines.borrow_mut().push(Rc::clone(&decoy));
        self.store.put(SERVERS, &decoy.id, entry.spec(BACKENDS[0], &address));
        tokio::time::sleep(time).await;
        self.store.remove(SERVERS, &decoy.id);
        Ok(())
    }

    /// Overwrites the list entry of an engine with one of another writer; the engine counts as leaving from then on.
    pub(crate) async fn overwrite(&self, index: usize, entry: ForeignEntry) -> Result<()> {
        let old = self.replace_engine(index).await?;
        self.store.put(SERVERS, &old.engine.id, entry.spec(old.backend, &old.address));
        self.record_leave(&old.engine.id);
        Ok(())
    }
}
