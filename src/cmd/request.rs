//! `primrosestep request`.

use crate::{
    cli::Request,
    cmd::{call, input},
    exit::{Error, Exit},
};
use client::Response;
use console::{Audience, Console};
use serde::Serialize;

/// Lowest HTTP status that is a failure.
const MIN_FAILURE_STATUS: u16 = 400;

/// The answer in the JSON format for scripts.
#[derive(Serialize)]
struct Answer<'a> {
    id: String,
    status: u16,
    content_type: &'a str,
    /// Bytes that are not UTF-8 are replaced. Without `--json` the body is printed unchanged.
    body: &'a str,
}

/// Sends a single request.
pub(crate) fn run(args: Request, console: &Console) -> Result<Exit, Error> {
    let client = call::open(&args.entry)?;
    let request = client::Request {
        service: args.service,
        crew: args.crew,
        id: args.id,
        repeatable: !args.not_repeatable,
        deadline: args.deadline,
        content_type: args.content_type,
        body: input::read(&args.file)?,
    };
    let response = smol::block_on(client.request(&request))?;
    print(&response, console);
    Ok(if response.status < MIN_FAILURE_STATUS { Exit::Done } else { Exit::Failed })
}

fn print(response: &Response, console: &Console) {
    match console.audience() {
        Audience::Person => console.print_bytes(&response.body),
        Audience::Script => console.print_json(&Answer {
            id: response.id.to_string(),
            status: response.status,
            content_type: &response.content_type,
            body: &String::from_utf8_lossy(&response.body),
        }),
    }
}
