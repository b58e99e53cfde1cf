//! A stub resolver for SRV records (RFC 2782) and the addresses of their targets.
//!
//! The core is a state machine without sockets and without a clock: [`Resolver`] is fed datagrams, bytes of TCP
//! connections and the time, and says what to send, when to call it again and what it has found. `driver` is the
//! thin layer over tokio's sockets. Inside the core `message` turns bytes into records and back, `exchange` puts
//! one question to the name servers, `cache` keeps answers for their lifetimes, `lookup` goes from the service's
//! name to addresses, and `resolver` keeps the list fresh.
//!
//! Time is whole microseconds on a clock that never runs backwards.

mod cache;
pub mod driver;
mod exchange;
mod lookup;
mod message;
mod resolver;

pub use cache::Lifetimes;
pub use exchange::{Asked, Counts, Ends, Key};
pub use lookup::{Endpoint, Found};
pub use message::{read, Answer, Data, Question, Record, Unreadable};
pub use resolver::{Event, Resolver, Transmit};

use std::net::SocketAddr;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// Which addresses of a target are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// A records.
    V4,
    /// AAAA records (RFC 3596).
    V6,
}

/// What a resolver is told once.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The service's name, such as `_llm._tcp.example.test`.
    pub name: String,
    /// The name servers, asked in turn.
    pub servers: Vec<SocketAddr>,
    /// A target's addresses are those of the first family that has any.
    pub families: Vec<Family>,
    /// One try waits so long in the first round; twice as long in each further one.
    pub timeout: Micros,
    /// So often each name server is asked one question before it has failed.
    pub rounds: u32,
    /// The size of answers over UDP that is asked for (RFC 6891), in bytes.
    pub payload: u16,
    /// Bounds of lifetimes.
    pub lifetimes: Lifetimes,
    /// After a failed look-up the next one waits so long, doubled up to `retry_most`.
    pub retry: Micros,
    /// See there.
    pub retry_most: Micros,
    /// Questions out at a time.
    pub most_questions: usize,
    /// Targets of one service; further ones are left out.
    pub most_targets: usize,
}

impl Config {
    /// The defaults, for a service and its name servers.
    pub fn new(name: impl Into<String>, servers: Vec<SocketAddr>) -> Self {
        Config {
            name: name.into(),
            servers,
            families: vec![Family::V4, Family::V6],
            timeout: 500_000,
            rounds: 2,
            payload: 1232,
            lifetimes: Lifetimes::default(),
            retry: 1_000_000,
            retry_most: 30_000_000,
            most_questions: 64,
            most_targets: 4096,
        }
    }

    /// Checks what the types leave open; an error says what would be right.
    pub fn check(&self) -> Result<(), String> {
        message::name(&self.name).map_err(|e| format!("name: expected a domain name ({e})"))?;
        let bad = |what: &str| Err(what.to_string());
        match () {
            () if self.servers.is_empty() => bad("servers: expected at least one ADDRESS:PORT"),
            () if self.families.is_empty() => bad("families: expected ipv4, ipv6 or both"),
            () if self.timeout == 0 => bad("timeout: expected a time above 0"),
            () if self.rounds == 0 => bad("rounds: expected at least 1"),
            () if self.payload < 512 => bad("payload: expected at least 512 bytes"),
            () if self.lifetimes.floor > self.lifetimes.ceiling => {
                bad("ttl_floor: expected at most ttl_ceiling")
            }
            () if self.retry == 0 || self.retry > self.retry_most => {
                bad("retry: expected a time above 0 and at most retry_most")
            }
            () if self.most_questions == 0 || self.most_targets == 0 => {
                bad("most_questions, most_targets: expected at least 1")
            }
            () => Ok(()),
        }
    }
}
