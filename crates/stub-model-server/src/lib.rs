//! Stub model servers on loopback, for tests, benches and experiments.
//!
//! - `tokens`: computes the text of an answer from the prompt alone, so each continuation has one correct text.
//! - `script`: defines which requests are answered with which fault.
//! - `response_plan`: builds the plan of a response from a request and a script, without sockets.
//! - `server`: executes plans over HTTP/1.1 and records the requests.
//! - `checker`: compares the responses that clients received with the records and reports violated rules.

mod checker;
mod event_stream;
mod response_plan;
mod script;
mod server;
mod tokens;

pub use checker::{check, CheckReport, ClientObservation, ClientOutcome};
pub use event_stream::{parse_stream, ReceivedStream, ReportedUsage};
pub use response_plan::{plan_response, ChatRequest, PlanStep, ResponsePlan};
pub use script::{AnswerPart, FaultRule, ReplyFault, ReplyScript};
pub use server::{ServedRequest, StubServers};
pub use tokens::{answer_text, answer_token, split_prompt};
