//! Time between two reads of the configuration.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_node::ReadRole;
use rstest::rstest;

use super::{read_interval, FALLBACK_PAUSE};
use crate::config_freshness::ConfigFreshness;

/// Normal time between two reads, as in the users' large fleets: a quarter of three seconds.
const READ_EVERY: Duration = Duration::from_millis(750);

/// Guards against saturated links while the newest configuration fails its checks. All 87 daemons of a fleet then read
/// it four times within the time in which changes have to be in force: at one megabyte a read, this filled links of 10
/// Mbit/s for as long as that configuration was the newest.
#[rstest]
#[case::reader(ReadRole::Reader, true, READ_EVERY)]
#[case::reader_with_newest_not_in_force(ReadRole::Reader, false, READ_EVERY)]
#[case::others_confirm_too_rarely(ReadRole::Fallback, true, READ_EVERY)]
#[case::no_daemon_can_confirm(ReadRole::Fallback, false, FALLBACK_PAUSE)]
fn only_readers_read_often_while_the_newest_config_fails_its_checks(
    #[case] role: ReadRole,
    #[case] in_force: bool,
    #[case] expected: Duration,
) {
    assert_eq!(read_interval(role, in_force, READ_EVERY), expected);
}

/// Guards against a daemon that stays unready after peers have confirmed a later configuration than the unusable object
/// that it has read itself.
#[test]
fn later_confirmation_by_a_peer_ends_an_unusable_configuration() {
    let freshness = ConfigFreshness::default();
    let [before, read, after] =
        [0, 10, 20].map(|millis| Moment::now() + Duration::from_millis(millis));
    freshness.confirm_by_peer(before);
    freshness.record_unusable(read);
    freshness.confirm_by_peer(before);
    assert!(freshness.is_unusable(), "an earlier read shows nothing");
    freshness.confirm_by_peer(after);
    assert!(!freshness.is_unusable());
}
