//! Minimal parser for server-sent events: finds the end of an event and extracts its data.

/// The length of the first complete event, including its terminating empty line; `None` if no event is complete.
pub(crate) fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        line_start = position + 1;
        if line.strip_suffix(b"\r").unwrap_or(line).is_empty() {
            return Some(line_start);
        }
    }
    None
}

/// The data of an event: its `data:` lines, joined with newlines.
pub(crate) fn event_data(event: &[u8]) -> String {
    let text = String::from_utf8_lossy(event);
    let data_lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = data_lines
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    data.join("\n")
}
