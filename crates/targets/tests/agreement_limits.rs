//! Agreement of targets and evidence of damage: what is forgotten, and what counts for ever.

use curlewcleat_targets::{
    AgreementRule, DamageEvidence, EventSplitter, FormEvidence, FormExpectation, ServingTargets,
};

#[path = "support/random.rs"]
mod random;

use random::Random;

/// Events of a stream.
const EVENTS: u64 = 10;
/// Streams of a play.
const STREAMS: usize = 200_000;
/// Streams of the usual form before others.
const USUAL_STREAMS: usize = 10_000;
/// Attempts of a stream.
const ATTEMPTS: usize = 3;
const TARGETS: [&str; ATTEMPTS] = ["a", "b", "c"];
/// Answers of which one is damaged.
const DAMAGED_ONE_IN: usize = 500;
/// Sound streams of which one is of another form.
const RARE_ONE_IN: usize = 3_000;
/// The same where they are not so rare.
const OFTEN_ONE_IN: usize = 100;
/// Streams of a rare form after which it is no longer judged, as promised.
const MAX_CUT: usize = 3;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// Returns the events of a stream from this one on, without the one that its target leaves out.
fn sound(from: u64, lost: Option<u64>) -> String {
    (from..=EVENTS).filter(|number| Some(*number) != lost).map(event).collect()
}

/// What callers got.
#[derive(Debug, Default)]
struct PlayCounts {
    rare: usize,
    /// Sound streams of the rare form that are cut.
    cut: usize,
    /// Streams that end as whole with other events than sound ones.
    wrong: usize,
}

/// Guards against a third target that is waited for although it no longer serves the source, so that two that state the same
/// are never believed and ends of sound streams are put to nobody.
#[test]
fn target_that_has_served_nothing_for_long_does_not_count_as_third() {
    let mut targets = ServingTargets::default();
    TARGETS.iter().for_each(|target| targets.record(target));
    for _ in 0..STREAMS {
        targets.record("a");
        targets.record("b");
    }
    assert!(!targets.is_choice());
    let rule = targets.agreement_rule(DamageEvidence::default(), true);
    assert_eq!(rule, AgreementRule::Targets(2));
}

/// What a daemon knows of one source whose targets damage some answers, and whose requests decide on the form of a stream.
struct SourcePlay {
    evidence: FormEvidence,
    damage: DamageEvidence,
    targets: ServingTargets,
    random: Random,
}

impl SourcePlay {
    fn new(seed: u64) -> SourcePlay {
        let (evidence, damage) = (FormEvidence::default(), DamageEvidence::default());
        SourcePlay {
            evidence,
            damage,
            targets: ServingTargets::default(),
            random: Random::new(seed),
        }
    }

    fn run(mut self, rare_one_in: usize) -> PlayCounts {
        let mut counts = PlayCounts::default();
        for stream in 0..STREAMS {
            let is_rare = stream >= USUAL_STREAMS && self.random.one_in(rare_one_in);
            let lost = is_rare.then_some(EVENTS / 2);
            counts.rare += usize::from(is_rare);
            match self.stream(lost) {
                None => counts.cut += usize::from(is_rare),
                Some(events) => counts.wrong += usize::from(events != sound(1, lost)),
            }
        }
        counts
    }

    /// Plays one stream whose sound answers leave out a number, if any; returns what its caller has if it is whole.
    fn stream(&mut self, sound_lost: Option<u64>) -> Option<String> {
        let mut splitter = EventSplitter::default();
        let mut caller = String::new();
        for (index, target) in TARGETS.iter().enumerate() {
            let rule = self.targets.agreement_rule(self.damage, index + 1 < ATTEMPTS);
            splitter.discard_incomplete();
            splitter.expect(self.evidence.form(true), target);
            splitter.judge_by(FormExpectation { agreement: rule, ..FormExpectation::default() });
            let after = splitter.last().unwrap_or_default();
            let lost = match self.random.one_in(DAMAGED_ONE_IN) {
                true => Some(after + self.random.pick(&[1, 2])),
                false => sound_lost,
            };
            for event in sound(after + 1, lost).split_inclusive("\n\n") {
                caller += &String::from_utf8_lossy(&splitter.push(event.as_bytes()));
            }
            if splitter.take_shown_damage() {
                self.damage.record_damage();
            }
            if !splitter.is_misplaced() && splitter.may_end() {
                self.damage.record_whole();
                self.targets.record(target);
                self.evidence.record_whole(splitter.shape());
                return Some(caller);
            }
        }
        if splitter.is_unresolved() {
            self.evidence.record_cut(self.damage.is_recent());
        }
        None
    }
}

/// Guards against sound streams of a rare form that are cut without end beside a few damaged answers.
#[test]
fn sound_streams_of_a_rare_form_are_cut_without_end_beside_damage() {
    let counts = SourcePlay::new(1).run(RARE_ONE_IN);
    assert!(counts.cut <= MAX_CUT, "{counts:?}");
}

/// Guards against damaged answers that pass as sound since some sound streams of the source are of another form.
#[test]
fn damaged_answers_pass_beside_sound_streams_of_another_form() {
    let counts = SourcePlay::new(1).run(OFTEN_ONE_IN);
    assert_eq!(counts.wrong, 0, "{counts:?}");
}
