//! The settings of a resolver, and the units they have.

use crate::error::ResolverConfigError;
use crate::message::parse_name;
use std::net::SocketAddr;

/// Microseconds on a monotonic clock.
pub type Micros = u64;

/// The smallest size of responses over UDP, in bytes (RFC 6891, section 6.2.3).
const MIN_UDP_PAYLOAD_BYTES: u16 = 512;

/// The family of a target's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AddressFamily {
    /// IPv4, by A records.
    V4,
    /// IPv6, by AAAA records (RFC 3596).
    V6,
}

/// The settings of a resolver.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolverConfig {
    /// The service's name, such as `_llm._tcp.example.test`.
    pub name: String,
    /// The name servers, asked in turn.
    pub servers: Vec<SocketAddr>,
    /// A target's addresses are those of the first family that has any.
    pub families: Vec<AddressFamily>,
    /// The timeout of an attempt in the first round; it doubles in each further one.
    pub timeout: Micros,
    /// How often each name server is asked one question before the question has failed.
    pub rounds: u32,
    /// The size of responses over UDP that is offered (RFC 6891), in bytes.
    pub udp_payload_bytes: u16,
    /// The bounds of times to live.
    pub ttl_bounds: TtlBounds,
    /// The pause after a failed look-up; it doubles with each failure, up to `max_retry_pause`.
    pub retry_pause: Micros,
    /// The longest pause after a failed look-up.
    pub max_retry_pause: Micros,
    /// How many questions may be in flight.
    pub max_questions: usize,
    /// Targets of the service beyond this number are ignored.
    pub max_targets: usize,
}

impl ResolverConfig {
    /// The defaults, for a service and its name servers.
    pub fn new(name: impl Into<String>, servers: Vec<SocketAddr>) -> Self {
        ResolverConfig {
            name: name.into(),
            servers,
            families: vec![AddressFamily::V4, AddressFamily::V6],
            timeout: 500_000,
            rounds: 2,
            udp_payload_bytes: 1232,
            ttl_bounds: TtlBounds::default(),
            retry_pause: 1_000_000,
            max_retry_pause: 30_000_000,
            max_questions: 64,
            max_targets: 4096,
        }
    }

    /// Checks what the types leave open.
    ///
    /// # Errors
    /// Names the key and what would be right.
    pub fn check(&self) -> Result<(), ResolverConfigError> {
        parse_name(&self.name).map_err(ResolverConfigError::InvalidName)?;
        let ranges = [
            (
                !self.servers.is_empty(),
                "servers",
                "expected at least one ADDRESS:PORT",
            ),
            (
                !self.families.is_empty(),
                "families",
                "expected ipv4, ipv6 or both",
            ),
            (self.timeout > 0, "timeout", "expected a time above 0"),
            (self.rounds > 0, "rounds", "expected at least 1"),
            (
                self.udp_payload_bytes >= MIN_UDP_PAYLOAD_BYTES,
                "payload",
                "expected at least 512 bytes",
            ),
            (
                self.ttl_bounds.floor <= self.ttl_bounds.ceiling,
                "ttl_floor",
                "expected at most ttl_ceiling",
            ),
            (
                (1..=self.max_retry_pause).contains(&self.retry_pause),
                "retry",
                "expected a time above 0 and at most retry_most",
            ),
        ];
        for (is_in_range, key, expected) in ranges {
            if !is_in_range {
                return Err(ResolverConfigError::InvalidValue { key, expected });
            }
        }
        if self.max_questions == 0 || self.max_targets == 0 {
            return Err(ResolverConfigError::ZeroLimit);
        }
        Ok(())
    }
}

/// The bounds of times to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TtlBounds {
    /// No record lives shorter, so that a time to live of 0 does not ask without a pause.
    pub floor: Micros,
    /// No record lives longer.
    pub ceiling: Micros,
    /// No negative answer lives longer (RFC 2308, section 5).
    pub negative: Micros,
}

impl TtlBounds {
    /// The time to live of records, from seconds to microseconds within the bounds.
    pub(crate) fn of_records(&self, ttl_s: u32) -> Micros {
        (u64::from(ttl_s) * 1_000_000).clamp(self.floor, self.ceiling)
    }

    /// The time to live of a negative answer, from seconds to microseconds within the bounds.
    pub(crate) fn of_negative_answer(&self, ttl_s: u32) -> Micros {
        self.of_records(ttl_s).min(self.negative.max(self.floor))
    }
}

impl Default for TtlBounds {
    fn default() -> Self {
        TtlBounds {
            floor: 1_000_000,
            ceiling: 300_000_000,
            negative: 30_000_000,
        }
    }
}
