//! The TOML script of a stub server: its response times, and which requests are answered with a fault.

use serde::Deserialize;

/// The script of a server.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ReplyScript {
    /// Time to the first token, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub token_gap_ms: u64,
    /// Number of tokens of a complete answer. A request can limit its response to fewer.
    #[serde(rename = "tokens")]
    pub token_count: usize,
    /// Rules that inject faults. The first rule that applies to a request is used.
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

/// Selects requests and the fault that is injected into their responses.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Applies only to requests whose prompt contains this text; `None` for all prompts.
    pub prompt: Option<String>,
    /// Applies only to requests that continue an answer (true) or only to others (false); `None` for both.
    #[serde(rename = "continued")]
    pub is_continuation: Option<bool>,
    /// Injects the fault into every nth matching request, starting with the first.
    #[serde(default = "every_request")]
    pub every: u64,
    /// Applies only to the first request of each prompt, counted across all servers.
    #[serde(default, rename = "once")]
    pub first_of_prompt_only: bool,
    /// Maximum number of faults that this rule injects; `None` for no limit.
    #[serde(rename = "most")]
    pub max_count: Option<u64>,
    /// The injected fault.
    pub fault: ReplyFault,
}

fn every_request() -> u64 {
    1
}

/// A fault of a response.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// The stream pauses and then continues.
    Stall {
        /// Number of events before the pause.
        after: usize,
        /// Length of the pause, in milliseconds.
        ms: u64,
    },
    /// The events are sent with this gap in milliseconds, instead of [`ReplyScript::token_gap_ms`].
    #[serde(rename = "trickle")]
    SlowTokens(u64),
    /// The connection is closed after a number of bytes of the body.
    #[serde(rename = "cut-bytes")]
    CutAfterBytes {
        /// Number of bytes, including chunk framing.
        after: usize,
        /// Whether to reset the connection instead of closing it in an orderly way.
        #[serde(default)]
        reset: bool,
    },
    /// The connection is closed after the number of bytes of the body that follows `cut=` in the prompt.
    #[serde(rename = "cut-named")]
    CutAtPromptOffset {
        /// Whether to reset the connection instead of closing it in an orderly way.
        #[serde(default)]
        reset: bool,
    },
    /// The connection is closed before a part of the response.
    CutBefore {
        /// The first part that is not sent.
        part: AnswerPart,
        /// Whether to reset the connection instead of closing it in an orderly way.
        #[serde(default)]
        reset: bool,
    },
    /// The event with this index is sent twice.
    #[serde(rename = "repeat")]
    RepeatEvent(usize),
    /// An event is sent after `[DONE]`.
    #[serde(rename = "go-on")]
    EventsAfterEnd,
    /// The response is also sent on an idle connection of this server, if there is one.
    #[serde(rename = "twice")]
    DuplicateOnIdleConnection,
    /// The response has this HTTP status and no stream.
    Status(u16),
    /// No response is sent.
    Silent,
}

/// A part of the response before which the connection can be closed.
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
    /// Returns an error with the key and line if the text is not a valid script.
    pub fn parse(text: &str) -> Result<ReplyScript, toml::de::Error> {
        toml::from_str(text)
    }

    /// Appends a rule that injects `fault` into the responses to all requests to which no earlier rule applies.
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
