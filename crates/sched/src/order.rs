//! Decides the order in which waiting requests are served: tiers strictly by rank, inside a tier by the shares of its
//! urgencies, inside an urgency by the shares of the accounts ([`queue`]), and inside an account by a position that
//! weighs age against length ([`priority`]). [`waiting`] has the data types.

pub mod flows;
mod priority;
pub mod queue;
pub mod rank;
pub mod shares;
pub mod waiting;
