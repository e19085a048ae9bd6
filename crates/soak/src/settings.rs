//! Writes the settings file of a daemon, with the bounds that the checks of a run rely on.

use std::time::Duration;

/// Age above which a configuration is too old to admit requests.
pub const AGE_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a changed configuration takes effect and leaving engines receive no more requests.
pub const APPLY_LIMIT: Duration = Duration::from_secs(1);
/// Time within which a daemon exits after SIGTERM.
pub const STOP_LIMIT: Duration = Duration::from_secs(5);

/// The settings that differ between the daemons of a run.
pub struct SoakSettings<'a> {
    /// Name of the daemon's VM.
    pub name: &'a str,
    /// Address for callers.
    pub callers: &'a str,
    /// Address for operators.
    pub operators: &'a str,
    /// Address on which the daemon receives peer frames.
    pub peers: &'a str,
    /// Address to which the peers send their frames.
    pub advertised: &'a str,
    /// Port of the relays of all daemons.
    pub relay_port: u16,
    /// Addresses of the first peers to contact.
    pub seeds: &'a [String],
    /// Address of the store.
    pub store: &'a str,
    /// Further lines of the section about the daemon's VM.
    pub vm: &'a str,
    /// Bandwidth of the daemon's link in megabits per second, if limited.
    pub link_mbps: Option<u64>,
}

impl SoakSettings<'_> {
    /// Returns the text of the settings file.
    pub fn to_ini(&self) -> String {
        let link = self.link_mbps.map(|mbps| format!("link_mbps = {mbps}\n")).unwrap_or_default();
        format!(
            "[vm]\nname = {}\ndata_centre = here\n{link}{}\
             [callers]\naddress = {}\ndrain_grace = 600ms\n\
             [operators]\naddress = {}\n\
             [peers]\naddress = {}\nadvertised_address = {}\nrelay_port = {}\nseeds = {}\n\
             beat = 200ms\nsuspect_after = 700ms\nask_limit = 60ms\nask_tries = 1\n\
             [platform]\nkind = fleet\naddress = {}\ncall_limit = 400ms\n\
             [bounds]\nconfig_age_limit = {}ms\nconfig_apply_limit = {}ms\n\
             leave_limit = {}ms\nstop_limit = {}ms\nretry_ratio = 0.5\nretry_saved = 100\n",
            self.name,
            self.vm,
            self.callers,
            self.operators,
            self.peers,
            self.advertised,
            self.relay_port,
            self.seeds.join(","),
            self.store,
            AGE_LIMIT.as_millis(),
            APPLY_LIMIT.as_millis(),
            APPLY_LIMIT.as_millis(),
            STOP_LIMIT.as_millis(),
        )
    }
}
