//! A stub resolver for SRV records (RFC 2782) and the addresses of their targets.
//!
//! The core is a state machine without sockets or a clock: [`Resolver`] receives datagrams, bytes of TCP connections and
//! the time, and returns what to send, when to call it again, and the results. `driver` connects it to tokio's sockets.
//! The modules of the core:
//!
//! * `config`: the settings.
//! * `message`: decodes and encodes DNS messages.
//! * `exchange`: sends one question to the name servers until one has answered it.
//! * `answer`: interprets a response.
//! * `cache`: stores answers with their TTLs.
//! * `lookup`: resolves the service's name to addresses.
//! * `resolver`: refreshes the result when it expires.
//!
//! Time is in whole microseconds of a monotonic clock.

mod answer;
mod attempt;
mod cache;
mod config;
pub mod driver;
mod error;
mod exchange;
mod lookup;
mod message;
mod resolver;

pub use attempt::{SocketId, Transmit};
pub use config::{AddressFamily, Micros, ResolverConfig, TtlBounds};
pub use error::{
    AliasError, AttemptFailure, DecodeError, LookupError, NameError, QuestionError,
    ResolverConfigError, Transport,
};
pub use exchange::ExchangeCounters;
pub use lookup::{EmptyReason, Endpoint, ServiceLookup, UnresolvedReason, UnresolvedTarget};
pub use message::{decode_response, DnsRecord, DnsResponse, Question, RecordData};
pub use resolver::{Resolver, ResolverEvent};
