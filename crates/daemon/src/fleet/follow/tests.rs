//! How often the configuration is read.

use std::time::Duration;

use curlewcleat_node::ReadRole;
use rstest::rstest;

use super::{time_between, FALLBACK_PAUSE};

/// Time between two reads of the tests. From the users' large fleets: a quarter of three seconds.
const READ_EVERY: Duration = Duration::from_millis(750);

/// Each of 87 daemons read a configuration that did not pass its checks four times within the time in which
/// changes have to be in force, for as long as it was the newest: a megabyte each time filled links of 10
/// Mbit/s for good.
#[rstest]
#[case::reader(ReadRole::Reader, true, READ_EVERY)]
#[case::reader_of_one_that_is_not_in_force(ReadRole::Reader, false, READ_EVERY)]
#[case::others_prove_too_little(ReadRole::Fallback, true, READ_EVERY)]
#[case::nobody_can_prove(ReadRole::Fallback, false, FALLBACK_PAUSE)]
fn reads_that_prove_nothing_are_rare(
    #[case] role: ReadRole,
    #[case] in_force: bool,
    #[case] expected: Duration,
) {
    assert_eq!(time_between(role, in_force, READ_EVERY), expected);
}
