//! Scripts of the third review. Started by `review/N/run.sh` in the root of the repository.
//!
//! `daisymast_review_3 CASE FOLDER RECORD` exits with 0 if the rules held, with 1 if one was broken, and
//! with 2 if the case could not run. With `TROUBLE=0` in its environment it leaves the disruption out.

mod cell;
mod hand_over;
mod lab;
mod late_orders;
mod lost_worker;
mod silent_logs;
mod whole_worker;
mod world;

use std::path::Path;
use std::process::ExitCode;

use daisymast_http::executor;

use cell::Queue;
use lab::Lab;

/// Exit code of a case that could not run.
const UNFIT: u8 = 2;
/// Queues of the configuration.
const QUEUES: [Queue; 3] = [
    Queue {
        name: "quotes",
        priority: 0,
        service: world::SERVICE,
    },
    Queue {
        name: "surveys",
        priority: 1,
        service: world::SERVICE,
    },
    Queue {
        name: "ledgers",
        priority: 1,
        service: whole_worker::SERVICE,
    },
];
/// Number of threads that the stand-ins share.
const THREADS: usize = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["read-log"] => {
            let copied = std::io::copy(&mut std::io::stdin(), &mut std::io::stdout());
            ExitCode::from(u8::from(copied.is_err()))
        }
        [case, folder, record] => {
            let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
            match play(case, Path::new(folder), Path::new(record), !trouble) {
                Ok(Some(held)) => ExitCode::from(u8::from(!held)),
                Ok(None) => ExitCode::from(UNFIT),
                Err(error) => {
                    eprintln!("the case cannot run: {error}");
                    ExitCode::from(UNFIT)
                }
            }
        }
        _ => ExitCode::from(UNFIT),
    }
}

/// Plays a case. Returns whether the rules held, or `None` if it could not run.
fn play(case: &str, folder: &Path, record: &Path, trouble: bool) -> std::io::Result<Option<bool>> {
    executor::run(THREADS, async |executor| {
        let has_log_readers = case == "silent-logs";
        let workers = match case {
            "whole-worker" => whole_worker::workers(),
            _ => vec![world::SERVICE; lost_worker::WORKERS],
        };
        let started = Lab::start(&executor, folder, &workers, &QUEUES, has_log_readers);
        let Some(lab) = started.await? else {
            return Ok(None);
        };
        let held = match case {
            "silent-logs" => Some(silent_logs::run(&lab, trouble).await),
            "late-orders" => Some(late_orders::run(&lab, trouble).await),
            "lost-worker" => Some(lost_worker::run(&lab, trouble).await),
            "whole-worker" => Some(whole_worker::run(&lab, trouble).await),
            "hand-over" => Some(hand_over::run(&lab, trouble).await),
            _ => None,
        };
        lab.cell.end_processes();
        lab.write_record(record)?;
        Ok(held)
    })
}
