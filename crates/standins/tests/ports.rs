//! Checks that a port that all daemons bind is free at the IP number of each.
//!
//! The failure: the port of the relays was probed at the first daemon's IP number only. Another process used it at that
//! of the second daemon, which ended with "relays: bind: Address already in use", and the run waited for it in vain.

use std::net::TcpListener;

use curlewcleat_standins::address::{daemon_ip, free_address_at, free_daemon_port};

const DAEMONS: usize = 3;

#[test]
fn port_of_all_daemons_is_free_at_each_of_them() {
    let last = free_address_at(&daemon_ip(0)).expect("a port");
    let last: u16 = last.rsplit(':').next().expect("a port").parse().expect("a number");
    // The next port is in use by another process, at the IP number of the last daemon only.
    let used = TcpListener::bind((daemon_ip(DAEMONS - 1), last + 1));
    let port = free_daemon_port(DAEMONS).expect("a port");
    assert_ne!(port, last + 1, "{used:?}");
    for index in 0..DAEMONS {
        assert!(TcpListener::bind((daemon_ip(index), port)).is_ok(), "{port} at daemon {index}");
    }
}
