//! Routing decisions for fleets of language-model servers.
//!
//! poppykeel decides what a request router does: which held request leaves next, to which replica, what is
//! refused early, and how failures are met. It does no input or output: the embedding program hands it
//! events with the time of its own clock and carries out the actions it gets back.
//!
//! ```
//! use poppykeel_scheduler::{interface::*, Brain};
//!
//! # fn main() -> Result<(), SettingsError> {
//! let class = Class {
//!     worth: 1.0,
//!     late_worth: 0.0,
//!     aim: 1.0,
//!     aim_per_prompt_token: 40e-6,
//!     token_aim: 0.06,
//!     aim_stretch: 0.0,
//!     effect: Effect::Safe,
//!     streaming: true,
//! };
//! let settings = Settings {
//!     me: 0,
//!     routers: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     limits: Limits {
//!         probes: true,
//!         cancel: true,
//!         second_copies: false,
//!         max_attempts: 3,
//!         max_retry_after: 2.0,
//!     },
//!     prices: Prices::default(),
//!     reports: ReportSource::Inline,
//!     rules: Rules {
//!         drain_grace: 0.5,
//!         cold_from: 0.1,
//!         cold: 20.0,
//!         overload_factor: 3.0,
//!         fall: 2.0,
//!         ask_every: 10.0,
//!     },
//!     discovery: Discovery::Pushed,
//! };
//! let mut brain = Brain::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let id = ReplicaId("10.0.0.1:8000".parse().unwrap());
//! let state = ReplicaState::Up;
//! let listing = Listing { id, zone: 0, cell: 0, kind: 0, state, size: None, born: None };
//! brain.handle(0.0, Event::ListFull(vec![listing]), &mut actions);
//! let request = Arrival {
//!     id: RequestId(1),
//!     class: 0,
//!     tenant: 0,
//!     session: None,
//!     prefix: None,
//!     time_left: 5.0,
//!     expected_work: None,
//!     prompt_tokens: 900,
//!     prefix_tokens: 0,
//!     answer_limit: 200,
//!     repeat: false,
//! };
//! brain.handle(0.1, Event::Arrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { replica, .. } if *replica == id)));
//! # Ok(())
//! # }
//! ```
pub mod brain;
#[allow(missing_docs)] // variants and fields that say all by their names
pub mod interface;
mod state;

pub use brain::Brain;
pub use state::Spendings;
