//! The settings file of a daemon, with the bounds that a run holds it to.

use std::time::Duration;

/// Age from which a configuration is too old to admit requests by.
pub const AGE_LIMIT: Duration = Duration::from_secs(2);
/// Time in which a changed configuration takes effect, and in which engines that leave get no more work.
pub const APPLY_LIMIT: Duration = Duration::from_secs(1);
/// Time in which a daemon that was told to stop ends.
pub const STOP_LIMIT: Duration = Duration::from_secs(5);

/// What differs between the daemons of a run.
pub struct DaemonSettings<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Where callers reach it.
    pub callers: &'a str,
    /// Where operators reach it.
    pub operators: &'a str,
    /// Where it receives frames.
    pub peers: &'a str,
    /// Where its peers send frames for it to.
    pub advertised: &'a str,
    /// Addresses of peers to begin with.
    pub seeds: &'a [String],
    /// Where it reaches the store.
    pub store: &'a str,
    /// Its link in megabits a second, where that is limited.
    pub link_mbps: Option<u64>,
}

impl DaemonSettings<'_> {
    /// The text of the settings file.
    pub fn to_ini(&self) -> String {
        let link = self.link_mbps.map(|mbps| format!("link_mbps = {mbps}\n")).unwrap_or_default();
        format!(
            "[vm]\nname = {}\ndata_centre = here\n{link}\
             [callers]\naddress = {}\ndrain_grace = 600ms\n\
             [operators]\naddress = {}\n\
             [peers]\naddress = {}\nadvertised_address = {}\nseeds = {}\n\
             beat = 200ms\nsuspect_after = 700ms\nask_limit = 60ms\nask_tries = 1\n\
             [platform]\nkind = fleet\naddress = {}\ncall_limit = 400ms\n\
             [bounds]\nconfig_age_limit = {}ms\nconfig_apply_limit = {}ms\n\
             leave_limit = {}ms\nstop_limit = {}ms\nretry_ratio = 0.5\nretry_saved = 100\n",
            self.name,
            self.callers,
            self.operators,
            self.peers,
            self.advertised,
            self.seeds.join(","),
            self.store,
            AGE_LIMIT.as_millis(),
            APPLY_LIMIT.as_millis(),
            APPLY_LIMIT.as_millis(),
            STOP_LIMIT.as_millis(),
        )
    }
}
