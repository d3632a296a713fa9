//! Child processes of the harness and the signals sent to them.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::future;
use smol::Timer;

use crate::{programs, wait};

/// Timeout for a process to start. It is generous because the machine may be busy; no requirement
/// limits the start time.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Signal that a test sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: asks an instance to drain and exit.
    Terminate,
    /// SIGSTOP: pauses a process.
    Stop,
    /// SIGCONT: resumes a paused process.
    Continue,
    /// SIGKILL: ends a process immediately.
    Kill,
}

/// Sends a signal to a child process.
///
/// # Panics
/// The process has ended.
pub fn send(child: &mut Child, signal: Signal) {
    // The ID of a reaped child may already belong to another process.
    let ended = child.try_wait().expect("query the state of a process");
    assert!(
        ended.is_none(),
        "process {} has already ended: {ended:?}",
        child.id()
    );
    let name = match signal {
        Signal::Terminate => "-TERM",
        Signal::Stop => "-STOP",
        Signal::Continue => "-CONT",
        Signal::Kill => "-KILL",
    };
    let status = Command::new("kill")
        .args([name, &child.id().to_string()])
        .status();
    assert!(status.expect("run kill").success(), "kill {name} failed");
}

/// A child process, killed and reaped on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Time at which the process had printed its addresses. Its clock starts before that.
    pub started: Instant,
}

impl Process {
    /// Starts a program and waits for the line of JSON in which it prints its addresses. In
    /// `folder`, its settings are written to `<name>.json` and its standard error to `<name>.err`.
    pub(crate) async fn start(
        program: &str,
        folder: &Path,
        name: &str,
        settings: &serde_json::Value,
    ) -> (Self, serde_json::Value) {
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("write settings");
        let log = File::create(folder.join(format!("{name}.err"))).expect("create a log file");
        let mut child = Command::new(programs::folder().join(program))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("start a process");
        let output = child.stdout.take().expect("piped standard output");
        // Constructed before the line is read, so that the child is killed if no line arrives.
        let mut process = Self {
            child,
            started: Instant::now(),
        };
        let line = smol::unblock(move || {
            let mut line = String::new();
            BufReader::new(output).read_line(&mut line).map(|_| line)
        });
        let timed_out = async {
            Timer::after(START_TIMEOUT).await;
            panic!("{name} printed no addresses within {START_TIMEOUT:?}");
        };
        let line = future::or(line, timed_out)
            .await
            .expect("read the addresses");
        process.started = Instant::now();
        let printed = serde_json::from_str(&line);
        let printed =
            printed.unwrap_or_else(|error| panic!("{name} printed invalid JSON {line:?}: {error}"));
        (process, printed)
    }

    /// Operating system ID of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// The process has ended.
    pub fn signal(&mut self, signal: Signal) {
        send(&mut self.child, signal);
    }

    /// Waits for the exit code; `None` if a signal ended the process.
    ///
    /// # Panics
    /// The process does not end within `timeout`.
    pub async fn exit(&mut self, timeout: Duration) -> Option<i32> {
        let condition = format!("process {} ends", self.id());
        let status = wait::until(timeout, &condition, async || {
            self.child.try_wait().expect("query the state of a process")
        });
        status.await.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already ended. SIGKILL also ends a stopped process.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
