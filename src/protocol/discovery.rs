//! Discovery's endpoint lists, read from JSON.
//!
//! `transport::endpoints::discovery` reads each answer of the service with this, and `program::config` the list that a
//! node knows at its start.

use poppykeel_endpoints::{ListedEndpoint, ListedState, SourceUpdate};
use serde_json::Value;

/// Why an answer is not an endpoint list. The text names the key and what it should hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The version is missing or not a whole number.
    #[error("version: expected a whole number")]
    Version,
    /// The kind of list is missing or not a boolean.
    #[error("full: expected true or false")]
    Full,
    /// The endpoints are missing or not a list.
    #[error("servers: expected a list")]
    Endpoints,
    /// A text of an endpoint is missing or not a text.
    #[error("servers: expected text for {key}")]
    MissingText {
        /// The key.
        key: &'static str,
    },
    /// The state of an endpoint is unknown.
    #[error("servers: expected up, draining or removed, not {state}")]
    UnknownState {
        /// The state in the answer.
        state: String,
    },
    /// The address of an endpoint has no address and port.
    #[error("servers: expected an address for addr, not {addr}")]
    InvalidAddress {
        /// The address in the answer.
        addr: String,
    },
}

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListResponse {
    version: u64,
    is_full_list: bool,
    endpoints: Vec<ListedEndpoint>,
}

impl EndpointListResponse {
    /// The version of the list with this answer applied; the next request asks for what is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether these are changes of a list that is older than the one of this version: they do not belong on it.
    pub fn is_older_change(&self, known_version: u64) -> bool {
        !self.is_full_list && self.version < known_version
    }

    /// The answer as the registry of endpoints takes it.
    pub fn into_source_update(self) -> SourceUpdate {
        if self.is_full_list {
            SourceUpdate::FullList(self.endpoints)
        } else {
            SourceUpdate::Changes(self.endpoints)
        }
    }
}

/// Reads an answer of discovery.
///
/// # Errors
/// The first key that is missing or holds something else than it should.
pub fn parse_endpoint_list(answer: &Value) -> Result<EndpointListResponse, EndpointListError> {
    let version = answer["version"]
        .as_u64()
        .ok_or(EndpointListError::Version)?;
    let is_full_list = answer["full"].as_bool().ok_or(EndpointListError::Full)?;
    let endpoints = answer["servers"]
        .as_array()
        .ok_or(EndpointListError::Endpoints)?
        .iter()
        .map(parse_endpoint)
        .collect::<Result<_, _>>()?;
    Ok(EndpointListResponse {
        version,
        is_full_list,
        endpoints,
    })
}

fn parse_endpoint(endpoint: &Value) -> Result<ListedEndpoint, EndpointListError> {
    let addr = required_text(endpoint, "addr")?;
    let state = parse_state(required_text(endpoint, "state")?)?;
    let name = required_text(endpoint, "id")?.to_string();
    let addr = addr
        .parse()
        .map_err(|_| EndpointListError::InvalidAddress {
            addr: addr.to_string(),
        })?;
    Ok(ListedEndpoint {
        name,
        addr,
        state,
        zone: optional_text(endpoint, "zone"),
        host_type: optional_text(endpoint, "kind"),
        cell: endpoint["cell"].as_u64().unwrap_or(0) as usize,
        weight: endpoint["weight"].as_f64(),
        priority: None,
        started_ms: endpoint["started_ms"].as_i64().unwrap_or(0),
    })
}

fn parse_state(state: &str) -> Result<ListedState, EndpointListError> {
    match state {
        "up" => Ok(ListedState::Available),
        "draining" => Ok(ListedState::Draining),
        "removed" => Ok(ListedState::Removed),
        unknown => Err(EndpointListError::UnknownState {
            state: unknown.to_string(),
        }),
    }
}

fn required_text<'a>(endpoint: &'a Value, key: &'static str) -> Result<&'a str, EndpointListError> {
    endpoint[key]
        .as_str()
        .ok_or(EndpointListError::MissingText { key })
}

fn optional_text(endpoint: &Value, key: &str) -> String {
    endpoint[key].as_str().unwrap_or_default().to_string()
}
