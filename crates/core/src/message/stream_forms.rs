//! Messages about what the streams of a fleet look like.
//!
//! Each daemon counts its own streams and sends the counts since its start, so that a message may be lost or repeated. The
//! receiver adds up those of all daemons and answers with the forms that they show.
//!
//! Owns: the format of the messages. Relies on: nothing.

use serde::{Deserialize, Serialize};

use crate::{EventForm, PoolId, StreamSource, StreamTally};

/// What a daemon has seen of the streams of a source since it started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SourceTally {
    /// The source.
    pub source: StreamSource,
    /// Number of forms of the source that were withdrawn since the daemon started; the streams are counted since then.
    pub epoch: u32,
    /// The streams.
    pub tally: StreamTally,
}

/// Reports streams, and requests the forms that the receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamFormsReport {
    /// Number of the receiver's changes that the sender has already, 0 for none.
    pub known: u64,
    /// What has changed at the sender.
    pub tallies: Vec<SourceTally>,
}

/// The form that the daemons' streams of a source show together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceForm {
    /// The source.
    pub source: StreamSource,
    /// The form.
    pub form: EventForm,
    /// Whether enough events show it to cut streams by it that may not be repeated.
    pub suffices_for_cuts: bool,
}

/// Answers a [`StreamFormsReport`] whose sender lacks a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamFormsPush {
    /// Number of the sender's changes that the receiver has with this answer.
    pub at: u64,
    /// All known forms.
    pub forms: Vec<SourceForm>,
    /// Sources whose streams have shown that a form that was known does not hold. Of all others the sender knows nothing.
    pub withdrawn: Vec<StreamSource>,
    /// Pools whose targets damage events.
    pub damaged: Vec<PoolId>,
}
