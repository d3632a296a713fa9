//! Text form of an explanation.

use std::fmt::Write as _;

use daisymast_scheduler::explanation::{Answer, Explanation, Reason, StepPlan, Verdict};
use daisymast_types::ids;
use daisymast_types::quantities;

/// Maximum number of workers that are named for a step.
const MAX_WORKERS: usize = 12;

/// Returns the text for an answer of the scheduler of a term.
pub(super) fn answer(term: u64, answer: &Answer) -> String {
    match answer {
        Answer::Explained(explanation) => explained(term, explanation),
        Answer::UnknownJob => "no such job is open\n".to_owned(),
        Answer::UnknownQueue => "refused: the configuration has no such queue\n".to_owned(),
        Answer::UnknownOrganisation => {
            "refused: the configuration has no such organisation\n".to_owned()
        }
        Answer::OverCap => {
            "refused: a task or a gang is larger than the cap of the organisation\n".to_owned()
        }
    }
}

/// Returns the text for a cell without a scheduler.
pub(super) fn no_scheduler(last_known: Option<&ids::InstanceId>) -> String {
    match last_known {
        Some(id) => format!(
            "no scheduler answers, the last known one is {}: an election may be in progress, and nothing starts\n",
            id.as_str()
        ),
        None => {
            "no scheduler is known: an election may be in progress, and nothing starts\n".to_owned()
        }
    }
}

fn explained(term: u64, explanation: &Explanation) -> String {
    let mut text = format!(
        "queue {}, {:?}, scheduler of term {term}\n",
        explanation.queue.as_str(),
        explanation.state
    );
    if let Some(organisation) = &explanation.organisation {
        let used = resources(organisation.used);
        let cap = organisation.cap.map_or_else(
            || "unknown".to_owned(),
            |cap| {
                let cores = cap.millicores.map(cores);
                cores.unwrap_or_else(|| "no limit on cores".to_owned())
            },
        );
        let name = organisation.name.as_str();
        push(
            &mut text,
            format_args!("organisation {name}: uses {used}, cap {cap}"),
        );
    }
    for step in &explanation.steps {
        push_step(&mut text, step);
    }
    text
}

fn push_step(text: &mut String, step: &StepPlan) {
    push(
        text,
        format_args!(
            "step {} (occurrence {}): {} waiting, {} placed, {} done",
            step.step, step.occurrence, step.waiting, step.placed, step.done
        ),
    );
    push(text, format_args!("  {}", verdict(step.verdict)));
    if let Some(position) = step.position {
        let slack = step.slack_ms.unwrap_or_default();
        push(
            text,
            format_args!(
                "  place {position} of {} in the order, {slack} ms until the latest start",
                step.order_length
            ),
        );
    }
    for (worker, tasks) in step.starts.iter().take(MAX_WORKERS) {
        push(text, format_args!("  {tasks} on {}", worker.as_str()));
    }
    if step.starts.len() > MAX_WORKERS {
        let more = step.starts.len() - MAX_WORKERS;
        push(text, format_args!("  and {more} further workers"));
    }
    if let Some(wait) = step.expected_wait_ms {
        push(text, format_args!("  expected wait: {wait} ms or longer"));
    }
    for &(why, workers) in &step.passed_over {
        push(
            text,
            format_args!("  {workers} workers passed over: {}", reason(why)),
        );
    }
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    let _ = writeln!(text, "{line}");
}

fn cores(millicores: u32) -> String {
    format!("{}.{:03} cores", millicores / 1_000, millicores % 1_000)
}

fn resources(used: quantities::Resources) -> String {
    format!("{} and {} MiB", cores(used.millicores), used.memory_mib)
}

fn verdict(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::AfterOtherSteps => "waits for steps that it depends on",
        Verdict::Placed => "all tasks have workers",
        Verdict::Pausing => "is stopped, or starts again after a delay",
        Verdict::AtCap => "waits: the organisation is at its cap",
        Verdict::Starts => "starts now",
        Verdict::StartsPartly => "starts in part now",
        Verdict::NeedsAdvice => "asks the advice service first",
        Verdict::WaitsForNearPlace => "waits for a place near its data or on one rack",
        Verdict::NoRoom => "waits: there is no room",
    }
}

fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::NotRegistered => "not registered",
        Reason::Draining => "draining",
        Reason::Quarantined => "quarantined after failures",
        Reason::NoAnswer => "no answer to the last call",
        Reason::Label => "without the required label",
        Reason::Denied => "denied by the advice service",
        Reason::NoRoom => "no room for a task",
        Reason::Reserved => "reserved for a gang",
        Reason::Limit => "limit of tasks of the step, or failed there",
        Reason::Cap => "cap of the organisation",
    }
}

#[cfg(test)]
mod tests {
    use daisymast_jobs::job;
    use daisymast_organisations::organisation;
    use daisymast_scheduler::explanation::OrganisationUse;

    use super::*;

    fn plan() -> StepPlan {
        StepPlan {
            step: 0,
            occurrence: 0,
            waiting: 4,
            placed: 0,
            done: 0,
            verdict: Verdict::StartsPartly,
            position: Some(3),
            order_length: 17,
            slack_ms: Some(2_450),
            starts: vec![("i-1f".into(), 2), ("i-2a".into(), 1)],
            passed_over: vec![(Reason::Draining, 2), (Reason::NoRoom, 310)],
            expected_wait_ms: None,
        }
    }

    /// Guards against a text form that loses what the answer tells.
    #[test]
    fn the_text_tells_all_of_an_answer() {
        let waiting = StepPlan {
            step: 1,
            verdict: Verdict::NoRoom,
            position: Some(5),
            slack_ms: Some(-300),
            starts: Vec::new(),
            expected_wait_ms: Some(420),
            ..plan()
        };
        let explanation = Explanation {
            state: job::State::Queued,
            queue: "surveys".into(),
            organisation: Some(OrganisationUse {
                name: "acme".into(),
                used: quantities::Resources::new(120_500, 64_000, 0),
                cap: Some(organisation::Cap {
                    millicores: Some(400_000),
                    ..organisation::Cap::default()
                }),
            }),
            steps: vec![plan(), waiting],
        };
        insta::assert_snapshot!(answer(7, &Answer::Explained(explanation)), @r"
        queue surveys, Queued, scheduler of term 7
        organisation acme: uses 120.500 cores and 64000 MiB, cap 400.000 cores
        step 0 (occurrence 0): 4 waiting, 0 placed, 0 done
          starts in part now
          place 3 of 17 in the order, 2450 ms until the latest start
          2 on i-1f
          1 on i-2a
          2 workers passed over: draining
          310 workers passed over: no room for a task
        step 1 (occurrence 0): 4 waiting, 0 placed, 0 done
          waits: there is no room
          place 5 of 17 in the order, -300 ms until the latest start
          expected wait: 420 ms or longer
          2 workers passed over: draining
          310 workers passed over: no room for a task
        ");
    }

    /// Guards against an election that looks like a refusal.
    #[test]
    fn a_cell_without_a_scheduler_says_so() {
        let id = "edge-3".into();
        assert!(no_scheduler(Some(&id)).contains("edge-3"));
        assert!(no_scheduler(None).contains("election"));
    }
}
