//! Requests that terminate the engine that runs them.
//!
//! Owns: which requests do, and when. Relies on: the owner of the engine, which terminates it.

use std::time::Duration;

use curlewcleat_platform::names::WIRE_PROFILE;

use crate::http::PlainRequest;

/// What makes a request terminate its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LethalTrigger {
    /// Its whole body is this.
    Body(Vec<u8>),
    /// Its prompt has a part with this id.
    PromptPart(String),
}

impl LethalTrigger {
    /// Returns whether the trigger applies to a request.
    pub fn applies_to(&self, request: &PlainRequest) -> bool {
        match self {
            LethalTrigger::Body(body) => request.body == *body,
            LethalTrigger::PromptPart(id) => {
                has_part(request.header(WIRE_PROFILE.prompt_parts), id)
            }
        }
    }
}

/// Returns whether a list of parts, each with its size, has a part with this id.
pub fn has_part(parts: &str, id: &str) -> bool {
    parts.split(',').any(|part| part.split(':').next() == Some(id))
}

/// How an engine terminates when it runs a request of a kind.
pub struct LethalRequests {
    /// Which requests terminate the engine.
    pub trigger: LethalTrigger,
    /// Time from the arrival of such a request to the termination.
    pub delay: Duration,
    /// Terminates the engine.
    pub terminate: Box<dyn FnOnce()>,
}
