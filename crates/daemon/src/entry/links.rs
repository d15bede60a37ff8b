//! The connections to sidecars, and the heartbeats on them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::{DomainId, InstanceId, PoolId, Revision};
use applefold_core::unit::TimePoint;
use applefold_wire::applefold_capnp::session;
use applefold_wire::beat::{BeatMessage, LoadNote};
use eyre::{Result, WrapErr};

use super::state::EntryState;
use crate::link::dial::{dial, PeerLink};
use crate::platform::message::{InstanceRow, InstanceState};

const BEAT_PERIOD: Duration = Duration::from_secs(1);
/// A connection that has not answered for this long is replaced.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
const REDIAL_PAUSE: Duration = Duration::from_millis(250);

/// A sidecar that this entry may send requests to.
pub(crate) struct LinkRow {
    pub(crate) pool: PoolId,
    pub(crate) domain: DomainId,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) link: Option<PeerLink>,
    pub(crate) load: LoadNote,
    pub(crate) revision: Revision,
    pub(crate) last_beat: TimePoint,
    /// Attempts that this entry has running there.
    pub(crate) in_flight: u32,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for LinkRow {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Every sidecar that this entry may send requests to.
#[derive(Default)]
pub(crate) struct LinkTable {
    pub(crate) rows: BTreeMap<InstanceId, LinkRow>,
}

/// A sidecar chosen for an attempt.
#[derive(Clone)]
pub(crate) struct LinkChoice {
    pub(crate) instance: InstanceId,
    pub(crate) link: PeerLink,
}

impl LinkTable {
    /// Chooses the least busy sidecar of `pool` besides the excluded ones.
    pub(crate) fn choose(
        &self,
        pool: &PoolId,
        excluded: &BTreeSet<InstanceId>,
    ) -> Option<LinkChoice> {
        let rows = self.rows.iter();
        let usable = rows.filter(|(id, row)| {
            row.pool == *pool && !row.leaving && !row.load.draining && !excluded.contains(*id)
        });
        let linked = usable.filter_map(|(id, row)| {
            let link = row.link.clone()?;
            let choice = LinkChoice {
                instance: id.clone(),
                link,
            };
            Some((row.in_flight + row.load.waiting, choice))
        });
        let least = linked.min_by_key(|(busy, _)| *busy);
        least.map(|(_, choice)| choice)
    }
}

/// Brings the table in step with the platform's list.
pub(crate) fn follow_list(state: &Rc<EntryState>, listed: Vec<InstanceRow>) {
    let mut table = state.links.borrow_mut();
    let ids: BTreeSet<InstanceId> = listed.iter().map(|row| row.id.clone()).collect();
    table
        .rows
        .retain(|id, row| ids.contains(id) || row.in_flight > 0);
    for instance in listed {
        let Some(pool) = instance.pool else {
            continue;
        };
        let leaving = instance.state == InstanceState::Leaving;
        let known = table.rows.get_mut(&instance.id);
        if let Some(row) = known.filter(|row| row.address == instance.address) {
            row.leaving = leaving;
            continue;
        }
        let task = actix_rt::spawn(keep(state.clone(), instance.id.clone(), instance.address));
        let row = LinkRow {
            pool,
            domain: instance.domain,
            address: instance.address,
            leaving,
            link: None,
            load: LoadNote::default(),
            revision: Revision::default(),
            last_beat: TimePoint::START,
            in_flight: 0,
            task,
        };
        table.rows.insert(instance.id, row);
    }
}

/// Keeps a connection to one sidecar, a new one whenever the old one ends.
async fn keep(state: Rc<EntryState>, instance: InstanceId, address: SocketAddr) {
    loop {
        let ended = keep_once(&state, &instance, address).await;
        if let Some(row) = state.links.borrow_mut().rows.get_mut(&instance) {
            row.link = None;
        }
        if let Err(error) = ended {
            log::debug!(peer = instance.as_str(); "connection ended: {error:#}");
        }
        actix_rt::time::sleep(REDIAL_PAUSE).await;
    }
}

async fn keep_once(
    state: &Rc<EntryState>,
    instance: &InstanceId,
    address: SocketAddr,
) -> Result<()> {
    let link = dial(address, &state.gate_options()).await?;
    let kept = beat_on(state, instance, &link).await;
    link.close();
    kept
}

async fn beat_on(state: &Rc<EntryState>, instance: &InstanceId, link: &PeerLink) -> Result<()> {
    loop {
        let beat = actix_rt::time::timeout(SILENCE_LIMIT, exchange(state, &link.session)).await;
        let beat = beat.wrap_err("the peer went silent")??;
        note_beat(state, instance, link, &beat);
        if beat.confirmation.revision < state.config.revision() {
            let pushed = actix_rt::time::timeout(SILENCE_LIMIT, push(state, &link.session)).await;
            pushed.wrap_err("the peer went silent")??;
            continue;
        }
        actix_rt::time::sleep(BEAT_PERIOD).await;
    }
}

fn note_beat(state: &Rc<EntryState>, instance: &InstanceId, link: &PeerLink, beat: &BeatMessage) {
    let now = state.now();
    state.config.merge(&beat.confirmation, now);
    let mut table = state.links.borrow_mut();
    let Some(row) = table.rows.get_mut(instance) else {
        return;
    };
    row.load = beat.load;
    row.revision = beat.confirmation.revision;
    row.last_beat = now;
    let behind = row.revision < state.config.revision();
    row.link = (!behind).then(|| link.clone());
}

async fn exchange(state: &Rc<EntryState>, session: &session::Client) -> Result<BeatMessage> {
    let mut request = session.heartbeat_request();
    state.beat().write(request.get().init_beat());
    let reply = request.send().promise.await?;
    Ok(BeatMessage::read(reply.get()?.get_beat()?)?)
}

/// Sends the whole configuration to a peer that is behind.
async fn push(state: &Rc<EntryState>, session: &session::Client) -> Result<()> {
    let mut request = session.configure_request();
    let mut update = request.get().init_update();
    update.set_revision(state.config.revision().0);
    update.set_body(&*state.config.with(|config| config.to_json()));
    request.send().promise.await?;
    Ok(())
}
