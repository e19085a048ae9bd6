//! HTTP/1.1 exchanges with targets, based on the client codec of actix-http.
//!
//! The awc client is not used for targets, for two reasons that tests in this repository show: awc 3.11 reports a
//! connection that closes after a request was written as a failure to connect, and ends a truncated body as if it were
//! complete. Either would lead to a wrong verdict on the request. This crate determines for each exchange whether a
//! byte may have been written, and for each answer whether it arrived completely.

mod agreement;
mod answer;
mod body_codec;
mod collect;
mod connection;
mod end_evidence;
mod error;
mod event_fields;
mod event_form;
mod event_numbers;
mod event_scan;
mod event_steps;
mod events;
mod form_check;
mod form_evidence;
mod frame;
mod head_codec;
mod intake;
mod links;
mod pool;
mod recent_form;
mod stall;
mod stream;
mod stream_irregularity;
mod unread;
mod usual_form;

pub use agreement::{AgreementRule, DamageEvidence, ServingTargets};
pub use answer::{AnswerBody, BodyFrame, TargetAnswer, TruncatedBody};
pub use collect::{collect, CollectError};
pub use connection::ExchangeOptions;
pub use curlewcleat_core::EventForm;
pub use error::{AnswerExcess, Error, ExcessForm, ExcessLimit, Result};
pub use event_form::{DeviationKind, EventDeviation, StreamShape};
pub use event_numbers::StreamJoin;
pub use events::EventSplitter;
pub use form_check::{FormBasis, FormExpectation};
pub use form_evidence::FormEvidence;
pub use intake::{buffer_size, AnswerIntake, IntakeHold, UNCOUNTED_BYTES};
pub use links::{connect_directly, ConnectFuture, TargetLinks};
pub use pool::{ConnectionOptions, ConnectionOrigin, ConnectionPool, PooledConnection};
pub use stream::{ByteStream, TargetStream};
pub use stream_irregularity::{IrregularityKind, StreamIrregularity};
pub use unread::UNREAD_LIMIT;
pub use usual_form::UsualFormChecks;
