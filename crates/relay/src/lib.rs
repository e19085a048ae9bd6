//! Connections to targets that go through a peer.
//!
//! A daemon that has lost its links to the targets asks a peer for a connection to one of them. The peer connects and
//! then carries the bytes in both directions. The daemon that holds the caller's connection remains the only one that
//! writes the request, so a request is still sent at most once, and nothing is written before the target has accepted
//! the connection.
//!
//! A relayed connection carries one exchange. Its bytes are framed, so that the end of the target's connection can be
//! distinguished from the loss of the peer: an answer may end with its connection.
//!
//! Owns: the protocol between the two daemons. Relies on: the caller of [`accept_relay`] for the decision whether a
//! connection is made.

mod client;
mod error;
mod message;
mod server;

pub use client::{connect_through_peer, RelayedConnection};
pub use error::{Error, Result};
pub use message::{RelayRefusal, RelayReply, RelayRequest};
pub use server::{accept_relay, IncomingRelay, RelayEnd};
