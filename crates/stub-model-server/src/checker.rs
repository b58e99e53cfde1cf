//! The checker of the rules: every request one final outcome, nothing doubled, nothing missing inside a text, nothing
//! after an end, nothing that no server made.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::server::Record;
use crate::tokens;
use serde_json::Value;
use std::collections::BTreeMap;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With the last chunk.
    Whole,
    /// With an event that says it failed, and without the last chunk.
    Told,
    /// Without the last chunk.
    Cut,
    /// With a status that is no success.
    Refused(u16),
    /// Not at all.
    Never,
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The request's id.
    pub id: String,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of a whole answer.
    pub tokens: usize,
    /// Usage was asked for.
    pub usage: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// The body's bytes, chunk framing taken off.
    pub body: Vec<u8>,
}

/// What the checker found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Requests looked at.
    pub requests: usize,
    /// Answers that were whole.
    pub whole: usize,
    /// Whole ones that several servers wrote.
    pub continued: usize,
    /// Requests that failed, by word or by a cut.
    pub failed: usize,
    /// Requests turned away.
    pub refused: usize,
    /// Tokens that servers were asked for beyond those of one answer each.
    pub extra_tokens: u64,
    /// Broken rules, in words.
    pub broken: Vec<String>,
}

/// The text, ids, finish reasons, usages and the end of a stream's events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stream {
    /// The text.
    pub text: String,
    /// Ids of chunks, without repeats.
    pub ids: Vec<String>,
    /// Finish reasons, in order.
    pub finish: Vec<String>,
    /// Usages: tokens of prompt and answer.
    pub usage: Vec<(u64, u64)>,
    /// Events of `[DONE]`.
    pub done: usize,
    /// Events with an error.
    pub errors: usize,
    /// Events after `[DONE]` or after an error.
    pub after: usize,
    /// Events that could not be read.
    pub unreadable: usize,
}

/// Reads a body's events.
pub fn read_stream(body: &[u8]) -> Stream {
    let mut stream = Stream::default();
    let text = String::from_utf8_lossy(body);
    for event in text.split("\n\n").filter(|e| !e.is_empty()) {
        let Some(data) = event.strip_prefix("data: ") else {
            stream.unreadable += usize::from(!event.starts_with(':'));
            continue;
        };
        stream.after += usize::from(stream.done + stream.errors > 0);
        if data == "[DONE]" {
            stream.done += 1;
            continue;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            stream.unreadable += 1;
            continue;
        };
        stream.errors += usize::from(chunk.get("error").is_some());
        let id = chunk["id"].as_str().unwrap_or_default().to_string();
        if chunk.get("error").is_none() && !stream.ids.contains(&id) {
            stream.ids.push(id);
        }
        for choice in chunk["choices"].as_array().into_iter().flatten() {
            stream
                .text
                .push_str(choice["delta"]["content"].as_str().unwrap_or_default());
            stream
                .finish
                .extend(choice["finish_reason"].as_str().map(String::from));
        }
        let usage = &chunk["usage"];
        if let (Some(prompt), Some(answer)) = (
            usage["prompt_tokens"].as_u64(),
            usage["completion_tokens"].as_u64(),
        ) {
            stream.usage.push((prompt, answer));
        }
    }
    stream
}

/// Checks what clients saw against what servers noted.
pub fn check(seen: &[Seen], records: &[Record]) -> Verdict {
    let mut verdict = Verdict {
        requests: seen.len(),
        ..Verdict::default()
    };
    let mut by_prompt: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_prompt.entry(&record.prompt).or_default().push(record);
    }
    for one in seen {
        let stream = read_stream(&one.body);
        let served = by_prompt
            .get(one.prompt.as_str())
            .map_or(&[][..], |v| &v[..]);
        let asked: usize = served.iter().map(|r| r.tokens).sum();
        verdict.extra_tokens += asked.saturating_sub(one.tokens) as u64;
        let mut bad = |what: &str| {
            verdict
                .broken
                .push(format!("{} ({:?}): {what}", one.id, one.outcome));
        };
        let right = tokens::text(&one.prompt, one.tokens);
        if !right.starts_with(&stream.text) {
            bad(&format!(
                "the text is not the beginning of the right one: '{}'",
                stream.text
            ));
        }
        if stream.ids.len() > 1 {
            bad(&format!("several ids: {:?}", stream.ids));
        }
        if stream.finish.len() > 1 || stream.done > 1 || stream.usage.len() > 1 {
            bad("something that comes once came twice");
        }
        if stream.after > 0 {
            bad("events after the end");
        }
        if !stream.text.is_empty() && served.is_empty() {
            bad("text that no server made");
        }
        for (_, answer) in &stream.usage {
            if *answer != one.tokens as u64 {
                bad(&format!(
                    "a usage of {answer} tokens for an answer of {}",
                    one.tokens
                ));
            }
        }
        match one.outcome {
            Outcome::Whole => {
                verdict.whole += 1;
                verdict.continued +=
                    usize::from(served.iter().filter(|r| r.written > 0).count() > 1);
                if stream.text != right {
                    bad("the text is not whole, and the answer says it is");
                }
                if stream.finish.len() != 1 || stream.done != 1 {
                    bad("a whole answer lacks its finish reason or its end");
                }
            }
            Outcome::Told => {
                verdict.failed += 1;
                if stream.errors != 1 {
                    bad("an answer that says it failed without a word why");
                }
            }
            Outcome::Cut => verdict.failed += 1,
            Outcome::Refused(_) => verdict.refused += 1,
            Outcome::Never => bad("no final outcome"),
        }
    }
    verdict
}
