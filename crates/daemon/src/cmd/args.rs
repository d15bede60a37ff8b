//! The flags; each has an environment variable, see
//! [docs/SETTINGS.md](../../../../docs/SETTINGS.md).

use argh::FromArgs;

/// Serves models and plain services to many teams.
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

/// Serves callers and operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArgs {
    /// address for callers and operators (APPLEFOLD_LISTEN, required)
    #[argh(option)]
    pub(crate) listen: Option<String>,
    /// address for peers (APPLEFOLD_PEER_LISTEN, required)
    #[argh(option)]
    pub(crate) peer_listen: Option<String>,
    /// address for metrics (APPLEFOLD_METRICS_LISTEN, none)
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
    /// secret of the cluster (APPLEFOLD_CLUSTER_SECRET, required)
    #[argh(option)]
    pub(crate) cluster_secret: Option<String>,
    /// second secret, accepted while secrets are changed (APPLEFOLD_OTHER_SECRET, none)
    #[argh(option)]
    pub(crate) other_secret: Option<String>,
    /// credential of operators (APPLEFOLD_OPERATOR_CREDENTIAL, required)
    #[argh(option)]
    pub(crate) operator_credential: Option<String>,
    /// largest answer that is held back until it is whole, in bytes (APPLEFOLD_HOLD_LIMIT, 1048576)
    #[argh(option)]
    pub(crate) hold_limit: Option<String>,
    /// longest pause inside an answer (APPLEFOLD_PROGRESS_TIMEOUT, 5s)
    #[argh(option)]
    pub(crate) progress_timeout: Option<String>,
    /// time for the balancer to turn away when stopping (APPLEFOLD_DRAIN_DELAY, 1s)
    #[argh(option)]
    pub(crate) drain_delay: Option<String>,
    /// time for requests to end when stopping (APPLEFOLD_DRAIN_TIMEOUT, 120s)
    #[argh(option)]
    pub(crate) drain_timeout: Option<String>,
    /// longest time to serve on an unconfirmed configuration (APPLEFOLD_CONFIRM_BOUND, 5s)
    #[argh(option)]
    pub(crate) confirm_bound: Option<String>,
    /// length of a usage window, the same for all processes (APPLEFOLD_USAGE_WINDOW, 60s)
    #[argh(option)]
    pub(crate) usage_window: Option<String>,
    /// time that a lost backend server has to come back before another is ordered
    /// (APPLEFOLD_RESTART_GRACE, 30s)
    #[argh(option)]
    pub(crate) restart_grace: Option<String>,
    /// share of traces that are written, from 0 to 1 (APPLEFOLD_TRACE_SHARE, 1)
    #[argh(option)]
    pub(crate) trace_share: Option<String>,
    /// least level of log lines (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}

/// Stands beside one backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub(crate) struct SidecarArgs {
    /// address for peers (APPLEFOLD_PEER_LISTEN, required)
    #[argh(option)]
    pub(crate) peer_listen: Option<String>,
    /// address for metrics (APPLEFOLD_METRICS_LISTEN, none)
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
    /// secret of the cluster (APPLEFOLD_CLUSTER_SECRET, required)
    #[argh(option)]
    pub(crate) cluster_secret: Option<String>,
    /// second secret, accepted while secrets are changed (APPLEFOLD_OTHER_SECRET, none)
    #[argh(option)]
    pub(crate) other_secret: Option<String>,
    /// requests that the backend server runs at one time (APPLEFOLD_SLOTS, 32)
    #[argh(option)]
    pub(crate) slots: Option<String>,
    /// longest pause inside an answer (APPLEFOLD_PROGRESS_TIMEOUT, 5s)
    #[argh(option)]
    pub(crate) progress_timeout: Option<String>,
    /// time for requests to end when stopping (APPLEFOLD_DRAIN_TIMEOUT, 120s)
    #[argh(option)]
    pub(crate) drain_timeout: Option<String>,
    /// length of a usage window, the same for all processes (APPLEFOLD_USAGE_WINDOW, 60s)
    #[argh(option)]
    pub(crate) usage_window: Option<String>,
    /// share of traces that are written, from 0 to 1 (APPLEFOLD_TRACE_SHARE, 1)
    #[argh(option)]
    pub(crate) trace_share: Option<String>,
    /// least level of log lines (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}

/// Serves callers on a platform that hands over a settings file.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct GatewayArgs {
    /// path of the platform's settings file (the platform's variable, or its usual path)
    #[argh(option)]
    pub(crate) settings: Option<String>,
    /// the least level of log lines (APPLEFOLD_LOG_LEVEL, info)
    #[argh(option)]
    pub(crate) log_level: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check_settings: bool,
}
