//! Reads heads of answers without parsing them anew with every read.
//!
//! The codec of actix-http parses a head from its first byte. A head that arrives byte by byte would be parsed as often
//! as it has bytes. Here an incomplete head is parsed again only once it is twice as long, so that bytes which are no
//! head are still noticed early.
//!
//! Owns: the search for the end of a head, the limit of its size. Relies on: actix-http's client codec.

use actix_codec::{Decoder, Encoder};
use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{body::BodySize, RequestHeadType, ResponseHead};
use bytes::BytesMut;

use crate::error::{AnswerExcess, ExcessForm, ExcessLimit};
use crate::intake::{buffer_size, IntakeHold};

/// Maximum size in bytes of a head, with the empty lines before it. The codec of actix-http has the same limit.
const HEAD_SIZE_LIMIT: usize = 128 << 10;

/// Codec of a connection until the head of its answer has arrived.
pub(crate) struct HeadCodec {
    codec: ClientCodec,
    search: HeadSearch,
    /// Length in bytes from which an incomplete head is parsed.
    parsed_from: usize,
    hold: IntakeHold,
    excess: Option<AnswerExcess>,
}

/// Search for the end of a head, which continues where the bytes ended.
#[derive(Debug, Default)]
struct HeadSearch {
    searched: usize,
    line_has_content: bool,
    has_content: bool,
}

impl HeadSearch {
    /// Returns whether the bytes contain a complete head.
    fn finds_end(&mut self, bytes: &[u8]) -> bool {
        while let Some(byte) = bytes.get(self.searched) {
            self.searched += 1;
            match byte {
                b'\r' => {}
                b'\n' => {
                    let is_blank = !std::mem::take(&mut self.line_has_content);
                    if is_blank && self.has_content {
                        return true;
                    }
                }
                _ => (self.line_has_content, self.has_content) = (true, true),
            }
        }
        false
    }
}

impl HeadCodec {
    pub(crate) fn new(codec: ClientCodec, hold: IntakeHold) -> HeadCodec {
        HeadCodec { codec, search: HeadSearch::default(), parsed_from: 1, hold, excess: None }
    }

    /// Returns the codec of actix-http.
    pub(crate) fn codec(&self) -> &ClientCodec {
        &self.codec
    }

    /// Returns the codec of actix-http; the head is no longer counted here.
    pub(crate) fn into_codec(self) -> ClientCodec {
        self.codec
    }

    /// Returns the guard that counts the head; `hold` counts the next one.
    pub(crate) fn replace_hold(&mut self, hold: IntakeHold) -> IntakeHold {
        std::mem::replace(&mut self.hold, hold)
    }

    /// Returns why the head was ended, if that was its size.
    pub(crate) fn excess(&self) -> Option<AnswerExcess> {
        self.excess
    }

    /// Counts the bytes of an incomplete head.
    fn hold_incomplete(&mut self, bytes: usize) -> Result<(), ParseError> {
        if bytes >= HEAD_SIZE_LIMIT {
            let (form, limit) = (ExcessForm::Head, ExcessLimit::Size);
            return Err(self.end(AnswerExcess { form, bytes: bytes as u64, limit }));
        }
        self.hold_complete(bytes)
    }

    /// Counts the bytes of a head: its values share the buffer that it was read into.
    fn hold_complete(&mut self, bytes: usize) -> Result<(), ParseError> {
        let held = self.hold.resize(buffer_size(bytes), ExcessForm::Head);
        held.map_err(|excess| self.end(excess))
    }

    fn end(&mut self, excess: AnswerExcess) -> ParseError {
        self.excess = Some(excess);
        ParseError::TooLarge
    }
}

impl Decoder for HeadCodec {
    type Item = ResponseHead;
    type Error = ParseError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<ResponseHead>, ParseError> {
        let length = bytes.len();
        let is_complete = self.search.finds_end(bytes);
        if !is_complete {
            self.hold_incomplete(length)?;
        }
        if !is_complete && length < self.parsed_from {
            return Ok(None);
        }
        let head = self.codec.decode(bytes)?;
        match head {
            Some(_) => {
                (self.search, self.parsed_from) = (HeadSearch::default(), 1);
                self.hold_complete(length - bytes.len())?;
            }
            None => self.parsed_from = length.max(1) * 2,
        }
        Ok(head)
    }
}

impl Encoder<Message<(RequestHeadType, BodySize)>> for HeadCodec {
    type Error = std::io::Error;

    fn encode(
        &mut self,
        message: Message<(RequestHeadType, BodySize)>,
        bytes: &mut BytesMut,
    ) -> Result<(), std::io::Error> {
        self.codec.encode(message, bytes)
    }
}
