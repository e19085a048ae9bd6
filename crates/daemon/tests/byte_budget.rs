//! The rule by which a daemon keeps what it holds for slow readers below its budget, under the loads that it answers.
//! Times are simulated.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleatd::byte_budget::ledger::{BUDGET_PERCENT, LARGE_BODY};
use curlewcleatd::byte_budget::levels::{END_PERCENT, PAUSE_PERCENT, REFUSE_PERCENT};
use curlewcleatd::byte_budget::{
    BodyDecision, BodyOffer, ByteLedger, ByteOwner, PressureLevel, ReaderId,
};
use rstest::rstest;

const MEMORY: u64 = 112 << 20;
const BUDGET: u64 = MEMORY / 100 * BUDGET_PERCENT;
/// Bytes of a connection and of a request in progress.
const CONNECTION: u64 = 16 << 10;
/// Size limit of bodies.
const BODY: u64 = 1 << 20;

fn percent(percent: u64) -> u64 {
    BUDGET / 100 * percent
}

fn offer(size: u64, lowest_tier: bool) -> BodyOffer {
    BodyOffer { lowest_tier, size, uncounted: size }
}

/// Callers with unread bytes, as the ledger and the connections see them.
struct ReaderLoad {
    ledger: ByteLedger,
    now: Moment,
    unread: BTreeMap<ReaderId, u64>,
    ended: Vec<ReaderId>,
}

impl ReaderLoad {
    fn new() -> ReaderLoad {
        let (ledger, now) = (ByteLedger::new(MEMORY), Moment::now());
        ReaderLoad { ledger, now, unread: BTreeMap::new(), ended: Vec::new() }
    }

    /// Bytes arrive for a reader, and its connection accepts some.
    fn arrive(&mut self, reader: ReaderId, bytes: u64, accepted: u64) {
        if self.ended.contains(&reader) {
            return;
        }
        let end = self.ledger.add(self.now, ByteOwner::Unread, bytes);
        let unread = self.unread.entry(reader).or_default();
        *unread += bytes;
        let accepted = accepted.min(*unread);
        *unread -= accepted;
        self.ledger.record_reader(self.now, reader, accepted, *unread);
        self.ledger.set_reader_held(reader, *unread);
        self.ledger.remove(self.now, ByteOwner::Unread, accepted);
        for reader in end {
            self.close(reader);
        }
    }

    /// The connection of a reader closes.
    fn close(&mut self, reader: ReaderId) {
        self.ended.push(reader);
        let unread = self.unread.remove(&reader).unwrap_or_default();
        self.ledger.remove(self.now, ByteOwner::Unread, unread);
        self.ledger.forget_reader(reader);
    }
}

#[test]
fn calm_daemon_reads_every_body_and_ends_nobody() {
    let mut ledger = ByteLedger::new(MEMORY);
    let now = Moment::now();
    assert!(ledger.add(now, ByteOwner::Answer, percent(PAUSE_PERCENT) - 1).is_empty());
    assert_eq!(ledger.level(), PressureLevel::Calm);
    assert_eq!(ledger.decide_body(offer(BODY, true)), BodyDecision::Read);
    // A single body larger than the pause mark is read as well.
    let mut empty = ByteLedger::new(MEMORY);
    assert_eq!(empty.decide_body(offer(percent(REFUSE_PERCENT), true)), BodyDecision::Read);
}

#[rstest]
#[case::small_body_of_the_lowest_tier(PAUSE_PERCENT, LARGE_BODY, true, BodyDecision::Read)]
#[case::large_body_of_the_lowest_tier(PAUSE_PERCENT, LARGE_BODY + 1, true, BodyDecision::Wait)]
#[case::large_body_of_another_tier(PAUSE_PERCENT, LARGE_BODY + 1, false, BodyDecision::Read)]
#[case::refused_in_any_tier(REFUSE_PERCENT, LARGE_BODY + 1, false, BodyDecision::Refuse)]
#[case::refused_in_the_lowest_tier(REFUSE_PERCENT, LARGE_BODY + 1, true, BodyDecision::Refuse)]
#[case::small_body_under_pressure(END_PERCENT, LARGE_BODY, true, BodyDecision::Read)]
fn body_gives_way_by_size_and_tier(
    #[case] held_percent: u64,
    #[case] size: u64,
    #[case] lowest_tier: bool,
    #[case] expected: BodyDecision,
) {
    let mut ledger = ByteLedger::new(MEMORY);
    ledger.add(Moment::now(), ByteOwner::Answer, percent(held_percent));
    assert_eq!(ledger.decide_body(offer(size, lowest_tier)), expected);
}

#[test]
fn bodies_of_the_size_limit_from_many_callers_at_once_stay_below_the_refusal_mark() {
    let mut ledger = ByteLedger::new(MEMORY);
    let now = Moment::now();
    let mut read = 0;
    for _ in 0..3_000 {
        if ledger.decide_body(offer(BODY, false)) == BodyDecision::Read {
            assert!(ledger.add(now, ByteOwner::Body, BODY).is_empty());
            read += 1;
        }
    }
    assert_eq!(read, percent(REFUSE_PERCENT) / BODY);
    assert!(ledger.total() <= percent(REFUSE_PERCENT), "{}", ledger.total());
    assert_eq!(ledger.counts.bodies_refused, 3_000 - read);
    // Requests with small bodies are served beside them.
    assert_eq!(ledger.decide_body(offer(1_000, true)), BodyDecision::Read);
}

#[test]
fn retry_after_of_a_refused_body_follows_the_pace_of_releases() {
    let mut ledger = ByteLedger::new(MEMORY);
    let mut now = Moment::now();
    ledger.add(now, ByteOwner::Body, percent(REFUSE_PERCENT));
    let without_releases = ledger.retry_after(now, BODY);
    assert_eq!(without_releases, Duration::from_secs(3));
    for _ in 0..100 {
        now = now + Duration::from_millis(20);
        ledger.remove(now, ByteOwner::Body, BODY / 5);
        ledger.add(now, ByteOwner::Body, BODY / 5);
    }
    // 15 % of the budget and the body at 10 MB a second.
    let excess = percent(REFUSE_PERCENT) - percent(PAUSE_PERCENT) + BODY;
    let expected = excess as f64 / (10.0 * BODY as f64);
    let retry_after = ledger.retry_after(now, BODY).as_secs_f64();
    assert!((retry_after / expected - 1.0).abs() < 0.1, "{retry_after} instead of {expected}");
}

/// 2,000 callers read at their usual speed, and 1,000 read one part in several seconds. Answers of more bytes than there
/// is room for end only for those that read slowly.
#[test]
fn slow_readers_end_beside_normal_ones_that_are_served() {
    const SLOW: u64 = 1_000;
    let mut load = ReaderLoad::new();
    load.ledger.add(load.now, ByteOwner::Connection, 3_000 * CONNECTION);
    let mut peak = 0;
    for step in 0..400u64 {
        load.now = load.now + Duration::from_millis(20);
        for reader in 0..SLOW {
            let accepted = if (step + reader) % 200 == 0 { 600 } else { 0 };
            load.arrive(reader, 200, accepted);
        }
        for reader in SLOW..3_000 {
            // Every second part waits for a moment.
            load.arrive(reader, 200, (step % 2) * 400);
        }
        peak = peak.max(load.ledger.total());
    }
    assert!(!load.ended.is_empty());
    assert!(load.ended.iter().all(|reader| *reader < SLOW), "{:?}", load.ended);
    assert!(peak < BUDGET, "{peak} of {BUDGET}");
}

/// The link of the VM narrows: no caller receives its usual pace, some receive less than others.
#[test]
fn narrowed_link_ends_the_callers_with_the_lowest_pace_one_by_one() {
    let mut load = ReaderLoad::new();
    let mut peak = 0;
    for _ in 0..300u64 {
        load.now = load.now + Duration::from_millis(20);
        for reader in 0..500u64 {
            // The higher its number, the more a caller receives.
            load.arrive(reader, 2_000, reader * 2);
        }
        peak = peak.max(load.ledger.total());
    }
    assert!(!load.ended.is_empty());
    let lasting = load.unread.keys().min().copied().unwrap_or_default();
    assert!(load.ended.iter().all(|reader| *reader < lasting), "{lasting} {:?}", load.ended);
    assert!(peak < BUDGET, "{peak} of {BUDGET}");
}

#[test]
fn of_callers_that_read_nothing_the_one_that_waited_longest_ends() {
    let mut load = ReaderLoad::new();
    for reader in [7, 3, 5] {
        load.arrive(reader, 1, 0);
        load.now = load.now + Duration::from_millis(600);
    }
    load.arrive(9, percent(END_PERCENT), 0);
    assert_eq!(load.ended, [7]);
}

#[test]
fn caller_whose_bytes_have_only_just_become_unread_does_not_end() {
    let mut load = ReaderLoad::new();
    load.arrive(1, percent(END_PERCENT), 0);
    load.now = load.now + Duration::from_millis(100);
    load.arrive(1, 1, 0);
    assert!(load.ended.is_empty());
}

/// Connections without requests use up the budget, and nothing more arrives for the readers.
#[test]
fn readers_end_once_they_have_waited_although_nothing_more_is_held() {
    let mut ledger = ByteLedger::new(MEMORY);
    let mut now = Moment::now();
    ledger.record_reader(now, 1, 0, 1);
    assert!(ledger.add(now, ByteOwner::Connection, percent(END_PERCENT) + 1).is_empty());
    now = now + Duration::from_millis(600);
    assert_eq!(ledger.end_readers(now), [1]);
}

#[test]
fn no_more_readers_end_than_the_excess_needs_while_their_connections_close() {
    let mut ledger = ByteLedger::new(MEMORY);
    let mut now = Moment::now();
    for reader in 0..4 {
        ledger.record_reader(now, reader, 0, 1);
        ledger.set_reader_held(reader, 100_000);
    }
    now = now + Duration::from_secs(1);
    assert_eq!(ledger.add(now, ByteOwner::Answer, percent(END_PERCENT) + 200_000), [0, 1]);
    now = now + Duration::from_millis(100);
    assert!(ledger.add(now, ByteOwner::Answer, 1_000).is_empty());
    // They have closed, and the excess grows again.
    for reader in 0..2 {
        ledger.forget_reader(reader);
        ledger.remove(now, ByteOwner::Answer, 100_000);
    }
    now = now + Duration::from_millis(100);
    assert_eq!(ledger.add(now, ByteOwner::Answer, 1_000), [2]);
    assert_eq!(ledger.counts.readers_ended, 3);
}

#[test]
fn connection_that_does_not_close_does_not_keep_others_from_ending() {
    let mut ledger = ByteLedger::new(MEMORY);
    let mut now = Moment::now();
    for reader in 0..2 {
        ledger.record_reader(now, reader, 0, 1);
    }
    now = now + Duration::from_secs(1);
    assert_eq!(ledger.add(now, ByteOwner::Answer, percent(END_PERCENT) + 1), [0]);
    now = now + Duration::from_millis(300);
    assert_eq!(ledger.add(now, ByteOwner::Answer, 1), [1]);
}

#[test]
fn level_is_left_only_well_below_its_mark() {
    let mut ledger = ByteLedger::new(MEMORY);
    let now = Moment::now();
    ledger.add(now, ByteOwner::Answer, percent(PAUSE_PERCENT));
    assert_eq!(ledger.level(), PressureLevel::Pausing);
    ledger.remove(now, ByteOwner::Answer, percent(2));
    assert_eq!(ledger.level(), PressureLevel::Pausing);
    ledger.remove(now, ByteOwner::Answer, percent(4));
    assert_eq!(ledger.level(), PressureLevel::Calm);
}

#[test]
fn answer_of_usual_length_waits_for_its_caller_while_there_is_room() {
    let mut ledger = ByteLedger::new(MEMORY);
    assert!(ledger.answer_bound() > 1_000_000);
    ledger.add(Moment::now(), ByteOwner::Answer, percent(REFUSE_PERCENT));
    // 55 events of 200 bytes, each counted with 128 bytes more.
    assert!(ledger.answer_bound() > 55 * 328);
}
