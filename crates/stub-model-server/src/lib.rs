//! Stand-in model servers on loopback, for tests, trials and experiments.
//!
//! `tokens` makes an answer's text from the prompt alone, so that every continuation has one right text; `script`
//! says what goes wrong and when; `answer` turns a request and a script into pieces to be sent at times, without a
//! socket; `server` serves that over HTTP/1.1. `checker` reads what clients and servers recorded and says which
//! rules were broken; tests and experiments use the same one.

mod answer;
mod checker;
mod script;
mod server;
mod tokens;

pub use answer::{plan, Ask, Plan, Step};
pub use checker::{check, read_stream, Outcome, Seen, Stream, Verdict};
pub use script::{Fault, Part, Rule, Script};
pub use server::{Record, Standin};
pub use tokens::{prompt, text, token};
