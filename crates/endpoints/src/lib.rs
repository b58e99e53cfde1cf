//! One account of membership: sources tell which servers there are, one list comes out, and for each server the
//! reason why it is in, draining, held or out.
//!
//! Nothing here reads a socket or a clock: the time comes with every call, in whole microseconds on a clock that
//! never runs backwards. `told` is what sources say and `settings` what is set, `opinion` the table of who
//! wins, `book` what one source has told so far and how far it is believed, `merge` the list that follows. `docs/membership.md` explains the rule and states its table.
//!
//! ```
//! use poppykeel_endpoints::{Entry, Kind, Membership, Settings, SourceSettings, Standing, State, Told};
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
mod settings;
mod told;

pub use merge::{Membership, Server};
pub use opinion::{standing, wins, Opinion, Standing, OPINIONS, TABLE};
pub use settings::{Absence, Flaps, Guard, Kind, Settings, SourceSettings};
pub use told::{Entry, Micros, State, Told};
