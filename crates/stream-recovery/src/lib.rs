//! Detects stalled and broken response streams and decides how to recover them.
//!
//! This crate performs no I/O and reads no clock: the caller passes in events, bytes and the current time. Times are
//! microseconds on a monotonic clock. `docs/streams.md` has the table of states and the alternatives considered.
//!
//! - [`GapHistogram`] and [`StallDetector`]: compute the silence limit of a stream and track its state.
//! - [`StreamTranscript`]: records what was forwarded to a client and merges the streams of several replicas into one.
//! - [`decide_recovery`]: decides how to end an interrupted stream, within a [`ContinuationBudget`].

mod budget;
mod gaps;
mod recovery;
mod sse;
mod stall_detection;
mod transcript;

pub use budget::{ContinuationBudget, ContinuationLimits};
pub use gaps::{GapHistogram, StallLimits};
pub use recovery::{decide_recovery, InterruptedStream, RecoveryDecision, RecoveryRefusal};
pub use stall_detection::{StallCause, StallDetector, StreamLimits, StreamState};
pub use transcript::{ContinuationObstacle, ForwardedBytes, StreamProgress, StreamTranscript};

/// A time on a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;
