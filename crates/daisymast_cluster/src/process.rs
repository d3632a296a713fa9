//! One process that the harness started.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::future;
use smol::Timer;

use crate::{programs, wait};

/// Time for a start, generous because the machine may be busy; no requirement bounds it.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks an instance to drain.
    Terminate,
    /// Pauses a process.
    Stop,
    /// Lets a paused process go on.
    Continue,
    /// Ends a process at once.
    Kill,
}

/// Sends a signal to a child.
///
/// # Panics
/// The process has ended.
pub fn send(child: &mut Child, signal: Signal) {
    // A child that was reaped has no id any more, and the id may belong to another process.
    let ended = child.try_wait().expect("look at a process");
    assert!(
        ended.is_none(),
        "process {} has ended: {ended:?}",
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
    assert!(status.expect("run kill").success(), "kill {name} fails");
}

/// A running process, killed and reaped when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Time at which the process had printed its addresses, which it does after its clock started.
    pub started: Instant,
}

impl Process {
    /// Starts a program and waits for the line of JSON with its addresses. Its log goes to
    /// `<name>.err` in `folder`.
    pub(crate) async fn start(
        program: &str,
        folder: &Path,
        name: &str,
        settings: &serde_json::Value,
    ) -> (Self, serde_json::Value) {
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("write settings");
        let log = File::create(folder.join(format!("{name}.err"))).expect("create a log");
        let mut child = Command::new(programs::folder().join(program))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("start a process");
        let output = child.stdout.take().expect("a standard output");
        // Ends the child also when the line does not come.
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
        let printed = printed.unwrap_or_else(|error| panic!("{name} printed {line:?}: {error}"));
        (process, printed)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Panics
    /// The process has ended.
    pub fn signal(&mut self, signal: Signal) {
        send(&mut self.child, signal);
    }

    /// Waits for the exit code, which is absent if a signal ended the process.
    ///
    /// # Panics
    /// The process does not end within `timeout`.
    pub async fn exit(&mut self, timeout: Duration) -> Option<i32> {
        let condition = format!("end of process {}", self.id());
        let status = wait::until(timeout, &condition, async || {
            self.child.try_wait().expect("look at a process")
        });
        status.await.code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if it has ended. Also a stopped process ends.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
