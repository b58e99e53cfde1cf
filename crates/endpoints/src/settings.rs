//! Settings of the registry and of each source.

use crate::update::MonotonicMicros;

/// What the names of a source's entries are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointIdentity {
    /// Names belong to servers: another name is another server, a moved name the same one.
    ByName,
    /// Names only lead to addresses, as DNS does: two names of one address are one server.
    ByAddress,
}

/// What it means that a source no longer lists a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsencePolicy {
    /// It is taken away, whatever other sources list.
    Removes,
    /// The source has no opinion of it any more.
    Abstains,
}

/// When a sudden loss is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuddenLossGuard {
    /// Held for so long at least ...
    pub hold_time: MonotonicMicros,
    /// ... and until so many answers in a row have said the same, the first one counted.
    pub confirmation_count: u32,
    /// A loss of more than this part of what was listed, within one `hold`, is sudden; so is listing nothing.
    pub max_loss_fraction: f64,
}

/// How records that come and go are calmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlapLimits {
    /// A server that returns this often within `window` ...
    pub free_return_count: u32,
    /// ... of its last return is flapping, and is forgiven after as long without a change.
    pub window: MonotonicMicros,
    /// It is kept out for so long, doubled with each further return ...
    pub initial_hold: MonotonicMicros,
    /// ... up to this.
    pub max_hold: MonotonicMicros,
}

/// One source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// Its name in reasons and logs.
    pub name: String,
    /// What its names are.
    pub identity: EndpointIdentity,
    /// What absence means.
    pub absence_policy: AbsencePolicy,
    /// Against sudden losses; none believes everything at once.
    pub sudden_loss_guard: Option<SuddenLossGuard>,
    /// Against flapping; none takes each return as it comes.
    pub flap_limits: Option<FlapLimits>,
}

impl SourceSettings {
    /// A source that is believed at once.
    pub fn new(name: impl Into<String>, kind: EndpointIdentity) -> Self {
        SourceSettings {
            name: name.into(),
            identity: kind,
            absence_policy: AbsencePolicy::Removes,
            sudden_loss_guard: None,
            flap_limits: None,
        }
    }
}

/// Settings of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// The sources; where descriptions of one server differ, the first that has one counts.
    pub sources: Vec<SourceSettings>,
    /// Servers of a higher priority number wait while one of a lower number is in (RFC 2782).
    pub has_priority_standby: bool,
    /// What was taken away and is listed by nobody is forgotten after so long.
    pub withdrawal_retention: MonotonicMicros,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings {
            sources: Vec::new(),
            has_priority_standby: false,
            withdrawal_retention: 24 * 3_600_000_000,
        }
    }
}
