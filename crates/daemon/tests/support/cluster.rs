//! A test cluster: the platform, backend servers with their sidecars, and entries.

use std::net::SocketAddr;

use actix_http::Method;
use applefold_core::config::key_digest;
use applefold_standins::{
    ChatCall, ClientAnswer, EngineOptions, InstanceKind, InstanceRecord, InstanceState,
    PlainOptions, PlatformOptions, StandinClient, StandinHandle,
};
use bytes::Bytes;
use serde_json::{json, Value};

use super::process::DaemonProcess;
use super::relay::FaultRelay;
use super::until;

pub const CALLER_KEY: &str = "caller-key-of-brigada";
pub const OTHER_KEY: &str = "caller-key-of-refill";
const OPERATOR: &str = "operator-credential-for-tests";
const SECRET: &str = "cluster-secret-for-tests";

/// A backend server with its sidecar, and a relay between the entries and the sidecar.
pub struct BackendSlot {
    pub name: String,
    pub pool: String,
    pub backend: StandinHandle,
    pub sidecar: DaemonProcess,
    pub relay: FaultRelay,
}

impl BackendSlot {
    pub fn client(&self) -> StandinClient {
        StandinClient::new(self.backend.address)
    }
}

/// An entry, and a relay between it and the platform.
pub struct EntrySlot {
    pub name: String,
    pub process: DaemonProcess,
    pub platform_relay: FaultRelay,
}

impl EntrySlot {
    pub fn address(&self) -> SocketAddr {
        self.process.addresses["callers"]
    }

    /// Returns a client with the key of the team `brigada`.
    pub fn caller(&self) -> StandinClient {
        StandinClient::new(self.address()).with_bearer(CALLER_KEY)
    }

    pub fn operator(&self) -> StandinClient {
        StandinClient::new(self.address()).with_bearer(OPERATOR)
    }

    pub async fn status(&self) -> Value {
        self.operator()
            .get("/operator/status")
            .await
            .expect("the entry responds")
    }

    pub async fn file(&self, ticket: &Value) -> ClientAnswer {
        let body = Bytes::from(ticket.to_string());
        let call = self
            .operator()
            .call(Method::POST, "/operator/tickets", body)
            .await;
        call.expect("the entry responds")
    }

    pub async fn charge(&self, key: Option<&str>, body: &str) -> ClientAnswer {
        let mut caller = self.caller();
        if let Some(key) = key {
            caller = caller.with_header("idempotency-key", key);
        }
        let body = Bytes::from(body.to_owned());
        let call = caller.call(Method::POST, "/till/charge", body).await;
        call.expect("the entry responds")
    }
}

/// The composition of a cluster.
#[derive(Clone)]
pub struct ClusterPlan {
    pub entries: usize,
    pub engines: Vec<EngineOptions>,
    pub plain: usize,
    /// Additional settings of every process.
    pub settings: Vec<(&'static str, String)>,
    /// Additional settings of entries.
    pub entry_settings: Vec<(&'static str, String)>,
    /// Variables in the environment of every process.
    pub variables: Vec<(&'static str, String)>,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: vec![engine_options(); 2],
            plain: 0,
            settings: Vec::new(),
            entry_settings: Vec::new(),
            variables: Vec::new(),
        }
    }
}

/// Returns options of an engine that streams slowly enough to inject a fault meanwhile.
pub fn engine_options() -> EngineOptions {
    EngineOptions {
        models: vec!["m1".to_owned()],
        stream_rate: 100,
        ..EngineOptions::default()
    }
}

pub struct TestCluster {
    pub platform: StandinHandle,
    pub backends: Vec<BackendSlot>,
    pub entries: Vec<EntrySlot>,
    /// The number of entries ever started.
    started: usize,
    plan: ClusterPlan,
}

impl TestCluster {
    /// Starts all processes, files the first ticket and waits until it is in force.
    pub async fn start(plan: ClusterPlan) -> Self {
        let platform = StandinHandle::platform(PlatformOptions::default());
        let mut cluster = Self {
            platform: platform.expect("the platform starts"),
            backends: Vec::new(),
            entries: Vec::new(),
            started: 0,
            plan,
        };
        for options in cluster.plan.engines.clone() {
            let engine = StandinHandle::engine(options).expect("the engine starts");
            cluster.add_backend("chat", engine).await;
        }
        for _ in 0..cluster.plan.plain {
            let plain = StandinHandle::plain(PlainOptions::default());
            cluster
                .add_backend("till", plain.expect("the service starts"))
                .await;
        }
        for _ in 0..cluster.plan.entries {
            cluster.add_entry().await;
        }
        let filed = cluster.entries[0].file(&first_ticket()).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        cluster.wait_revision(1).await;
        cluster
    }

    pub fn platform_client(&self) -> StandinClient {
        StandinClient::new(self.platform.address)
    }

    /// Starts a sidecar for a backend server and registers it at the platform.
    pub async fn add_backend(&mut self, pool: &str, backend: StandinHandle) {
        let name = format!("b{}", self.backends.len() + 1);
        let domain = format!("d{}", self.backends.len() % 3 + 1);
        let args = self.args("sidecar", &name, &domain);
        let role_args = [
            "--backend".to_owned(),
            backend.address.to_string(),
            "--pool".to_owned(),
            pool.to_owned(),
            "--platform".to_owned(),
            self.platform.address.to_string(),
        ];
        let args = [args, role_args.to_vec()].concat();
        let sidecar = DaemonProcess::start_with(&args, &self.plan.variables);
        let relay = FaultRelay::start(sidecar.addresses["peers"]);
        let slot = BackendSlot {
            name,
            pool: pool.to_owned(),
            backend,
            sidecar,
            relay,
        };
        self.list(&slot, &domain, InstanceState::Live).await;
        self.backends.push(slot);
    }

    pub async fn add_entry(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        let domain = format!("d{}", (self.started - 1) % 3 + 1);
        let platform_relay = FaultRelay::start(self.platform.address);
        let args = self.args("entry", &name, &domain);
        let role_args = [
            "--listen",
            "127.0.0.1:0",
            "--operator-credential",
            OPERATOR,
            "--region",
            "r1",
            "--drain-delay",
            "100ms",
            "--platform",
            &platform_relay.address.to_string(),
        ];
        let mut role_args = role_args.map(str::to_owned).to_vec();
        let settings = self.plan.entry_settings.iter();
        role_args.extend(settings.flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]));
        let args = [args, role_args].concat();
        let process = DaemonProcess::start_with(&args, &self.plan.variables);
        let record = InstanceRecord {
            id: name.clone(),
            kind: InstanceKind::Entry,
            address: process.addresses["peers"].to_string(),
            domain,
            region: "r1".to_owned(),
            pool: None,
            state: InstanceState::Live,
        };
        let listed = self.platform_client().announce(&record).await;
        listed.expect("the platform lists the entry");
        self.entries.push(EntrySlot {
            name,
            process,
            platform_relay,
        });
    }

    /// Removes an entry that has exited from the platform's list.
    pub async fn remove_entry(&mut self, index: usize) {
        let entry = self.entries.remove(index);
        let path = format!("/instances/{}", entry.name);
        let client = self.platform_client();
        let removed = client.call(Method::DELETE, &path, Bytes::new()).await;
        assert_eq!(removed.expect("the platform responds").status, 200);
    }

    fn args(&self, role: &str, name: &str, domain: &str) -> Vec<String> {
        let fixed = [
            role,
            "--peer-listen",
            "127.0.0.1:0",
            "--instance",
            name,
            "--domain",
            domain,
            "--cluster-secret",
            SECRET,
        ];
        let mut args: Vec<String> = fixed.map(str::to_owned).to_vec();
        let shared = self.plan.settings.iter();
        args.extend(shared.flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]));
        args
    }

    async fn list(&self, slot: &BackendSlot, domain: &str, state: InstanceState) {
        let record = InstanceRecord {
            id: slot.name.clone(),
            kind: InstanceKind::Backend,
            address: slot.relay.address.to_string(),
            domain: domain.to_owned(),
            region: "r1".to_owned(),
            pool: Some(slot.pool.clone()),
            state,
        };
        let listed = self.platform_client().announce(&record).await;
        listed.expect("the platform lists the backend server");
    }

    /// Marks a backend server as leaving in the platform's list.
    pub async fn mark_leaving(&self, index: usize) {
        let domain = format!("d{}", index % 3 + 1);
        self.list(&self.backends[index], &domain, InstanceState::Leaving)
            .await;
    }

    /// Waits until every entry sees every peer alive with at least `revision` in force.
    pub async fn wait_revision(&self, revision: u64) {
        for entry in &self.entries {
            until(|| async {
                let status = entry.status().await;
                let rows = status["instances"].as_array().cloned().unwrap_or_default();
                let peers = self.backends.len() + self.entries.len() - 1;
                let ready = rows.iter().filter(|row| {
                    row["revision"].as_u64() >= Some(revision) && row["state"] == "live"
                });
                status["revision"].as_u64() >= Some(revision) && ready.count() == peers
            })
            .await;
        }
    }

    /// Waits until every lease is held by some entry.
    pub async fn wait_leases(&self) {
        until(|| async {
            let mut held = 0;
            for entry in &self.entries {
                let status = entry.status().await;
                let rows = status["leases"].as_array().cloned().unwrap_or_default();
                held += rows.iter().filter(|row| row["held_here"] == true).count();
            }
            held >= LEASES
        })
        .await;
    }
}

/// The number of leases: those of the claim shards, of usage and of the fleet.
const LEASES: usize = 10;

/// Returns a chat call with an expected response of `tokens` tokens.
pub fn chat(prompt: &str, tokens: u64) -> ChatCall {
    ChatCall::new("m1", prompt, tokens)
}

pub fn key_ticket(number: u64, state: &str) -> Value {
    json!({
        "ticket": number,
        "author": "ana",
        "keys": [{
            "id": "k1",
            "team": "brigada",
            "sha256": key_digest(CALLER_KEY).to_string(),
            "state": state,
        }],
    })
}

/// Returns a ticket with two teams that have a key each, a pool of engines and a plain service.
pub fn first_ticket() -> Value {
    json!({
        "ticket": 1,
        "author": "ana",
        "teams": [{"id": "brigada", "weight": 10}, {"id": "refill", "weight": 10}],
        "keys": [
            {"id": "k1", "team": "brigada", "sha256": key_digest(CALLER_KEY).to_string(), "state": "active"},
            {"id": "k2", "team": "refill", "sha256": key_digest(OTHER_KEY).to_string(), "state": "active"},
        ],
        "pools": [
            {"id": "chat", "kind": "model", "min": 1, "max": 8, "failure_domains": ["d1", "d2", "d3"]},
            {"id": "till", "kind": "plain", "min": 1, "max": 8, "failure_domains": ["d1", "d2", "d3"]},
        ],
        "services": [
            {"id": "assistant", "kind": "model", "pool": "chat", "models": ["m1"], "open": false,
             "teams": ["*"], "repeatable": true, "deadline_ms": 10_000, "max_body_bytes": 1_000_000,
             "priority": "interactive"},
            {"id": "till", "kind": "plain", "pool": "till", "path_prefix": "/till/", "open": false,
             "teams": ["brigada"], "repeatable": true, "unrepeatable_paths": ["/till/charge"],
             "deadline_ms": 3_000, "max_body_bytes": 100_000, "priority": "interactive"},
        ],
    })
}
