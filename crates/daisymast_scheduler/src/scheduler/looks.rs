//! Looks at workers: they extend leases and tell what runs and what has ended.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::report;
use crate::steps;
use crate::worker;

impl Scheduler {
    /// Opens the looks that are due.
    pub(super) fn look(&mut self, now: time::Monotonic) {
        let first = |worker: &&worker::Worker| worker.looking && is_first_look(worker);
        let mut first_looks = self.fleet.iter().filter(first).count();
        for place in 0..self.fleet.len() {
            let worker = self.fleet.at_mut(place);
            if worker.looking || now < worker.next_look || !needs_look(worker, now) {
                continue;
            }
            if is_first_look(worker) {
                if first_looks >= constants::FIRST_LOOKS {
                    continue;
                }
                first_looks += 1;
            }
            let Some(target) = worker.target(place) else {
                continue;
            };
            let idle = worker.runs.is_empty();
            // A look that is not answered may arrive all the same. It must not extend the lease of a
            // worker that is lost, or its tasks would never start elsewhere.
            let deadline_ms = if idle || worker.misses > 0 {
                None
            } else {
                worker.extend(now)
            };
            let unstored = worker.noted < worker.seen;
            let settled =
                worker.adopted && worker.misses == 0 && !idle && !worker.probe && !unstored;
            worker.looking = true;
            worker.looked = now;
            worker.probe = false;
            self.actions.push(action::Action::Hold {
                target,
                deadline_ms,
                noted: worker.noted,
                wait: if settled {
                    constants::LOOK_WAIT
                } else {
                    std::time::Duration::ZERO
                },
            });
            worker.told = worker.noted;
        }
    }

    /// Outcome of a look.
    pub fn on_look(&mut self, place: usize, outcome: report::HoldOutcome, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        worker.looking = false;
        match outcome {
            report::HoldOutcome::Report(report) => self.on_report(place, &report, now),
            report::HoldOutcome::Fenced => self.actions.push(action::Action::Deposed),
            report::HoldOutcome::WrongWorker | report::HoldOutcome::Failed => {
                if outcome == report::HoldOutcome::WrongWorker {
                    // Another worker has the address, so this one has ended, and with it its runs.
                    worker.lease_end = now;
                }
                worker.told = 0;
                let first = worker.misses == 0;
                worker.misses += 1;
                if first {
                    self.on_suspected(place, now);
                }
                self.fleet.at_mut(place).next_look = now + constants::LOOK_RETRY;
            }
        }
    }

    /// A worker does not answer an order or a look: nothing is placed there until a look succeeds.
    pub(super) fn suspect(&mut self, place: usize, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        if worker.misses > 0 {
            return;
        }
        worker.misses = 1;
        // The open look may wait for long; its answer still counts when it comes.
        worker.looking = false;
        worker.next_look = now;
        self.on_suspected(place, now);
    }

    fn on_suspected(&mut self, place: usize, now: time::Monotonic) {
        let worker = self.fleet.at(place);
        let suspected = decision::Decision::WorkerSuspected {
            worker: worker.id.clone(),
            runs: worker.runs.len(),
        };
        let zone = worker.entry.as_ref().map(|entry| entry.zone.clone());
        self.log(suspected);
        let Some(zone) = zone else {
            return;
        };
        let same = |worker: &worker::Worker| {
            worker.listed
                && worker
                    .entry
                    .as_ref()
                    .is_some_and(|entry| entry.zone == zone)
        };
        let suspects = self.fleet.iter().filter(|one| same(one) && one.misses > 0);
        let suspects = suspects.count();
        // The zone may be cut off, which the open looks of the others would show only much later.
        // The first suspect lets some of them be asked, the second stops placing on all.
        let asked = match suspects {
            1 => constants::ZONE_PROBES,
            constants::ZONE_SUSPECTS => usize::MAX,
            _ => return,
        };
        let others = self
            .fleet
            .iter_mut()
            .filter(|one| same(one) && one.misses == 0);
        for worker in others.take(asked) {
            worker.probe = true;
            worker.looking = false;
            worker.next_look = now;
            if suspects == constants::ZONE_SUSPECTS {
                worker.misses = 1;
            }
        }
    }

    fn on_report(&mut self, place: usize, report: &report::Report, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        let reborn = worker.born != report.born || worker.life == 0;
        if reborn {
            worker.born = report.born;
            worker.life += 1;
            worker.clock = None;
            worker.seen = 0;
            worker.noted = 0;
            worker.told = 0;
            worker.strikes = 0;
        } else if worker
            .clock
            .is_some_and(|clock| report.clock_ms < clock.reading)
        {
            // A later answer overtook this one.
            worker.next_look = now;
            return;
        }
        worker.read_clock(report.clock_ms, now);
        let known = worker.misses > 0 || !worker.adopted;
        worker.misses = 0;
        worker.next_look = now + constants::LOOK_PAUSE;
        if known {
            self.dirty = true;
            let known = decision::Decision::WorkerKnown {
                worker: worker.id.clone(),
                runs: report.running.len(),
                reborn,
            };
            self.log(known);
        }
        self.on_ends(place, report, now);
        self.reconcile(place, report, reborn, now);
        self.fleet.at_mut(place).adopted = true;
        self.find_strays(place, report, now);
        self.find_hung(place, now);
    }

    fn on_ends(&mut self, place: usize, report: &report::Report, now: time::Monotonic) {
        let seen = self.fleet.at(place).seen;
        let mut last = seen;
        for ended in report.ended.iter().filter(|ended| ended.number > seen) {
            self.on_end(place, ended, now);
            last = last.max(ended.number);
        }
        if last > seen {
            let worker = self.fleet.at_mut(place);
            worker.seen = last;
            let life = worker.life;
            let note = journal::Effect::Note {
                worker: place,
                life,
                number: last,
            };
            self.after_commit(note, now);
        }
    }

    /// Compares the runs that are expected with those that the worker reports.
    fn reconcile(
        &mut self,
        place: usize,
        report: &report::Report,
        reborn: bool,
        now: time::Monotonic,
    ) {
        for running in &report.running {
            if let Some(checkpoint) = &running.checkpoint
                && self.expects(place, running)
            {
                self.save_checkpoint(running.task, checkpoint);
            }
            let worker = self.fleet.at_mut(place);
            let Some(run) = worker.runs.get_mut(&running.task) else {
                continue;
            };
            if run.run != running.run {
                continue;
            }
            if run.percent != running.percent {
                run.percent = running.percent;
                run.progressed = now;
            }
            if matches!(
                run.state,
                worker::RunState::Adopting | worker::RunState::Starting
            ) {
                run.state = worker::RunState::Running {
                    since: report.clock_ms,
                };
                run.progressed = now;
                self.note_begun(running.task.step.job);
            }
        }
        if report.ended.len() >= report::ENDS_PER_REPORT {
            return;
        }
        let absent: Vec<spec::TaskId> = self
            .fleet
            .at(place)
            .runs
            .iter()
            .filter(|(task, run)| {
                let is_listed = report
                    .running
                    .iter()
                    .any(|running| running.task == **task && running.run == run.run);
                !is_listed && is_surely_absent(run, report.clock_ms, reborn)
            })
            .map(|(&task, _)| task)
            .collect();
        for task in absent {
            self.release(place, task, now);
        }
    }

    fn expects(&self, place: usize, running: &report::Running) -> bool {
        self.fleet
            .at(place)
            .runs
            .get(&running.task)
            .is_some_and(|run| run.run == running.run)
    }

    /// Stops runs that are not expected on the worker. They take room until they have ended.
    fn find_strays(&mut self, place: usize, report: &report::Report, now: time::Monotonic) {
        for running in &report.running {
            let known = self.fleet.at(place).runs.get(&running.task);
            if known.is_some_and(|run| run.run >= running.run) {
                continue;
            }
            let size = self
                .book
                .job(running.task.step.job)
                .and_then(|job| job.step(running.task.step))
                .map_or(self.fleet.at(place).capacity(), steps::task_size);
            let stray = worker::Run {
                run: running.run,
                size,
                state: worker::RunState::Stopping { taken: None },
                placed: now,
                tries: 0,
                retry_at: now,
                ticket: None,
                percent: running.percent,
                progressed: now,
            };
            let worker = self.fleet.at_mut(place);
            worker.insert(running.task, stray);
            let stopping = decision::Decision::Stopping {
                job: running.task.step.job,
                step: running.task.step.step,
                task: running.task.index,
                run: running.run,
                worker: worker.id.clone(),
                reason: decision::StopReason::Stray,
                others: 0,
            };
            self.log(stopping);
            self.send_stop(place, running.task, now);
        }
    }

    /// Stops runs that make no progress, so that they start elsewhere.
    fn find_hung(&mut self, place: usize, now: time::Monotonic) {
        let hung: Vec<spec::TaskId> = self
            .fleet
            .at(place)
            .runs
            .iter()
            .filter(|(task, run)| {
                matches!(run.state, worker::RunState::Running { .. })
                    && run.percent < constants::WAITING_PERCENT
                    && now - run.progressed > constants::HUNG
                    && self
                        .steps
                        .get(&task.step)
                        .is_some_and(|step| !step.content().lasting && !step.aborting)
            })
            .map(|(&task, _)| task)
            .collect();
        if hung.is_empty() {
            return;
        }
        self.strike(place, now);
        self.fleet.at_mut(place).quarantined = now + constants::QUARANTINE;
        for task in hung {
            self.request_stop(place, task, decision::StopReason::Hung, now);
        }
    }
}

/// Whether a worker has to be looked at: its runs are not known, something runs there, or it has to
/// be told which ends are stored. While ends wait to be stored, a look lists them again at once, so
/// there are only as many as the lease needs.
fn needs_look(worker: &worker::Worker, now: time::Monotonic) -> bool {
    if !worker.listed && worker.runs.is_empty() {
        return false;
    }
    let active = worker
        .runs
        .values()
        .any(|run| run.state != worker::RunState::Journaling);
    if worker.noted < worker.seen {
        return active && now >= worker.looked + constants::LOOK_UNSTORED;
    }
    worker.probe || !worker.adopted || active || worker.told < worker.noted || worker.misses > 0
}

/// Whether a worker is looked at for the first time in this term. One that did not answer is left to the
/// pauses between its looks.
fn is_first_look(worker: &worker::Worker) -> bool {
    worker.life == 0 && worker.misses == 0
}

/// Whether a run that a report does not list is surely over: the worker had settled its order before
/// the report.
fn is_surely_absent(run: &worker::Run, clock: u64, reborn: bool) -> bool {
    match run.state {
        worker::RunState::Journaling | worker::RunState::Starting => false,
        worker::RunState::Stopping { taken: None } => false,
        worker::RunState::Adopting => true,
        worker::RunState::Running { since } | worker::RunState::Stopping { taken: Some(since) } => {
            reborn || since < clock
        }
    }
}
