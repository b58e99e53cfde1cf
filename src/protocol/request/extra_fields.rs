//! Parses `Req-Extra`: properties of the prompt as comma-separated fields `name=value`.

use super::error::RequestError;
use super::headers::{parse_id, parse_tokens};
use poppykeel_scheduler::IncomingRequest;

/// Sets the fields of `Req-Extra` in a request. Unknown fields, which newer clients may send, are ignored. A prefix of 0
/// means that there is none.
pub(super) fn apply_extra_fields(
    text: &str,
    request: &mut IncomingRequest,
) -> Result<(), RequestError> {
    for field in text.split(',').map(str::trim) {
        if field.is_empty() {
            continue;
        }
        let Some((name, value)) = field.split_once('=') else {
            return Err(RequestError::bad_request(
                "Req-Extra holds a field without a value",
            ));
        };
        match name {
            "prefix" => {
                let prefix = parse_id("Req-Extra prefix", value)?;
                request.shared_prefix = Some(prefix).filter(|prefix| *prefix != 0);
            }
            "prompt_len" => {
                request.prompt_tokens = parse_tokens("Req-Extra prompt_len", value)?;
            }
            "prefix_len" => {
                request.shared_prefix_tokens = parse_tokens("Req-Extra prefix_len", value)?;
            }
            "max_out" => request.max_output_tokens = parse_tokens("Req-Extra max_out", value)?,
            _ => {}
        }
    }
    Ok(())
}
