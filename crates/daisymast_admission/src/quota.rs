//! Quotas of teams over resources and over requests in flight.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::Team;
use daisymast_types::quantities::Resources;

/// What one team may use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Most that its running tasks may use.
    pub resources: Resources,
    /// Most requests in flight.
    pub requests: u32,
}

/// A quota that was used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OverQuota {
    /// The team has no quota.
    UnknownTeam,
    /// The tasks of the team would use more than its quota.
    Resources,
    /// The team has too many requests in flight.
    Requests,
}

/// Use and limits of all teams.
///
/// ```
/// use daisymast_admission::quota::{Limit, OverQuota, Quotas};
/// use daisymast_types::{ids::Team, quantities::Resources};
/// let mut quotas = Quotas::default();
/// let team = Team::from("surveys");
/// quotas.set(&team, Limit { resources: Resources::new(4_000, 4_096, 0), requests: 8 });
/// let size = Resources::new(3_000, 512, 0);
/// assert_eq!(quotas.acquire_resources(&team, size), Ok(()));
/// assert_eq!(quotas.acquire_resources(&team, size), Err(OverQuota::Resources));
/// quotas.release_resources(&team, size);
/// assert_eq!(quotas.acquire_resources(&team, size), Ok(()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    teams: FastMap<Team, Account>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    limit: Option<Limit>,
    resources: Resources,
    requests: u32,
}

impl Quotas {
    /// Sets the limit of a team. What is in use above a lower limit ends by itself.
    pub fn set(&mut self, team: &Team, limit: Limit) {
        self.teams.entry(team.clone()).or_default().limit = Some(limit);
    }

    /// Withdraws the limits of the teams that are no longer declared; accounts in use stay, so that
    /// what is given back later meets its account.
    pub fn retain(&mut self, declared: impl Fn(&Team) -> bool) {
        self.teams.retain(|team, account| {
            if declared(team) {
                return true;
            }
            account.limit = None;
            account.requests > 0 || account.resources != Resources::ZERO
        });
    }

    /// Takes the size of a task, or nothing if the quota does not allow it.
    pub fn acquire_resources(&mut self, team: &Team, size: Resources) -> Result<(), OverQuota> {
        let (account, limit) = self.account(team)?;
        let used = account.resources + size;
        if !used.fits_in(limit.resources) {
            return Err(OverQuota::Resources);
        }
        account.resources = used;
        Ok(())
    }

    /// Gives back the size of an ended task.
    pub fn release_resources(&mut self, team: &Team, size: Resources) {
        if let Some(account) = self.teams.get_mut(team) {
            account.resources = account.resources.saturating_sub(size);
        }
    }

    /// Counts a request in flight, unless the team has as many as it may.
    pub fn acquire_request(&mut self, team: &Team) -> Result<(), OverQuota> {
        let (account, limit) = self.account(team)?;
        if account.requests >= limit.requests {
            return Err(OverQuota::Requests);
        }
        account.requests += 1;
        Ok(())
    }

    /// Notes that a request has ended.
    pub fn release_request(&mut self, team: &Team) {
        if let Some(account) = self.teams.get_mut(team) {
            account.requests = account.requests.saturating_sub(1);
        }
    }

    /// What the tasks of a team use.
    pub fn used(&self, team: &Team) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |account| account.resources)
    }

    /// Requests of a team in flight.
    pub fn in_flight(&self, team: &Team) -> u32 {
        self.teams.get(team).map_or(0, |account| account.requests)
    }

    fn account(&mut self, team: &Team) -> Result<(&mut Account, Limit), OverQuota> {
        let account = self.teams.get_mut(team).ok_or(OverQuota::UnknownTeam)?;
        let limit = account.limit.ok_or(OverQuota::UnknownTeam)?;
        Ok((account, limit))
    }
}
