//! Keeps what a daemon holds for slow readers below a part of its VM's memory.
//!
//! Callers and targets may read slowly, and what waits for them is the daemon's memory. Each connection has bounds of its
//! own, but thousands of connections at their bounds need more than a small VM has. The bytes of all of them are counted
//! in one [`ByteLedger`], which decides what gives way when they approach the budget.
//!
//! Inputs: the memory limit in the settings, bytes by owner, the progress of callers that have unread bytes.
//!
//! The rule, by the share of the budget that is held:
//! 1. from [`PAUSE_PERCENT`] on, bodies of new requests of the lowest tier are not read;
//! 2. where a large body would lead beyond [`REFUSE_PERCENT`], its request is refused before the body is read;
//! 3. from [`END_PERCENT`] on, the callers that have read least for the longest time lose their connections.
//!
//! Reading from targets never stops because of the budget: a target cuts off an answer that is left unread. Answers of
//! which too much cannot be delivered end instead ([`answer_intake`]).
//!
//! Load pattern: thousands of callers that read a part in seconds beside normal ones, bodies of the size limit from many
//! callers at once, a link that narrows so that no caller reads at its usual speed.
//!
//! Owns: the bytes counted, the readers that wait. Relies on: holders that release what they hold when they are dropped.
//!
//! [`PAUSE_PERCENT`]: levels::PAUSE_PERCENT
//! [`REFUSE_PERCENT`]: levels::REFUSE_PERCENT
//! [`END_PERCENT`]: levels::END_PERCENT

pub mod answer_intake;
mod caller_reader;
mod hold;
pub mod ledger;
pub mod levels;
mod readers;
mod release_rate;
mod shared;

pub use self::caller_reader::CallerReader;
pub use self::hold::ByteHold;
pub use self::ledger::{BodyDecision, BodyOffer, ByteLedger};
pub use self::levels::{ByteOwner, PressureLevel};
pub use self::readers::{ReaderId, REQUEST_COST};
pub use self::shared::{BudgetStatus, SharedBudget};
