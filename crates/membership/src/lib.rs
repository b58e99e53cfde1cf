//! One account of membership: sources tell which servers there are, one list comes out, and for each server the
//! reason why it is in, draining, held or out.
//!
//! Nothing here reads a socket or a clock: the time comes with every call, in whole microseconds on a clock that
//! never runs backwards. `opinion` is the table of who wins, `book` what one source has told so far and how far
//! it is believed, `merge` the list that follows. `docs/membership.md` explains the rule and states its table.
//!
//! ```
//! use poppykeel_membership::{Entry, Kind, Membership, Settings, SourceSettings, Standing, State, Told};
//!
//! let srv = SourceSettings::new("srv", Kind::Addressing);
//! let list = SourceSettings::new("list", Kind::Naming);
//! let mut members = Membership::new(Settings { sources: vec![list, srv], ..Settings::default() });
//! let addr = "127.0.0.1:8000".parse().unwrap();
//! let changes = members.told(0, 1, Told::Whole(vec![Entry::new("s1.example.test:8000", addr)]));
//! assert_eq!(changes[0].standing, Standing::In);
//! // The list drains the same server under its own name: it is one server, and DNS does not keep it in.
//! let drained = Entry { state: State::Draining, ..Entry::new("s-1", addr) };
//! members.told(1_000, 0, Told::Whole(vec![drained]));
//! let servers = members.servers();
//! assert_eq!((servers.len(), servers[0].standing), (1, Standing::Draining));
//! ```

mod book;
mod merge;
mod opinion;

pub use merge::{Membership, Server};
pub use opinion::{standing, wins, Opinion, Standing, OPINIONS, TABLE};

use std::net::SocketAddr;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// What a source says of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Up,
    /// It ends what it has and takes nothing new.
    Draining,
    /// It has been taken away.
    Removed,
}

/// One server as one source tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// A naming source's id of the server, which is the same everywhere; an addressing one's target and port.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What is said of it.
    pub state: State,
    /// Its zone by name; empty where that is not told.
    pub zone: String,
    /// Its kind of machine by name; empty where that is not told.
    pub kind: String,
    /// Its cell.
    pub cell: usize,
    /// Its weight, without a unit.
    pub weight: Option<f64>,
    /// RFC 2782: lower ones come first.
    pub priority: Option<u16>,
    /// Its last start, Unix time in milliseconds; 0 where that is not known.
    pub started_ms: i64,
}

impl Entry {
    /// A server that is up, of which nothing else is known.
    pub fn new(name: impl Into<String>, addr: SocketAddr) -> Self {
        let (zone, kind) = Default::default();
        let (weight, priority) = (None, None);
        Entry {
            name: name.into(),
            addr,
            state: State::Up,
            zone,
            kind,
            cell: 0,
            weight,
            priority,
            started_ms: 0,
        }
    }
}

/// What a source tells at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// All that it lists. What it listed before and does not list now has been withdrawn.
    Whole(Vec<Entry>),
    /// What has changed; none is news too: all else is as it was.
    Changes(Vec<Entry>),
    /// It cannot say, and what it said before is past its lifetime.
    Failed,
}

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
        SourceSettings { name: name.into(), kind, absence: Absence::Removes, guard: None, flaps: None }
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
        Settings { sources: Vec::new(), standby: false, forget: 24 * 3_600_000_000 }
    }
}
