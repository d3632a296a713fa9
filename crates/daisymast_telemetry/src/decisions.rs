//! Structured log of decisions: one JSON object per line on standard output, limited in rate.
//!
//! Lines pass through a bounded queue to a writer thread, so that a slow reader of the output does
//! not delay decisions. Lines dropped by the rate limit or by a full queue are counted, and the
//! number is reported in the next line that is written.

use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Rate limit in lines per second, on average.
const MAX_LINES_PER_S: f64 = 150.0;
/// Maximum number of lines in a burst.
const MAX_BURST_LINES: f64 = 600.0;
/// Capacity of the queue to the writer thread, in lines.
const MAX_QUEUED_LINES: usize = 2_048;

#[derive(Serialize)]
struct LogLine<'a, T> {
    time_ms: u64,
    instance: &'a str,
    term: u64,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    decision: &'a T,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde asks for a reference"
)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Rate limiter: each line takes one token.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    last_refill: Instant,
    /// Lines dropped since the last line that was queued.
    left_out: u64,
}

impl TokenBucket {
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.last_refill).as_secs_f64();
        self.last_refill = now;
        self.tokens = (self.tokens + elapsed * MAX_LINES_PER_S).min(MAX_BURST_LINES);
        if self.tokens < 1.0 {
            self.left_out += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writes the decision log of one instance.
///
/// ```
/// let recorder = daisymast_telemetry::decisions::Recorder::start("edge-1");
/// recorder.record(3, &serde_json::json!({"event": "submitted"}));
/// ```
#[derive(Debug)]
pub struct Recorder {
    instance: String,
    bucket: Mutex<TokenBucket>,
    lines: mpsc::SyncSender<Vec<u8>>,
}

impl Recorder {
    /// Starts the writer thread for the decisions of `instance`.
    pub fn start(instance: &str) -> Self {
        let (lines, queued) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        thread::spawn(move || {
            while let Ok(line) = queued.recv() {
                // A closed output must not terminate the process.
                drop(std::io::stdout().lock().write_all(&line));
            }
        });
        Self {
            instance: instance.to_owned(),
            bucket: Mutex::new(TokenBucket {
                tokens: MAX_BURST_LINES,
                last_refill: Instant::now(),
                left_out: 0,
            }),
            lines,
        }
    }

    /// Queues a decision made in leadership term `term` for writing. It is dropped if the rate
    /// limit is exceeded or the queue is full.
    pub fn record<T: Serialize>(&self, term: u64, decision: &T) {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if !bucket.try_take() {
            return;
        }
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = LogLine {
            time_ms: u64::try_from(unix_time.unwrap_or_default().as_millis()).unwrap_or(u64::MAX),
            instance: &self.instance,
            term,
            left_out: bucket.left_out,
            decision,
        };
        let Ok(mut line) = serde_json::to_vec(&line) else {
            return;
        };
        line.push(b'\n');
        bucket.left_out = match self.lines.try_send(line) {
            Ok(()) => 0,
            Err(_) => bucket.left_out + 1,
        };
    }
}
