//! What goes first? Tiers strictly by rank, shares of the urgencies inside a tier and of the accounts inside these ([`queue`]), and
//! a place inside an account that weighs age against length ([`priority`]). [`waiting`] has the data.

pub mod flows;
mod priority;
pub mod queue;
mod rank;
pub mod shares;
pub mod waiting;
