//! Settings of the registry and of each source: plain data that the embedding program fills in.

use crate::update::DurationMicros;

/// How long the registry remembers withdrawn endpoints unless it is set otherwise: one day.
const DEFAULT_WITHDRAWAL_RETENTION: DurationMicros = 24 * 3_600_000_000;

/// By what a source identifies the endpoints it lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// By name: another name is another endpoint, and a name that moves to a new address is the same endpoint.
    ByName,
    /// By address, as DNS does: names only lead to addresses, and two names of one address are one endpoint.
    ByAddress,
}

/// What it means that a source no longer lists an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsencePolicy {
    /// The endpoint is removed, whatever other sources list.
    Removes,
    /// The source says nothing about the endpoint any more, and other sources decide.
    Abstains,
}

/// When a sudden loss of many endpoints is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuddenLossGuard {
    /// A sudden loss is held back for at least this long.
    pub hold_time: DurationMicros,
    /// It is held back until this many answers in a row lack the endpoint, the first one counted.
    pub confirmation_count: u32,
    /// A loss of more than this fraction of the available endpoints within one `hold_time` is sudden, and so is an
    /// empty list.
    pub max_loss_fraction: f64,
}

/// When a record that comes and goes is kept out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlapLimits {
    /// The number of returns within `window` that have no consequence; the next one keeps the address out.
    pub free_return_count: u32,
    /// A return counts as repeated if it follows the previous one within this time. An address without a change for
    /// as long starts to count anew.
    pub window: DurationMicros,
    /// The address is kept out for this long after the first return beyond the free ones. The time doubles with each
    /// further return.
    pub initial_hold: DurationMicros,
    /// The longest time for which an address is kept out.
    pub max_hold: DurationMicros,
}

/// Settings of one source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// The name of the source in reasons and logs.
    pub name: String,
    /// By what it identifies endpoints.
    pub identity: EndpointIdentity,
    /// What it means that it no longer lists an endpoint.
    pub absence_policy: AbsencePolicy,
    /// The guard against sudden losses; without one every answer is believed at once.
    pub sudden_loss_guard: Option<SuddenLossGuard>,
    /// The limits on flapping records; without them every return takes effect at once.
    pub flap_limits: Option<FlapLimits>,
}

impl SourceSettings {
    /// A source whose answers are believed at once and whose absences remove endpoints.
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

/// Settings of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The sources. If they describe one endpoint differently, the first one that describes it is used.
    pub sources: Vec<SourceSettings>,
    /// Whether endpoints of a higher priority number are out of service while one of a lower number is usable
    /// (RFC 2782).
    pub has_priority_standby: bool,
    /// A withdrawn endpoint that no source lists is forgotten after this time.
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
