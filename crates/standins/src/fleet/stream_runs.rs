//! Lines by which the stand-in of an engine states which streams it has begun.
//!
//! Owns: the form of these lines. Relies on: nothing.

/// Beginning of the line that an engine writes when it has read the request of a stream.
const RUN_LINE: &str = "run ";

/// Returns the line that an engine writes when it has read a request of a stream.
pub fn run_line(stream: &str) -> String {
    format!("{RUN_LINE}{stream} begun")
}

/// Returns the stream of such a line.
pub fn run_of_line(line: &str) -> Option<&str> {
    line.strip_prefix(RUN_LINE)?.strip_suffix(" begun")
}
