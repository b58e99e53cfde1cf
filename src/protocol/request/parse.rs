//! Parses the header fields of a request to the scheduler's `IncomingRequest`.

use super::error::RequestError;
use super::extra_fields::apply_extra_fields;
use super::headers::{id, parse_number, text};
use crate::protocol::http::Headers;
use poppykeel_scheduler::{IncomingRequest, RequestId};
use poppykeel_site_settings::SiteNames;

/// The longest accepted request body, in bytes: 256 KiB. A longer one is rejected with status 413.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// A longer time until a request's deadline is reduced to this, in seconds: a day. A larger value could overflow the clock.
const MAX_TIME_LEFT: f64 = 86_400.0;
/// The assumed bytes per token if the client does not send the length of the prompt.
const BYTES_PER_TOKEN: usize = 4;
const MICROS_PER_SECOND: f64 = 1e6;

const ID_HEADER: &str = "Req-Id";
const CLASS_HEADER: &str = "Req-Kind";
const TENANT_HEADER: &str = "Req-Owner";
const SESSION_HEADER: &str = "Req-Key";
const DEADLINE_HEADER: &str = "Req-Deadline";
const RETRY_HEADER: &str = "Req-Retry";
const COST_HEADER: &str = "Req-Cost";
const EXTRA_HEADER: &str = "Req-Extra";

/// Header fields that must not be repeated.
const SINGLE_HEADERS: [&str; 7] = [
    ID_HEADER,
    CLASS_HEADER,
    TENANT_HEADER,
    SESSION_HEADER,
    DEADLINE_HEADER,
    RETRY_HEADER,
    EXTRA_HEADER,
];

/// Builds the scheduler's description of a request from its header fields and the length of its body in bytes.
///
/// # Errors
/// Names the header field that is missing or invalid.
pub fn parse_request(
    headers: &Headers,
    names: &SiteNames,
    body_bytes: usize,
) -> Result<IncomingRequest, RequestError> {
    check_single_headers(headers)?;
    let id_value =
        id(headers, ID_HEADER)?.ok_or_else(|| RequestError::bad_request("Req-Id is missing"))?;
    let class = parse_class(headers, names)?;
    let tenant = parse_tenant(headers, names)?;
    let time_left = parse_time_left(headers)?;
    let is_client_retry = parse_client_retry(headers)?;
    let expected_work = parse_expected_work(headers)?;
    let mut request = IncomingRequest {
        id: RequestId(id_value),
        class,
        tenant,
        session: id(headers, SESSION_HEADER)?,
        shared_prefix: None,
        time_left,
        expected_work,
        prompt_tokens: (body_bytes / BYTES_PER_TOKEN) as u64,
        shared_prefix_tokens: 0,
        max_output_tokens: 0,
        is_client_retry,
    };
    let extra_fields = text(headers, EXTRA_HEADER)?.unwrap_or_default();
    apply_extra_fields(extra_fields, &mut request)?;
    Ok(request)
}

fn check_single_headers(headers: &Headers) -> Result<(), RequestError> {
    for name in SINGLE_HEADERS {
        if headers.values(name).count() > 1 {
            return Err(RequestError::bad_request(format!(
                "{name} came more than once"
            )));
        }
    }
    Ok(())
}

/// The index of the request's class: the newest class with its name that is not retired.
fn parse_class(headers: &Headers, names: &SiteNames) -> Result<usize, RequestError> {
    let Some(name) = text(headers, CLASS_HEADER)? else {
        return Err(RequestError::bad_request("Req-Kind is missing"));
    };
    (0..names.classes.len())
        .rev()
        .find(|index| names.classes[*index] == name && !names.retired_classes.contains(index))
        .ok_or_else(|| RequestError::bad_request("Req-Kind names nothing known here"))
}

/// The index of the request's tenant; 0 if the site has no tenants or the request names none.
fn parse_tenant(headers: &Headers, names: &SiteNames) -> Result<usize, RequestError> {
    match text(headers, TENANT_HEADER)? {
        Some(name) if !names.tenants.is_empty() => names
            .tenants
            .iter()
            .position(|tenant| tenant == name)
            .ok_or_else(|| RequestError::bad_request("Req-Owner names nothing known here")),
        _ => Ok(0),
    }
}

/// The time in seconds until the request's deadline.
fn parse_time_left(headers: &Headers) -> Result<f64, RequestError> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else {
        return Err(RequestError::bad_request("Req-Deadline is missing"));
    };
    let time_left: f64 = parse_number(DEADLINE_HEADER, value)?;
    if !time_left.is_finite() || time_left < 0.0 {
        return Err(RequestError::bad_request(
            "Req-Deadline is not a time in seconds",
        ));
    }
    Ok(time_left.min(MAX_TIME_LEFT))
}

fn parse_client_retry(headers: &Headers) -> Result<bool, RequestError> {
    match text(headers, RETRY_HEADER)? {
        None | Some("0" | "again") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(RequestError::bad_request(
            "Req-Retry is neither 1 nor again",
        )),
    }
}

/// The client's estimate of the work, in seconds. An invalid estimate is ignored, because it must not make the request
/// fail.
fn parse_expected_work(headers: &Headers) -> Result<Option<f64>, RequestError> {
    let Some(value) = text(headers, COST_HEADER)? else {
        return Ok(None);
    };
    let work_us: Option<f64> = value.parse().ok();
    let work = work_us.map(|work_us| work_us / MICROS_PER_SECOND);
    Ok(work.filter(|work| work.is_finite() && *work > 0.0))
}
