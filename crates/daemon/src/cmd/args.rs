//! The command line flags; most have an environment variable, see
//! [docs/SETTINGS.md](../../../../docs/SETTINGS.md).

use argh::FromArgs;

/// Serves AI models and other HTTP services to many teams.
#[derive(FromArgs)]
pub(crate) struct DaemonArgs {
    #[argh(subcommand)]
    pub(crate) command: DaemonCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum DaemonCommand {
    Entry(EntryArgs),
    Gateway(GatewayArgs),
    Sidecar(SidecarArgs),
}

/// Runs an entry, which accepts requests from callers and operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArgs {
    /// listen address for callers and operators (APPLEFOLD_LISTEN, required)
    #[argh(option)]
    pub(crate) listen: Option<String>,
    /// listen address for other processes of the cluster (APPLEFOLD_PEER_LISTEN, required)
    #[argh(option)]
    pub(crate) peer_listen: Option<String>,
    /// listen address for metrics (APPLEFOLD_METRICS_LISTEN, none)
    #[argh(option)]
    pub(crate) metrics_listen: Option<String>,
    /// address of the platform's service (APPLEFOLD_PLATFORM, required)
    #[argh(option)]
    pub(crate) platform: Option<String>,
    /// name of this instance (APPLEFOLD_INSTANCE, required)
    #[argh(option)]
    pub(crate) instance: Option<String>,
    /// failure domain of this instance (APPLEFOLD_DOMAIN, required)
    #[argh(option)]
    pub(crate) domain: Option<String>,
    /// region of this instance (APPLEFOLD_REGION, required)
    #[argh(option)]
    pub(crate) region: Option<String>,
    /// secret that all processes of the cluster share (APPLEFOLD_CLUSTER_SECRET, required)
    #[argh(option)]
    pub(crate) cluster_secret: Option<String>,
    /// second secret, accepted during a rotation (APPLEFOLD_OTHER_SECRET, none)
    #[argh(option)]
    pub(crate) other_secret: Option<String>,
    /// credential that operators authenticate with (APPLEFOLD_OPERATOR_CREDENTIAL, required)
    #[argh(option)]
    pub(crate) operator_credential: Option<String>,
    /// maximum size of a response that is buffered until it is complete, in bytes
    /// (APPLEFOLD_HOLD_LIMIT, 1048576)
    #[argh(option)]
    pub(crate) hold_limit: Option<String>,
    /// timeout between two parts of a response (APPLEFOLD_PROGRESS_TIMEOUT, 5s)
    #[argh(option)]
    pub(crate) progress_timeout: Option<String>,
    /// how long new requests are still accepted on shutdown, for the load balancer to notice it
    /// (APPLEFOLD_DRAIN_DELAY, 1s)
    #[argh(option)]
    pub(crate) drain_delay: Option<String>,
    /// time for requests in flight to finish on shutdown (APPLEFOLD_DRAIN_TIMEOUT, 120s)
    #[argh(option)]
    pub(crate) drain_timeout: Option<String>,
    /// maximum time to serve with an unconfirmed configuration (APPLEFOLD_CONFIRM_BOUND, 5s)
    #[argh(option)]
    pub(crate) confirm_bound: Option<String>,
    /// length of a usage window; must be the same for all processes (APPLEFOLD_USAGE_WINDOW, 60s)
    #[argh(option)]
    pub(crate) usage_window: Option<String>,
    /// time for a lost backend server to return before a replacement is ordered
    /// (APPLEFOLD_RESTART_GRACE, 30s)
    #[argh(option)]
    pub(crate) restart_grace: Option<String>,
    /// share of traces that are sampled, from 0 to 1 (APPLEFOLD_TRACE_SHARE, 1)
    #[argh(option)]
    pub(crate) trace_share: Option<String>,
    /// memory of the process, in megabytes (APPLEFOLD_MEMORY_MB, 512)
    #[argh(option)]
    pub(crate) memory_mb: Option<String>,
    /// file descriptors of the process (APPLEFOLD_MAX_FDS, 4096)
    #[argh(option)]
    pub(crate) max_fds: Option<String>,
    /// minimum log level (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// validate the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}

/// Runs the sidecar of one backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub(crate) struct SidecarArgs {
    /// listen address for other processes of the cluster (APPLEFOLD_PEER_LISTEN, required)
    #[argh(option)]
    pub(crate) peer_listen: Option<String>,
    /// listen address for metrics (APPLEFOLD_METRICS_LISTEN, none)
    #[argh(option)]
    pub(crate) metrics_listen: Option<String>,
    /// address of the platform's service (APPLEFOLD_PLATFORM, required)
    #[argh(option)]
    pub(crate) platform: Option<String>,
    /// address of the backend server (APPLEFOLD_BACKEND, required)
    #[argh(option)]
    pub(crate) backend: Option<String>,
    /// name of this instance (APPLEFOLD_INSTANCE, required)
    #[argh(option)]
    pub(crate) instance: Option<String>,
    /// failure domain of this instance (APPLEFOLD_DOMAIN, required)
    #[argh(option)]
    pub(crate) domain: Option<String>,
    /// pool of the backend server (APPLEFOLD_POOL, required)
    #[argh(option)]
    pub(crate) pool: Option<String>,
    /// secret that all processes of the cluster share (APPLEFOLD_CLUSTER_SECRET, required)
    #[argh(option)]
    pub(crate) cluster_secret: Option<String>,
    /// second secret, accepted during a rotation (APPLEFOLD_OTHER_SECRET, none)
    #[argh(option)]
    pub(crate) other_secret: Option<String>,
    /// maximum number of concurrent requests at the backend server (APPLEFOLD_SLOTS, 32)
    #[argh(option)]
    pub(crate) slots: Option<String>,
    /// timeout between two parts of a response (APPLEFOLD_PROGRESS_TIMEOUT, 5s)
    #[argh(option)]
    pub(crate) progress_timeout: Option<String>,
    /// time for requests in flight to finish on shutdown (APPLEFOLD_DRAIN_TIMEOUT, 120s)
    #[argh(option)]
    pub(crate) drain_timeout: Option<String>,
    /// length of a usage window; must be the same for all processes (APPLEFOLD_USAGE_WINDOW, 60s)
    #[argh(option)]
    pub(crate) usage_window: Option<String>,
    /// share of traces that are sampled, from 0 to 1 (APPLEFOLD_TRACE_SHARE, 1)
    #[argh(option)]
    pub(crate) trace_share: Option<String>,
    /// minimum log level (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// validate the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}

/// Runs an entry on a platform that supplies a settings file.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct GatewayArgs {
    /// path of the platform's settings file (default: the platform's variable, or its standard path)
    #[argh(option)]
    pub(crate) settings: Option<String>,
    /// minimum log level (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// percentage of the repeatable requests that may get a second attempt while the first one takes
    /// unusually long (APPLEFOLD_HEDGE_PERCENT, 0)
    #[argh(option)]
    pub(crate) hedge_percent: Option<String>,
    /// validate the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}
