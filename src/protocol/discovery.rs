//! Parses the endpoint lists of the discovery service, which are JSON.
//!
//! `transport::endpoints::discovery` parses each answer of the service with this module, and `program::config` the initial
//! list in the node configuration.

use poppykeel_endpoints::{ListedEndpoint, ListedState, SourceUpdate};
use serde_json::Value;

/// Why an answer is not an endpoint list. The message names the key, the expected value and the endpoint's index.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// The version is missing or not an integer.
    #[error("version: expected an integer")]
    Version,
    /// `full` is missing or not a boolean.
    #[error("full: expected true or false")]
    Full,
    /// The endpoints are missing or not a list.
    #[error("servers: expected an array")]
    Endpoints,
    /// A key of an endpoint is missing or its value is not a string.
    #[error("servers[{index}].{key}: expected a string")]
    MissingText {
        /// The endpoint's index in the list.
        index: usize,
        /// Spelled as in the endpoint's object.
        key: &'static str,
    },
    /// The state of an endpoint is unknown.
    #[error("servers[{index}].state: expected up, draining or removed, not {state}")]
    UnknownState {
        /// The endpoint's index in the list.
        index: usize,
        /// The state in the answer.
        state: String,
    },
    /// The address of an endpoint is not an IP address with a port.
    #[error("servers[{index}].addr: expected ADDRESS:PORT, not {addr}")]
    InvalidAddress {
        /// The endpoint's index in the list.
        index: usize,
        /// The address in the answer.
        addr: String,
    },
}

/// One answer of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListResponse {
    version: u64,
    is_full_list: bool,
    endpoints: Vec<ListedEndpoint>,
}

impl EndpointListResponse {
    /// The version of the list after this answer; the next poll requests changes since this version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the answer has changes up to a version older than `known_version`, which must not be applied to the known
    /// list.
    pub fn is_older_change(&self, known_version: u64) -> bool {
        !self.is_full_list && self.version < known_version
    }

    /// Converts the answer to an update for the endpoint registry.
    pub fn into_source_update(self) -> SourceUpdate {
        if self.is_full_list {
            SourceUpdate::FullList(self.endpoints)
        } else {
            SourceUpdate::Changes(self.endpoints)
        }
    }
}

/// Parses an answer of the discovery service.
///
/// # Errors
/// Names the first key that is missing or has an invalid value.
pub fn parse_endpoint_list(answer: &Value) -> Result<EndpointListResponse, EndpointListError> {
    let version = answer["version"]
        .as_u64()
        .ok_or(EndpointListError::Version)?;
    let is_full_list = answer["full"].as_bool().ok_or(EndpointListError::Full)?;
    let endpoints = answer["servers"]
        .as_array()
        .ok_or(EndpointListError::Endpoints)?
        .iter()
        .enumerate()
        .map(|(index, endpoint)| parse_endpoint(index, endpoint))
        .collect::<Result<_, _>>()?;
    Ok(EndpointListResponse {
        version,
        is_full_list,
        endpoints,
    })
}

fn parse_endpoint(index: usize, endpoint: &Value) -> Result<ListedEndpoint, EndpointListError> {
    let required_text = |key| required_text(index, endpoint, key);
    let addr = required_text("addr")?;
    let state = parse_state(index, required_text("state")?)?;
    let name = required_text("id")?.to_string();
    let addr = addr
        .parse()
        .map_err(|_| EndpointListError::InvalidAddress {
            index,
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

fn parse_state(index: usize, state: &str) -> Result<ListedState, EndpointListError> {
    match state {
        "up" => Ok(ListedState::Available),
        "draining" => Ok(ListedState::Draining),
        "removed" => Ok(ListedState::Removed),
        unknown => Err(EndpointListError::UnknownState {
            index,
            state: unknown.to_string(),
        }),
    }
}

fn required_text<'a>(
    index: usize,
    endpoint: &'a Value,
    key: &'static str,
) -> Result<&'a str, EndpointListError> {
    endpoint[key]
        .as_str()
        .ok_or(EndpointListError::MissingText { index, key })
}

fn optional_text(endpoint: &Value, key: &str) -> String {
    endpoint[key].as_str().unwrap_or_default().to_string()
}
