//! Lists of the streams whose version the splits don't tell.

use std::time::Duration;

use curlewcleat_core::{
    StreamId, StreamVersion, VersionDigest, VersionHistory, VersionSplit, WallTime, SPLIT_SLOTS,
};
use curlewcleat_sched::{list_begun, list_interval, listed_version, LISTED_LIMIT};

const NOW: WallTime = Duration::from_secs(1_000);
const LONGEST: Duration = Duration::from_secs(10);

fn version(name: &str) -> VersionDigest {
    VersionDigest::of(Some(&name.to_string()))
}

fn stream(number: usize) -> StreamId {
    StreamId::new("p", "a", &number.to_string())
}

/// Returns a history in which `v2` has got half of the slots some time ago.
fn history(changed: Duration) -> VersionHistory {
    changed_at(NOW - changed)
}

fn changed_at(second: WallTime) -> VersionHistory {
    let slots =
        |two: usize| std::array::from_fn(|slot| version(if slot < two { "v2" } else { "v1" }));
    let split =
        |since, until, two| VersionSplit { since, until, slots: slots(two), is_open: false };
    let first = Duration::from_secs(100);
    VersionHistory {
        pool: "p".to_string(),
        revision: Some(2),
        splits: vec![
            split(Duration::from_secs(50), Some(first), 0),
            split(first, Some(second + Duration::from_secs(2)), 0),
            split(second, None, SPLIT_SLOTS / 2),
        ],
        longest_timeout: Some(LONGEST),
        ..VersionHistory::default()
    }
}

/// Returns streams that begin every 10 ms, the newest first, each at the version of its slot.
fn streams(count: usize) -> Vec<(StreamVersion, WallTime)> {
    let begun = |number: usize| {
        let stream = stream(number);
        let name = if stream.slot(SPLIT_SLOTS) < SPLIT_SLOTS / 2 { "v2" } else { "v1" };
        let at = NOW - Duration::from_millis(10 * number as u64);
        (StreamVersion { stream, version: version(name) }, at)
    };
    (0..count).map(begun).collect()
}

fn listed_count(history: &VersionHistory) -> usize {
    history.begun.iter().map(|begun| begun.streams.len()).sum()
}

/// Guards against streams of slots that have just changed, of which nothing in the store tells the version.
#[test]
fn streams_of_changed_slots_are_listed() {
    let begun = streams(100);
    let listed = list_begun(&history(Duration::from_secs(1)), NOW, begun.iter().copied());
    let listed = listed.expect("a list");
    for (StreamVersion { stream, version: at }, _) in begun {
        let expected = (at == version("v2")).then_some(at);
        assert_eq!(listed_version(&listed, &stream), expected);
    }
}

/// Guards against writes of lists that state what the splits prove, or what is listed.
#[test]
fn nothing_is_listed_twice_or_beside_a_proof() {
    let begun = streams(100);
    let settled = history(Duration::from_secs(60));
    assert_eq!(list_begun(&settled, NOW, begun.iter().copied()), None);
    let listed = list_begun(&history(Duration::from_secs(1)), NOW, begun.iter().copied());
    let listed = listed.expect("a list");
    assert_eq!(list_begun(&listed, NOW, begun.iter().copied()), None);
}

/// Guards against a list of streams of other pools, whose versions no split of this pool names.
#[test]
fn versions_that_no_split_names_are_not_listed() {
    let begun = streams(100)
        .into_iter()
        .map(|(begun, at)| (StreamVersion { version: version("of-another-pool"), ..begun }, at));
    assert_eq!(list_begun(&history(Duration::from_secs(1)), NOW, begun), None);
}

/// Guards against lists that grow without bound.
#[test]
fn oldest_streams_are_dropped() {
    let mut stored = history(Duration::from_secs(1));
    let all = streams(3 * LISTED_LIMIT);
    for (now, part) in all.rchunks(LISTED_LIMIT / 2).enumerate() {
        let now = NOW + Duration::from_millis(now as u64);
        let part = part.iter().map(|(begun, _)| (*begun, now));
        stored = list_begun(&stored, now, part).expect("a list");
        assert!(listed_count(&stored) <= LISTED_LIMIT);
    }
    assert_eq!(listed_count(&stored), LISTED_LIMIT);
    let newest = all.iter().find(|(begun, _)| begun.version == version("v2")).expect("one");
    assert_eq!(listed_version(&stored, &newest.0.stream), Some(version("v2")));
    stored.splits = vec![stored.splits.remove(0); 32];
    assert!(list_interval(&stored) > Duration::from_secs(1));
}

/// Guards against lists of streams whose callers do not wait any more.
#[test]
fn streams_are_listed_while_callers_wait() {
    let old = streams(100).into_iter().map(|(begun, at)| (begun, at - LONGEST));
    assert_eq!(list_begun(&history(Duration::from_secs(1)), NOW, old), None);
    let listed = list_begun(&history(Duration::from_secs(1)), NOW, streams(100).into_iter());
    let listed = listed.expect("a list");
    let later = NOW + LONGEST;
    let numbers = 1_000_000..;
    let mut new = numbers.map(stream).filter(|stream| stream.slot(SPLIT_SLOTS) < SPLIT_SLOTS / 2);
    let stream = new.next().expect("one");
    let begun = StreamVersion { stream, version: version("v2") };
    let splits = changed_at(later).splits;
    let renewed =
        list_begun(&VersionHistory { splits, ..listed }, later, [(begun, later)].into_iter());
    assert_eq!(listed_count(&renewed.expect("a list")), 1);
}
