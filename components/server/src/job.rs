//! JSON format of jobs and their answers.

use crate::Rejection;
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use site::{
    submission::{MAX_TASKS, Output, Task},
    unit::{Memory, Resources, Span},
};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const BASE64_NAME: &str = "base64";

/// A job in the request of a caller.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job<'b> {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the crew; `None` for the one in the headers.
    #[serde(default)]
    pub crew: Option<CompactString>,
    /// Identifier that the caller created with a home token.
    #[serde(default)]
    pub id: Option<CompactString>,
    /// Whether a task may run again, if the service allows it.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Time left until the caller stops waiting; `None` for the one in the headers.
    #[serde(default)]
    pub deadline: Option<CompactString>,
    /// Tasks; at least one and at most [`MAX_TASKS`].
    #[serde(borrow)]
    pub tasks: Vec<TaskInput<'b>>,
}

/// A task in the request of a caller.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskInput<'b> {
    /// Body for the endpoint: the content of a JSON string, or any other JSON value as it is.
    #[serde(borrow)]
    pub body: &'b RawValue,
    /// Media type of the body; `None` for the default of its form.
    #[serde(default)]
    pub content_type: Option<CompactString>,
    /// Encoding of a body that is a string; `None` for plain text.
    #[serde(default)]
    pub encoding: Option<Encoding>,
    /// Caller's estimate of the resources that the task needs.
    #[serde(default)]
    pub needs: Resources,
    /// Caller's estimate of the run time of the task; zero if unknown.
    #[serde(default)]
    pub run_time: Span,
}

/// Encoding of bytes as text.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Encoding {
    /// Base64 of RFC 4648 with padding.
    Base64,
}

impl<'b> Job<'b> {
    /// Parses the job in `bytes`.
    pub fn parse(bytes: &'b [u8]) -> Result<Job<'b>, Rejection> {
        let job: Job<'_> = serde_json::from_slice(bytes).map_err(|e| reject(&e))?;
        match job.tasks.len() {
            0 => Err(Rejection::NoTasks),
            tasks if tasks > MAX_TASKS => Err(Rejection::TooManyTasks { tasks }),
            _ => Ok(job),
        }
    }
}

/// Converts the tasks of a job; `limit` is the maximum size of a task's body.
pub fn parse_tasks(items: Vec<TaskInput<'_>>, limit: Memory) -> Result<Vec<Task>, Rejection> {
    items.into_iter().enumerate().map(|(index, item)| task(index, item, limit)).collect()
}

fn task(index: usize, item: TaskInput<'_>, limit: Memory) -> Result<Task, Rejection> {
    let (body, content_type) = body(index, &item)?;
    if !is_header_value(&content_type) {
        let detail = format!("the content type of task {index} is no header value");
        return Err(Rejection::MalformedJob { detail });
    }
    if body.len() as u64 > limit.0 {
        return Err(Rejection::LargeTask { index, limit });
    }
    Ok(Task { body, content_type, needs: item.needs, run_time: item.run_time })
}

/// Returns whether a text can be sent as the value of a header.
fn is_header_value(text: &str) -> bool {
    !text.bytes().any(|byte| matches!(byte, b'\r' | b'\n' | b'\0'))
}

fn body(index: usize, item: &TaskInput<'_>) -> Result<(Bytes, CompactString), Rejection> {
    let given = item.content_type.as_deref();
    let raw = item.body.get();
    let as_json = given.is_some_and(is_json) && item.encoding.is_none();
    if as_json || !raw.starts_with('"') {
        if item.encoding.is_some() {
            return Err(Rejection::MalformedEncoding { index });
        }
        return Ok((Bytes::copy_from_slice(raw.as_bytes()), given.unwrap_or(JSON).into()));
    }
    let text: String = serde_json::from_str(raw).map_err(|e| reject(&e))?;
    let bytes = match item.encoding {
        None => text.into_bytes(),
        Some(Encoding::Base64) => {
            BASE64.decode(text).map_err(|_| Rejection::MalformedEncoding { index })?
        }
    };
    Ok((bytes.into(), given.unwrap_or(TEXT).into()))
}

fn reject(error: &serde_json::Error) -> Rejection {
    match error.classify() {
        serde_json::error::Category::Data => Rejection::MalformedJob { detail: error.to_string() },
        _ => Rejection::MalformedJson { line: error.line(), column: error.column() },
    }
}

/// Returns whether a media type is JSON.
fn is_json(content_type: &str) -> bool {
    let media = content_type.split(';').next().unwrap_or_default().trim();
    media.eq_ignore_ascii_case(JSON) || media.to_ascii_lowercase().ends_with("+json")
}

/// The complete answer to a job in the response.
#[derive(Debug, Serialize)]
struct Complete<'a> {
    id: &'a str,
    outcome: &'static str,
    outputs: Vec<RenderedOutput<'a>>,
}

/// An output in the response.
#[derive(Debug, Serialize)]
struct RenderedOutput<'a> {
    status: u16,
    content_type: &'a str,
    body: Content<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    encoding: Option<&'static str>,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Content<'a> {
    Json(&'a RawValue),
    Base64(String),
}

/// Renders a complete answer as JSON.
pub fn render(id: &str, outputs: &[Output]) -> Vec<u8> {
    let outputs = outputs.iter().map(render_output).collect();
    let complete = Complete { id, outcome: "complete", outputs };
    serde_json::to_vec(&complete).expect("texts and numbers are always JSON")
}

fn render_output(output: &Output) -> RenderedOutput<'_> {
    let raw = if is_json(&output.content_type) {
        serde_json::from_slice::<&RawValue>(&output.body).ok()
    } else {
        None
    };
    let (body, encoding) = match raw {
        Some(raw) => (Content::Json(raw), None),
        None => (Content::Base64(BASE64.encode(&output.body)), Some(BASE64_NAME)),
    };
    RenderedOutput { status: output.status, content_type: &output.content_type, body, encoding }
}
