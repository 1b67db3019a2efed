//! Failpoints: named places where a test kills or stops the process. Without the feature
//! `failpoints` they compile to nothing.
//!
//! The environment variable `PRIMROSESTEP_FAILPOINT` names a file that arms one of them with the
//! content `<name> <kill|stop> <n>`. The failpoint triggers when it is reached for the n-th time
//! since the file was written, and removes the file before it acts.

/// Triggers the failpoint of this name if it is armed and the optional condition holds.
macro_rules! failpoint {
    ($name:literal) => {
        $crate::failpoint::failpoint!($name, true)
    };
    ($name:literal, $when:expr) => {
        #[cfg(feature = "failpoints")]
        if $when {
            $crate::failpoint::hit($name);
        }
    };
}

pub(crate) use failpoint;

#[cfg(feature = "failpoints")]
pub(crate) use armed::{admits, answers, hands_over, hit, is_submission};

#[cfg(feature = "failpoints")]
mod armed {
    use dispatch::{Action, Decision, Event, Message};
    use parking_lot::Mutex;
    use rustix::process::{Signal, getpid, kill_process};
    use std::{env, fs, path::PathBuf, sync::OnceLock, thread};

    /// Environment variable with the path of the arming file.
    const FILE: &str = "PRIMROSESTEP_FAILPOINT";

    static ARMED: OnceLock<Option<PathBuf>> = OnceLock::new();

    /// Content of the file when the armed failpoint was last reached, and how often it was reached
    /// with that content.
    static REACHED: Mutex<(String, u64)> = Mutex::new((String::new(), 0));

    /// Triggers the failpoint `name` if it is armed and this is the n-th time.
    pub(crate) fn hit(name: &str) {
        let file = ARMED.get_or_init(|| env::var_os(FILE).map(PathBuf::from));
        let Some(file) = file else { return };
        let Ok(text) = fs::read_to_string(file) else { return };
        let mut words = text.split_whitespace();
        if words.next() != Some(name) {
            return;
        }
        let signal = match words.next() {
            Some("stop") => Signal::STOP,
            _ => Signal::KILL,
        };
        let wanted = words.next().and_then(|count| count.parse().ok()).unwrap_or(1);
        if count(&text) == wanted {
            // The test may have removed it already.
            let _ = fs::remove_file(file);
            act(signal);
        }
    }

    fn count(text: &str) -> u64 {
        let mut reached = REACHED.lock();
        if reached.0 != text {
            *reached = (text.to_owned(), 0);
        }
        reached.1 += 1;
        reached.1
    }

    fn act(signal: Signal) {
        kill_process(getpid(), signal).expect("a process may signal itself");
        // SIGKILL takes effect before this thread continues; SIGSTOP lasts until SIGCONT.
        thread::yield_now();
    }

    /// Returns whether an event contains a submission to this entry.
    pub(crate) fn is_submission(event: &Event) -> bool {
        let message = match event {
            Event::Message { message, .. } => message,
            event => return matches!(event, Event::Submit { .. } | Event::SubmitKeyed { .. }),
        };
        matches!(message, Message::Submit { .. })
    }

    /// Returns whether the actions admit a submission.
    pub(crate) fn admits(actions: &[Action]) -> bool {
        let admits = |action: &_| matches!(action, Action::Log(Decision::Admit { .. }));
        actions.iter().any(admits)
    }

    /// Returns whether a message contains the answer for an entry that forwarded a request.
    pub(crate) fn answers(message: &Message) -> bool {
        matches!(message, Message::Answered { .. })
    }

    /// Returns whether a message is part of a handover.
    pub(crate) fn hands_over(message: &Message) -> bool {
        matches!(message, Message::Handover(_))
    }
}
