//! The node configuration, as JSON.

use super::error::NodeConfigError;
use super::transport_limits::{
    derive_transport_limits, MachineLimits, DEFAULT_FILE_DESCRIPTORS, DEFAULT_MEMORY_MB,
    MIN_FILE_DESCRIPTORS, MIN_MEMORY_MB,
};
use crate::protocol::discovery::{self, EndpointListResponse};
use crate::transport::TransportLimits;
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// The key of the initial endpoint list.
const KNOWN_KEY: &str = "known";

/// Values from the command line and the environment, which take precedence over those in the file. With `None` the value
/// of the file applies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides<'a> {
    /// The node's name.
    pub name: Option<&'a str>,
    /// The address to listen on for clients.
    pub listen: Option<&'a str>,
    /// The address of the discovery service.
    pub discovery: Option<&'a str>,
    /// The address to listen on for admin requests.
    pub admin: Option<&'a str>,
}

/// The configuration of a node.
pub struct NodeConfig {
    /// The node's name, which must stay the same across restarts.
    pub name: String,
    /// The address to listen on for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address to listen on for admin requests; `None` disables them.
    pub admin: Option<SocketAddr>,
    /// The seed of the scheduler's random number generator; 0 if the file has none.
    pub seed: u64,
    /// The endpoint list to start with; `None` if the file has none.
    pub known_endpoints: Option<EndpointListResponse>,
    /// The settings that all nodes of the site share.
    pub settings: SiteSettings,
    /// The limits of the transport, derived from the machine limits and the site settings.
    pub transport_limits: TransportLimits,
    /// The parsed file, kept for [`NodeConfig::check_replaces`].
    document: Value,
}

impl NodeConfig {
    /// Parses and validates the configuration. The overrides take precedence over its values.
    ///
    /// # Errors
    /// If the text is not JSON, or a value is missing or invalid; the error names the key and the expected value.
    pub fn read(text: &str, overrides: Overrides) -> Result<NodeConfig, NodeConfigError> {
        let document: Value = serde_json::from_str(text).map_err(NodeConfigError::Json)?;
        if !document["settings"].is_object() {
            return Err(NodeConfigError::MissingSettings);
        }
        let settings = SiteSettings::parse(&document["settings"].to_string())
            .map_err(NodeConfigError::Settings)?;
        let known_endpoints = read_known_endpoints(&document)?;
        let transport_limits = derive_transport_limits(read_machine_limits(&document)?, &settings)?;
        let values = StringValues {
            document: &document,
        };
        Ok(NodeConfig {
            name: values.string("name", overrides.name)?,
            listen: values.address("listen", overrides.listen)?,
            discovery: values.address("discovery", overrides.discovery)?,
            admin: values.optional_address("admin", overrides.admin)?,
            seed: read_seed(&document["seed"])?,
            known_endpoints,
            settings,
            transport_limits,
            document,
        })
    }

    /// Checks that this configuration may replace an older one while the node runs.
    ///
    /// # Errors
    /// If a key of the older configuration is missing: the file was probably truncated.
    pub fn check_replaces(&self, old: &NodeConfig) -> Result<(), NodeConfigError> {
        match find_missing_key("config", &old.document, &self.document) {
            Some(path) => Err(NodeConfigError::MissingKey { path }),
            None => Ok(()),
        }
    }
}

/// Reads string values of the document, which overrides replace.
struct StringValues<'a> {
    document: &'a Value,
}

impl StringValues<'_> {
    fn string(
        &self,
        key: &'static str,
        value_override: Option<&str>,
    ) -> Result<String, NodeConfigError> {
        value_override
            .or(self.document[key].as_str())
            .map(String::from)
            .ok_or(NodeConfigError::NotText { key })
    }

    fn address(
        &self,
        key: &'static str,
        value_override: Option<&str>,
    ) -> Result<SocketAddr, NodeConfigError> {
        let value = self.string(key, value_override)?;
        value
            .parse()
            .map_err(|_| NodeConfigError::NotAddress { key, value })
    }

    /// Returns `None` if the address is set neither in the file nor by an override.
    fn optional_address(
        &self,
        key: &'static str,
        value_override: Option<&str>,
    ) -> Result<Option<SocketAddr>, NodeConfigError> {
        if value_override.is_none() && self.document[key].is_null() {
            return Ok(None);
        }
        self.address(key, value_override).map(Some)
    }
}

fn read_known_endpoints(document: &Value) -> Result<Option<EndpointListResponse>, NodeConfigError> {
    match &document[KNOWN_KEY] {
        Value::Null => Ok(None),
        known => discovery::parse_endpoint_list(known)
            .map(Some)
            .map_err(NodeConfigError::KnownList),
    }
}

fn read_machine_limits(document: &Value) -> Result<MachineLimits, NodeConfigError> {
    let limits = &document["limits"];
    let memory_mb = read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?;
    let file_descriptors = read_limit(
        limits,
        "sockets",
        DEFAULT_FILE_DESCRIPTORS,
        MIN_FILE_DESCRIPTORS,
    )?;
    Ok(MachineLimits {
        memory_bytes: memory_mb << 20,
        file_descriptors,
    })
}

fn read_limit(
    limits: &Value,
    key: &'static str,
    default: u64,
    min: u64,
) -> Result<u64, NodeConfigError> {
    match &limits[key] {
        Value::Null => Ok(default),
        value => value
            .as_u64()
            .filter(|limit| *limit >= min)
            .ok_or(NodeConfigError::InvalidLimit { key, min }),
    }
}

fn read_seed(value: &Value) -> Result<u64, NodeConfigError> {
    let seed = match value {
        Value::Null => Some(0),
        Value::String(text) => u64::from_str_radix(text, 16).ok(),
        other => other.as_u64(),
    };
    seed.ok_or(NodeConfigError::InvalidSeed)
}

/// Returns the path of the first key of the old document that the new one lacks. Each element of a new array must have
/// the keys of the first element of the old array. Only the initial endpoint list may be missing.
fn find_missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old_value)| {
            if key == KNOWN_KEY {
                return None;
            }
            let path = format!("{path}.{key}");
            match new.get(key) {
                Some(new_value) => find_missing_key(&path, old_value, new_value),
                None => Some(path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let old_entry = old.first()?;
            new.iter().enumerate().find_map(|(index, new_entry)| {
                find_missing_key(&format!("{path}.{index}"), old_entry, new_entry)
            })
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_string()),
        _ => None,
    }
}

/// The summary that `poppykeel check` prints.
impl fmt::Display for NodeConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scheduler = &self.settings.scheduler;
        let limits = &self.transport_limits;
        let known_version = self
            .known_endpoints
            .as_ref()
            .map_or(0, EndpointListResponse::version);
        writeln!(
            f,
            "name {}, listen {}, discovery {}",
            self.name, self.listen, self.discovery
        )?;
        writeln!(
            f,
            "router {} of {}, list version {known_version}",
            scheduler.router_index + 1,
            scheduler.router_count
        )?;
        write!(
            f,
            "at most {} client connections, {} replica connections, {} bytes of bodies",
            limits.max_client_connections,
            limits.max_replica_connections,
            limits.max_body_memory_bytes
        )
    }
}
