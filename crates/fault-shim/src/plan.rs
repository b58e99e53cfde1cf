//! A plan of faults, as TOML: which system calls fail, how, and how often.

use serde::Deserialize;

/// Separates the numbers of calls before they are mixed: 2^64 divided by the golden ratio.
const CALL_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// The bits of a key in which the position of a rule goes.
const RULE_SHIFT: u32 = 56;

/// Which system calls fail.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// The same seed and the same order of calls give the same faults.
    pub seed: u64,
    /// The first rule that applies to a call counts.
    #[serde(rename = "rule")]
    pub rules: Vec<CallFaultRule>,
}

/// How often calls of one kind fail, and how.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallFaultRule {
    /// The kind of call.
    pub call: SystemCall,
    /// One call in this many fails on average; 1 is every call.
    pub one_in: u64,
    /// What happens instead of the call.
    pub fault: CallFault,
}

/// The kinds of calls that can fail.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum SystemCall {
    /// A connection is taken from a listener.
    Accept,
    /// Bytes are read from a socket.
    Read,
    /// Bytes are written to a socket.
    Write,
    /// A socket is connected.
    Connect,
}

/// What happens instead of a call. The errors have their names of errno(3).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CallFault {
    /// A signal interrupts the call.
    Eintr,
    /// The connection was reset before it was accepted, and is lost.
    Econnaborted,
    /// The process has no descriptor left.
    Emfile,
    /// The system has no descriptor left.
    Enfile,
    /// The system has no buffers left.
    Enobufs,
    /// The system has no memory left.
    Enomem,
    /// No local address or port is left.
    Eaddrnotavail,
    /// The network cannot be reached.
    Enetunreach,
    /// The host cannot be reached.
    Ehostunreach,
    /// The host did not answer.
    Etimedout,
    /// The call moves at most this many bytes.
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
    /// Returns an error that names the key and its line where the text is no plan.
    pub fn parse(text: &str) -> Result<FaultPlan, toml::de::Error> {
        toml::from_str(text)
    }

    /// The fault of the call with this number; `None` if it succeeds.
    pub fn fault_for(&self, call: SystemCall, call_number: u64) -> Option<CallFault> {
        let (_, rule) = self
            .rules
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.call == call)
            .find(|(position, rule)| self.is_due(*position, rule, call_number))?;
        Some(rule.fault)
    }

    fn is_due(&self, position: usize, rule: &CallFaultRule, call_number: u64) -> bool {
        let rule_bits = (position as u64) << RULE_SHIFT;
        let key = self.seed ^ call_number.wrapping_mul(CALL_STRIDE) ^ rule_bits;
        mix_bits(key).is_multiple_of(rule.one_in.max(1))
    }
}

/// The finalizer of `SplitMix64`, which gives unlike results for similar keys.
fn mix_bits(mut key: u64) -> u64 {
    key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}

#[cfg(test)]
mod tests;
