//! A stub resolver for SRV records (RFC 2782) and the addresses of their targets.
//!
//! The core is a state machine without sockets and without a clock: [`Resolver`] is fed datagrams, bytes of TCP
//! connections and the time, and says what to send, when to call it again and what it has found. `driver` is the thin
//! layer over tokio's sockets. Inside the core `config` has the settings, `message` decodes and encodes DNS messages,
//! `exchange` puts one question to the name servers, `answer` interprets a response, `cache` stores answers for their times
//! to live, `lookup` goes from the service's name to addresses, and `resolver` keeps the list fresh.
//!
//! Time is whole microseconds on a clock that never runs backwards.

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
