//! Converts messages for one instance to events of its scheduler.

use super::{ProtocolError, Values};
use poppykeel_scheduler::{AttemptOutcome, Event, IncomingRequest, Seconds};
use poppykeel_site_settings::SiteSettings;

/// Bit of `flags` that marks a request as a client's retry.
const CLIENT_RETRY_FLAG: u64 = 2;

/// The effect of a message on an instance.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum InstanceMessage {
    /// Pass this event to the scheduler.
    Event(Event),
    /// Pass the endpoints of a catalog, a numbered endpoint list earlier in the input, to the scheduler.
    EndpointList {
        /// Number of the catalog.
        catalog: u64,
        /// The list is complete: endpoints that it lacks are removed.
        is_full: bool,
    },
    /// Remove the instance, which the simulator has killed.
    PowerOff,
    /// The message is valid but the scheduler does not use it.
    Ignored,
}

/// Parses the seed and the settings of a new instance.
pub(crate) fn parse_spawn(mut values: Values<'_>) -> Result<(u64, SiteSettings), ProtocolError> {
    let seed = match values.next() {
        None => return Err(values.expected("a value for nonce64")),
        Some(text) => {
            parse_seed(text).ok_or_else(|| values.expected("a whole number for nonce64"))?
        }
    };
    let text = values.take_remaining();
    let text = text.ok_or_else(|| values.expected("a JSON object in bootInfo"))?;
    let settings = SiteSettings::parse(text);
    let settings = settings.map_err(|error| values.expected(error.to_string()))?;
    Ok((seed, settings))
}

/// Parses a 64-bit seed. Negative numbers stand for their two's complement.
fn parse_seed(text: &str) -> Option<u64> {
    let unsigned = text.parse::<u64>().ok();
    unsigned.or_else(|| text.parse::<i64>().ok().map(|seed| seed as u64))
}

/// Parses a message for an instance with these settings.
pub(crate) fn parse_instance_message(
    mut values: Values<'_>,
    settings: &SiteSettings,
) -> Result<InstanceMessage, ProtocolError> {
    let event = match values.message() {
        "incoming" => parse_request_arrival(&mut values, settings)?,
        "closed_attempt" => parse_attempt_end(&mut values, settings)?,
        "opened" => parse_first_token(&mut values)?,
        "client_gone" => Event::ClientDisconnected(values.request()?),
        "pong" => parse_probe_end(&mut values, settings)?,
        "reminder" => {
            values.required::<u64>("ref")?;
            Event::TimerFired
        }
        "roster_change" => return parse_endpoint_list(&mut values),
        "memo" => {
            values.required::<u64>("sender")?;
            return Ok(InstanceMessage::Ignored);
        }
        "power_off" => return Ok(InstanceMessage::PowerOff),
        _ => return Err(values.expected("a known message")),
    };
    Ok(InstanceMessage::Event(event))
}

fn parse_request_arrival(
    values: &mut Values<'_>,
    settings: &SiteSettings,
) -> Result<Event, ProtocolError> {
    let scheduler = &settings.scheduler;
    let id = values.request()?;
    let class = values.index("class", scheduler.classes.len(), None)?;
    let tenant = values.index("tenant", scheduler.tenants.len().max(1), Some(0))?;
    let session = values.hex("nameKey")?;
    let time_left: Seconds = values.seconds("ttl")?;
    let expected_work = values.optional("expected")?;
    let shared_prefix = values.hex("template")?.filter(|prefix| *prefix != 0);
    let prompt_tokens = values.optional("nPrompt")?.unwrap_or(0);
    let shared_prefix_tokens = values.optional("nPrefix")?.unwrap_or(0);
    let max_output_tokens = values.optional("maxTokens")?.unwrap_or(0);
    let flags = values.optional::<u64>("flags")?.unwrap_or(0);
    Ok(Event::RequestArrived(IncomingRequest {
        id,
        class,
        tenant,
        session,
        shared_prefix,
        time_left,
        expected_work,
        prompt_tokens,
        shared_prefix_tokens,
        max_output_tokens,
        is_client_retry: flags & CLIENT_RETRY_FLAG != 0,
    }))
}

fn parse_attempt_end(
    values: &mut Values<'_>,
    settings: &SiteSettings,
) -> Result<Event, ProtocolError> {
    let request = values.request()?;
    values.seconds("timeTaken")?;
    let outcome = values.outcome()?;
    let is_request_finished = values.flag("closed")?;
    values.replica()?;
    let attempt = values.required("leg")?;
    let cached_tokens = values.optional::<f64>("detail")?;
    let mut report = values.load_report(settings)?;
    if outcome == AttemptOutcome::Completed {
        // The simulator omits the value if no prompt tokens were found in the cache.
        let report = report.get_or_insert_default();
        report.cached_prompt_tokens = Some(cached_tokens.unwrap_or(0.0));
    }
    Ok(Event::AttemptEnded {
        request,
        attempt,
        outcome,
        is_request_finished,
        report,
    })
}

fn parse_first_token(values: &mut Values<'_>) -> Result<Event, ProtocolError> {
    let request = values.request()?;
    let attempt = values.required("leg")?;
    values.replica()?;
    let elapsed = values.seconds("timeTaken")?;
    Ok(Event::FirstToken {
        request,
        attempt,
        elapsed,
    })
}

fn parse_probe_end(
    values: &mut Values<'_>,
    settings: &SiteSettings,
) -> Result<Event, ProtocolError> {
    let replica = values.replica()?;
    values.seconds("timeTaken")?;
    let outcome = values.outcome()?;
    let report = values.load_report(settings)?;
    Ok(Event::ProbeEnded {
        replica,
        outcome,
        report,
    })
}

fn parse_endpoint_list(values: &mut Values<'_>) -> Result<InstanceMessage, ProtocolError> {
    let kind = values.next();
    values.required::<u64>("version")?;
    let is_full = match kind {
        Some("failed") => return Ok(InstanceMessage::Event(Event::EndpointListFailed)),
        Some("delta") => false,
        Some("full" | "cached") => true,
        _ => return Err(values.expected("delta, full, cached or failed for how")),
    };
    let catalog = values.required("ref")?;
    Ok(InstanceMessage::EndpointList { catalog, is_full })
}
