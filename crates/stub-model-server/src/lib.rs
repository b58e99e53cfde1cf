//! Stub model servers on loopback, for tests, benches and experiments.
//!
//! `tokens` computes an answer's text from the prompt alone, so that every continuation has exactly one right text.
//! `script` says which requests get which fault. `answer` turns a request and a script into a plan, without a socket,
//! and `server` carries plans out over HTTP/1.1 and records them. `checker` compares what clients received with what
//! the servers recorded, and reports violated rules.

mod answer;
mod checker;
mod event_stream;
mod script;
mod server;
mod tokens;

pub use answer::{plan, ChatRequest, PlanStep, ResponsePlan};
pub use checker::{check, CheckReport, ClientObservation, ClientOutcome};
pub use event_stream::{read_stream, ReceivedStream, ReportedUsage};
pub use script::{AnswerPart, FaultRule, ReplyFault, ReplyScript};
pub use server::{ServedRequest, StubServers};
pub use tokens::{answer_text, answer_token, split_prompt};
