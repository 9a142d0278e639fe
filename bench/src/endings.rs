//! Table of how the requests of a run ended, from the instances' log lines.
//!
//! Reads JSON log lines, with or without other text before them on the line,
//! and skips everything else. Requests are grouped by outcome, cause, kind of
//! prompt and phase, with the ids of the first ones of each group, so that an
//! on-call engineer sees the largest causes first and can follow one of them.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    io::{self, BufRead},
    sync::Arc,
};

use serde::Deserialize;

/// Ids that are kept of each group.
const EXAMPLES_MAX: usize = 2;
/// Prompt tokens from which a prompt counts as long.
const LONG_PROMPT_MIN: u64 = 100_000;
/// Prompt tokens from which a prompt counts as medium.
const MEDIUM_PROMPT_MIN: u64 = 20_000;

/// Size class of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptClass {
    /// No prompt, or one whose size is not known.
    None,
    /// Below 20,000 tokens.
    Short,
    /// Below 100,000 tokens.
    Medium,
    /// From 100,000 tokens.
    Long,
}

impl PromptClass {
    fn new(tokens: u64) -> Self {
        match tokens {
            0 => Self::None,
            LONG_PROMPT_MIN.. => Self::Long,
            MEDIUM_PROMPT_MIN.. => Self::Medium,
            _ => Self::Short,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::None => "-",
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
        }
    }
}

/// How far a request had come when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// It was refused before a route or key matched.
    Admission,
    /// It was never sent to an upstream.
    Waiting,
    /// It was sent, and no part of an answer had arrived.
    BeforeFirstEvent,
    /// A part of the answer had arrived.
    Answering,
}

impl RequestPhase {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Waiting => "waiting",
            Self::BeforeFirstEvent => "before first event",
            Self::Answering => "answering",
        }
    }
}

/// Requests that ended in the same way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndingGroup {
    /// Outcome in the log, or `no_end` if the log has no end of the request.
    pub outcome: Arc<str>,
    /// Target that was missed, or the message without ids and numbers.
    pub cause: Arc<str>,
    /// Size class of the prompt.
    pub class: PromptClass,
    /// Phase in which the request ended.
    pub phase: RequestPhase,
}

/// Size of a group and the first ids in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndingCount {
    /// Number of requests.
    pub requests: u64,
    /// Ids of the first ones.
    pub examples: Vec<Arc<str>>,
}

/// Endings of all requests of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndingTable {
    groups: BTreeMap<EndingGroup, EndingCount>,
}

#[derive(Deserialize)]
struct LogLine {
    message: Arc<str>,
    kvs: BTreeMap<String, serde_json::Value>,
}

impl LogLine {
    /// Parses the JSON object that ends a line; `None` for other lines.
    fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    }

    fn text(&self, key: &str) -> &str {
        let value = self.kvs.get(key);
        value.and_then(|value| value.as_str()).unwrap_or("-")
    }

    fn number(&self, key: &str) -> u64 {
        self.text(key).parse().unwrap_or_default()
    }
}

/// State of one request while its lines are read.
#[derive(Debug, Default)]
struct RequestLines {
    prompt: u64,
    sends: u64,
    end: Option<EndingGroup>,
}

impl EndingTable {
    /// Reads log lines until the end of `input`. Fails if it cannot be read.
    pub fn read(input: impl BufRead) -> io::Result<Self> {
        let mut requests = BTreeMap::<Arc<str>, RequestLines>::new();
        for line in input.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if let Some(line) = LogLine::parse(&line) {
                let id = line.text("request");
                if id != "-" {
                    requests.entry(id.into()).or_default().add(&line);
                }
            }
        }
        let mut table = Self::default();
        for (id, lines) in requests {
            let count = table.groups.entry(lines.into_group()).or_default();
            count.requests += 1;
            if count.examples.len() < EXAMPLES_MAX {
                count.examples.push(id);
            }
        }
        Ok(table)
    }

    /// Groups with their sizes, the largest first.
    pub fn groups(&self) -> Vec<(&EndingGroup, &EndingCount)> {
        let mut groups: Vec<_> = self.groups.iter().collect();
        groups.sort_by_key(|(_, count)| std::cmp::Reverse(count.requests));
        groups
    }
}

impl Display for EndingTable {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            formatter,
            "{:>8}  {:16}  {:7}  {:18}  cause, examples",
            "requests", "outcome", "prompt", "phase",
        )?;
        for (group, count) in self.groups() {
            writeln!(
                formatter,
                "{:>8}  {:16}  {:7}  {:18}  {}, {}",
                count.requests,
                group.outcome,
                group.class.as_str(),
                group.phase.as_str(),
                group.cause,
                count.examples.join(" "),
            )?;
        }
        Ok(())
    }
}

impl RequestLines {
    fn add(&mut self, line: &LogLine) {
        self.prompt = self.prompt.max(line.number("prompt"));
        match line.text("name") {
            "request_placed" => self.sends += 1,
            "request_finished" => {
                let late = line.text("late");
                let cause = match line.text("outcome") {
                    "answered" if late == "in_time" => "-".into(),
                    "answered" => format!("late: {late}"),
                    _ => without_ids(&line.message),
                };
                self.set_end(line, line.text("outcome"), &cause);
            }
            "caller_left" => {
                self.set_end(line, "caller_left", "-");
            }
            "request_rejected" => {
                self.set_end(line, "rejected", line.text("code"));
            }
            _ => {}
        }
    }

    fn set_end(&mut self, line: &LogLine, outcome: &str, cause: &str) {
        let phase = if outcome == "rejected" {
            RequestPhase::Admission
        } else if line.text("first_event_ms") != "-" {
            RequestPhase::Answering
        } else if line.number("sends") > 0 {
            RequestPhase::BeforeFirstEvent
        } else {
            RequestPhase::Waiting
        };
        self.end = Some(EndingGroup {
            outcome: outcome.into(),
            cause: cause.into(),
            class: PromptClass::None,
            phase,
        });
    }

    fn into_group(self) -> EndingGroup {
        // A process that is killed logs no end of its requests.
        let end = self.end.unwrap_or_else(|| EndingGroup {
            outcome: "no_end".into(),
            cause: "-".into(),
            class: PromptClass::None,
            phase: if self.sends > 0 {
                RequestPhase::BeforeFirstEvent
            } else {
                RequestPhase::Waiting
            },
        });
        EndingGroup {
            class: PromptClass::new(self.prompt),
            ..end
        }
    }
}

/// Replaces words with digits, such as ids, numbers and times, by `#`.
fn without_ids(message: &str) -> String {
    let words = message.split(' ').map(|word| {
        if word.chars().any(|char| char.is_ascii_digit()) {
            "#"
        } else {
            word
        }
    });
    words.collect::<Vec<_>>().join(" ")
}
