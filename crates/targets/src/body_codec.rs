//! Reads bodies of answers and bounds what their encoding may add.
//!
//! A chunk may have an extension of any length, its size any number of leading zeros, and the body any trailers. None of
//! them is a part of the body, so a target could send them without end.
//!
//! Owns: the bytes of one body's encoding. Relies on: actix-http's client codec.

use std::io;

use actix_codec::Decoder;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use bytes::{Bytes, BytesMut};

use crate::error::{AnswerExcess, ExcessForm, ExcessLimit};

/// Bytes of encoding that a body may have besides those that its own bytes allow.
const FRAMING_ALLOWANCE: u64 = 16 << 10;
/// Bytes of encoding for each byte of the body: a chunk of a single byte needs six.
const FRAMING_RATIO: u64 = 8;

/// Codec of a connection while a body with a length or in chunks is read.
pub(crate) struct BodyCodec {
    codec: ClientPayloadCodec,
    /// Bytes of the body so far.
    body: u64,
    /// Bytes of its encoding so far.
    framing: u64,
    excess: Option<AnswerExcess>,
}

impl BodyCodec {
    pub(crate) fn new(codec: ClientCodec) -> BodyCodec {
        BodyCodec { codec: codec.into_payload_codec(), body: 0, framing: 0, excess: None }
    }

    /// Returns the codec for the next head.
    pub(crate) fn into_codec(self) -> ClientCodec {
        self.codec.into_message_codec()
    }

    /// Returns why the body was ended, if that was its encoding.
    pub(crate) fn excess(&self) -> Option<AnswerExcess> {
        self.excess
    }

    fn record(&mut self, consumed: u64, part: u64) -> Result<(), AnswerExcess> {
        self.body += part;
        self.framing += consumed.saturating_sub(part);
        let allowed = self.body.saturating_mul(FRAMING_RATIO).saturating_add(FRAMING_ALLOWANCE);
        match self.framing > allowed {
            true => Err(AnswerExcess {
                form: ExcessForm::Framing,
                bytes: self.framing,
                limit: ExcessLimit::Size,
            }),
            false => Ok(()),
        }
    }
}

impl Decoder for BodyCodec {
    type Item = Option<Bytes>;
    type Error = PayloadError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Option<Bytes>>, PayloadError> {
        let before = bytes.len();
        let decoded = self.codec.decode(bytes)?;
        let part = decoded.as_ref().and_then(Option::as_ref).map_or(0, Bytes::len);
        self.record((before - bytes.len()) as u64, part as u64).map_err(|excess| {
            self.excess = Some(excess);
            PayloadError::Io(io::Error::new(io::ErrorKind::InvalidData, excess))
        })?;
        Ok(decoded)
    }
}
