//! Parses the rows of a catalog. Each row describes one endpoint.

use super::{ProtocolError, Values};
use poppykeel_scheduler::{Endpoint, EndpointState};
use poppykeel_site_settings::SiteSettings;

/// A row that has not been checked against the settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CatalogRow {
    /// Its capacity weight is the weight in the row. Only the settings of the instance determine whether that is a capacity.
    endpoint: Endpoint,
}

pub(crate) fn parse_row(values: &mut Values<'_>) -> Result<CatalogRow, ProtocolError> {
    let id = values.replica()?;
    let zone = values.required("hall")?;
    let host_type = values.optional("generationHw")?;
    let cell = values.optional("cell")?;
    let state = match values.next() {
        Some("up") => EndpointState::Available,
        Some("draining") => EndpointState::Draining,
        Some("removed") => EndpointState::Removed,
        _ => return Err(values.expected("up, draining or removed for stageState")),
    };
    let weight = values.optional::<f64>("weight")?;
    let started_at = values.optional::<f64>("born")?;
    Ok(CatalogRow {
        endpoint: Endpoint {
            id,
            zone,
            cell: cell.unwrap_or(0),
            host_type: host_type.unwrap_or(0),
            state,
            capacity_weight: weight,
            started_at: started_at.filter(|time| *time > 0.0),
        },
    })
}

/// Converts rows for an instance. Fails if its settings lack the zone or the host type of a row.
pub(crate) fn rows_to_endpoints(
    rows: &[CatalogRow],
    settings: &SiteSettings,
) -> Result<Vec<Endpoint>, ProtocolError> {
    for row in rows {
        check_indices(&row.endpoint, settings)?;
    }
    let endpoints = rows.iter().map(|row| Endpoint {
        capacity_weight: settings.capacity_weight(row.endpoint.capacity_weight),
        ..row.endpoint.clone()
    });
    Ok(endpoints.collect())
}

fn check_indices(endpoint: &Endpoint, settings: &SiteSettings) -> Result<(), ProtocolError> {
    let zones = settings.names.zones.len().max(1);
    let host_types = settings.names.host_types.len().max(1);
    if endpoint.zone >= zones {
        return Err(endpoint_list_error(format!(
            "a zone below {zones}, not {}",
            endpoint.zone
        )));
    }
    if endpoint.host_type >= host_types {
        let host_type = endpoint.host_type;
        return Err(endpoint_list_error(format!(
            "a host type below {host_types}, not {host_type}"
        )));
    }
    Ok(())
}

fn endpoint_list_error(expected: String) -> ProtocolError {
    ProtocolError {
        message: "roster_change".into(),
        expected,
    }
}
