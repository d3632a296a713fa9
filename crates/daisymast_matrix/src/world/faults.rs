//! Fault injection at the steps of a session.

use daisymast_platform::model::Faults;
use daisymast_protocol::worker::{Answer, ServeRequest};
use daisymast_types::ids::{InstanceId, JobName, RequestId, WorkerId, Zone};
use daisymast_worker::model as worker_model;

use crate::fault::{Fault, LATE_MS, OUTAGE_MS, REORDER_MS};
use crate::network::{Message, Party};
use crate::world::{LATENCY_MS, ScheduledEvent, World};

impl World {
    /// Sends a message, and injects the fault that is planned for this step.
    pub(super) fn transmit(&mut self, message: Message) {
        if let Some(meter) = self.meter.as_mut() {
            meter.message(&message);
        }
        let Some(step) = self.count_step(&message) else {
            self.send(message, LATENCY_MS);
            return;
        };
        let planned = self
            .planned_faults
            .iter()
            .find(|planned| planned.step == step)
            .copied();
        match planned {
            Some(planned) => {
                self.faults_injected += 1;
                self.record_line(&format!("fault {}", planned.fault));
                self.inject(planned.fault, message);
            }
            None => self.send(message, LATENCY_MS),
        }
    }

    fn count_step(&mut self, message: &Message) -> Option<usize> {
        let (steps, _) = self.session.as_mut()?;
        if message.body.is_periodic() && !self.periodic {
            return None;
        }
        let step = *steps;
        *steps += 1;
        self.sent.push(message.clone());
        let text = format!(
            "{} -> {}: {}",
            party_name(&message.from),
            party_name(&message.to),
            message.body.name()
        );
        self.record_line(&text);
        Some(step)
    }

    fn send(&mut self, message: Message, delay: u64) {
        let at = self.now + delay;
        self.schedule(at, ScheduledEvent::Arrive(message));
    }

    fn inject(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::SenderDiesBefore => self.kill_party(&message.from.clone()),
            Fault::SenderDiesAfter => {
                let sender = message.from.clone();
                self.send(message, LATENCY_MS);
                self.kill_party(&sender);
            }
            Fault::ReceiverDiesBefore => {
                let receiver = message.to.clone();
                self.kill_party(&receiver);
                self.send(message, LATENCY_MS);
            }
            Fault::ReceiverDiesAfter => {
                let receiver = message.to.clone();
                self.arrive(message);
                self.kill_party(&receiver);
            }
            Fault::Lost => {}
            Fault::Late => {
                let delay = message.deadline.saturating_sub(self.now) + LATE_MS;
                self.send(message, delay);
            }
            Fault::Twice => {
                self.send(message.clone(), LATENCY_MS);
                self.send(message, LATENCY_MS + REORDER_MS);
            }
            Fault::Crossed => {
                let mut message = message;
                if let Some(answer) = message.body.answer_mut() {
                    *answer = answer_to_another_request();
                }
                self.send(message, LATENCY_MS);
            }
            Fault::Reordered => self.send(message, LATENCY_MS + REORDER_MS),
            Fault::SenderPauses => {
                let sender = message.from.clone();
                self.send(message, LATENCY_MS);
                self.pause_party(&sender);
            }
            Fault::ReceiverPauses => {
                let receiver = message.to.clone();
                self.pause_party(&receiver);
                self.send(message, LATENCY_MS);
            }
            Fault::StoreDown
            | Fault::StoreSlow
            | Fault::StoreLosesAnswers
            | Fault::ZoneOffPlatform
            | Fault::ZoneOffZones
            | Fault::ZoneOffAll
            | Fault::InstanceOff
            | Fault::WorkerFails
            | Fault::WorkerDies => {
                self.inject_outage(fault, &message);
                self.send(message, LATENCY_MS);
            }
        }
    }

    fn inject_outage(&mut self, fault: Fault, message: &Message) {
        let instance = message.call.instance.clone();
        let zone = self
            .nodes
            .get(&instance)
            .map(|node| node.config.zone.clone());
        let worker = [&message.from, &message.to]
            .into_iter()
            .find_map(|party| match party {
                Party::Worker(worker) => Some(worker.clone()),
                Party::Instance(_) | Party::Platform => None,
            });
        match fault {
            Fault::StoreDown => self.take_store_down(),
            Fault::StoreSlow => {
                self.platform.set_faults(Faults {
                    slow_ms: SLOW_STORE_MS,
                    ..Faults::default()
                });
            }
            Fault::StoreLosesAnswers => {
                self.platform.set_faults(Faults {
                    lose_writes: u32::MAX,
                    ..Faults::default()
                });
            }
            Fault::ZoneOffPlatform => self.cut_links.platform.extend(zone),
            Fault::ZoneOffZones => self.cut_links.zones.extend(zone),
            Fault::ZoneOffAll => {
                self.cut_links.platform.extend(zone.clone());
                self.cut_links.zones.extend(zone);
            }
            Fault::InstanceOff => self.cut_links.instances.push(instance),
            Fault::WorkerFails => self.set_task_failures(worker.as_ref(), true),
            Fault::WorkerDies => {
                if let Some(worker) = worker {
                    self.kill_worker(&worker);
                }
            }
            _ => {}
        }
        self.schedule(self.now + OUTAGE_MS, ScheduledEvent::EndOutages);
    }

    /// Ends all outages: of the store, of links and of workers whose tasks fail.
    pub(super) fn end_outages(&mut self) {
        self.platform.set_faults(Faults::default());
        self.cut_links = crate::network::CutLinks::default();
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.set_task_failures(Some(&worker), false);
        }
    }

    /// Whether the link between sender and receiver of a message is up.
    pub(super) fn can_reach(&self, message: &Message) -> bool {
        let from = (&message.from, self.zone_of(&message.from));
        let to = (&message.to, self.zone_of(&message.to));
        self.cut_links.permits(from, to)
    }

    fn zone_of(&self, party: &Party) -> Option<&Zone> {
        match party {
            Party::Instance(instance) => self.nodes.get(instance).map(|node| &node.config.zone),
            Party::Worker(worker) => self.workers.get(worker).map(|process| &process.zone),
            Party::Platform => None,
        }
    }

    fn kill_party(&mut self, party: &Party) {
        match party {
            Party::Instance(instance) => self.kill_instance(instance),
            Party::Worker(worker) => self.kill_worker(worker),
            // The platform does not crash; an outage of the store takes the place of a crash.
            Party::Platform => self.start_store_outage(),
        }
    }

    fn start_store_outage(&mut self) {
        self.take_store_down();
        self.schedule(self.now + OUTAGE_MS, ScheduledEvent::EndOutages);
    }

    fn pause_party(&mut self, party: &Party) {
        match party {
            Party::Instance(instance) => self.pause(instance, OUTAGE_MS),
            Party::Worker(worker) => self.pause_worker(worker, OUTAGE_MS),
            Party::Platform => self.start_store_outage(),
        }
    }

    /// Cuts an instance off from all other parties until [`World::reconnect`].
    pub fn isolate(&mut self, instance: &InstanceId) {
        self.cut_links.instances.push(instance.clone());
    }

    /// Cuts a zone off from the platform, from the other zones, or from both, until
    /// [`World::reconnect`].
    pub fn cut_zone(&mut self, zone: &Zone, platform: bool, zones: bool) {
        if platform {
            self.cut_links.platform.push(zone.clone());
        }
        if zones {
            self.cut_links.zones.push(zone.clone());
        }
    }

    /// Makes the store unavailable until [`World::reconnect`].
    pub fn take_store_down(&mut self) {
        self.platform.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }

    /// Restores all links and ends all outages.
    pub fn reconnect(&mut self) {
        self.end_outages();
    }
}

/// A complete answer to the request of another caller.
fn answer_to_another_request() -> Answer {
    let request = ServeRequest {
        id: RequestId::from("another-caller"),
        service: JobName::from("quotes"),
        idempotent: true,
        body: "plaza 9".to_owned(),
    };
    worker_model::answer(&request)
}

/// Response time of a slow store, in milliseconds: about a thousand times the usual few
/// milliseconds.
const SLOW_STORE_MS: u64 = 3_000;

pub(super) fn party_name(party: &Party) -> String {
    match party {
        Party::Instance(instance) => instance.to_string(),
        Party::Platform => "platform".to_owned(),
        Party::Worker(worker) => worker.to_string(),
    }
}
