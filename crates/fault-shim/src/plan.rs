//! The fault plan, a TOML file: which system calls fail, how, and how often.

use serde::Deserialize;

/// Multiplier that spreads call numbers over 64 bits before mixing: 2^64 divided by the golden ratio.
const CALL_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Position in bits of a rule's index within the key that is hashed for a call.
const RULE_SHIFT: u32 = 56;

/// Defines which system calls fail.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// The seed of the selection of calls: the same seed and the same order of calls produce the same faults.
    pub seed: u64,
    /// The first rule that selects a call determines its fault.
    #[serde(rename = "rule")]
    pub rules: Vec<CallFaultRule>,
}

/// A fault for calls of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallFaultRule {
    /// The kind of call.
    pub call: SystemCall,
    /// On average, one call in this many fails. With 0 or 1 every call fails.
    pub one_in: u64,
    /// The injected fault.
    pub fault: CallFault,
}

/// The kinds of calls that can fail.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum SystemCall {
    /// accept4(2): accepts a connection.
    Accept,
    /// recv(2): reads from a socket.
    Read,
    /// send(2): writes to a socket.
    Write,
    /// connect(2): connects a socket.
    Connect,
}

/// An injected fault. Errors have their errno(3) names.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CallFault {
    /// A signal interrupts the call.
    Eintr,
    /// The connection was aborted before it was accepted, and is lost.
    Econnaborted,
    /// The process has reached its limit of file descriptors.
    Emfile,
    /// The system has reached its limit of open files.
    Enfile,
    /// No buffer space is available.
    Enobufs,
    /// No memory is available.
    Enomem,
    /// No local address or port is available.
    Eaddrnotavail,
    /// The network is unreachable.
    Enetunreach,
    /// The host is unreachable.
    Ehostunreach,
    /// The connection attempt timed out.
    Etimedout,
    /// The call succeeds but transfers at most this many bytes, and at least one.
    #[serde(rename = "short")]
    Short(usize),
}

impl CallFault {
    /// The error number; `None` for a fault that is not an error.
    pub fn errno(self) -> Option<i32> {
        match self {
            CallFault::Eintr => Some(libc::EINTR),
            CallFault::Econnaborted => Some(libc::ECONNABORTED),
            CallFault::Emfile => Some(libc::EMFILE),
            CallFault::Enfile => Some(libc::ENFILE),
            CallFault::Enobufs => Some(libc::ENOBUFS),
            CallFault::Enomem => Some(libc::ENOMEM),
            CallFault::Eaddrnotavail => Some(libc::EADDRNOTAVAIL),
            CallFault::Enetunreach => Some(libc::ENETUNREACH),
            CallFault::Ehostunreach => Some(libc::EHOSTUNREACH),
            CallFault::Etimedout => Some(libc::ETIMEDOUT),
            CallFault::Short(_) => None,
        }
    }
}

impl FaultPlan {
    /// Parses a plan.
    ///
    /// # Errors
    ///
    /// Returns an error with the key and line if the text is not a valid plan.
    pub fn parse(text: &str) -> Result<FaultPlan, toml::de::Error> {
        toml::from_str(text)
    }

    /// The fault of the call with this number; `None` if the call is not to fail.
    pub fn fault_for(&self, call: SystemCall, call_number: u64) -> Option<CallFault> {
        let (_, rule) = self
            .rules
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.call == call)
            .find(|(rule_index, rule)| self.selects_call(*rule_index, rule, call_number))?;
        Some(rule.fault)
    }

    fn selects_call(&self, rule_index: usize, rule: &CallFaultRule, call_number: u64) -> bool {
        let rule_bits = (rule_index as u64) << RULE_SHIFT;
        let key = self.seed ^ call_number.wrapping_mul(CALL_MULTIPLIER) ^ rule_bits;
        mix_bits(key).is_multiple_of(rule.one_in.max(1))
    }
}

/// The finalizer of `SplitMix64`. Similar keys give unrelated results.
fn mix_bits(mut key: u64) -> u64 {
    key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}

#[cfg(test)]
mod tests;
