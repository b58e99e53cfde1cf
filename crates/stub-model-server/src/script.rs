//! What a stand-in does, as TOML: how fast it answers, and which requests go wrong in which way.

#![expect(clippy::missing_errors_doc, reason = "not yet converted")]

use serde::Deserialize;

/// A script.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Script {
    /// Time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Time from one token to the next, in milliseconds.
    pub gap_ms: u64,
    /// Tokens of an answer, where the request asks for no fewer.
    pub tokens: usize,
    /// What goes wrong; the first rule that fits a request counts.
    pub rule: Vec<Rule>,
}

impl Default for Script {
    fn default() -> Self {
        Script {
            first_ms: 0,
            gap_ms: 0,
            tokens: 12,
            rule: Vec::new(),
        }
    }
}

/// Which requests go wrong, and how.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Only requests whose prompt has this text.
    pub prompt: Option<String>,
    /// Only continuations, or none.
    pub continued: Option<bool>,
    /// One in so many of the requests that fit, the first of them included.
    #[serde(default = "one")]
    pub every: u64,
    /// Only the first request of each prompt, at whichever of the servers it comes.
    #[serde(default)]
    pub once: bool,
    /// So many at most.
    pub most: Option<u64>,
    /// What goes wrong.
    pub fault: Fault,
}

fn one() -> u64 {
    1
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// After this many events nothing comes for so many milliseconds; then it goes on.
    Stall {
        /// Events before.
        after: usize,
        /// Milliseconds.
        ms: u64,
    },
    /// Events come this many milliseconds apart.
    Trickle(u64),
    /// The connection ends after this many bytes of the body.
    CutBytes {
        /// Bytes, chunk framing counted.
        after: usize,
        /// By a reset, not in order.
        #[serde(default)]
        reset: bool,
    },
    /// The connection ends after as many bytes of the body as the prompt says behind `cut=`.
    CutNamed {
        /// By a reset, not in order.
        #[serde(default)]
        reset: bool,
    },
    /// The connection ends before this part.
    CutBefore {
        /// Which.
        part: Part,
        /// By a reset, not in order.
        #[serde(default)]
        reset: bool,
    },
    /// This event comes twice.
    Repeat(usize),
    /// After the end come more events.
    GoOn,
    /// The answer comes on its connection, and on another one too, where this server has one that is idle.
    Twice,
    /// This status, without a stream.
    Status(u16),
    /// Nothing at all.
    Silent,
}

/// A part of an answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The event with the finish reason.
    Finish,
    /// The event with the usage.
    Usage,
    /// `[DONE]`.
    Done,
    /// The last chunk.
    LastChunk,
}

impl Script {
    /// Reads a script; an error names the key and its line.
    pub fn read(text: &str) -> Result<Script, String> {
        toml::from_str(text).map_err(|e| e.to_string())
    }

    /// The same with one more rule, for all requests that no rule before it fits.
    pub fn with(mut self, fault: Fault) -> Script {
        self.rule.push(Rule {
            prompt: None,
            continued: None,
            every: 1,
            once: false,
            most: None,
            fault,
        });
        self
    }
}
