//! Memory that a stream uses after a long event.
//!
//! Guards against streams that keep the memory of an event which their callers have: it is counted for nobody.

use curlewcleat_targets::EventSplitter;
use rstest::rstest;

const STREAMS: u64 = 32;
/// Length in bytes of one part.
const PART: usize = 8 << 10;

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
    let kilobytes = line.split_whitespace().next().and_then(|number| number.parse::<u64>().ok());
    kilobytes.expect("a number") << 10
}

/// Returns the splitter of a stream that goes on after a long event.
fn after_long_event(length: usize) -> EventSplitter {
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(length));
    let mut splitter = EventSplitter::default();
    let parts = event.as_bytes().chunks(PART);
    let delivered: usize = parts.map(|part| splitter.push(part).len()).sum();
    assert!(delivered >= 900 << 10);
    splitter.push(b"\n\nid: 2\nda");
    splitter
}

#[rstest]
#[case::short_enough_to_be_buffered(900 << 10)]
#[case::returned_in_parts(1_200 << 10)]
fn stream_does_not_keep_the_memory_of_a_long_event(#[case] length: usize) {
    // The memory of the first one is used again by the others.
    drop(after_long_event(length));
    let before = resident();
    let streams: Vec<EventSplitter> = (0..STREAMS).map(|_| after_long_event(length)).collect();
    let kept = resident().saturating_sub(before) / STREAMS;
    assert!(kept < 64 << 10, "{kept} bytes of each of {} streams", streams.len());
}
