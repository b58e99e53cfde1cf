//! One endpoint list out of several sources that may disagree, fail or fall silent.
//!
//! Each source reports which endpoints there are: discovery by an endpoint list, DNS by SRV records. The
//! [`EndpointRegistry`] combines them into one list, and says for each endpoint whether it is in service, held,
//! draining or out of service, and why. `src/routing/directory.rs` hands the changes to the scheduler, and
//! `poppykeel resolve` shows the list.
//!
//! The crate does no input or output and reads no clock: the time comes with every call, in whole microseconds on a
//! clock that never runs backwards. By module:
//!
//! * `settings`: settings of the registry and of each source.
//! * `update`: what a source reports.
//! * `verdict`: what a source says of an endpoint, and **the table of precedence**, which decides whose verdict
//!   prevails; see [`PRECEDENCE`] and [`SourceVerdict`].
//! * `source_state`: the state of one source. It owns a `listing` (what it lists now), `withdrawals` (what it has
//!   removed), `sudden_loss` (whether a loss is believed) and `flap_damping` (records that come and go), and gives
//!   a `dated_verdict` on each endpoint.
//! * `merge`: the verdicts of all sources combined into `endpoint`s; `address_identity` names those that only DNS
//!   lists.
//! * `registry`: the list itself and its changes.
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
//! // The list drains the same endpoint under its own name: it is one endpoint, and DNS does not keep it in service.
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
