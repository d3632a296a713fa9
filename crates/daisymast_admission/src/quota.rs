//! Per-team quotas for resources and requests in flight.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::Team;
use daisymast_types::quantities::Resources;

/// Limits on the total use of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Maximum resources of its running tasks.
    pub resources: Resources,
    /// Maximum number of requests in flight.
    pub requests: u32,
}

/// Reason why a quota does not allow more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OverQuota {
    /// The team has no quota.
    UnknownTeam,
    /// The team's tasks would exceed its resource quota.
    Resources,
    /// The team already has the maximum number of requests in flight.
    Requests,
}

/// Current use and limits of all teams.
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
    /// Sets the limit of a team. Use above a lowered limit is not revoked; it ends with the tasks
    /// and requests.
    pub fn set(&mut self, team: &Team, limit: Limit) {
        self.teams.entry(team.clone()).or_default().limit = Some(limit);
    }

    /// Removes the limits of the teams for which `declared` returns `false`. Teams with use left
    /// are kept until it is released, so that the release is not lost.
    pub fn retain(&mut self, declared: impl Fn(&Team) -> bool) {
        self.teams.retain(|team, account| {
            if declared(team) {
                return true;
            }
            account.limit = None;
            account.requests > 0 || account.resources != Resources::ZERO
        });
    }

    /// Counts the size of a task against the quota. Counts nothing on error.
    pub fn acquire_resources(&mut self, team: &Team, size: Resources) -> Result<(), OverQuota> {
        let (account, limit) = self.account(team)?;
        let used = account.resources + size;
        if !used.fits_in(limit.resources) {
            return Err(OverQuota::Resources);
        }
        account.resources = used;
        Ok(())
    }

    /// Releases the size of an ended task.
    pub fn release_resources(&mut self, team: &Team, size: Resources) {
        if let Some(account) = self.teams.get_mut(team) {
            account.resources = account.resources.saturating_sub(size);
        }
    }

    /// Counts a request in flight against the quota. Counts nothing on error.
    pub fn acquire_request(&mut self, team: &Team) -> Result<(), OverQuota> {
        let (account, limit) = self.account(team)?;
        if account.requests >= limit.requests {
            return Err(OverQuota::Requests);
        }
        account.requests += 1;
        Ok(())
    }

    /// Releases a request that has ended.
    pub fn release_request(&mut self, team: &Team) {
        if let Some(account) = self.teams.get_mut(team) {
            account.requests = account.requests.saturating_sub(1);
        }
    }

    /// Resources counted for the tasks of a team.
    pub fn used(&self, team: &Team) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::ZERO, |account| account.resources)
    }

    /// Number of requests of a team in flight.
    pub fn in_flight(&self, team: &Team) -> u32 {
        self.teams.get(team).map_or(0, |account| account.requests)
    }

    fn account(&mut self, team: &Team) -> Result<(&mut Account, Limit), OverQuota> {
        let account = self.teams.get_mut(team).ok_or(OverQuota::UnknownTeam)?;
        let limit = account.limit.ok_or(OverQuota::UnknownTeam)?;
        Ok((account, limit))
    }
}
