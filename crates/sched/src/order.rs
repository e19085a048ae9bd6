//! What goes first? Tiers strictly by rank, fair shares between accounts inside a tier ([`queue`]), and
//! a place inside an account that weighs age against length ([`priority`]). [`waiting`] has the data.

mod priority;
pub mod queue;
pub mod waiting;
