//! Permits to send requests to backend servers that have named a rate limit.
//!
//! The entry asks the issuer of a backend server's permits over the gossip socket, and answers for
//! the backend servers that it is the issuer of itself. Decisions are made in
//! `applefold_core::direct`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{
    LimitEffect, LimitStatement, LimitedBackend, LiveShare, PermitIssuer, PermitReply, PERMIT_TTL,
};
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::rank::NameRank;
use applefold_core::unit::{RequestRate, TimePoint, TimeSpan};
use opentelemetry::KeyValue;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::gossip;
use super::messages::GossipPayload;
use super::state::GatewayState;

/// How long a request waits for the issuer's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// When a backend server is tried again whose issuer did not reply.
const SILENT_ISSUER_WAIT: TimeSpan = TimeSpan::from_millis(150);
/// When an entry may ask again that took this one for the issuer by mistake.
const WRONG_ISSUER_WAIT: TimeSpan = TimeSpan::from_millis(100);

/// A request for a permit, sent to the issuer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Identifies the request in the reply.
    ticket: u64,
    backend: SmolStr,
    /// The incarnation of the backend server: the start time of its process.
    incarnation: u64,
    /// The limit that the sender knows, in thousandths of a request per second.
    limit: u64,
}

/// The issuer's reply.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PermitAnswer {
    ticket: u64,
    /// How long to wait before asking again, in microseconds; `None` if the permit is granted.
    wait_us: Option<u64>,
}

/// A permit that was asked for and not yet answered.
#[derive(Debug)]
struct PendingPermit {
    limited: LimitedBackend,
    asked_at: TimePoint,
    /// The request that waits for the reply; gone once it has stopped waiting.
    reply: oneshot::Sender<PermitReply>,
}

/// A permit that no request has used.
#[derive(Clone, Debug)]
struct SparePermit {
    limited: LimitedBackend,
    expires_at: TimePoint,
}

/// The permits that this entry issues, asks for and has left.
#[derive(Debug, Default)]
pub(crate) struct PermitDesk {
    issuer: RefCell<PermitIssuer>,
    last_ticket: Cell<u64>,
    pending: RefCell<BTreeMap<u64, PendingPermit>>,
    spare: RefCell<Vec<SparePermit>>,
}

/// A permit to send one request to a backend server. An unused one goes back for the next request.
pub(crate) struct SendPermit {
    state: Rc<GatewayState>,
    permit: SparePermit,
    spent: Cell<bool>,
}

impl SendPermit {
    /// Uses the permit up; returns whether it was still valid.
    pub(crate) fn spend(&self) -> bool {
        let valid = self.permit.expires_at > self.state.now();
        !self.spent.replace(true) && valid
    }

    /// Takes the use back, since no byte of the request was sent.
    pub(crate) fn restore(&self) {
        self.spent.set(false);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.spent.get() && self.permit.expires_at > self.state.now() {
            let mut spare = self.state.permits.spare.borrow_mut();
            spare.push(self.permit.clone());
        }
    }
}

/// Whether a request may be sent to a backend server under its rate limit.
pub(crate) enum PermitOutcome {
    /// It may; there is no limit, or the permit says so.
    Allowed(Option<SendPermit>),
    /// It may not, and the backend server gets no requests for a while.
    Deferred,
}

/// The entry that issues the permits of a backend server.
enum IssuerEntry {
    Own,
    Peer(InstanceId, SocketAddr),
}

impl GatewayState {
    /// Returns the rate limit of a backend server with its incarnation; `None` if there is none.
    fn limited(&self, backend: &BackendId) -> Option<(LimitedBackend, RequestRate)> {
        let table = self.table.borrow();
        let row = table.get(backend)?;
        let limited = LimitedBackend {
            backend: backend.clone(),
            incarnation: row.spec.started_at_ms,
        };
        Some((limited, row.rate_limit().rate()?))
    }

    /// Asks for a permit to send a request to a backend server, if that has named a rate limit.
    /// `request` is for the log.
    pub(crate) async fn acquire_permit(
        self: &Rc<Self>,
        backend: &BackendId,
        request: &str,
    ) -> PermitOutcome {
        let Some((limited, limit)) = self.limited(backend) else {
            return PermitOutcome::Allowed(None);
        };
        let asked_at = self.now();
        if let Some(permit) = self.take_spare(&limited, asked_at) {
            return PermitOutcome::Allowed(Some(self.permit(permit)));
        }
        let (issuer, reply) = match self.issuer_of(backend) {
            IssuerEntry::Own => {
                let own = self.settings().instance.clone();
                let reply = self.issue(&limited, limit, &own);
                (own, Some(reply))
            }
            IssuerEntry::Peer(id, address) => {
                let reply = self.ask(&limited, limit, address, asked_at).await;
                (id, reply)
            }
        };
        let (outcome, wait) = match reply {
            Some(PermitReply::Granted) => {
                self.count_permit("granted");
                let expires_at = asked_at + PERMIT_TTL;
                let permit = SparePermit {
                    limited,
                    expires_at,
                };
                return PermitOutcome::Allowed(Some(self.permit(permit)));
            }
            Some(PermitReply::Denied(wait)) => ("denied", wait),
            None => ("unanswered", SILENT_ISSUER_WAIT),
        };
        self.count_permit(outcome);
        log::info!(request, backend = backend.as_str(), limit = limit.to_string(),
            issuer = issuer.as_str(), outcome, wait_ms = wait.as_millis();
            "request not sent to a backend server: no permit within its rate limit");
        let until = self.now() + wait;
        self.table.borrow_mut().defer(backend, until);
        PermitOutcome::Deferred
    }

    /// Returns whether a request may be sent to a backend server now with this permit, which it
    /// uses up. The limit may have been named since the request was placed.
    pub(crate) fn spend_permit(&self, backend: &BackendId, permit: Option<&SendPermit>) -> bool {
        match permit {
            Some(permit) => permit.spend(),
            None => self.limited(backend).is_none(),
        }
    }

    /// Answers a peer that asks for a permit.
    pub(crate) fn answer_permit(&self, peer: &InstanceId, from: SocketAddr, ask: &PermitRequest) {
        let Ok(backend) = ask.backend.parse::<BackendId>() else {
            log::debug!(peer = peer.as_str();
                "permit request ignored: invalid backend server name");
            return;
        };
        let reply = match self.issuer_of(&backend) {
            IssuerEntry::Own => {
                let limited = LimitedBackend {
                    backend,
                    incarnation: ask.incarnation,
                };
                self.issue(&limited, RequestRate(ask.limit), peer)
            }
            IssuerEntry::Peer(..) => PermitReply::Denied(WRONG_ISSUER_WAIT),
        };
        let answer = PermitAnswer {
            ticket: ask.ticket,
            wait_us: match reply {
                PermitReply::Granted => None,
                PermitReply::Denied(wait) => Some(wait.0),
            },
        };
        gossip::send_to(self, from, GossipPayload::PermitAnswer(answer));
    }

    /// Passes the issuer's reply on to the request that waits for it. A permit that comes too late
    /// for its request is kept for the next one.
    pub(crate) fn receive_permit(self: &Rc<Self>, answer: &PermitAnswer) {
        let pending = self.permits.pending.borrow_mut().remove(&answer.ticket);
        let Some(pending) = pending else {
            return;
        };
        let reply = answer.wait_us.map_or(PermitReply::Granted, |wait| {
            PermitReply::Denied(TimeSpan(wait))
        });
        let expires_at = pending.asked_at + PERMIT_TTL;
        let unclaimed = pending.reply.send(reply).is_err();
        if unclaimed && reply == PermitReply::Granted {
            self.count_permit("late");
            self.table
                .borrow_mut()
                .defer(&pending.limited.backend, TimePoint::START);
            drop(self.permit(SparePermit {
                limited: pending.limited,
                expires_at,
            }));
        }
    }

    /// Handles what the response of a backend server to a request sent at `sent_at` says about its
    /// rate limit.
    pub(crate) fn handle_limit(
        &self,
        backend: &BackendId,
        rate: Option<RequestRate>,
        sent_at: TimePoint,
        request: &str,
    ) {
        let now = self.now();
        let incarnation = {
            let table = self.table.borrow();
            let Some(row) = table.get(backend) else {
                return;
            };
            if rate.is_none() && row.rate_limit().rate().is_none() {
                return;
            }
            row.spec.started_at_ms
        };
        let statement = LimitStatement {
            rate,
            stated_at: now,
            sent_at,
        };
        let effect = self.apply_limit(backend, incarnation, &statement, request);
        if effect != LimitEffect::Outdated {
            let mut limits = self.limits.borrow_mut();
            limits.note(backend, incarnation, &statement);
        }
    }

    /// Applies a statement of a backend server about its rate limit, and logs and counts a change.
    /// `source` is the request or the entry that it came with, for the log.
    pub(crate) fn apply_limit(
        &self,
        backend: &BackendId,
        incarnation: u64,
        statement: &LimitStatement,
        source: &str,
    ) -> LimitEffect {
        let mut table = self.table.borrow_mut();
        let effect = table.record_limit(backend, incarnation, statement);
        drop(table);
        if effect != LimitEffect::Changed {
            return effect;
        }
        let limit = statement
            .rate
            .map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        let age_ms = self.now().since(statement.stated_at).as_millis();
        log::info!(backend = backend.as_str(), incarnation, limit, source, age_ms;
            "backend server changed its rate limit");
        let label = KeyValue::new("word", "limit");
        self.metrics.backend_notices.add(1, &[label]);
        effect
    }

    fn permit(self: &Rc<Self>, permit: SparePermit) -> SendPermit {
        SendPermit {
            state: Rc::clone(self),
            permit,
            spent: Cell::new(false),
        }
    }

    /// Takes a permit that no request has used, if one is left.
    fn take_spare(&self, limited: &LimitedBackend, now: TimePoint) -> Option<SparePermit> {
        let mut spare = self.permits.spare.borrow_mut();
        spare.retain(|permit| permit.expires_at > now);
        let index = spare.iter().position(|permit| permit.limited == *limited)?;
        Some(spare.swap_remove(index))
    }

    /// Issues a permit, as the issuer of the backend server's permits.
    fn issue(
        &self,
        limited: &LimitedBackend,
        limit: RequestRate,
        asker: &InstanceId,
    ) -> PermitReply {
        let now = self.now();
        let own = &self.settings().instance;
        let reach = self.peers.borrow().reach(own, now);
        let share = LiveShare::of_peers(&reach, self.entry_count());
        let mut issuer = self.permits.issuer.borrow_mut();
        issuer.issue(limited, limit, share, asker, now)
    }

    /// Asks the issuer for a permit; `None` if it does not reply in time.
    async fn ask(
        &self,
        limited: &LimitedBackend,
        limit: RequestRate,
        issuer: SocketAddr,
        asked_at: TimePoint,
    ) -> Option<PermitReply> {
        let ticket = self.permits.last_ticket.get() + 1;
        self.permits.last_ticket.set(ticket);
        let (reply, replied) = oneshot::channel();
        let pending = PendingPermit {
            limited: limited.clone(),
            asked_at,
            reply,
        };
        {
            let mut waiting = self.permits.pending.borrow_mut();
            waiting.retain(|_, pending| asked_at.since(pending.asked_at) < PERMIT_TTL);
            waiting.insert(ticket, pending);
        }
        let ask = PermitRequest {
            ticket,
            backend: SmolStr::new(limited.backend.as_str()),
            incarnation: limited.incarnation,
            limit: limit.0,
        };
        gossip::send_to(self, issuer, GossipPayload::PermitRequest(ask));
        let replied = tokio::time::timeout(REPLY_TIMEOUT, replied).await;
        replied.ok()?.ok()
    }

    /// Returns the entry that issues the permits of a backend server, as far as this entry can tell.
    fn issuer_of(&self, backend: &BackendId) -> IssuerEntry {
        let rank = NameRank::of("backend", backend.as_str());
        let own = &self.settings().instance;
        let peers = self.peers.borrow();
        match peers.permit_issuer(own, rank, self.now()) {
            Some((id, address)) => IssuerEntry::Peer(id, address),
            None => IssuerEntry::Own,
        }
    }

    fn count_permit(&self, outcome: &'static str) {
        let label = KeyValue::new("outcome", outcome);
        self.metrics.send_permits.add(1, &[label]);
    }
}
