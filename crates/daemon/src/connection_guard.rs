//! Lets a caller tell an answer that was cut from one that ends with its connection.
//!
//! An answer without a length and without chunks is complete once its connection is shut down. A connection that is
//! dropped, and each connection of a process that is killed, is shut down as well, so its caller would take whatever
//! has arrived for the complete answer. Such a connection is reset instead.
//!
//! Owns: the request to do so, from the answer to the connection. Relies on: connections that are shut down explicitly
//! after a complete answer.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Makes a connection end with a reset unless it is shut down explicitly.
#[derive(Clone, Default)]
pub struct ConnectionGuard {
    state: Rc<Cell<GuardState>>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum GuardState {
    #[default]
    Idle,
    /// The end of the connection ends an answer; the socket option is not set yet.
    Requested,
    /// The socket option is set.
    Active,
}

impl ConnectionGuard {
    /// Requests a reset unless the connection is shut down explicitly. Called before the answer is written.
    pub fn activate(&self) {
        if self.state.get() == GuardState::Idle {
            self.state.set(GuardState::Requested);
        }
    }

    /// Applies a request to the connection before bytes are written to it.
    pub(crate) fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        if self.state.get() == GuardState::Requested {
            SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
            self.state.set(GuardState::Active);
        }
        Ok(())
    }

    /// Releases the connection before it is shut down: the kernel still delivers what it has accepted.
    pub(crate) fn before_shutdown(&self, stream: &TcpStream) -> io::Result<()> {
        if self.state.get() == GuardState::Active {
            SockRef::from(stream).set_linger(None)?;
        }
        self.state.set(GuardState::Idle);
        Ok(())
    }
}
