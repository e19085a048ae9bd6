//! How the engines of a fleet end, leave and are replaced.
//!
//! Owns: nothing; these are methods of [`EventFleet`]. Relies on: engines that close their listener when they are told to
//! terminate.

use anyhow::{Context, Result};
use curlewcleat_platform::names::{DRAINING, SERVERS};
use curlewcleat_standins::address::free_engine_address;

use super::event_streams::EventFleet;

impl EventFleet {
    /// Kills an engine; its list entry stays.
    pub fn kill_engine(&mut self, index: usize) {
        self.engines[index].kill();
    }

    /// Starts an engine of another id in the place of one that was killed.
    pub async fn replace_engine(&mut self, index: usize, options: Vec<String>) -> Result<()> {
        let address = free_engine_address()?;
        self.replace_engine_at(index, &address, options).await
    }

    /// Kills an engine of each service and starts engines that have swapped their addresses.
    pub async fn swap_addresses(&mut self, index: usize) -> Result<()> {
        let other = index ^ 1;
        self.kill_engine(index);
        self.kill_engine(other);
        let (one, two) = (self.addresses[index].clone(), self.addresses[other].clone());
        self.replace_engine_at(index, &two, Vec::new()).await?;
        self.replace_engine_at(other, &one, Vec::new()).await
    }

    /// Same as [`replace_engine`](EventFleet::replace_engine), at this address.
    pub async fn replace_engine_at(
        &mut self,
        index: usize,
        address: &str,
        options: Vec<String>,
    ) -> Result<()> {
        self.deployment.store.remove(SERVERS, &self.engines[index].name);
        let id = format!("e-{}", self.ids.len());
        self.engines[index] = self.start_engine(index, &id, address, options).await?;
        self.addresses[index] = address.to_string();
        Ok(())
    }

    /// Makes an engine leave: it takes no more connections and goes on with its streams.
    pub fn leave_engine(&self, index: usize) -> Result<()> {
        let (store, id) = (&self.deployment.store, &self.engines[index].name);
        let mut entry =
            store.spec(SERVERS, id).with_context(|| format!("engine {id} has no entry"))?;
        entry["state"] = DRAINING.into();
        store.put(SERVERS, id, entry);
        self.engines[index].signal("TERM")
    }

    /// Starts an engine of the current version in the place of one that leaves.
    pub async fn release_engine(&mut self, index: usize) -> Result<()> {
        let (id, address) = (format!("e-{}", self.ids.len()), free_engine_address()?);
        let engine = self.start_engine(index, &id, &address, Vec::new()).await?;
        self.leave_engine(index)?;
        self.left.push(std::mem::replace(&mut self.engines[index], engine));
        self.addresses[index] = address;
        Ok(())
    }

    /// Kills the engines that were replaced by a release and removes their list entries.
    pub fn end_left_engines(&mut self) {
        for mut engine in self.left.drain(..) {
            engine.kill();
            self.deployment.store.remove(SERVERS, &engine.name);
        }
    }
}
