//! Plays streams of which one answer is damaged, and judges what their callers get.
//!
//! Owns: the answers of one stream. Relies on: the splitter, used as the daemon does.

use curlewcleat_targets::{EventForm, EventSplitter, FormEvidence, StreamShape};

use crate::caller_events::{last_number, read_events, CallerEvent};
use crate::damaged_answers::AnswerDamage;
use crate::random::Random;
use crate::sound_beginning::SoundBeginning;

/// Attempts of one request.
const ATTEMPTS: usize = 8;
/// Times that a caller takes up its stream.
const TAKE_UPS: usize = 3;
/// Sound streams before the damaged ones.
const SOUND_STREAMS: usize = 100;
/// Most events of a stream.
const MAX_EVENTS: usize = 42;

/// How a play ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlayOutcome {
    /// The caller has the whole stream.
    Whole,
    /// The stream was visibly cut, and the caller has its beginning.
    Cut,
    /// Pieces are wrong or missing, and nothing in the answers up to there differs from those of sound targets.
    NotVisible(String),
    /// The caller has something else.
    Wrong(String),
}

impl PlayOutcome {
    /// Returns a name for counts.
    pub fn code(&self) -> &'static str {
        match self {
            PlayOutcome::Whole => "whole",
            PlayOutcome::Cut => "cut",
            PlayOutcome::NotVisible(_) => "not visible",
            PlayOutcome::Wrong(_) => "wrong",
        }
    }
}

/// A stream of which one answer is damaged.
#[derive(Debug)]
pub struct DamagedPlay {
    damage: AnswerDamage,
    events: usize,
    damaged_answer: usize,
    cut_answers: usize,
    caller_takes_up: bool,
    may_repeat: bool,
    answers: usize,
    /// The beginning of the damaged answer that differs in nothing from that of a sound target.
    unsuspicious: Vec<CallerEvent>,
    /// Whether all of the damaged answer is.
    is_unsuspicious: bool,
    caller: Vec<u8>,
    is_complete: bool,
    /// Whether the damaged answer ended the stream.
    ended_by_damaged: bool,
    shape: StreamShape,
}

impl DamagedPlay {
    /// Generates a play.
    pub fn generate(damage: AnswerDamage, may_repeat: bool, random: &mut Random) -> DamagedPlay {
        let cut_answers = random.below(3);
        DamagedPlay {
            damage,
            events: 1 + random.below(MAX_EVENTS),
            damaged_answer: random.below(cut_answers + 1),
            cut_answers,
            caller_takes_up: random.one_in(2),
            may_repeat,
            answers: 0,
            unsuspicious: Vec::new(),
            is_unsuspicious: false,
            caller: Vec::new(),
            is_complete: false,
            ended_by_damaged: false,
            shape: StreamShape::default(),
        }
    }

    /// Runs the play where the events of its source have this form, if one is known.
    pub fn run(&mut self, form: Option<EventForm>, random: &mut Random) -> PlayOutcome {
        for _ in 0..=TAKE_UPS {
            self.relay(form, random);
            if self.is_complete || !self.may_repeat {
                break;
            }
        }
        self.judge()
    }

    /// Returns what the events looked like that the last request of the caller got.
    pub fn shape(&self) -> &StreamShape {
        &self.shape
    }

    /// Relays one answer to the caller, from as many targets as needed.
    fn relay(&mut self, form: Option<EventForm>, random: &mut Random) {
        let position = last_number(&read_events(&self.caller));
        let mut splitter = EventSplitter::after(position);
        for attempt in 0..ATTEMPTS {
            splitter.expect(form, &attempt.to_string());
            let is_cut = self.answers < self.cut_answers;
            let bytes = self.answer(splitter.last(), is_cut, random);
            let mut rest = &bytes[..];
            while !rest.is_empty() && !splitter.is_misplaced() {
                let (part, others) = rest.split_at(rest.len().min(1 + random.below(90)));
                self.caller.extend_from_slice(&splitter.push(part));
                rest = others;
            }
            self.shape = *splitter.shape();
            self.is_complete = !is_cut
                && !splitter.is_misplaced()
                && splitter.is_between_events()
                && splitter.may_end();
            if self.is_complete {
                self.ended_by_damaged = self.answers == self.damaged_answer + 1;
                self.caller.extend_from_slice(&splitter.take_remaining());
                return;
            }
            splitter.discard_incomplete();
            let caller_leaves = is_cut && self.caller_takes_up;
            if caller_leaves || !self.may_repeat || !splitter.is_resumable() {
                return;
            }
        }
    }

    /// Returns the bytes of the next answer, which goes on after an event.
    fn answer(&mut self, after: Option<u64>, is_cut: bool, random: &mut Random) -> Vec<u8> {
        // A target may begin before the position.
        let position = after.unwrap_or(0) as usize;
        let begin = if random.one_in(5) { 0 } else { position };
        let indexes: Vec<usize> = (begin..self.events).collect();
        let is_damaged = self.answers == self.damaged_answer;
        self.answers += 1;
        let damage = if is_damaged { self.damage } else { AnswerDamage::None };
        let mut bytes = damage.write(&indexes, random);
        if is_damaged {
            let beginning = SoundBeginning::of(&bytes, position as u64);
            self.unsuspicious = beginning.events;
            self.is_unsuspicious = beginning.is_all;
        }
        if is_cut {
            bytes.truncate(random.below(bytes.len() + 1));
        }
        bytes
    }

    fn judge(&self) -> PlayOutcome {
        let events = read_events(&self.caller);
        let is_right = |(place, event): (usize, &CallerEvent)| event.data == piece(place);
        let is_excused = |(place, event): (usize, &CallerEvent)| {
            let number = (place + 1).to_string();
            event.id.as_ref() == Some(&number) && self.unsuspicious.contains(event)
        };
        let is_in_order = events.iter().enumerate().all(is_right);
        let is_all_excused =
            events.iter().enumerate().all(|item| is_right(item) || is_excused(item));
        let is_short = self.is_complete && events.len() != self.events;
        let what = || format!("complete {}, {events:?}", self.is_complete);
        match (is_in_order, is_short) {
            (true, false) if self.is_complete => PlayOutcome::Whole,
            (true, false) => PlayOutcome::Cut,
            _ if is_all_excused && (!is_short || self.is_unsuspicious && self.ended_by_damaged) => {
                PlayOutcome::NotVisible(what())
            }
            _ => PlayOutcome::Wrong(what()),
        }
    }
}

fn piece(place: usize) -> String {
    format!("event {place}")
}

/// Returns what sound streams have shown.
pub fn sound_evidence(random: &mut Random) -> FormEvidence {
    let mut evidence = FormEvidence::default();
    for _ in 0..SOUND_STREAMS {
        let mut play = DamagedPlay::generate(AnswerDamage::None, true, random);
        play.cut_answers = 0;
        assert_eq!(play.run(evidence.form(true), random), PlayOutcome::Whole);
        evidence.record_whole(play.shape());
    }
    evidence
}
