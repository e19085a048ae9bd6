//! Reads the name of the daemon that sends frames over a connection, from the first bytes of the connection.

/// Bytes of the handshake, of the length and of the format version before the sender of the first frame.
const PREAMBLE: usize = 8 + 8 + 1;
/// Longest name in bytes whose length takes one byte.
const NAME_LIMIT: usize = 127;

/// The first bytes of a connection, until they name the sender.
#[derive(Default)]
pub(super) struct SenderProbe {
    head: Vec<u8>,
}

impl SenderProbe {
    /// Adds bytes of the connection.
    pub fn extend(&mut self, bytes: &[u8]) {
        let missing = (PREAMBLE + 1 + NAME_LIMIT).saturating_sub(self.head.len());
        self.head.extend_from_slice(&bytes[..missing.min(bytes.len())]);
    }

    /// Returns the name of the daemon whose frames the connection carries, `None` as long as it is not known.
    pub fn sender(&self) -> Option<&str> {
        let length = usize::from(*self.head.get(PREAMBLE)?);
        let name = self.head.get(PREAMBLE + 1..PREAMBLE + 1 + length)?;
        std::str::from_utf8(name).ok()
    }
}
