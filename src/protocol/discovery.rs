//! Discovery's lists, read from JSON to what the account of membership is told.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use poppykeel_endpoints::{ListedEndpoint, ListedState, SourceUpdate};
use serde_json::Value;

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListResponse {
    version: u64,
    full: bool,
    entries: Vec<ListedEndpoint>,
}

impl EndpointListResponse {
    /// The version of the list after it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What the source has told by it.
    pub fn into_source_update(self) -> SourceUpdate {
        if self.full {
            SourceUpdate::FullList(self.entries)
        } else {
            SourceUpdate::Changes(self.entries)
        }
    }
}

/// Reads an answer; an error names what is wrong.
pub fn parse_endpoint_list(v: &Value) -> Result<EndpointListResponse, String> {
    let version = v["version"]
        .as_u64()
        .ok_or("version: expected a whole number")?;
    let full = v["full"].as_bool().ok_or("full: expected true or false")?;
    let servers = v["servers"].as_array().ok_or("servers: expected a list")?;
    let entries = servers.iter().map(entry).collect::<Result<_, _>>()?;
    Ok(EndpointListResponse {
        version,
        full,
        entries,
    })
}

fn entry(v: &Value) -> Result<ListedEndpoint, String> {
    let text = |key: &str| {
        v[key]
            .as_str()
            .ok_or(format!("servers: expected text for {key}"))
    };
    let addr = text("addr")?;
    let state = match text("state")? {
        "up" => ListedState::Available,
        "draining" => ListedState::Draining,
        "removed" => ListedState::Removed,
        other => {
            return Err(format!(
                "servers: expected up, draining or removed, not {other}"
            ))
        }
    };
    let name = |key: &str| v[key].as_str().unwrap_or_default().to_string();
    Ok(ListedEndpoint {
        name: text("id")?.to_string(),
        addr: addr
            .parse()
            .map_err(|_| format!("servers: expected an address for addr, not {addr}"))?,
        state,
        zone: name("zone"),
        host_type: name("kind"),
        cell: v["cell"].as_u64().unwrap_or(0) as usize,
        weight: v["weight"].as_f64(),
        priority: None,
        started_ms: v["started_ms"].as_i64().unwrap_or(0),
    })
}
