//! How much of a damaged answer differs in nothing from that of a sound target.
//!
//! Owns: nothing. Relies on: events that count by one from one, with one line of data each.

use std::slice;

use crate::caller_events::{last_number, normal_text, read_events, CallerEvent};

/// The beginning of an answer that a sound target could have sent.
#[derive(Debug, Default)]
pub struct SoundBeginning {
    /// Its events, as the caller sees them.
    pub events: Vec<CallerEvent>,
    /// Whether it is all of the answer.
    pub is_all: bool,
}

impl SoundBeginning {
    /// Finds the beginning of an answer that goes on after the event with this number.
    pub fn of(bytes: &[u8], after: u64) -> SoundBeginning {
        let text = normal_text(bytes);
        let mut rest = text.trim_start_matches('\n');
        // It may begin with any event up to the next one.
        let first = read_events(bytes).first().map(|event| last_number(slice::from_ref(event)));
        let next = after + 1;
        let Some(first) = first.unwrap_or(Some(next)).filter(|first| (1..=next).contains(first))
        else {
            return SoundBeginning::default();
        };
        let mut number = first;
        let mut events = Vec::new();
        while let Some(end) = sound_event_end(rest, number) {
            let (event, others) = rest.split_at(end);
            let found = read_events(event.as_bytes());
            number += found.len() as u64;
            events.extend(found);
            rest = others.trim_start_matches('\n');
        }
        // A stream has an event at least.
        SoundBeginning { events, is_all: rest.is_empty() && number > 1 }
    }
}

/// Returns the length of the event with this number, or of a comment, if it stands at the beginning and is as a sound
/// target may write it.
fn sound_event_end(text: &str, number: u64) -> Option<usize> {
    let end = text.find("\n\n")? + 2;
    let event = &text[..end];
    let comment = event.strip_prefix(':');
    let numbered = || event.strip_prefix("id:")?.trim_start().strip_prefix(&number.to_string());
    let data = comment.or_else(|| numbered()?.strip_prefix("\ndata:"))?;
    // Any content of one line may be what the target made.
    (!data.trim_end_matches('\n').contains('\n')).then_some(end)
}
