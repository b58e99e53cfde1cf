//! What a resolver is told once, and the units it is told in.

use std::net::SocketAddr;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// Which addresses of a target are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
}

/// Bounds of lifetimes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// No record counts as shorter-lived, so that a lifetime of 0 does not ask without a pause.
    pub floor: Micros,
    /// None as longer-lived.
    pub ceiling: Micros,
    /// That nothing is listed is believed for no longer (RFC 2308, section 5).
    pub negative: Micros,
}

impl Default for Lifetimes {
    fn default() -> Self {
        Lifetimes {
            floor: 1_000_000,
            ceiling: 300_000_000,
            negative: 30_000_000,
        }
    }
}
