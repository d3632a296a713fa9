//! Strikes faults at the steps of a session.

use daisymast_platform::model::Faults;
use daisymast_protocol::worker::{Answer, ServeRequest};
use daisymast_types::ids::{InstanceId, JobName, RequestId, WorkerId, Zone};
use daisymast_worker::model as worker_model;

use crate::fault::{Fault, LATE_MS, OUTAGE_MS, REORDER_MS};
use crate::network::{Message, Party};
use crate::world::{Due, LATENCY_MS, World};

impl World {
    /// Sends a message, and lets the fault strike that is armed for this step.
    pub(super) fn transmit(&mut self, message: Message) {
        if let Some(meter) = self.meter.as_mut() {
            meter.message(&message);
        }
        let Some(step) = self.count_step(&message) else {
            self.send(message, LATENCY_MS);
            return;
        };
        let found = self.armed.iter().find(|armed| armed.step == step).copied();
        match found {
            Some(armed) => {
                self.struck += 1;
                self.line(&format!("fault {}", armed.fault));
                self.strike(armed.fault, message);
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
        self.line(&text);
        Some(step)
    }

    fn send(&mut self, message: Message, delay: u64) {
        let at = self.now + delay;
        self.schedule(at, Due::Arrive(message));
    }

    fn strike(&mut self, fault: Fault, message: Message) {
        match fault {
            Fault::SenderDiesBefore => self.end_party(&message.from.clone()),
            Fault::SenderDiesAfter => {
                let sender = message.from.clone();
                self.send(message, LATENCY_MS);
                self.end_party(&sender);
            }
            Fault::ReceiverDiesBefore => {
                let receiver = message.to.clone();
                self.end_party(&receiver);
                self.send(message, LATENCY_MS);
            }
            Fault::ReceiverDiesAfter => {
                let receiver = message.to.clone();
                self.arrive(message);
                self.end_party(&receiver);
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
                    *answer = other_answer();
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
                self.strike_surroundings(fault, &message);
                self.send(message, LATENCY_MS);
            }
        }
    }

    fn strike_surroundings(&mut self, fault: Fault, message: &Message) {
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
            Fault::ZoneOffPlatform => self.cuts.platform.extend(zone),
            Fault::ZoneOffZones => self.cuts.zones.extend(zone),
            Fault::ZoneOffAll => {
                self.cuts.platform.extend(zone.clone());
                self.cuts.zones.extend(zone);
            }
            Fault::InstanceOff => self.cuts.instances.push(instance),
            Fault::WorkerFails => self.set_failing(worker.as_ref(), true),
            Fault::WorkerDies => {
                if let Some(worker) = worker {
                    self.kill_worker(&worker);
                }
            }
            _ => {}
        }
        self.schedule(self.now + OUTAGE_MS, Due::Heal);
    }

    /// Ends all outages.
    pub(super) fn heal(&mut self) {
        self.platform.set_faults(Faults::default());
        self.cuts = crate::network::Cuts::default();
        let hosts: Vec<WorkerId> = self.hosts.keys().cloned().collect();
        for worker in hosts {
            self.set_failing(Some(&worker), false);
        }
    }

    /// Whether the links carry a message between its two parties at present.
    pub(super) fn carries(&self, message: &Message) -> bool {
        let from = (&message.from, self.zone_of(&message.from));
        let to = (&message.to, self.zone_of(&message.to));
        self.cuts.carry(from, to)
    }

    fn zone_of(&self, party: &Party) -> Option<&Zone> {
        match party {
            Party::Instance(instance) => self.nodes.get(instance).map(|node| &node.config.zone),
            Party::Worker(worker) => self.hosts.get(worker).map(|host| &host.zone),
            Party::Platform => None,
        }
    }

    fn end_party(&mut self, party: &Party) {
        match party {
            Party::Instance(instance) => self.kill(instance),
            Party::Worker(worker) => self.kill_worker(worker),
            // The platform outlives its callers; its loss is the fault StoreDown.
            Party::Platform => self.strike_store(),
        }
    }

    fn strike_store(&mut self) {
        self.take_store_down();
        self.schedule(self.now + OUTAGE_MS, Due::Heal);
    }

    fn pause_party(&mut self, party: &Party) {
        match party {
            Party::Instance(instance) => self.pause(instance, OUTAGE_MS),
            Party::Worker(worker) => self.pause_worker(worker, OUTAGE_MS),
            Party::Platform => self.strike_store(),
        }
    }

    /// Cuts off an instance until [`World::reconnect`].
    pub fn isolate(&mut self, instance: &InstanceId) {
        self.cuts.instances.push(instance.clone());
    }

    /// Cuts a zone off from the platform, from the other zones, or from both.
    pub fn cut_zone(&mut self, zone: &Zone, platform: bool, zones: bool) {
        if platform {
            self.cuts.platform.push(zone.clone());
        }
        if zones {
            self.cuts.zones.push(zone.clone());
        }
    }

    /// Takes the store down until [`World::reconnect`].
    pub fn take_store_down(&mut self) {
        self.platform.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }

    /// Ends all cuts and outages.
    pub fn reconnect(&mut self) {
        self.heal();
    }
}

/// A whole answer to another caller's request.
fn other_answer() -> Answer {
    let request = ServeRequest {
        id: RequestId::from("another-caller"),
        service: JobName::from("quotes"),
        idempotent: true,
        body: "plaza 9".to_owned(),
    };
    worker_model::answer(&request)
}

/// Delay of a slow store, in milliseconds: a thousand times its usual few milliseconds.
const SLOW_STORE_MS: u64 = 3_000;

pub(super) fn party_name(party: &Party) -> String {
    match party {
        Party::Instance(instance) => instance.to_string(),
        Party::Platform => "platform".to_owned(),
        Party::Worker(worker) => worker.to_string(),
    }
}
