//! Streams of which one answer is damaged inside, against what the targets made.
//!
//! Each play has one damaged answer, up to two answers that are cut at any byte, continuations by sound targets, and a
//! caller that may take its stream up by the last `id` that it has. Run with `STREAM_SEED` for other plays and
//! `--nocapture` for the number of outcomes.

#[path = "support/caller_events.rs"]
mod caller_events;
#[path = "support/damaged_answers.rs"]
mod damaged_answers;
#[path = "support/damaged_plays.rs"]
mod damaged_plays;
#[path = "support/random.rs"]
mod random;
#[path = "support/sound_beginning.rs"]
mod sound_beginning;

use std::collections::BTreeMap;

use damaged_answers::AnswerDamage;
use damaged_plays::{sound_evidence, DamagedPlay, PlayOutcome};
use random::Random;
use rstest::rstest;

/// Plays of each damage.
const PLAYS: usize = 6_000;

fn seed() -> u64 {
    std::env::var("STREAM_SEED").map_or(1, |seed| seed.parse().expect("a number"))
}

struct PlayCounts {
    outcomes: BTreeMap<&'static str, usize>,
    sample: Option<String>,
}

impl PlayCounts {
    fn of(&self, code: &str) -> usize {
        self.outcomes.get(code).copied().unwrap_or(0)
    }
}

/// Plays streams with one damaged answer each, from a source whose streams were sound before.
fn play(damage: AnswerDamage, may_repeat: bool) -> PlayCounts {
    let mut random = Random::new(seed());
    let form = sound_evidence(&mut random).form(may_repeat);
    let mut counts = PlayCounts { outcomes: BTreeMap::new(), sample: None };
    for _ in 0..PLAYS {
        let mut play = DamagedPlay::generate(damage, may_repeat, &mut random);
        let outcome = play.run(form, &mut random);
        if matches!(outcome, PlayOutcome::Wrong(_)) {
            counts.sample.get_or_insert_with(|| format!("{outcome:?}: {play:?}"));
        }
        *counts.outcomes.entry(outcome.code()).or_default() += 1;
    }
    println!("seed {}, {damage:?}, may repeat {may_repeat}: {:?}", seed(), counts.outcomes);
    counts
}

/// Guards against events without their number, numbers without their data and events of other streams that count as sound.
#[rstest]
#[case::sound(AnswerDamage::None)]
#[case::noise_before_id(AnswerDamage::NoiseBeforeId)]
#[case::noise_line(AnswerDamage::NoiseLine)]
#[case::noise_to_the_end(AnswerDamage::NoiseToTheEnd)]
#[case::id_lost(AnswerDamage::IdLost)]
#[case::data_lost(AnswerDamage::DataLost)]
#[case::blank_line_inside(AnswerDamage::BlankLineInside)]
#[case::blank_line_lost(AnswerDamage::BlankLineLost)]
#[case::swapped(AnswerDamage::Swapped)]
#[case::event_lost(AnswerDamage::EventLost)]
#[case::event_twice(AnswerDamage::EventTwice)]
#[case::other_stream(AnswerDamage::OtherStream)]
#[case::unnumbered_data(AnswerDamage::UnnumberedData)]
#[case::range_lost(AnswerDamage::RangeLost)]
#[case::ranges_lost(AnswerDamage::RangesLost)]
#[case::bytes_replaced(AnswerDamage::BytesReplaced)]
fn streams_with_one_damaged_answer_reach_their_caller_whole_or_are_cut(
    #[case] damage: AnswerDamage,
    #[values(true, false)] may_repeat: bool,
) {
    let counts = play(damage, may_repeat);
    assert_eq!(counts.of("wrong"), 0, "{:?}; {:?}", counts.outcomes, counts.sample);
    // Cuts in place of streams prove nothing.
    let min_whole = if may_repeat { PLAYS / 2 } else { 0 };
    assert!(counts.of("whole") >= min_whole, "{:?}", counts.outcomes);
}
