//! Errors of the configuration, of decoding, and of lookups.

use crate::answer::MAX_ALIASES;
use crate::resolver::MAX_QUESTION_ROUNDS;
use std::net::SocketAddr;

/// A text is not a valid domain name; the message is the parser's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct NameError(pub(crate) String);

/// Bytes are not a valid DNS response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a DNS message; the text is the decoder's.
    #[error("{0}")]
    Malformed(String),
    /// The message is a query.
    #[error("received a query instead of a response")]
    NotAResponse,
}

/// A configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolverConfigError {
    /// The service's name is not a domain name.
    #[error("name: expected a domain name ({0})")]
    InvalidName(#[source] NameError),
    /// A value is out of range.
    #[error("{key}: {expected}")]
    InvalidValue {
        /// The key of the value in the operator's settings file.
        key: &'static str,
        /// The valid values, as "expected ...".
        expected: &'static str,
    },
    /// `max_questions` or `max_targets` is 0.
    #[error("most_questions, most_targets: {AT_LEAST_ONE}")]
    ZeroLimit,
}

/// The valid values of a limit.
const AT_LEAST_ONE: &str = "expected at least 1";

impl ResolverConfigError {
    /// The invalid key in the operator's settings file. For [`ResolverConfigError::ZeroLimit`], the first of its two
    /// keys.
    pub fn key(&self) -> &'static str {
        match self {
            ResolverConfigError::InvalidName(_) => "name",
            ResolverConfigError::InvalidValue { key, .. } => key,
            ResolverConfigError::ZeroLimit => "most_questions",
        }
    }

    /// The valid values, as "expected ...".
    pub fn expected(&self) -> String {
        match self {
            ResolverConfigError::InvalidName(error) => {
                format!("expected a domain name ({error})")
            }
            ResolverConfigError::InvalidValue { expected, .. } => (*expected).to_string(),
            ResolverConfigError::ZeroLimit => AT_LEAST_ONE.to_string(),
        }
    }
}

/// A chain of aliases (CNAME records) cannot be resolved.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AliasError {
    /// The aliases of a name lead back to it.
    #[error("{name}: its CNAME records form a loop")]
    Loop {
        /// The name that occurs twice in the chain.
        name: String,
    },
    /// The chain is longer than the limit on aliases.
    #[error("{name}: more than {MAX_ALIASES} CNAME records in a chain")]
    TooMany {
        /// The queried name.
        name: String,
    },
}

/// The transport protocol of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram per message.
    Udp,
    /// One connection per attempt.
    Tcp,
}

impl std::fmt::Display for Transport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Transport::Udp => "UDP",
            Transport::Tcp => "TCP",
        })
    }
}

/// An attempt at a name server has failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// No response arrived before the timeout.
    #[error("no response over {0} before the timeout")]
    Timeout(Transport),
    /// The response can't be decoded.
    #[error("response could not be decoded ({0})")]
    Undecodable(#[source] DecodeError),
    /// The id or the question of the response does not match the query.
    #[error("id or question of the response does not match the query")]
    Mismatched,
    /// The response is truncated although it was sent over TCP.
    #[error("response truncated over TCP")]
    TruncatedOverTcp,
    /// The name server returned a referral to other servers, which a stub resolver does not follow.
    #[error("referral to other name servers instead of an answer")]
    Referral,
    /// The response has this error code.
    #[error("response code {0}")]
    ErrorResponse(u16),
    /// The socket failed or the connection was closed; the text is the operating system's or the driver's.
    #[error("{0}")]
    SocketClosed(String),
}

/// A question could not be answered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuestionError {
    /// No attempt has been made.
    #[error("no name server was queried")]
    NotAsked,
    /// All attempts have failed; this is the last one.
    #[error("{server}: {failure}")]
    Attempt {
        /// The address of the name server.
        server: SocketAddr,
        /// The cause of the failure.
        failure: AttemptFailure,
    },
    /// The aliases of the name cannot be resolved.
    #[error(transparent)]
    Alias(#[from] AliasError),
}

/// A service lookup has failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// The SRV records of the service, or an alias that leads to them, could not be looked up.
    #[error(transparent)]
    Question(#[from] QuestionError),
    /// The answers led to more rounds of further questions than the limit on rounds.
    #[error(
        "lookup abandoned: the answers led to more than {MAX_QUESTION_ROUNDS} rounds of questions"
    )]
    TooManyRounds,
}
