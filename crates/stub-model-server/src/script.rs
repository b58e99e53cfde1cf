//! The script of a stub server, as TOML: how fast it answers, and which requests it answers with a fault.

use serde::Deserialize;

/// How a server answers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ReplyScript {
    /// Time to the first token, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub token_gap_ms: u64,
    /// Tokens of an answer, where the request does not limit it to fewer.
    #[serde(rename = "tokens")]
    pub token_count: usize,
    /// Which requests get a fault; the first rule that applies to a request counts.
    #[serde(rename = "rule")]
    pub rules: Vec<FaultRule>,
}

impl Default for ReplyScript {
    fn default() -> Self {
        ReplyScript {
            first_token_ms: 0,
            token_gap_ms: 0,
            token_count: 12,
            rules: Vec::new(),
        }
    }
}

/// Which requests get a fault, and which fault.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Only requests whose prompt contains this text.
    pub prompt: Option<String>,
    /// Only requests that continue an answer, or only those that do not.
    #[serde(rename = "continued")]
    pub is_continuation: Option<bool>,
    /// One in this many of the requests that the rule applies to, the first one included.
    #[serde(default = "every_request")]
    pub every: u64,
    /// Only the first request of each prompt, at whichever of the servers it arrives.
    #[serde(default, rename = "once")]
    pub first_of_prompt_only: bool,
    /// At most this many requests.
    #[serde(rename = "most")]
    pub max_count: Option<u64>,
    /// The fault.
    pub fault: ReplyFault,
}

fn every_request() -> u64 {
    1
}

/// What goes wrong with an answer.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// The stream is silent for a time in its midst, and then goes on.
    Stall {
        /// Events before the silence.
        after: usize,
        /// Length of the silence, in milliseconds.
        ms: u64,
    },
    /// Events come this many milliseconds apart.
    #[serde(rename = "trickle")]
    SlowTokens(u64),
    /// The connection ends after this many bytes of the body.
    #[serde(rename = "cut-bytes")]
    CutAfterBytes {
        /// Bytes, chunk framing counted.
        after: usize,
        /// Whether it ends by a reset instead of an orderly close.
        #[serde(default)]
        reset: bool,
    },
    /// The connection ends after as many bytes of the body as the prompt says after `cut=`.
    #[serde(rename = "cut-named")]
    CutAtPromptOffset {
        /// Whether it ends by a reset instead of an orderly close.
        #[serde(default)]
        reset: bool,
    },
    /// The connection ends before this part of the answer.
    CutBefore {
        /// The part that is missing.
        part: AnswerPart,
        /// Whether it ends by a reset instead of an orderly close.
        #[serde(default)]
        reset: bool,
    },
    /// The event of this index is sent twice.
    #[serde(rename = "repeat")]
    RepeatEvent(usize),
    /// More events follow the end.
    #[serde(rename = "go-on")]
    EventsAfterEnd,
    /// The answer is sent on its connection, and on another one too, where this server has an idle one.
    #[serde(rename = "twice")]
    DuplicateOnIdleConnection,
    /// A response with this status, without a stream.
    Status(u16),
    /// No response at all.
    Silent,
}

/// A part of an answer before which the connection can be cut.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerPart {
    /// The event with the finish reason.
    Finish,
    /// The event with the usage.
    Usage,
    /// The event `[DONE]`.
    Done,
    /// The last chunk of the body.
    LastChunk,
}

impl ReplyScript {
    /// Parses a script.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key and its line where the text is no script.
    pub fn parse(text: &str) -> Result<ReplyScript, toml::de::Error> {
        toml::from_str(text)
    }

    /// The same script with one more rule, for all requests to which no earlier rule applies.
    #[must_use]
    pub fn with_fault(mut self, fault: ReplyFault) -> ReplyScript {
        self.rules.push(FaultRule {
            prompt: None,
            is_continuation: None,
            every: 1,
            first_of_prompt_only: false,
            max_count: None,
            fault,
        });
        self
    }
}
