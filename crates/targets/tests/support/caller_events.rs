//! What a caller makes of the bytes of an event stream, by the rules of event streams.
//!
//! Owns: nothing; pure functions. Relies on: bytes that its relay has passed on.

/// An event that the caller sees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerEvent {
    /// Its last `id` field.
    pub id: Option<String>,
    /// Its `data` fields, one a line.
    pub data: String,
}

/// Returns the events that a caller sees: those with data.
pub fn read_events(bytes: &[u8]) -> Vec<CallerEvent> {
    let text = normal_text(bytes);
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 1]);
    whole.split("\n\n").filter_map(read_event).collect()
}

/// Returns the text of a stream with line feeds as its line ends.
pub fn normal_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).replace("\r\n", "\n").replace('\r', "\n")
}

fn read_event(event: &str) -> Option<CallerEvent> {
    let field = |line: &str, name: &str| {
        let value = line.strip_prefix(name)?.strip_prefix(':')?;
        Some(value.strip_prefix(' ').unwrap_or(value).to_string())
    };
    let data: Vec<String> = event.lines().filter_map(|line| field(line, "data")).collect();
    let id = event.lines().filter_map(|line| field(line, "id")).next_back();
    (!data.is_empty()).then(|| CallerEvent { id, data: data.join("\n") })
}

/// Returns the number that the caller takes its stream up after.
pub fn last_number(events: &[CallerEvent]) -> Option<u64> {
    events.iter().rev().find_map(|event| event.id.as_ref())?.parse().ok()
}
