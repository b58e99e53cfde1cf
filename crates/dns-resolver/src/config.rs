//! The settings of a resolver and their units.

use crate::error::ResolverConfigError;
use crate::message::parse_name;
use std::net::SocketAddr;

/// A point in time or a duration, in microseconds of a monotonic clock.
pub type Micros = u64;

/// The smallest UDP payload size that may be advertised, in bytes (RFC 6891, section 6.2.3).
const MIN_UDP_PAYLOAD_BYTES: u16 = 512;

/// An address family, with the record type that is queried for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AddressFamily {
    /// IPv4, from A records.
    V4,
    /// IPv6, from AAAA records (RFC 3596).
    V6,
}

/// The settings of a resolver.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolverConfig {
    /// The name of the service's SRV records, such as `_llm._tcp.example.test`.
    pub name: String,
    /// The name servers. Each attempt at a question goes to the next server.
    pub servers: Vec<SocketAddr>,
    /// The address families in order of preference. Only the first family in which a target has addresses is used.
    pub families: Vec<AddressFamily>,
    /// The timeout of an attempt in the first round of all name servers; doubles in each further round.
    pub timeout: Micros,
    /// The number of rounds: how often each name server is queried before a question fails.
    pub rounds: u32,
    /// The advertised size of responses over UDP, in bytes (RFC 6891).
    pub udp_payload_bytes: u16,
    /// The limits within which TTLs from responses are used.
    pub ttl_bounds: TtlBounds,
    /// The pause after a failed lookup; doubles with each consecutive failure, up to `max_retry_pause`.
    pub retry_pause: Micros,
    /// The longest pause after a failed lookup.
    pub max_retry_pause: Micros,
    /// How many questions may be in flight at a time; further ones wait.
    pub max_questions: usize,
    /// How many targets of the service are used; further ones are ignored.
    pub max_targets: usize,
}

impl ResolverConfig {
    /// The default settings for a service and its name servers.
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

    /// Checks the ranges that the types do not enforce.
    ///
    /// # Errors
    /// The first invalid value, with its key and the expected range.
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

/// Limits on TTLs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TtlBounds {
    /// The minimum TTL, so that a TTL of 0 does not cause queries without a pause.
    pub floor: Micros,
    /// The maximum TTL of records.
    pub ceiling: Micros,
    /// The maximum TTL of negative answers (RFC 2308, section 5).
    pub negative: Micros,
}

impl TtlBounds {
    /// Converts the TTL of records to microseconds within the limits.
    pub(crate) fn clamp_record_ttl(&self, ttl_s: u32) -> Micros {
        (u64::from(ttl_s) * 1_000_000).clamp(self.floor, self.ceiling)
    }

    /// Converts the TTL of a negative answer to microseconds within the limits.
    pub(crate) fn clamp_negative_ttl(&self, ttl_s: u32) -> Micros {
        self.clamp_record_ttl(ttl_s)
            .min(self.negative.max(self.floor))
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
