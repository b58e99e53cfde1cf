//! Answers that stream: whether they flow, stall or break, and what can be recovered of them.
//!
//! Nothing here reads a socket or a clock: events, bytes and the time are fed in. Times are microseconds on a monotonic
//! clock. `docs/streams.md` has the table of states and the alternatives that were weighed.
//!
//! - [`GapHistogram`] and [`StallDetector`]: how long a silence may last in a stream, and what state the stream is in.
//! - [`StreamTranscript`]: what has been forwarded to a client, and how the streams of several replicas become one.
//! - [`decide_recovery`]: how a stream that ended too early is to end, within a [`ContinuationBudget`].

mod budget;
mod gaps;
mod recovery;
mod sse;
mod stall_detection;
mod transcript;

pub use budget::{ContinuationBudget, ContinuationLimits};
pub use gaps::{GapHistogram, StallLimits};
pub use recovery::{decide_recovery, InterruptedStream, RecoveryDecision, RecoveryRefusal};
pub use stall_detection::{StallDetector, StreamState};
pub use transcript::{ContinuationObstacle, ForwardedBytes, StreamProgress, StreamTranscript};

/// Microseconds on a monotonic clock, or a span of them.
pub type Micros = u64;
