//! Usage: aggregated from all meters, then sealed and reported under the usage lease.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::store::{CallNumber, StoreCall};
use applefold_core::id::{FencingNumber, WindowId};
use applefold_core::lease::HolderName;
use applefold_core::unit::TimeSpan;
use applefold_core::usage::{
    SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageBatch, UsageReport, UsageSealer,
};
use applefold_wire::applefold_capnp::session;
use applefold_wire::usage as message;
use eyre::{Result, WrapErr};

use super::leases::WorkScope;
use super::state::EntryState;
use crate::link::client::PeerLink;
use crate::logging::unix_micros;
use crate::platform::message::UsageRecord;
use crate::window;

const TICK_PERIOD: Duration = Duration::from_millis(500);
/// How long a window stays unsealed after its end, so that its figures reach the aggregators.
const SEAL_DELAY: TimeSpan = TimeSpan::from_secs(5);
/// How long a peer may take to send its usage batches.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The usage aggregator, and the sealer that acts under the usage lease.
pub(crate) struct UsageManager {
    pub(crate) aggregator: RefCell<UsageAggregator>,
    sealer: RefCell<UsageSealer>,
}

impl UsageManager {
    pub(crate) fn new(holder: &HolderName, window: TimeSpan) -> Self {
        let options = SealerOptions::default();
        // With a timeout longer than a window, sealing could never catch up.
        let collect_timeout = options.collect_timeout.min(TimeSpan(window.0 / 2));
        let options = SealerOptions {
            collect_timeout,
            ..options
        };
        let sealer = UsageSealer::new(holder.clone(), options);
        Self {
            aggregator: RefCell::new(UsageAggregator::new()),
            sealer: RefCell::new(sealer),
        }
    }
}

/// Returns the last window that may be sealed: it ended at least [`SEAL_DELAY`] ago.
fn ended_window(state: &EntryState) -> WindowId {
    let current = window::containing(unix_micros() - SEAL_DELAY.0, state.settings.usage_window);
    WindowId(current.0.saturating_sub(1))
}

/// Starts to seal and report, since this entry has acquired the usage lease.
pub(crate) fn begin(state: &Rc<EntryState>, fencing: FencingNumber) {
    state.usage.sealer.borrow_mut().begin(state.now(), fencing);
}

/// Stops at once, since the usage lease is lost or released. The successor completes what is
/// pending.
pub(crate) fn end(state: &EntryState) {
    state.usage.sealer.borrow_mut().end();
}

/// Runs the timer of the sealer until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
        decide(&state, None);
    }
}

/// Passes an event, or `None` for a timer tick, to the sealer and performs its actions in the same
/// step, so that the lease is held when a report is sent.
fn decide(state: &Rc<EntryState>, event: Option<SealerEvent>) {
    let now = state.now();
    let ended = ended_window(state);
    let actions = state.leases.with(WorkScope::Usage, |lease| {
        let mut sealer = state.usage.sealer.borrow_mut();
        match event {
            Some(event) => sealer.handle(now, ended, lease, event),
            None => sealer.tick(now, ended, lease),
        }
    });
    for action in actions.unwrap_or_default() {
        perform(state, action);
    }
}

fn perform(state: &Rc<EntryState>, action: SealerAction) {
    match action {
        SealerAction::Store(call) => spawn_store(state, call),
        SealerAction::Collect { call, from } => spawn_collect(state, call, from),
        SealerAction::Report {
            call,
            report,
            holder,
            fencing,
        } => spawn_report(state, call, usage_record(report, holder, fencing)),
        SealerAction::Closed { window, keep_from } => {
            log::info!(window = window.0; "usage window is reported");
            state.usage.aggregator.borrow_mut().forget_before(keep_from);
        }
    }
}

fn usage_record(report: UsageReport, holder: HolderName, fencing: FencingNumber) -> UsageRecord {
    UsageRecord {
        report_id: report.id,
        window: report.key.window,
        team: report.key.team,
        service: report.key.service,
        prompt_tokens: report.totals.prompt_tokens,
        answer_tokens: report.totals.answer_tokens,
        requests: report.totals.requests,
        late: report.late,
        holder,
        fencing,
    }
}

fn spawn_store(state: &Rc<EntryState>, call: StoreCall) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let completion = state.platform.store(call).await;
        decide(&state, Some(SealerEvent::StoreCompleted(completion)));
    });
}

fn spawn_report(state: &Rc<EntryState>, call: CallNumber, record: UsageRecord) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let reported = state.platform.report(record).await;
        if let Err(fault) = &reported {
            log::warn!("could not report usage to the platform: {fault}");
        }
        let accepted = reported.is_ok();
        decide(&state, Some(SealerEvent::ReportAnswered { call, accepted }));
    });
}

fn spawn_collect(state: &Rc<EntryState>, call: CallNumber, from: WindowId) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let mut batches = state.usage.aggregator.borrow().batches(from);
        let mut complete = true;
        let peers = state.links.borrow().peers();
        for peer in peers {
            match collect(peer.as_ref(), from).await {
                Ok(more) => batches.extend(more),
                Err(error) => {
                    log::debug!("could not collect usage from an entry: {error:#}");
                    complete = false;
                }
            }
        }
        let event = SealerEvent::UsageCollected {
            call,
            batches,
            complete,
        };
        decide(&state, Some(event));
    });
}

async fn collect(peer: Option<&PeerLink>, from: WindowId) -> Result<Vec<UsageBatch>> {
    let peer = peer.ok_or_else(|| eyre::eyre!("the peer is not connected"))?;
    let mut request = peer.session.collect_request();
    request.get().set_from_window(from.0);
    let reply = actix_rt::time::timeout(COLLECT_TIMEOUT, request.send().promise).await;
    let reply = reply.wrap_err("the peer did not reply in time")??;
    let batches = reply.get()?.get_batches()?;
    let batches = batches.iter().map(message::read_batch);
    Ok(batches.collect::<Result<_, _>>()?)
}

/// Fetches what a meter has counted after `position` and merges it. Returns the position for the
/// next call.
///
/// # Errors
///
/// Fails if the call fails or the reply is invalid.
pub(crate) async fn pull_usage(
    state: &Rc<EntryState>,
    session: &session::Client,
    position: u64,
) -> Result<u64> {
    let mut request = session.meter_request();
    request.get().set_keeper(state.holder.as_str());
    request.get().set_taken(position);
    let reply = request.send().promise.await?;
    let reply = reply.get()?;
    let batch = message::read_batch(reply.get_batch()?)?;
    state.usage.aggregator.borrow_mut().merge(batch);
    Ok(reply.get_mark())
}
