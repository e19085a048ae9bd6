//! Objects of any bytes, which another writer has stored.
//!
//! The state of the store holds JSON values. Bytes that need not be JSON are kept beside it; their place in a value is
//! taken by a string, which is replaced when an answer is written.
//!
//! Owns: these bytes. Relies on: the marker, which occurs in no other string.

use std::cell::RefCell;

use serde_json::{json, Value};

use super::FleetStore;
use crate::fleet::entry::with_invalid_utf8;

/// Encloses the number of the bytes in a string: a private-use character.
const MARKER: char = '\u{f8fe}';

/// Bytes that take the place of values.
#[derive(Default)]
pub(super) struct RawValues(RefCell<Vec<Vec<u8>>>);

impl RawValues {
    /// Keeps bytes; returns the value whose place they take.
    fn keep(&self, bytes: &[u8]) -> Value {
        let mut values = self.0.borrow_mut();
        values.push(bytes.to_vec());
        json!(format!("{MARKER}{}{MARKER}", values.len() - 1))
    }

    /// Returns the bytes of an answer.
    pub(super) fn answer(&self, answer: &Value) -> Vec<u8> {
        let text = answer.to_string();
        let values = self.0.borrow();
        let mut bytes = Vec::new();
        for (index, part) in text.split(MARKER).enumerate() {
            let number = part.parse::<usize>().ok().filter(|_| index % 2 == 1);
            match number.and_then(|number| values.get(number)) {
                Some(value) => {
                    // The quotes of the string are removed with it.
                    bytes.pop();
                    bytes.extend_from_slice(value);
                }
                None if index > 0 => {
                    bytes.extend_from_slice(&with_invalid_utf8(part.trim_start_matches('"')));
                }
                None => bytes.extend_from_slice(&with_invalid_utf8(part)),
            }
        }
        bytes
    }
}

impl FleetStore {
    /// Writes an object whose content are these bytes.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        let spec = self.raw_values.keep(spec);
        self.put(kind, name, spec);
    }

    /// Writes these bytes as a whole object, with its metadata, in the place of the object with this name.
    pub fn put_raw_object(&self, kind: &str, name: &str, object: &[u8]) {
        let object = self.raw_values.keep(object);
        self.state.borrow_mut().put_object(kind, name, object);
        self.changed.notify_waiters();
    }
}
