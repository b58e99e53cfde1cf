//! What goes wrong, as TOML: which calls fail, how, and how often.

use serde::Deserialize;

/// A plan.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Draws are the same for the same seed and the same order of calls.
    pub seed: u64,
    /// What goes wrong; the first rule that is drawn counts.
    pub rule: Vec<Rule>,
}

/// One way in which calls go wrong.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The call.
    pub call: Call,
    /// One call in so many, on the mean; 1 is every call.
    pub one_in: u64,
    /// What becomes of it.
    pub fault: Fault,
}

/// Calls that can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A connection is taken from a listener.
    Accept,
    /// Bytes are read from a socket.
    Read,
    /// Bytes are written to a socket.
    Write,
    /// A socket is connected.
    Connect,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Fault {
    /// A signal interrupts it.
    Eintr,
    /// The connection was gone before it was taken; the connection is gone with the error.
    Econnaborted,
    /// The process has no descriptor left.
    Emfile,
    /// The system has none left.
    Enfile,
    /// The system has no buffers left.
    Enobufs,
    /// The system has no memory left.
    Enomem,
    /// No local address or port is left.
    Eaddrnotavail,
    /// The network can't be reached.
    Enetunreach,
    /// The host can't be reached.
    Ehostunreach,
    /// Nobody answered.
    Etimedout,
    /// It moves so many bytes at most.
    #[serde(rename = "short")]
    Short(usize),
}

impl Fault {
    /// Its number, where it is an error.
    pub fn errno(self) -> Option<i32> {
        match self {
            Fault::Eintr => Some(libc::EINTR),
            Fault::Econnaborted => Some(libc::ECONNABORTED),
            Fault::Emfile => Some(libc::EMFILE),
            Fault::Enfile => Some(libc::ENFILE),
            Fault::Enobufs => Some(libc::ENOBUFS),
            Fault::Enomem => Some(libc::ENOMEM),
            Fault::Eaddrnotavail => Some(libc::EADDRNOTAVAIL),
            Fault::Enetunreach => Some(libc::ENETUNREACH),
            Fault::Ehostunreach => Some(libc::EHOSTUNREACH),
            Fault::Etimedout => Some(libc::ETIMEDOUT),
            Fault::Short(_) => None,
        }
    }
}

impl Plan {
    /// Reads a plan; an error names the key and its line.
    pub fn read(text: &str) -> Result<Plan, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// What becomes of the call with this number, if anything but success.
    pub fn draw(&self, call: Call, number: u64) -> Option<Fault> {
        let mut rules = self
            .rule
            .iter()
            .enumerate()
            .filter(|(_, rule)| rule.call == call);
        let drawn = |place: usize, rule: &Rule| {
            let key = self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (place as u64) << 56;
            mix(key).is_multiple_of(rule.one_in.max(1))
        };
        rules
            .find(|(place, rule)| drawn(*place, rule))
            .map(|(_, rule)| rule.fault)
    }
}

/// The finalizer of SplitMix64: near numbers become unlike ones.
fn mix(mut key: u64) -> u64 {
    key = (key ^ key >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    key = (key ^ key >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ key >> 31
}

#[cfg(test)]
mod tests;
