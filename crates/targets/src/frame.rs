//! Determines from the head of an answer how the end of its body is marked.
//!
//! Owns: the rules of HTTP/1.1 for the length of a body, as far as the codec leaves them open. Relies on: actix-http's
//! client codec, which rejects lengths that it cannot read.

use actix_http::h1::MessageType;
use actix_http::header;
use actix_http::{Method, ResponseHead, StatusCode, Version};

use crate::answer::BodyFrame;
use crate::error::{Error, Result};

/// What a head announces of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncedBody {
    /// This many bytes.
    Length(u64),
    /// Chunks up to a last one.
    Chunks,
    /// Bytes up to the end of the connection.
    UntilClose,
}

/// Returns how the end of an answer's body is determined, if the codec is set to read what the head announces. A body
/// that ends with its connection cannot be distinguished from one whose target terminated while sending, so it is
/// accepted only if `allow_close_delimited` is set.
///
/// # Errors
/// Returns [`Error::Protocol`] if the end cannot be determined.
pub(crate) fn body_frame(
    method: &Method,
    head: &ResponseHead,
    decoded: MessageType,
    allow_close_delimited: bool,
) -> Result<BodyFrame> {
    if is_bodiless(method, head.status) {
        return Ok(BodyFrame::Empty);
    }
    match (announced_body(head)?, decoded) {
        (AnnouncedBody::Length(0), MessageType::None) => Ok(BodyFrame::Empty),
        (AnnouncedBody::Length(_), MessageType::Payload) => Ok(BodyFrame::Length),
        (AnnouncedBody::Chunks, MessageType::Payload) => Ok(BodyFrame::Chunks),
        (AnnouncedBody::UntilClose, _) if allow_close_delimited => Ok(BodyFrame::UntilClose),
        (AnnouncedBody::UntilClose, _) => {
            Err(unreadable("the answer ends only with its connection"))
        }
        // The codec reads nothing of an answer that offers an upgrade, whatever length it states.
        _ => Err(unreadable("the body that the head announces cannot be read")),
    }
}

/// Removes the length of an answer in chunks, which such an answer may not have and which need not be that of its body.
pub(crate) fn remove_contradicted_length(head: &mut ResponseHead, frame: BodyFrame) {
    if frame == BodyFrame::Chunks {
        head.headers.remove(header::CONTENT_LENGTH);
    }
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

fn announced_body(head: &ResponseHead) -> Result<AnnouncedBody> {
    if has_chunks(head) {
        // The codec reads chunks of HTTP/1.1 only, and would return their encoding as the body.
        return match head.version {
            Version::HTTP_11 => Ok(AnnouncedBody::Chunks),
            _ => Err(unreadable("an answer of HTTP/1.0 has chunks")),
        };
    }
    let Some(length) = head.headers.get(header::CONTENT_LENGTH) else {
        return Ok(AnnouncedBody::UntilClose);
    };
    let length = length.to_str().ok().and_then(|text| text.trim().parse().ok());
    length.map(AnnouncedBody::Length).ok_or_else(|| unreadable("the length cannot be read"))
}

/// Returns whether the body is sent in chunks. The only other coding that the codec accepts, `identity`, changes nothing.
fn has_chunks(head: &ResponseHead) -> bool {
    let coding = head.headers.get(header::TRANSFER_ENCODING);
    coding.is_some_and(|coding| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

fn unreadable(reason: &str) -> Error {
    Error::Protocol(reason.to_string())
}
