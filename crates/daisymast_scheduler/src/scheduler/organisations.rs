//! Caps and rates of the organisations that jobs belong to.

use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_organisations::organisation;
use daisymast_organisations::rate;
use daisymast_organisations::share;
use daisymast_organisations::usage;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;

use super::Scheduler;
use super::placement;
use crate::action;
use crate::constants;
use crate::decision;
use crate::lease;
use crate::run;
use crate::steps;

/// Settings of the organisations, and what is known of them besides their running tasks.
#[derive(Debug, Default)]
pub(super) struct Organisations {
    /// Settings in force, of all organisations that are configured or have jobs.
    terms: collections::FastMap<ids::Organisation, organisation::Terms>,
    rates: rate::Rates,
    /// Organisations that are at their cap, and when this last kept a step from starting.
    at_cap: collections::FastMap<ids::Organisation, time::Monotonic>,
    /// Number of steps that wait beyond the rate of their organisation: those after the last pass, and one
    /// for each job accepted since.
    backlogs: collections::FastMap<ids::Organisation, u32>,
}

impl Organisations {
    fn backlog_mut(&mut self, organisation: &ids::Organisation) -> &mut u32 {
        self.backlogs.entry(organisation.clone()).or_default()
    }
}

impl Scheduler {
    /// Returns what the tasks of an organisation occupy on all workers.
    pub fn usage(&self, organisation: &ids::Organisation) -> quantities::Resources {
        self.fleet.usage().of(organisation)
    }

    /// Returns the settings of an organisation that are in force: the configured ones, or the stored
    /// ones if the configuration has dropped it or is older than they are.
    pub fn terms(&self, organisation: &ids::Organisation) -> Option<&organisation::Terms> {
        self.organisations.terms.get(organisation)
    }

    /// Puts the configured settings of the organisations in force, and stores those of organisations
    /// that have jobs.
    pub(super) fn update_organisations(&mut self) {
        let stored = self.job_table.organisations();
        let mut terms: collections::FastMap<_, organisation::Terms> = stored
            .map(|terms| (terms.name.clone(), terms.clone()))
            .collect();
        let version = self.config.version;
        for configured in self.config.organisations.iter().flatten() {
            let is_later = |stored: &organisation::Terms| stored.version <= version;
            if terms.get(&configured.name).is_none_or(is_later) {
                terms.insert(configured.name.clone(), configured.terms(version));
            }
        }
        let names: Vec<ids::Organisation> = terms.keys().cloned().collect();
        self.organisations
            .rates
            .retain(|name| terms.contains_key(name));
        self.organisations.terms = terms;
        for name in names {
            if self.job_table.organisation(&name).is_some() {
                self.store_organisation(&name);
            }
        }
    }

    /// Stores the settings of an organisation that are in force, unless they are stored already. Once a
    /// later configuration drops it, its open jobs still run within its last cap.
    pub(super) fn store_organisation(&mut self, name: &ids::Organisation) {
        let Some(terms) = self.organisations.terms.get(name) else {
            return;
        };
        if self.job_table.organisation(name) != Some(terms) {
            let terms = terms.clone();
            self.job_table.set_organisation(terms.clone());
            self.journal.append(record::Record::Organisation { terms });
        }
    }

    /// Returns how many more tasks of a step the cap of its organisation allows. None may start while
    /// the cap is not known.
    pub(super) fn cap_room(&self, step: &steps::ReadyStep) -> u32 {
        let Some(organisation) = &step.organisation else {
            return u32::MAX;
        };
        let Some(terms) = self.terms(organisation) else {
            return 0;
        };
        let usage = self.fleet.usage();
        usage.room(organisation, terms.cap, step.step_spec().size)
    }

    /// Whether the cap of the step's organisation allows a task of it to start, or the whole gang.
    pub(super) fn fits_cap(&self, step: &steps::ReadyStep) -> bool {
        let step_spec = step.step_spec();
        let needed = if step_spec.gang { step_spec.tasks } else { 1 };
        self.cap_room(step) >= needed
    }

    /// Whether the organisation of a run is above its cap, the run included. A former scheduler may have
    /// started other tasks after it had learned, which the journal does not tell, that the run was over.
    pub(super) fn exceeds_cap(&self, run: &run::Run) -> bool {
        run.charge.as_ref().is_some_and(|charge| {
            let terms = self.terms(&charge.organisation);
            terms.is_none_or(|terms| !terms.cap.allows(self.usage(&charge.organisation)))
        })
    }

    /// Removes the steps that cannot start because their organisation is at its cap, so that they take
    /// neither time in the pass nor room or advice from others.
    pub(super) fn remove_over_cap(&mut self, order: &mut Vec<spec::StepId>, now: time::Monotonic) {
        if self.organisations.terms.is_empty() {
            return;
        }
        let mut over_cap = collections::FastSet::default();
        order.retain(|id| {
            let Some(step) = self.steps.get(id) else {
                return false;
            };
            let fits = self.fits_cap(step);
            if let Some(organisation) = step.organisation.as_ref().filter(|_| !fits)
                && !over_cap.contains(organisation)
            {
                over_cap.insert(organisation.clone());
            }
            fits
        });
        self.note_caps(over_cap, now);
    }

    /// Logs which organisations have reached or left their cap.
    fn note_caps(
        &mut self,
        over_cap: collections::FastSet<ids::Organisation>,
        now: time::Monotonic,
    ) {
        for name in over_cap {
            if self
                .organisations
                .at_cap
                .insert(name.clone(), now)
                .is_none()
            {
                self.log_cap(name, true);
            }
        }
        let is_left = |at: time::Monotonic| now - at >= constants::CAP_LEFT_AFTER;
        let left = self.organisations.at_cap.iter();
        let left: Vec<ids::Organisation> = left
            .filter(|&(_, &at)| is_left(at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in left {
            self.organisations.at_cap.remove(&name);
            self.log_cap(name, false);
        }
    }

    fn log_cap(&mut self, organisation: ids::Organisation, reached: bool) {
        let usage = self.usage(&organisation);
        let cap = self.terms(&organisation).map(|terms| terms.cap);
        self.log(decision::Decision::Cap {
            organisation,
            reached,
            usage,
            cap: cap.unwrap_or_default(),
        });
    }

    /// Returns how much the organisations use of their shares; `None` while there is room for all, or
    /// without organisations.
    pub(super) fn shares(&self, snapshot: &placement::FleetSnapshot) -> Option<share::Shares> {
        if self.organisations.terms.is_empty() || !self.is_room_short(snapshot) {
            return None;
        }
        let mut capacity = share::Capacity::default();
        for row in &snapshot.rows {
            capacity.add(row.capacity);
        }
        let waiting = self.steps.values().filter(|step| !step.waiting.is_empty());
        let waiting: collections::FastSet<&ids::Organisation> = waiting
            .filter_map(|step| step.organisation.as_ref())
            .collect();
        let active = self.organisations.terms.values().filter_map(|terms| {
            let used = self.usage(&terms.name);
            let is_active = used != quantities::Resources::ZERO || waiting.contains(&terms.name);
            is_active.then(|| share::Active {
                name: terms.name.clone(),
                weight: terms.weight,
                used,
            })
        });
        Some(share::Shares::new(capacity, active.collect()))
    }

    /// Whether the fleet would be highly utilised with all waiting tasks. What is in use does not tell
    /// alone: many tasks may end at once while more wait than there is room for.
    fn is_room_short(&self, snapshot: &placement::FleetSnapshot) -> bool {
        let sum = |millicores: fn(&placement::WorkerSnapshot) -> u32| -> u64 {
            let rows = snapshot.rows.iter();
            rows.map(|row| u64::from(millicores(row))).sum()
        };
        let capacity = sum(|row| row.capacity.millicores);
        let used = capacity.saturating_sub(sum(|row| row.available.millicores));
        let waiting = self.steps.values().map(|step| {
            let tasks = u64::try_from(step.waiting.len()).unwrap_or(u64::MAX);
            tasks.saturating_mul(u64::from(step.size().millicores))
        });
        let demand = waiting.fold(used, u64::saturating_add);
        demand.saturating_mul(100) >= capacity * constants::HIGH_UTILISATION_PERCENT
    }

    /// Returns the answer to a submission that the cap of its organisation can never allow: a task or a
    /// gang is larger than the cap.
    pub(super) fn over_cap(
        &self,
        organisation: Option<&ids::Organisation>,
        spec: &spec::JobSpec,
    ) -> Option<action::Answer> {
        let cap = self.terms(organisation?)?.cap;
        let none = quantities::Resources::ZERO;
        let too_large = spec.steps.iter().find(|step| {
            let needed = if step.gang { step.tasks } else { 1 };
            usage::tasks_within(cap, none, step.size) < needed
        })?;
        Some(action::Answer::OverCap(action::OverCap {
            size: too_large.size,
            tasks: if too_large.gang { too_large.tasks } else { 1 },
            cap,
        }))
    }

    /// Counts the steps beyond the rates of their organisations that wait after a pass.
    pub(super) fn count_backlogs(&mut self) {
        self.organisations.backlogs.clear();
        let steps = self.steps.values();
        for step in steps.filter(|step| !step.within_rate && !step.waiting.is_empty()) {
            if let Some(organisation) = &step.organisation {
                *self.organisations.backlog_mut(organisation) += 1;
            }
        }
    }

    /// Returns the answer to a submission beyond the rate of its organisation, if more steps beyond it wait
    /// than the organisation has coming in a while: it could not be served in time, and the jobs that
    /// wait have to be bounded.
    pub(super) fn over_rate(
        &mut self,
        organisation: Option<&ids::Organisation>,
        now: time::Monotonic,
    ) -> Option<action::Answer> {
        let state = &mut self.organisations;
        let terms = state.terms.get(organisation?)?;
        let waiting = state.backlogs.get(&terms.name).copied().unwrap_or(0);
        let limit = (terms.weight * constants::OVER_RATE_BACKLOG.as_secs_f64())
            .max(constants::MIN_OVER_RATE_BACKLOG);
        if f64::from(waiting) < limit || state.rates.allows(&terms.name, terms.weight, now) {
            return None;
        }
        let after = state.rates.retry_after(&terms.name, terms.weight, now);
        let retry_ms = lease::millis(after);
        Some(action::Answer::OverRate { retry_ms })
    }

    /// Counts a job of an organisation. Returns whether it lies beyond the organisation's rate.
    pub(super) fn take_rate(
        &mut self,
        organisation: Option<&ids::Organisation>,
        now: time::Monotonic,
    ) -> bool {
        let Some(terms) = organisation.and_then(|name| self.organisations.terms.get(name)) else {
            return false;
        };
        let name = terms.name.clone();
        let over_rate = !self.organisations.rates.take(&name, terms.weight, now);
        if over_rate {
            *self.organisations.backlog_mut(&name) += 1;
        }
        over_rate
    }
}
