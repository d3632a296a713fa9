//! Injection of restarts and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use daisymast_stand_in::{fixtures, worker};
use futures_lite::future;
use smol::Timer;

use super::{Disturbance, Restart, Sequence, Target};
use crate::{cell, relay};

/// Time without a start after which a worker counts as [`Target::LongRunning`]. Workers
/// close connections that are idle for 5 s.
const LONG_RUNNING: Duration = Duration::from_millis(5_200);

impl cell::Cell {
    /// Injects a disturbance and ends it. The duration is that of late calls; a sequence has its own
    /// times.
    pub(crate) async fn recut(&self, disturbance: Disturbance, duration: Duration) {
        match disturbance {
            Disturbance::Worker { target, sequence } => {
                let Some(worker) = self.choose_worker(target) else {
                    return;
                };
                self.play(worker, sequence).await;
                worker::lock(&self.disturbed).remove(&worker);
            }
            Disturbance::LateCalls(late_calls) => {
                self.shared.trace(format!("{late_calls:?}"));
                let late_calls = Some(late_calls);
                self.set_worker_faults(worker::Faults {
                    late_calls,
                    ..worker::Faults::default()
                });
                Timer::after(duration).await;
                self.set_worker_faults(worker::Faults::default());
            }
        }
    }

    /// Reserves a worker that is not disturbed, if there is one.
    fn choose_worker(&self, target: Target) -> Option<usize> {
        let mut disturbed = worker::lock(&self.disturbed);
        let log = worker::lock(&self.shared.log).clone();
        let started = |event: &&worker::Event| event.kind == worker::EventKind::Started;
        let chosen = match target {
            Target::Position(worker) => worker,
            Target::LastStarted => {
                let mut starts = log.iter().rev().filter(started);
                let is_free = |event: &&worker::Event| !disturbed.contains(&event.worker);
                starts.find(is_free)?.worker
            }
            Target::LongRunning => {
                let is_new = |event: &&worker::Event| event.at.elapsed() < LONG_RUNNING;
                let new = log.iter().rev().filter(started).take_while(is_new);
                let new: BTreeSet<usize> = new.map(|event| event.worker).collect();
                let candidates: Vec<usize> = (0..self.workers.len())
                    .filter(|worker| !disturbed.contains(worker) && !new.contains(worker))
                    .filter(|&worker| self.workers[worker].has_runs())
                    .collect();
                fastrand::choice(candidates)?
            }
        };
        disturbed.insert(chosen).then_some(chosen)
    }

    async fn play(&self, worker: usize, sequence: Sequence) {
        for restart in std::iter::once(sequence.first).chain(sequence.second) {
            Timer::after(restart.after).await;
            self.restart_worker(worker, restart).await;
        }
        Timer::after(sequence.cut_after).await;
        let cut = self.cut_worker(worker, sequence);
        let behind = async {
            if let Some(restart) = sequence.behind {
                Timer::after(restart.after).await;
                self.restart_worker(worker, restart).await;
            }
        };
        future::zip(cut, behind).await;
    }

    fn set_worker_faults(&self, faults: worker::Faults) {
        for worker in &self.workers {
            worker.set_faults(faults);
        }
    }

    async fn restart_worker(&self, position: usize, restart: Restart) {
        self.shared
            .trace(format!("worker {position} restarts: {restart:?}"));
        let worker = &self.workers[position];
        if restart.silent {
            worker.crash_silently();
            Timer::after(restart.downtime).await;
        } else {
            worker.crash();
            let link = &self.worker_links[position];
            cell::inject_link_mode(link, relay::Mode::Reset, restart.downtime).await;
        }
        if restart.forgets_connections {
            self.worker_links[position].forget_connections();
        }
        worker.reboot();
        self.shared
            .trace(format!("worker {position} has restarted"));
        let registration = self.register_again(position, restart);
        self.executor.spawn(registration).detach();
    }

    /// Removes the entry of the former process when it expires, unless the new one has replaced it
    /// by then.
    fn register_again(
        &self,
        position: usize,
        restart: Restart,
    ) -> impl Future<Output = ()> + use<> {
        let (store, worker) = (self.store.clone(), self.workers[position].clone());
        let address = self.worker_links[position].address();
        let born = worker.started_at_ms();
        let is_current =
            move |worker: &worker::Worker| worker.started_at_ms() == born && worker.is_running();
        async move {
            let expires_after = cell::DEREGISTRATION_DELAY.saturating_sub(restart.downtime);
            Timer::after(restart.unregistered.min(expires_after)).await;
            if restart.unregistered > expires_after && is_current(&worker) {
                fixtures::deregister_worker(&store, &worker);
                Timer::after(restart.unregistered - expires_after).await;
            }
            if is_current(&worker) {
                let zone = cell::zone(position);
                fixtures::register_worker(&store, &worker, address, zone, false);
            }
        }
    }

    async fn cut_worker(&self, position: usize, sequence: Sequence) {
        let (link, duration) = (&self.worker_links[position], sequence.cut);
        self.shared.trace(format!(
            "worker {position} is cut off for {duration:?}, from the store: {}, delivers late: {}",
            sequence.from_store, sequence.delivers_late
        ));
        link.set_mode(if sequence.delivers_late {
            relay::Mode::Silent
        } else {
            relay::Mode::Cut
        });
        let registered = if sequence.from_store {
            duration.min(cell::DEREGISTRATION_DELAY)
        } else {
            duration
        };
        Timer::after(registered).await;
        if sequence.from_store {
            fixtures::deregister_worker(&self.store, &self.workers[position]);
        }
        Timer::after(duration - registered).await;
        link.restore();
        self.shared
            .trace(format!("the cut of worker {position} ends"));
        if sequence.from_store && self.workers[position].is_running() {
            let (address, zone) = (link.address(), cell::zone(position));
            let worker = &self.workers[position];
            fixtures::register_worker(&self.store, worker, address, zone, false);
        }
    }
}
