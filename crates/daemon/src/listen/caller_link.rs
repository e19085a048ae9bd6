//! The link of the VM, as the connections of callers share it.
//!
//! Owns: what the connections of a listener add to the link. Relies on: [`LinkBacklog`] for the decision.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Request};
use curlewcleat_clock::Moment;

use super::link_backlog::LinkBacklog;

/// Bytes of a head as callers usually send it.
const HEAD_SIZE: u64 = 512;

/// The link of the VM, as the connections of callers share it.
#[derive(Clone)]
pub struct CallerLink {
    backlog: Rc<RefCell<LinkBacklog>>,
    limit: Rc<dyn Fn() -> Option<Duration>>,
}

impl CallerLink {
    /// Creates a link with nothing to carry. `limit` returns the longest time that it may need for what callers send, or
    /// `None` where nothing is closed because of it.
    pub fn new(bytes_per_second: u64, limit: Rc<dyn Fn() -> Option<Duration>>) -> CallerLink {
        let backlog = LinkBacklog::new(bytes_per_second, Moment::now());
        CallerLink { backlog: Rc::new(RefCell::new(backlog)), limit }
    }

    /// Counts a new connection. Returns `None` if it is to be closed unread.
    pub fn admit(&self, now: Moment) -> Option<LinkShare> {
        let expected = match (self.limit)() {
            Some(limit) => self.backlog.borrow_mut().admit(now, limit)?,
            None => 0.0,
        };
        Some(LinkShare { link: self.clone(), expected: Rc::new(Cell::new(expected)) })
    }
}

/// What a connection adds to the backlog of its link.
#[derive(Clone)]
pub struct LinkShare {
    link: CallerLink,
    /// Bytes counted for the next request before its head is read.
    expected: Rc<Cell<f64>>,
}

impl LinkShare {
    /// Counts a request whose head was read. One that does not state its size stays counted as expected.
    pub fn record_request(&self, request: &Request) {
        let expected = self.expected.take();
        if let (Some(size), Some(limit)) = (stated_size(request), (self.link.limit)()) {
            let mut backlog = self.link.backlog.borrow_mut();
            backlog.record_request(Moment::now(), size + HEAD_SIZE, expected, limit);
        }
    }
}

/// Returns the size of the body in bytes, or `None` if it is known only at its end.
fn stated_size(request: &Request) -> Option<u64> {
    let headers = request.headers();
    match headers.get(CONTENT_LENGTH) {
        Some(length) => length.to_str().ok()?.parse().ok(),
        None if headers.contains_key(TRANSFER_ENCODING) => None,
        None => Some(0),
    }
}
