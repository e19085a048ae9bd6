//! What goes first? Tiers strictly by rank, fair shares between accounts inside a tier ([`queue`]), and
//! a place inside an account that weighs age against length ([`priority`]).

mod priority;
pub mod queue;
