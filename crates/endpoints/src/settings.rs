//! Settings of the account and of each source.

use crate::told::Micros;

/// What the names of a source's entries are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Names belong to servers: another name is another server, a moved name the same one.
    Naming,
    /// Names only lead to addresses, as DNS does: two names of one address are one server.
    Addressing,
}

/// What it means that a source no longer lists a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It is taken away, whatever other sources list.
    Removes,
    /// The source has no opinion of it any more.
    Abstains,
}

/// When a sudden loss is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// Held for so long at least ...
    pub hold: Micros,
    /// ... and until so many answers in a row have said the same, the first one counted.
    pub confirmations: u32,
    /// A loss of more than this part of what was listed, within one `hold`, is sudden; so is listing nothing.
    pub part: f64,
}

/// How records that come and go are calmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flaps {
    /// A server that returns this often within `window` ...
    pub free: u32,
    /// ... of its last return is flapping, and is forgiven after as long without a change.
    pub window: Micros,
    /// It is kept out for so long, doubled with each further return ...
    pub hold: Micros,
    /// ... up to this.
    pub most: Micros,
}

/// One source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// Its name in reasons and logs.
    pub name: String,
    /// What its names are.
    pub kind: Kind,
    /// What absence means.
    pub absence: Absence,
    /// Against sudden losses; none believes everything at once.
    pub guard: Option<Guard>,
    /// Against flapping; none takes each return as it comes.
    pub flaps: Option<Flaps>,
}

impl SourceSettings {
    /// A source that is believed at once.
    pub fn new(name: impl Into<String>, kind: Kind) -> Self {
        SourceSettings {
            name: name.into(),
            kind,
            absence: Absence::Removes,
            guard: None,
            flaps: None,
        }
    }
}

/// Settings of the account.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The sources; where descriptions of one server differ, the first that has one counts.
    pub sources: Vec<SourceSettings>,
    /// Servers of a higher priority number wait while one of a lower number is in (RFC 2782).
    pub standby: bool,
    /// What was taken away and is listed by nobody is forgotten after so long.
    pub forget: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            sources: Vec::new(),
            standby: false,
            forget: 24 * 3_600_000_000,
        }
    }
}
