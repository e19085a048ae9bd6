//! Connections to targets that daemons make for each other.
//!
//! [`TargetDialer`] connects to targets for the requests of this daemon, directly or through a peer ([`outgoing`]), and
//! tries lost links again ([`probe`]). [`server`] makes connections for peers.
//!
//! Owns: the relayed connections of this daemon, in both roles. Relies on: `curlewcleat-relay` for the protocol, the
//! node for the peers, [`SharedReach`](crate::target_reach::SharedReach) for the links.

mod dialer;
mod outgoing;
mod probe;
mod server;

pub use dialer::TargetDialer;
pub use probe::probe_lost_links;
pub use server::RelayServer;

use curlewcleat_core::RequestId;

/// Returns the id of a request for a log line, empty for a connection that is not made for a request.
fn request_text(request: Option<RequestId>) -> String {
    request.map_or_else(String::new, |id| id.to_string())
}
