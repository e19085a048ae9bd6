//! The rule by which the undelivered bytes of answers stay below their share of the budget.

use curlewcleat_clock::Moment;
use curlewcleat_targets::ExcessLimit;
use curlewcleatd::byte_budget::answer_intake::{INTAKE_PERCENT, LEAST_INTAKE_PERCENT};
use curlewcleatd::byte_budget::{ByteLedger, ByteOwner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const RECORD: u64 = 1 << 20;
/// Step in bytes by which answers grow.
const STEP: u64 = 8 << 10;

/// Answers of some targets that grow until they may not.
struct GrowingAnswers {
    ledger: ByteLedger,
    now: Moment,
    /// Target and undelivered bytes of each answer.
    answers: Vec<(String, u64)>,
}

impl GrowingAnswers {
    fn new(memory: u64, targets: usize, answers_each: usize) -> GrowingAnswers {
        let target = |index: usize| (format!("target-{}", index % targets), 0);
        GrowingAnswers {
            ledger: ByteLedger::new(memory),
            now: Moment::now(),
            answers: (0..targets * answers_each).map(target).collect(),
        }
    }

    /// Grows one answer; one that may not grow ends, and another begins. Returns whether it could.
    fn grow(&mut self, index: usize) -> bool {
        let (target, held) = &mut self.answers[index];
        let larger = (*held + STEP).min(RECORD);
        let grown = self.ledger.resize_intake(self.now, target, *held, larger).is_ok();
        if !grown {
            assert!(self.ledger.resize_intake(self.now, target, *held, 0).is_ok());
        }
        *held = if grown { larger } else { 0 };
        grown
    }

    fn room(&self) -> u64 {
        self.ledger.budget() / 100 * INTAKE_PERCENT
    }
}

/// Guards against answers without end that need more memory than the VM has, whatever their number.
#[rstest]
fn answers_without_end_stay_within_their_share(
    #[values(88, 110, 512)] megabytes: u64,
    #[values(1, 4, 30)] targets: usize,
    #[values(10, 200)] answers_each: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut answers = GrowingAnswers::new(megabytes << 20, targets, answers_each);
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..20_000 {
        let index = random.random_range(0..answers.answers.len());
        answers.grow(index);
        assert!(answers.ledger.total() <= answers.room());
    }
}

/// Guards against sound answers that end because other targets send without end.
#[rstest]
#[case::one(110, 1)]
#[case::four(110, 4)]
#[case::ten(110, 10)]
#[case::four_beside_a_small_vm(88, 4)]
fn record_of_a_sound_target_finds_room_beside_faulty_ones(
    #[case] megabytes: u64,
    #[case] faulty: usize,
) {
    let mut answers = GrowingAnswers::new(megabytes << 20, faulty, 60);
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..20_000 {
        let index = random.random_range(0..answers.answers.len());
        answers.grow(index);
    }
    let sound = answers.ledger.resize_intake(answers.now, "sound", 0, RECORD);
    assert!(sound.is_ok(), "{} bytes are held", answers.ledger.total());
}

/// Guards against answers of sound targets that end because slow callers use the budget.
#[test]
fn events_are_read_while_callers_use_the_budget() {
    let mut ledger = ByteLedger::new(110 << 20);
    let now = Moment::now();
    ledger.add(now, ByteOwner::Unread, ledger.budget());
    for target in ["a", "b", "c", "d"] {
        assert!(ledger.resize_intake(now, target, 0, 256 << 10).is_ok());
    }
    assert!(ledger.resize_intake(now, "a", 256 << 10, 8 << 20).is_err());
}

/// Guards against room that is lost with answers that have ended.
#[test]
fn room_is_free_again_once_answers_have_ended() {
    let mut answers = GrowingAnswers::new(110 << 20, 3, 100);
    for round in 0..300 {
        answers.grow(round % 300);
    }
    for (target, held) in &answers.answers {
        assert!(answers.ledger.resize_intake(answers.now, target, *held, 0).is_ok());
    }
    assert_eq!(answers.ledger.total(), 0);
}

/// Guards against sound targets that count as failed because others use the memory.
#[test]
fn target_is_at_fault_only_where_no_other_one_holds_more() {
    let mut ledger = ByteLedger::new(110 << 20);
    let now = Moment::now();
    ledger.add(now, ByteOwner::Unread, ledger.budget());
    let mut faulty = 0;
    while ledger.resize_intake(now, "faulty", faulty, faulty + STEP).is_ok() {
        faulty += STEP;
    }
    let refused = |ledger: &mut ByteLedger, target, held| {
        ledger.resize_intake(now, target, 0, held).expect_err("no room is left")
    };
    assert_eq!(refused(&mut ledger, "faulty", STEP), ExcessLimit::Share);
    assert_eq!(refused(&mut ledger, "sound", faulty), ExcessLimit::Share);
    let half = ledger.budget() / 100 * LEAST_INTAKE_PERCENT / 2;
    assert!(ledger.resize_intake(now, "another", 0, half / 2).is_ok());
    assert_eq!(refused(&mut ledger, "sound", half / 2), ExcessLimit::Memory);
}
