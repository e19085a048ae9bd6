//! Table of the forms in which a faulty engine sends bytes without end.
//!
//! Owns: the forms. Relies on: nothing.

use curlewcleat_platform::names::WIRE_PROFILE;

use super::answer_begin::AnswerBegin;

/// Shortest block in bytes that is sent at once.
const BLOCK_SIZE: usize = 8 << 10;
/// Length of an event that stays just below the size limit of one.
const NEARLY_FULL_SIZE: usize = (1 << 20) - (4 << 10);
/// Length of the part of a head that precedes its end.
const LONG_HEAD_SIZE: usize = 100_000;

/// Part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The head.
    Head,
    /// The content.
    Body,
    /// The marks between the parts of the content, and what follows the last of them.
    Framing,
    /// The events of a stream.
    Events,
    /// What follows a whole answer.
    AfterEnd,
}

/// Pace of the bytes, at most that of the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPace {
    /// As fast as they are read.
    Fast,
    /// A kilobyte each 5 ms.
    Slow,
    /// As fast as they are read, each by itself.
    SingleBytes,
    /// One byte each 100 ms after the begin.
    Trickle,
}

/// A form of faulty answer.
#[derive(Clone, Debug)]
pub struct EndlessForm {
    /// Name of the form with its pace.
    pub name: String,
    /// Part that has no end.
    pub part: EndlessPart,
    /// Pace of the bytes.
    pub pace: SendPace,
    begin: fn(&AnswerBegin<'_>) -> Vec<u8>,
    block: fn(u64) -> Vec<u8>,
}

impl EndlessForm {
    /// Returns all forms.
    pub fn all() -> Vec<EndlessForm> {
        KINDS.iter().flat_map(FormKind::forms).collect()
    }

    /// Returns whether only streams can be answered like this.
    pub fn is_for_streams(&self) -> bool {
        self.part == EndlessPart::Events
    }

    /// Returns whether the answer is whole before the bytes that have no end.
    pub fn may_be_whole(&self) -> bool {
        self.part == EndlessPart::AfterEnd
    }

    /// Returns the first bytes of an answer.
    pub fn begin(&self, begin: &AnswerBegin<'_>) -> Vec<u8> {
        (self.begin)(begin)
    }

    /// Returns the block of this number, from 0, of those that have no end.
    pub fn block(&self, number: u64) -> Vec<u8> {
        (self.block)(number)
    }
}

/// A kind of faulty answer, which is sent at several paces.
struct FormKind {
    name: &'static str,
    part: EndlessPart,
    begin: fn(&AnswerBegin<'_>) -> Vec<u8>,
    block: fn(u64) -> Vec<u8>,
}

impl FormKind {
    const fn new(
        name: &'static str,
        part: EndlessPart,
        begin: fn(&AnswerBegin<'_>) -> Vec<u8>,
        block: fn(u64) -> Vec<u8>,
    ) -> FormKind {
        FormKind { name, part, begin, block }
    }

    fn forms(&self) -> Vec<EndlessForm> {
        let paces: &[(SendPace, &str)] = match self.name {
            "body-nearly-full" => &[(SendPace::Trickle, "trickle")],
            _ => &[
                (SendPace::Fast, "fast"),
                (SendPace::Slow, "slow"),
                (SendPace::SingleBytes, "bytes"),
            ],
        };
        let form = |(pace, suffix): &(SendPace, &str)| EndlessForm {
            name: format!("{}-{suffix}", self.name),
            part: self.part,
            pace: *pace,
            begin: self.begin,
            block: self.block,
        };
        paces.iter().map(form).collect()
    }
}

use EndlessPart::{AfterEnd, Body, Events, Framing, Head};

const KINDS: &[FormKind] = &[
    FormKind::new("head-line", Head, |_| text("HTTP/1.1 200 OK\r\nx-fill: "), |_| filled("a")),
    FormKind::new("head-lines", Head, |_| text("HTTP/1.1 200 OK\r\n"), |_| filled("x: fill\r\n")),
    FormKind::new("head-name", Head, |_| text("HTTP/1.1 200 OK\r\n"), |_| filled("a")),
    FormKind::new("head-reason", Head, |_| text("HTTP/1.1 200 "), |_| filled("O")),
    FormKind::new("head-blank", Head, |_| Vec::new(), |_| filled("\r\n")),
    FormKind::new("head-noise", Head, |_| Vec::new(), noise),
    FormKind::new(
        "head-informational",
        Head,
        |_| Vec::new(),
        |_| filled("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    ),
    FormKind::new("head-continue", Head, |_| Vec::new(), |_| filled("HTTP/1.1 100 \r\n\r\n")),
    FormKind::new("head-of-others", Head, |_| Vec::new(), |_| answers_to_others()),
    FormKind::new("head-late-end", Head, late_head, |_| chunk(&filled("a"))),
    FormKind::new("body-chunks", Body, |begin| begin.chunked(), |_| chunk(&filled("a"))),
    FormKind::new("body-one-chunk", Body, one_chunk, |_| filled("a")),
    FormKind::new("body-huge-length", Body, |begin| begin.length(1 << 40), |_| filled("a")),
    FormKind::new("body-unframed", Body, |begin| begin.unframed(), |_| filled("a")),
    FormKind::new("body-noise", Body, |begin| begin.chunked(), |number| chunk(&noise(number))),
    FormKind::new("body-unframed-noise", Body, |begin| begin.unframed(), noise),
    FormKind::new("body-lines", Body, |begin| begin.chunked(), |_| chunk(&filled("data: a\n"))),
    FormKind::new("body-nearly-full", Body, nearly_full, |_| filled("a")),
    FormKind::new("framing-extension", Framing, |begin| after(begin, "1;x="), |_| filled("a")),
    FormKind::new("framing-spaces", Framing, |begin| after(begin, "1"), |_| filled(" ")),
    FormKind::new("framing-extensions", Framing, |begin| begin.chunked(), |_| extended_chunk()),
    FormKind::new("framing-trailers", Framing, whole_content, |_| filled("x: fill\r\n")),
    FormKind::new("framing-trailer-line", Framing, trailer_line, |_| filled("a")),
    FormKind::new("framing-zeros", Framing, |begin| begin.chunked(), |_| filled("0")),
    FormKind::new(
        "framing-small-chunks",
        Framing,
        |begin| begin.chunked(),
        |_| filled("1\r\na\r\n"),
    ),
    FormKind::new("events-one", Events, one_event, |_| chunk(&filled("a"))),
    FormKind::new("events-lines", Events, first_event, |_| chunk(&filled(": comment\n"))),
    FormKind::new("events-comments", Events, first_event, |_| chunk(&filled(": comment\n\n"))),
    FormKind::new("events-repeated", Events, first_event, |_| chunk(&filled("id: 1\ndata: a\n\n"))),
    FormKind::new("events-falling", Events, |begin| begin.chunked(), falling_events),
    FormKind::new("events-rising", Events, |begin| begin.chunked(), rising_events),
    FormKind::new("events-unnumbered", Events, first_event, |_| chunk(&filled("data: a\n\n"))),
    FormKind::new("events-blank", Events, first_event, |_| chunk(&filled("\n"))),
    FormKind::new("events-id", Events, number_line, |_| chunk(&filled("1"))),
    FormKind::new("after-end-line", AfterEnd, |begin| begin.whole(), |_| filled("a")),
    FormKind::new("after-end-blank", AfterEnd, |begin| begin.whole(), |_| filled("\r\n")),
    FormKind::new("after-end-noise", AfterEnd, |begin| begin.whole(), noise),
    FormKind::new("after-end-answers", AfterEnd, |begin| begin.whole(), |_| answers_to_others()),
];

fn text(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

fn filled(pattern: &str) -> Vec<u8> {
    pattern.repeat(BLOCK_SIZE.div_ceil(pattern.len())).into_bytes()
}

fn chunk(content: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", content.len()).into_bytes();
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Returns bytes that follow no format and are the same for each number (xorshift).
fn noise(number: u64) -> Vec<u8> {
    let mut state = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let word = |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    };
    (0..BLOCK_SIZE / 8).flat_map(word).collect()
}

fn answers_to_others() -> Vec<u8> {
    let attempt_id = WIRE_PROFILE.attempt_id;
    let answer = format!("{attempt_id}: of-no-request\r\ncontent-length: 1\r\n\r\na");
    filled(&format!("HTTP/1.1 200 OK\r\n{answer}"))
}

fn late_head(begin: &AnswerBegin<'_>) -> Vec<u8> {
    let fill = "x-fill: a\r\n";
    begin.chunked_after(&fill.repeat(LONG_HEAD_SIZE / fill.len()))
}

fn after(begin: &AnswerBegin<'_>, mark: &str) -> Vec<u8> {
    [begin.chunked(), text(mark)].concat()
}

fn one_chunk(begin: &AnswerBegin<'_>) -> Vec<u8> {
    after(begin, "4000000000\r\n")
}

fn nearly_full(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [begin.unframed(), vec![b'a'; NEARLY_FULL_SIZE]].concat()
}

fn extended_chunk() -> Vec<u8> {
    format!("1;x={}\r\na\r\n", "a".repeat(1 << 10)).into_bytes()
}

fn whole_content(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [begin.chunked(), chunk(&begin.content()), text("0\r\n")].concat()
}

fn trailer_line(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [whole_content(begin), text("x-fill: ")].concat()
}

fn one_event(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [begin.chunked(), chunk(b"id: 1\ndata: ")].concat()
}

fn first_event(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [begin.chunked(), chunk(b"id: 1\ndata: a\n\n")].concat()
}

fn number_line(begin: &AnswerBegin<'_>) -> Vec<u8> {
    [begin.chunked(), chunk(b"id: 1")].concat()
}

fn numbered_events(numbers: impl Iterator<Item = u64>) -> Vec<u8> {
    let events: String = numbers.map(|number| format!("id: {number}\ndata: a\n\n")).collect();
    chunk(events.as_bytes())
}

fn rising_events(number: u64) -> Vec<u8> {
    numbered_events(number * 400 + 1..=(number + 1) * 400)
}

fn falling_events(number: u64) -> Vec<u8> {
    numbered_events((number * 400..(number + 1) * 400).map(|fallen| (1 << 40) - fallen))
}
