//! Heartbeats and their parts: configuration freshness, load, usage, demand and crash reports.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::{BackendId, DomainId, InstanceId, PoolId, Revision, TeamId};
use applefold_core::quarantine::SuspectReport;
use applefold_core::replication::Confirmation;
use applefold_core::unit::{TimeSpan, TokenCount, TokenRate};

use crate::applefold_capnp::{confirmation, heartbeat, load, pool_use, suspect, team_use};
use crate::error::{parse, parse_optional, MessageError};

/// Serializes how recently the sender's configuration was confirmed.
pub(crate) fn write_confirmation(
    confirmation: &Confirmation,
    mut builder: confirmation::Builder<'_>,
) {
    builder.set_revision(confirmation.revision.0);
    builder.set_age_micros(confirmation.age.0);
    builder.set_reach_holds(confirmation.reach_holds);
}

/// Deserializes how recently the sender's configuration was confirmed.
pub(crate) fn read_confirmation(reader: confirmation::Reader<'_>) -> Confirmation {
    Confirmation {
        revision: Revision(reader.get_revision()),
        age: TimeSpan(reader.get_age_micros()),
        reach_holds: reader.get_reach_holds(),
    }
}

/// The load and health of a backend server, as its sidecar reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStatus {
    /// The number of requests running at the backend server.
    pub running: u32,
    /// The number of requests queued in the sidecar.
    pub waiting: u32,
    /// The larger of the tokens that wait at the backend server, as it reports them, and the prompt
    /// tokens that the sidecar has sent and that are not yet prefilled.
    pub waiting_tokens: TokenCount,
    /// The free KV cache capacity of the backend server, in tokens.
    pub free_tokens: TokenCount,
    /// The prefill rate of the backend server, in prompt tokens per second.
    pub prefill_rate: TokenRate,
    /// The decode rate of the backend server, in generated tokens per second.
    pub decode_rate: TokenRate,
    /// Whether the sidecar is draining and accepts no new requests.
    pub draining: bool,
    /// Whether the backend server responds to load queries.
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

/// The tokens that a team has used at the sender in the last heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamId,
    /// The sum of prompt and generated tokens.
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

/// The demand on a pool at the sender in the last heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// Prompt tokens to prefill.
    pub prefill: TokenCount,
    /// Tokens expected to be generated.
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

fn write_report(report: &SuspectReport, mut builder: suspect::Builder<'_>) {
    builder.set_fingerprint(report.fingerprint.0);
    let crashed = report.crashed.as_ref();
    builder.set_backend(crashed.map_or("", |incarnation| incarnation.backend.as_str()));
    builder.set_age_micros(report.age.0);
}

fn read_report(reader: suspect::Reader<'_>) -> Result<SuspectReport, MessageError> {
    Ok(SuspectReport {
        fingerprint: RequestFingerprint(reader.get_fingerprint()),
        crashed: parse_optional(reader.get_backend()?)?.map(BackendId::into),
        age: TimeSpan(reader.get_age_micros()),
    })
}

/// Serializes the reports of requests that crash backend servers.
pub(crate) fn write_reports(
    reports: &[SuspectReport],
    mut builder: capnp::struct_list::Builder<'_, suspect::Owned>,
) {
    for (index, report) in reports.iter().enumerate() {
        write_report(report, builder.reborrow().get(index as u32));
    }
}

/// Deserializes the reports of requests that crash backend servers.
pub(crate) fn read_reports(
    reader: capnp::struct_list::Reader<'_, suspect::Owned>,
) -> Result<Vec<SuspectReport>, MessageError> {
    reader.iter().map(read_report).collect()
}

/// A heartbeat; the reply to it is a heartbeat of the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// The name of the sender.
    pub instance: InstanceId,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// The sender's configuration revision and how recently it was confirmed.
    pub confirmation: Confirmation,
    /// The load of the sidecar's backend server; all zero from an entry.
    pub load: LoadStatus,
    /// The usage of the teams at the sender.
    pub teams: Vec<TeamUsage>,
    /// The serial number of the interval that `teams` and `pools` cover.
    pub period: u64,
    /// The demand on the pools at the sender.
    pub pools: Vec<PoolDemand>,
    /// Reports of requests that may crash backend servers.
    pub suspects: Vec<SuspectReport>,
    /// Whether the sender is shutting down.
    pub stopping: bool,
}

impl HeartbeatMessage {
    /// Serializes the heartbeat.
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

    /// Deserializes a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if a field is malformed or out of range.
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
