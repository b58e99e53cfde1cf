//! Two sources with numbered endpoints: the list, which identifies endpoints by name, and DNS, which identifies them by
//! address.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use poppykeel_endpoints::{
    EndpointIdentity, EndpointRegistry, EndpointStatus, FlapLimits, ListedEndpoint, ListedState,
    MonotonicMicros, RegistrySettings, SourceSettings, SourceUpdate, SuddenLossGuard,
};
use std::net::SocketAddr;

/// One second in microseconds.
pub const SECOND: MonotonicMicros = 1_000_000;
/// One minute in microseconds.
pub const MINUTE: MonotonicMicros = 60 * SECOND;
/// The index of the source that identifies endpoints by name.
pub const LIST: usize = 0;
/// The index of the source that identifies endpoints by address.
pub const SRV: usize = 1;

/// The address of the endpoint with this number.
pub fn endpoint_addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + n))
}

/// The endpoint with this number, as the list source reports it: its name is an id.
pub fn endpoint_with_id(n: u16) -> ListedEndpoint {
    ListedEndpoint::new(format!("s-{n}"), endpoint_addr(n))
}

/// The same endpoint, as DNS reports it: its name is a host name and a port.
pub fn dns_target(n: u16) -> ListedEndpoint {
    ListedEndpoint {
        priority: Some(10),
        ..ListedEndpoint::new(format!("t{n}.example.test:{}", 8000 + n), endpoint_addr(n))
    }
}

/// The sudden loss guard of both sources.
pub fn guard() -> Option<SuddenLossGuard> {
    Some(SuddenLossGuard {
        hold_time: 30 * SECOND,
        confirmation_count: 3,
        max_loss_fraction: 0.5,
    })
}

/// Settings with the list and DNS as sources, in this order.
pub fn two_sources() -> RegistrySettings {
    let list = SourceSettings {
        sudden_loss_guard: guard(),
        ..SourceSettings::new("list", EndpointIdentity::ByName)
    };
    let flap_limits = FlapLimits {
        free_return_count: 2,
        window: MINUTE,
        initial_hold: 10 * SECOND,
        max_hold: 5 * MINUTE,
    };
    let srv = SourceSettings::new("srv", EndpointIdentity::ByAddress);
    let srv = SourceSettings {
        sudden_loss_guard: guard(),
        flap_limits: Some(flap_limits),
        ..srv
    };
    RegistrySettings {
        sources: vec![list, srv],
        ..RegistrySettings::default()
    }
}

/// A full update of the list.
pub fn listed_ids(numbers: impl IntoIterator<Item = u16>) -> SourceUpdate {
    SourceUpdate::FullList(numbers.into_iter().map(endpoint_with_id).collect())
}

/// A full update of DNS.
pub fn listed_targets(numbers: impl IntoIterator<Item = u16>) -> SourceUpdate {
    SourceUpdate::FullList(numbers.into_iter().map(dns_target).collect())
}

/// A change of one endpoint's state in the list.
pub fn state_change(n: u16, state: ListedState) -> SourceUpdate {
    SourceUpdate::Changes(vec![ListedEndpoint {
        state,
        ..endpoint_with_id(n)
    }])
}

/// The numbers of the endpoints that take requests, sorted.
pub fn usable_numbers(registry: &EndpointRegistry) -> Vec<u16> {
    let mut numbers: Vec<u16> = registry
        .endpoints()
        .iter()
        .filter(|endpoint| endpoint.status <= EndpointStatus::Held)
        .map(|endpoint| endpoint.listing.addr.port() - 8000)
        .collect();
    numbers.sort_unstable();
    numbers
}
