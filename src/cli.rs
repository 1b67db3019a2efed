//! Command line arguments.

use clap::{Args, Parser, Subcommand, ValueEnum};
use compact_str::CompactString;
use console::{Audience, Console};
use site::{
    id::SubmissionId,
    unit::{Revision, Span},
};
use std::{net::SocketAddr, path::PathBuf};

/// A dispatcher for sub-second tasks.
///
/// Exit codes: 0 done; 1 a submission failed or a request was refused; 2 the command line is
/// wrong; 3 the settings are wrong; 4 the platform or the entry can't be reached; 5 others have
/// changed the settings.
#[derive(Debug, Parser)]
#[command(name = "primrosestep", version, arg_required_else_help = true)]
pub(crate) struct Cli {
    /// Print one JSON document for each result or error.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

impl Cli {
    /// Creates the console for the selected output format.
    pub(crate) fn console(&self) -> Console {
        Console::new(if self.json { Audience::Script } else { Audience::Person })
    }
}

/// Subcommands of `primrosestep`.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a folder of settings.
    #[command(after_help = "Example:\n  primrosestep check fixtures/kovacik")]
    Check(Folder),
    /// Put a folder of settings in force.
    #[command(after_help = "\
The folder remembers the revision it was last applied as, in the file .revision. When the platform
holds another, nothing is changed and the differences are printed (exit code 5).

Examples:
  primrosestep apply settings/ --platform 10.0.0.5:2379
  primrosestep apply settings/ --base 17")]
    Apply(Apply),
    /// Print what applying a folder of settings would change.
    #[command(after_help = "Example:\n  primrosestep diff settings/ --platform 10.0.0.5:2379")]
    Diff(Diff),
    /// Print the state of an entry.
    #[command(after_help = "\
Example:
  primrosestep show executors --entry 10.0.0.7:8080 --key $OPERATOR_KEY")]
    Show(Show),
    /// Submit a job and print its whole answer.
    #[command(after_help = "\
A job is JSON: {\"service\": \"templating\", \"tasks\": [{\"body\": {\"sink\": 3}}]}

Examples:
  primrosestep submit job.json --entry 10.0.0.7:8080,10.0.0.8:8080
  primrosestep submit - --no-wait < job.json")]
    Submit(Submit),
    /// Send a single request and print its answer.
    #[command(after_help = "\
Example:
  echo '{\"sink\": 3}' | primrosestep request templating - --deadline 2s")]
    Request(Request),
    /// Print the answer of a job that was submitted before.
    #[command(after_help = "Example:\n  primrosestep fetch $ID --wait 10s")]
    Fetch(Fetch),
    /// Cancel a job.
    #[command(after_help = "Example:\n  primrosestep cancel $ID")]
    Cancel(Cancel),
    /// Start the planned stop of an entry.
    #[command(after_help = "\
Example:
  primrosestep drain --entry 10.0.0.7:8080 --key $OPERATOR_KEY")]
    Drain(Entry),
    /// Report from logs what happened to a job.
    #[command(after_help = "\
Reads the log lines of any number of entries, in any order, from files or from standard input, and
prints those about the job in order of time, then the cause of its end.

Examples:
  primrosestep explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
  cat *.log | primrosestep explain 5c0e7a21d94b36f8")]
    Explain(Explain),
    /// Create keys and certificates.
    #[command(
        subcommand,
        after_help = "\
Examples:
  primrosestep keys authority --out tls/
  primrosestep keys entry cut-entry-1 --out tls/
  primrosestep keys firm"
    )]
    Keys(Keys),
    /// Run two data centres in this process, submit a job to them and print the results.
    #[command(after_help = "Example:\n  primrosestep demo --tasks 400")]
    Demo(Demo),
    /// Print the completion script for a shell.
    #[command(after_help = "\
Example:
  primrosestep completions bash > /etc/bash_completion.d/primrosestep")]
    Completions(Completions),
}

/// A folder of settings.
#[derive(Debug, Args)]
pub(crate) struct Folder {
    /// Folder of JSON files, merged in the order of their names.
    pub(crate) dir: PathBuf,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub(crate) struct Explain {
    /// The caller's name of the job, or its id of a request.
    pub(crate) job: CompactString,
    /// Log files; standard input if there are none.
    pub(crate) logs: Vec<PathBuf>,
}

/// Arguments with the platform's address.
#[derive(Debug, Args)]
pub(crate) struct Platform {
    /// Address of the platform's key-value service; may be given several times.
    #[arg(long, env = "PRIMROSESTEP_PLATFORM", value_delimiter = ',')]
    pub(crate) platform: Vec<SocketAddr>,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub(crate) struct Apply {
    #[command(flatten)]
    pub(crate) folder: Folder,
    #[command(flatten)]
    pub(crate) platform: Platform,
    /// Revision that the folder is based on, instead of the one in its file .revision.
    #[arg(long)]
    pub(crate) base: Option<Revision>,
}

/// Arguments of `diff`.
#[derive(Debug, Args)]
pub(crate) struct Diff {
    #[command(flatten)]
    pub(crate) folder: Folder,
    #[command(flatten)]
    pub(crate) platform: Platform,
}

/// Arguments with the entries to connect to and the key to authenticate with.
#[derive(Debug, Args)]
pub(crate) struct Entry {
    /// Address of an entry; may be given several times.
    #[arg(long, env = "PRIMROSESTEP_ENTRY", value_delimiter = ',')]
    pub(crate) entry: Vec<SocketAddr>,
    /// Key of the firm or the operator.
    #[arg(long, env = "PRIMROSESTEP_KEY", hide_env_values = true)]
    pub(crate) key: Option<CompactString>,
}

/// Arguments of `show`.
#[derive(Debug, Args)]
pub(crate) struct Show {
    /// What to print.
    pub(crate) what: What,
    #[command(flatten)]
    pub(crate) entry: Entry,
}

/// What `show` prints.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub(crate) enum What {
    /// The settings in force.
    Config,
    /// Executors and workers.
    Executors,
    /// Firms and contracts.
    Firms,
    /// Open submissions.
    Jobs,
    /// The other entries.
    Peers,
}

/// Arguments of `submit`.
#[derive(Debug, Args)]
pub(crate) struct Submit {
    /// File that holds the job as JSON; `-` for standard input.
    pub(crate) file: PathBuf,
    /// Print the job's id at once, for `fetch`.
    #[arg(long)]
    pub(crate) no_wait: bool,
    /// Time until the answer is no longer needed, such as 10s; overrides the job's own deadline.
    #[arg(long)]
    pub(crate) deadline: Option<Span>,
    #[command(flatten)]
    pub(crate) entry: Entry,
}

/// Arguments of `request`.
#[derive(Debug, Args)]
pub(crate) struct Request {
    /// The service.
    pub(crate) service: CompactString,
    /// File that holds the body; `-` for standard input.
    pub(crate) file: PathBuf,
    /// Media type of the body.
    #[arg(long, default_value = "application/json")]
    pub(crate) content_type: CompactString,
    /// The firm's crew that the request is for.
    #[arg(long)]
    pub(crate) crew: Option<CompactString>,
    /// Never run the request again after an attempt that may have run.
    #[arg(long)]
    pub(crate) not_repeatable: bool,
    /// Time until the answer is no longer needed, such as 2s.
    #[arg(long)]
    pub(crate) deadline: Option<Span>,
    /// Id of the same request if it was sent before.
    #[arg(long)]
    pub(crate) id: Option<SubmissionId>,
    #[command(flatten)]
    pub(crate) entry: Entry,
}

/// Arguments of `fetch`.
#[derive(Debug, Args)]
pub(crate) struct Fetch {
    /// The job.
    pub(crate) id: SubmissionId,
    /// Longest time to wait.
    #[arg(long, default_value = "30s")]
    pub(crate) wait: Span,
    #[command(flatten)]
    pub(crate) entry: Entry,
}

/// Arguments of `cancel`.
#[derive(Debug, Args)]
pub(crate) struct Cancel {
    /// The job.
    pub(crate) id: SubmissionId,
    #[command(flatten)]
    pub(crate) entry: Entry,
}

/// Subcommands of `keys`.
#[derive(Debug, Subcommand)]
pub(crate) enum Keys {
    /// The authority that signs the entries' certificates: authority.pem and authority.key.pem.
    Authority {
        /// Folder for the files.
        #[arg(long)]
        out: PathBuf,
    },
    /// An entry's certificate, signed by the authority in the folder: NAME.pem and NAME.key.pem.
    Entry {
        /// The entry's name in its settings.
        name: CompactString,
        /// Folder with the authority's files, and for the new ones.
        #[arg(long)]
        out: PathBuf,
    },
    /// A new key for a firm or an operator, and its digest for the settings.
    Firm,
    /// The digest of a key on standard input.
    Digest,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub(crate) struct Demo {
    /// Tasks of the job, at most 780.
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u16).range(1..=780))]
    pub(crate) tasks: u16,
    /// Executors in each of the two data centres, with 8 slots each.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=50))]
    pub(crate) executors: u16,
    /// Write the entries' log to this file.
    #[arg(long)]
    pub(crate) log: Option<PathBuf>,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct Completions {
    /// The shell.
    pub(crate) shell: clap_complete::Shell,
}
