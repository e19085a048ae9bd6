//! HTTP/1.1 exchanges with targets, over the client codec of actix-http.
//!
//! awc is not used towards targets, for two reasons that this repository's tests show: awc 3.11
//! reports a connection that closes under a written request as a failure to connect, and ends a cut
//! body as if it were whole. Both would make a verdict untrue. This crate knows of every exchange
//! whether a byte was written, and of every answer whether its own end mark arrived.

mod answer;
mod connection;
mod error;
mod events;
mod pool;
mod stall;

pub use answer::{collect, AnswerBody, BodyCut, CollectError, TargetAnswer};
pub use connection::ExchangeOptions;
pub use error::{Error, Result};
pub use events::EventSplitter;
pub use pool::{ConnectionOptions, ConnectionPool, PooledConnection};
