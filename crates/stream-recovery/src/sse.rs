//! Minimal parser for server-sent events: finds the end of an event and extracts its fields.

/// The length of the first complete event, including its terminating empty line; `None` if no event is complete. If the empty
/// line ends with a carriage return at the end of `bytes`, a line feed that follows it counts as an event without fields.
pub(crate) fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = line_length(&bytes[line_start..]) {
        let is_empty = bytes[line_start..line_start + length.content].is_empty();
        line_start += length.content + length.ending;
        if is_empty {
            return Some(line_start);
        }
    }
    None
}

/// The fields of an event that a transcript needs.
pub(crate) struct EventFields {
    /// The `data:` lines, joined with newlines.
    pub(crate) data: String,
    /// Whether the event's type is `error`.
    pub(crate) has_error_type: bool,
}

/// Parses the fields of an event.
pub(crate) fn parse_event(event: &[u8]) -> EventFields {
    let mut data = Vec::new();
    let mut has_error_type = false;
    let mut unread = event;
    while !unread.is_empty() {
        let length = line_length(unread).unwrap_or(LineLength {
            content: unread.len(),
            ending: 0,
        });
        let line = String::from_utf8_lossy(&unread[..length.content]).into_owned();
        unread = &unread[length.content + length.ending..];
        if let Some(value) = line.strip_prefix("data:") {
            data.push(value.strip_prefix(' ').unwrap_or(value).to_string());
        } else if let Some(event_type) = line.strip_prefix("event:") {
            has_error_type |= event_type.trim() == "error";
        }
    }
    EventFields {
        data: data.join("\n"),
        has_error_type,
    }
}

/// The length of a line and of its ending, in bytes.
struct LineLength {
    content: usize,
    ending: usize,
}

/// The length of the first line; `None` if it is not complete. A line ends with a line feed, a carriage return, or both.
fn line_length(bytes: &[u8]) -> Option<LineLength> {
    let content = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let ending = if bytes[content..].starts_with(b"\r\n") {
        2
    } else {
        1
    };
    Some(LineLength { content, ending })
}
