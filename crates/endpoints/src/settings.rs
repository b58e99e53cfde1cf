//! Settings of the registry and of each source, provided by the embedding program.

use crate::update::DurationMicros;

/// Default retention of withdrawn endpoints: one day.
const DEFAULT_WITHDRAWAL_RETENTION: DurationMicros = 24 * 3_600_000_000;

/// How a source identifies its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// By name: a different name is a different endpoint, and an endpoint keeps its identity when its address changes.
    ByName,
    /// By address, as DNS does: names only resolve to addresses, and two names of one address are one endpoint.
    ByAddress,
}

/// What happens to an endpoint that a source no longer lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsencePolicy {
    /// The endpoint is removed even if other sources list it.
    Removes,
    /// The source has no further influence on the endpoint; the other sources decide.
    Abstains,
}

/// When a sudden loss of many endpoints is accepted. Until then the endpoints are held and still take requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuddenLossGuard {
    /// The minimum time from the first answer that lacks an endpoint until its loss is accepted.
    pub hold_time: DurationMicros,
    /// The number of consecutive answers, including the first, that must lack an endpoint before its loss is accepted.
    pub confirmation_count: u32,
    /// A loss is sudden if it exceeds this fraction of the available endpoints within one `hold_time`. An empty list
    /// always is.
    pub max_loss_fraction: f64,
}

/// When the address of a flapping record (repeatedly withdrawn and listed again) is suppressed, that is, gets no
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlapLimits {
    /// The number of returns within `window` that are tolerated; the next return suppresses the address.
    pub free_return_count: u32,
    /// A return counts as repeated if it follows the previous one within this time. The count restarts for an address
    /// that is unchanged for longer.
    pub window: DurationMicros,
    /// How long the address is suppressed after the first return beyond the tolerated ones. Doubles with each further
    /// return.
    pub initial_hold: DurationMicros,
    /// The maximum time for which an address is suppressed.
    pub max_hold: DurationMicros,
}

/// The rules of the registry for the endpoints of one source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// The name of the source, shown in reasons and logs.
    pub name: String,
    /// How the source identifies endpoints.
    pub identity: EndpointIdentity,
    /// What happens to an endpoint that the source no longer lists.
    pub absence_policy: AbsencePolicy,
    /// The guard against sudden losses; `None` accepts every answer immediately.
    pub sudden_loss_guard: Option<SuddenLossGuard>,
    /// The limits on flapping records; with `None` every return takes effect immediately.
    pub flap_limits: Option<FlapLimits>,
}

impl SourceSettings {
    /// A source without a guard or flap limits, which removes the endpoints that it no longer lists.
    pub fn new(name: impl Into<String>, identity: EndpointIdentity) -> Self {
        SourceSettings {
            name: name.into(),
            identity,
            absence_policy: AbsencePolicy::Removes,
            sudden_loss_guard: None,
            flap_limits: None,
        }
    }
}

/// The sources, and the rules that apply to the endpoints of all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The sources. If several describe one endpoint, the description of the first one is used.
    pub sources: Vec<SourceSettings>,
    /// Whether endpoints with a higher priority number are out of service while one with a lower number is usable
    /// (RFC 2782).
    pub has_priority_standby: bool,
    /// How long the withdrawal of an endpoint that no source lists is remembered.
    pub withdrawal_retention: DurationMicros,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings {
            sources: Vec::new(),
            has_priority_standby: false,
            withdrawal_retention: DEFAULT_WITHDRAWAL_RETENTION,
        }
    }
}
