//! Why a configuration is rejected, a message can't be read, or a look-up has failed.

use crate::answer::MAX_ALIASES;
use std::net::SocketAddr;

/// Why a text is no domain name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct NameError(pub(crate) String);

/// Why bytes are no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are no DNS message; the text is the decoder's.
    #[error("{0}")]
    Malformed(String),
    /// The message is a query.
    #[error("a question where an answer was expected")]
    NotAResponse,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolverConfigError {
    /// The service's name is no domain name.
    #[error("name: expected a domain name ({0})")]
    InvalidName(#[source] NameError),
    /// A value is out of its range.
    #[error("{key}: {expected}")]
    InvalidValue {
        /// The key of the value in the operators' file.
        key: &'static str,
        /// What would be right.
        expected: &'static str,
    },
    /// One of the limits is 0.
    #[error("most_questions, most_targets: {AT_LEAST_ONE}")]
    ZeroLimit,
}

/// What would be right for a limit.
const AT_LEAST_ONE: &str = "expected at least 1";

impl ResolverConfigError {
    /// The key at fault in the operators' file; the first one where there are several.
    pub fn key(&self) -> &'static str {
        match self {
            ResolverConfigError::InvalidName(_) => "name",
            ResolverConfigError::InvalidValue { key, .. } => key,
            ResolverConfigError::ZeroLimit => "most_questions",
        }
    }

    /// What would be right.
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

/// Why aliases lead nowhere.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AliasError {
    /// The aliases of a name lead back to it.
    #[error("{name}: its aliases go round in a circle")]
    Loop {
        /// The name.
        name: String,
    },
    /// There are more aliases than are followed.
    #[error("{name}: more than {MAX_ALIASES} aliases")]
    TooMany {
        /// The name that was asked for.
        name: String,
    },
}

/// The protocol that carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Datagrams.
    Udp,
    /// A connection.
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

/// Why an attempt at a name server has failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// No response came in time.
    #[error("no answer in time over {0}")]
    Timeout(Transport),
    /// The response can't be read.
    #[error("unreadable answer ({0})")]
    Undecodable(#[source] DecodeError),
    /// The response has another id or another question.
    #[error("answer to another question")]
    Mismatched,
    /// The response is truncated although it came over TCP.
    #[error("answer truncated over TCP too")]
    TruncatedOverTcp,
    /// The name server names others instead of answering.
    #[error("it refers to other servers")]
    Referral,
    /// The response has an error code.
    #[error("response code {0}")]
    ErrorResponse(u16),
    /// The socket failed or the connection ended; the text is the system's.
    #[error("{0}")]
    SocketClosed(String),
}

/// Why a question has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuestionError {
    /// No name server was asked.
    #[error("no name server was asked")]
    NotAsked,
    /// The last attempt has failed.
    #[error("{server}: {failure}")]
    Attempt {
        /// The name server.
        server: SocketAddr,
        /// Why.
        failure: AttemptFailure,
    },
    /// The aliases of the name lead nowhere.
    #[error(transparent)]
    Alias(#[from] AliasError),
}

/// Why a service can't be looked up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// A question that is needed has no answer.
    #[error(transparent)]
    Question(#[from] QuestionError),
    /// The answers need further questions again and again.
    #[error("the answers lead on without an end")]
    TooManyRounds,
}
