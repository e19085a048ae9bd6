//! Reads what a target states of its load from the headers of an answer, with the header name of a fleet's platform.
//!
//! Inputs: the head of an answer. The rule: only the intended target states its load; a value that is not text is
//! malformed, and the range of the figures is that of [`LoadReading`].
//!
//! Owns: these rules. Relies on: [`WireProfile`] for the header name.

use actix_http::ResponseHead;
use curlewcleat_core::LoadReading;
use curlewcleat_store::WireProfile;

/// Text that no figure can be read from, for a value that is not text.
const NOT_TEXT: &str = "?";

/// Reads the stated load of the intended target; nothing if another target has answered.
pub fn read_load(profile: &WireProfile, head: &ResponseHead) -> LoadReading {
    if head.status.as_u16() == profile.misdirected_status {
        return LoadReading::default();
    }
    let values = head.headers.get_all(profile.load);
    LoadReading::of(values.map(|value| value.to_str().unwrap_or(NOT_TEXT)))
}
