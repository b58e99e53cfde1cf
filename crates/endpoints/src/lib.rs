//! Merges the endpoint lists of several sources, which may disagree or fail, into one list.
//!
//! The sources are the discovery service, which publishes an endpoint list, and DNS with its SRV records. The
//! [`EndpointRegistry`] merges them and determines for each endpoint whether it is in service, held, draining or out
//! of service, and why. `src/routing/directory.rs` passes the changes to the scheduler, and `poppykeel resolve`
//! prints the list.
//!
//! The crate does no I/O and reads no clock: callers pass the time to each call, in whole microseconds of a monotonic
//! clock. Modules:
//!
//! * `settings`: settings of the registry and of each source.
//! * `update`: the updates that a source reports.
//! * `verdict`: a source's verdict on an endpoint, and **the precedence table**, which decides whose verdict prevails;
//!   see [`PRECEDENCE`] and [`SourceVerdict`].
//! * `source_state`: the state of one source. It owns a `listing` (current endpoints), `withdrawals` (removed
//!   endpoints), `sudden_loss` (detection of implausibly large losses) and `flap_damping` (suppression of flapping
//!   records), and gives a `dated_verdict` on each endpoint.
//! * `merge`: combines the verdicts of all sources into `endpoint`s; `address_identity` names the endpoints that only
//!   DNS lists.
//! * `registry`: the merged list and its changes.
//!
//! `docs/membership.md` explains the rules to operators.
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
//! // The list source reports the same address as draining under another name: both names are one draining endpoint.
//! let drained = ListedEndpoint { state: ListedState::Draining, ..ListedEndpoint::new("s-1", addr) };
//! registry.apply_update(1_000, 0, SourceUpdate::FullList(vec![drained]));
//! let endpoints = registry.endpoints();
//! assert_eq!((endpoints.len(), endpoints[0].status), (1, EndpointStatus::Draining));
//! ```

mod address_identity;
mod dated_verdict;
mod endpoint;
mod flap_damping;
mod listing;
mod merge;
mod registry;
mod settings;
mod source_state;
mod sudden_loss;
mod update;
mod verdict;
mod withdrawals;

pub use endpoint::RegisteredEndpoint;
pub use registry::{EndpointRegistry, NamedVerdict};
pub use settings::{
    AbsencePolicy, EndpointIdentity, FlapLimits, RegistrySettings, SourceSettings, SuddenLossGuard,
};
pub use update::{DurationMicros, ListedEndpoint, ListedState, MonotonicMicros, SourceUpdate};
pub use verdict::{prevailing_verdict, EndpointStatus, SourceVerdict, PRECEDENCE};
