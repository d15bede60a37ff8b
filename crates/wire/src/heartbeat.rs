//! Heartbeats and what they carry: confirmation, load, use and suspects.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::{BackendId, DomainId, InstanceId, PoolId, Revision, TeamId};
use applefold_core::quarantine::SuspectReport;
use applefold_core::replication::Confirmation;
use applefold_core::unit::{TimeSpan, TokenCount, TokenRate};

use crate::applefold_capnp::{confirmation, heartbeat, load, pool_use, suspect, team_use};
use crate::error::{parse, parse_optional, MessageError};

/// Writes what a process knows of the configuration and of the platform.
pub(crate) fn write_confirmation(said: &Confirmation, mut builder: confirmation::Builder<'_>) {
    builder.set_revision(said.revision.0);
    builder.set_age_micros(said.age.0);
    builder.set_reach_holds(said.reach_holds);
}

/// Reads what a process knows of the configuration and of the platform.
pub(crate) fn read_confirmation(reader: confirmation::Reader<'_>) -> Confirmation {
    Confirmation {
        revision: Revision(reader.get_revision()),
        age: TimeSpan(reader.get_age_micros()),
        reach_holds: reader.get_reach_holds(),
    }
}

/// The load of a backend server as its sidecar sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStatus {
    /// Requests that the backend server is running.
    pub running: u32,
    /// Requests that wait in the sidecar.
    pub waiting: u32,
    /// Prompt and answer tokens of the waiting requests.
    pub waiting_tokens: TokenCount,
    /// Tokens for which the backend server has free memory.
    pub free_tokens: TokenCount,
    /// Prompt tokens that the backend server reads in a second.
    pub prefill_rate: TokenRate,
    /// Answer tokens that the backend server writes in a second.
    pub decode_rate: TokenRate,
    /// Whether the sidecar takes no new work.
    pub draining: bool,
    /// Whether the backend server answers.
    pub healthy: bool,
}

impl LoadStatus {
    pub(crate) fn write(&self, mut builder: load::Builder<'_>) {
        builder.set_running(self.running);
        builder.set_waiting(self.waiting);
        builder.set_waiting_tokens(self.waiting_tokens.0);
        builder.set_free_tokens(self.free_tokens.0);
        builder.set_prefill_rate(self.prefill_rate.0);
        builder.set_decode_rate(self.decode_rate.0);
        builder.set_draining(self.draining);
        builder.set_healthy(self.healthy);
    }

    pub(crate) fn read(reader: load::Reader<'_>) -> Self {
        Self {
            running: reader.get_running(),
            waiting: reader.get_waiting(),
            waiting_tokens: TokenCount(reader.get_waiting_tokens()),
            free_tokens: TokenCount(reader.get_free_tokens()),
            prefill_rate: TokenRate(reader.get_prefill_rate()),
            decode_rate: TokenRate(reader.get_decode_rate()),
            draining: reader.get_draining(),
            healthy: reader.get_healthy(),
        }
    }
}

/// Tokens that a team has used since the previous heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// Prompt and answer tokens together.
    pub tokens: TokenCount,
}

impl TeamUsage {
    fn write(&self, mut builder: team_use::Builder<'_>) {
        builder.set_team(self.team.as_str());
        builder.set_tokens(self.tokens.0);
    }

    fn read(reader: team_use::Reader<'_>) -> Result<Self, MessageError> {
        let team = parse(reader.get_team()?)?;
        let tokens = TokenCount(reader.get_tokens());
        Ok(Self { team, tokens })
    }
}

/// Work that a pool was asked for in the last heartbeat period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// Prompt tokens to be computed.
    pub prefill: TokenCount,
    /// Answer tokens expected.
    pub decode: TokenCount,
}

impl PoolDemand {
    fn write(&self, mut builder: pool_use::Builder<'_>) {
        builder.set_pool(self.pool.as_str());
        builder.set_prefill_tokens(self.prefill.0);
        builder.set_decode_tokens(self.decode.0);
    }

    fn read(reader: pool_use::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            pool: parse(reader.get_pool()?)?,
            prefill: TokenCount(reader.get_prefill_tokens()),
            decode: TokenCount(reader.get_decode_tokens()),
        })
    }
}

fn write_report(news: &SuspectReport, mut builder: suspect::Builder<'_>) {
    builder.set_fingerprint(news.fingerprint.0);
    let crashed = news.crashed.as_ref();
    builder.set_backend(crashed.map_or("", |run| run.backend.as_str()));
    builder.set_age_micros(news.age.0);
}

fn read_report(reader: suspect::Reader<'_>) -> Result<SuspectReport, MessageError> {
    Ok(SuspectReport {
        fingerprint: RequestFingerprint(reader.get_fingerprint()),
        crashed: parse_optional(reader.get_backend()?)?.map(BackendId::into),
        age: TimeSpan(reader.get_age_micros()),
    })
}

/// Writes what is known of requests that crash backend servers.
pub(crate) fn write_reports(
    news: &[SuspectReport],
    mut builder: capnp::struct_list::Builder<'_, suspect::Owned>,
) {
    for (index, one) in news.iter().enumerate() {
        write_report(one, builder.reborrow().get(index as u32));
    }
}

/// Reads what is known of requests that crash backend servers.
pub(crate) fn read_reports(
    reader: capnp::struct_list::Reader<'_, suspect::Owned>,
) -> Result<Vec<SuspectReport>, MessageError> {
    reader.iter().map(read_report).collect()
}

/// A heartbeat; its answer is a heartbeat of the other side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// The sender.
    pub instance: InstanceId,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// What the sender knows of the configuration.
    pub confirmation: Confirmation,
    /// The load of the sender's backend server; all zero from an entry.
    pub load: LoadStatus,
    /// What teams have used at the sender.
    pub teams: Vec<TeamUsage>,
    /// The number of the period that `teams` and `pools` speak of.
    pub period: u64,
    /// What the pools were asked for at the sender.
    pub pools: Vec<PoolDemand>,
    /// Requests that have crashed backend servers.
    pub suspects: Vec<SuspectReport>,
    /// Whether the sender is stopping.
    pub stopping: bool,
}

impl HeartbeatMessage {
    /// Writes the heartbeat.
    pub fn write(&self, mut builder: heartbeat::Builder<'_>) {
        builder.set_instance(self.instance.as_str());
        builder.set_domain(self.domain.as_str());
        write_confirmation(&self.confirmation, builder.reborrow().init_confirmation());
        self.load.write(builder.reborrow().init_load());
        builder.set_stopping(self.stopping);
        builder.set_period(self.period);
        let mut teams = builder.reborrow().init_teams(self.teams.len() as u32);
        for (index, team) in self.teams.iter().enumerate() {
            team.write(teams.reborrow().get(index as u32));
        }
        let mut pools = builder.reborrow().init_pools(self.pools.len() as u32);
        for (index, pool) in self.pools.iter().enumerate() {
            pool.write(pools.reborrow().get(index as u32));
        }
        let count = self.suspects.len() as u32;
        write_reports(&self.suspects, builder.init_suspects(count));
    }

    /// Reads a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: heartbeat::Reader<'_>) -> Result<Self, MessageError> {
        let teams = reader.get_teams()?.iter().map(TeamUsage::read);
        let pools = reader.get_pools()?.iter().map(PoolDemand::read);
        Ok(Self {
            instance: parse(reader.get_instance()?)?,
            domain: parse(reader.get_domain()?)?,
            confirmation: read_confirmation(reader.get_confirmation()?),
            load: LoadStatus::read(reader.get_load()?),
            teams: teams.collect::<Result<_, _>>()?,
            pools: pools.collect::<Result<_, _>>()?,
            suspects: read_reports(reader.get_suspects()?)?,
            stopping: reader.get_stopping(),
            period: reader.get_period(),
        })
    }
}
