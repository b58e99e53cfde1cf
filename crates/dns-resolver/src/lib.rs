//! A stub resolver for SRV records (RFC 2782) and the addresses of their targets.
//!
//! The core is a state machine without sockets and without a clock: [`Resolver`] is fed datagrams, bytes of TCP
//! connections and the time, and says what to send, when to call it again and what it has found. `driver` is the
//! thin layer over tokio's sockets. Inside the core `config` is what it is told, `message` turns bytes into records and back, `exchange` puts
//! one question to the name servers, `cache` keeps answers for their lifetimes, `lookup` goes from the service's
//! name to addresses, and `resolver` keeps the list fresh.
//!
//! Time is whole microseconds on a clock that never runs backwards.

mod cache;
mod config;
pub mod driver;
mod exchange;
mod lookup;
mod message;
mod resolver;

pub use config::{Config, Family, Lifetimes, Micros};
pub use exchange::{Asked, Counts, Ends, Key};
pub use lookup::{Endpoint, Found};
pub use message::{read, Answer, Data, Question, Record, Unreadable};
pub use resolver::{Event, Resolver, Transmit};
