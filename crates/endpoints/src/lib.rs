//! One account of membership: sources tell which servers there are, one list comes out, and for each server the
//! reason why it is in, draining, held or out.
//!
//! Nothing here reads a socket or a clock: the time comes with every call, in whole microseconds on a clock that
//! never runs backwards. `update` is what sources say and `settings` what is set, `verdict` the table of who
//! wins, `source_state` what one source has told so far and how far it is believed, `registry` the list that follows. `docs/membership.md` explains the rule and states its table.
//!
//! ```
//! use poppykeel_endpoints::{
//!     EndpointIdentity, EndpointRegistry, EndpointStatus, ListedEndpoint, ListedState, RegistrySettings,
//!     SourceSettings, SourceUpdate,
//! };
//!
//! let list = SourceSettings::new("list", EndpointIdentity::ByName);
//! let srv = SourceSettings::new("srv", EndpointIdentity::ByAddress);
//! let settings = RegistrySettings { sources: vec![list, srv], ..RegistrySettings::default() };
//! let mut registry = EndpointRegistry::new(settings);
//! let addr = "127.0.0.1:8000".parse().unwrap();
//! let record = ListedEndpoint::new("s1.example.test:8000", addr);
//! let changes = registry.apply_update(0, 1, SourceUpdate::FullList(vec![record]));
//! assert_eq!(changes[0].status, EndpointStatus::InService);
//! // The list drains the same endpoint under its own name: it is one endpoint, and DNS does not keep it in service.
//! let drained = ListedEndpoint { state: ListedState::Draining, ..ListedEndpoint::new("s-1", addr) };
//! registry.apply_update(1_000, 0, SourceUpdate::FullList(vec![drained]));
//! let endpoints = registry.endpoints();
//! assert_eq!((endpoints.len(), endpoints[0].status), (1, EndpointStatus::Draining));
//! ```

mod registry;
mod settings;
mod source_state;
mod update;
mod verdict;

pub use registry::{EndpointRegistry, RegisteredEndpoint};
pub use settings::{
    AbsencePolicy, EndpointIdentity, FlapLimits, RegistrySettings, SourceSettings, SuddenLossGuard,
};
pub use update::{ListedEndpoint, ListedState, MonotonicMicros, SourceUpdate};
pub use verdict::{
    prevailing_verdict, status_for_verdict, EndpointStatus, SourceVerdict, ALL_VERDICTS, PRECEDENCE,
};
