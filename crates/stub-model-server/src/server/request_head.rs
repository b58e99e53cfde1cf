//! Parsing of the head of an HTTP request.

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// The parts of a request head that the server uses.
pub(super) struct RequestHead {
    pub head_bytes: usize,
    /// The value of the `content-length` header; 0 if it is missing or invalid.
    pub body_bytes: usize,
    /// The value of the `req-id` header; empty if there is none.
    pub id: String,
    pub path: String,
}

impl RequestHead {
    /// Parses a head; `None` if it is incomplete or malformed.
    pub(super) fn parse(bytes: &[u8]) -> Option<RequestHead> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(head_bytes)) = request.parse(bytes) else {
            return None;
        };
        let header_value = |name: &str| {
            let header = request
                .headers
                .iter()
                .find(|header| header.name.eq_ignore_ascii_case(name));
            header.map(|header| String::from_utf8_lossy(header.value).into_owned())
        };
        let body_bytes = header_value("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        Some(RequestHead {
            head_bytes,
            body_bytes,
            id: header_value("req-id").unwrap_or_default(),
            path: request.path.unwrap_or_default().to_string(),
        })
    }

    /// Length of the request in bytes, head and body.
    pub(super) fn request_bytes(&self) -> usize {
        self.head_bytes + self.body_bytes
    }
}
