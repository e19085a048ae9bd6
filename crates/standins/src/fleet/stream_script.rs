//! Faults of the answers of engines that live, which the path of a stream states.
//!
//! Owns: which answer has which fault. Relies on: the marks in the path.

/// Mark of streams of which each answer is closed after [`SHORT_EVENTS`] events.
pub const SHORT_MARK: &str = "/short";
/// Mark of streams whose first answer is closed early, and whose continuations are reset within their first event.
pub const HALF_MARK: &str = "/half";
/// Mark of streams whose first answer is closed early, and whose continuations are reset behind an event without a number.
pub const UNNUMBERED_MARK: &str = "/unnumbered";
/// Mark of streams whose first answer is whole, and whose continuations are server errors without their body.
pub const STUCK_MARK: &str = "/stuck";
/// Mark of streams whose first answer is closed early, and whose continuations begin late.
pub const LATE_MARK: &str = "/late";
/// Mark of streams whose first answer is whole, and whose continuations are silent behind their head.
pub const MUTE_MARK: &str = "/mute";
/// The engine that closes records early whose path has [`SHORT_MARK`], and is slow with those that have [`LATE_MARK`].
pub const SHORT_ENGINE: &str = "e-0";
/// Events of an answer that is closed early.
pub const SHORT_EVENTS: usize = 10;

/// What an engine does with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScriptedFault {
    /// It is closed between two events.
    Short,
    /// It is reset within its first event.
    Half,
    /// It has data without a number and is reset.
    Unnumbered,
    /// It is a server error without its body.
    Stuck,
    /// It begins late.
    Late,
    /// It is silent behind its head.
    Mute,
}

impl ScriptedFault {
    /// Returns the fault of an answer that continues a stream or begins one; `None` for a sound one.
    pub(super) fn of(path: &str, is_continued: bool) -> Option<ScriptedFault> {
        let marks = [
            (SHORT_MARK, Some(ScriptedFault::Short), Some(ScriptedFault::Short)),
            (HALF_MARK, Some(ScriptedFault::Short), Some(ScriptedFault::Half)),
            (UNNUMBERED_MARK, Some(ScriptedFault::Short), Some(ScriptedFault::Unnumbered)),
            (STUCK_MARK, None, Some(ScriptedFault::Stuck)),
            (LATE_MARK, Some(ScriptedFault::Short), Some(ScriptedFault::Late)),
            (MUTE_MARK, None, Some(ScriptedFault::Mute)),
        ];
        let (_, begun, continued) = marks.into_iter().find(|(mark, ..)| path.contains(mark))?;
        if is_continued {
            continued
        } else {
            begun
        }
    }

    /// Returns the only bytes of an answer that is reset behind them, whose first part is `part`.
    pub(super) fn only_part(self, part: &[u8]) -> Option<&[u8]> {
        match self {
            ScriptedFault::Half => Some(&part[..part.len() / 2]),
            ScriptedFault::Unnumbered => Some(b"data: more\n\n"),
            _ => None,
        }
    }
}
